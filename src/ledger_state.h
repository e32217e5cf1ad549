// In-memory parts of a ledger shard: records with their waiting callers, the commit and the segment in flight.
#pragma once

#include <nutmegtally/ledger.h>

#include <optional>
#include <string>
#include <vector>

namespace nutmegtally::detail
{

/// What every handler of an event needs.
struct event_context {
    time_point now;
    wall_time wall {};
    std::vector<ledger_effect_type> &effects;
};

enum class shard_phase : std::uint8_t {
    ownerUnknown, // the head was not read, or its owner is not live
    loading, // head or segments are being read
    takingOver, // the take-over's update is in flight
    owned,
    remote, // another live agent owns the shard
};

/// Where an entry is on its way. In flight means: part of the commit in flight.
enum class record_step : std::uint8_t {
    claimPending, // not part of any commit
    claimInFlight,
    running, // claim stored, request sent
    outcomePending, // has a final state that is not stored
    outcomeInFlight,
    stored, // stored with its final state
    releasePending, // claim stored, never sent: the entry is removed by the next commit
    releaseInFlight,
};

/// A caller's booking with its parsed key.
struct booking_request {
    attempt_ref attempt;
    idempotency_key key;
    std::uint64_t requestHash = 0;
    time_point deadline;
    time_point receivedAt;
};

struct ledger_waiter {
    attempt_ref attempt;
    time_point deadline;
    time_point receivedAt;
};

struct ledger_record {
    ledger_entry entry;
    record_step step = record_step::claimPending;
    bool mayHaveRun = false; // an earlier claim of the key ended unknown; only for services that check keys
    time_point finalStateAt; // when the final state became known
    std::vector<ledger_waiter> waiters;
    std::vector<std::uint64_t> settlementIds; // to be answered when the entry is stored
    std::string wholeBody; // for the waiters; the entry keeps a short body only
    std::string segment; // name of the sealed segment, empty while the entry is in the head
};

/// A conditional update of the head that has no certain result yet.
struct ledger_commit {
    std::uint64_t operation = 0; // of the write or read-back in flight
    std::uint64_t nonce = 0;
    std::string value;
    std::string ifVersion;
    bool takeOver = false;
    bool uncertain = false; // a copy of the update may still take effect
    time_point issuedAt;
    std::optional<time_point> readBackAt; // set: no call is in flight
    std::vector<idempotency_key> claims;
    std::vector<idempotency_key> outcomes;
    std::vector<idempotency_key> releases;
    std::vector<idempotency_key> expired;
    std::vector<segment_ref> dropped;
    wall_time keptSince {};
};

/// A segment that is being written. Its content and name never change, so it may be sent any number of times.
struct segment_write {
    std::uint64_t operation = 0;
    std::string name;
    std::string value;
    std::vector<idempotency_key> keys;
    wall_time newestKey {};
    std::optional<time_point> retryAt; // set: no call is in flight
};

/// A settlement that waits for the take-over.
struct queued_settlement {
    ledger_event::settlement_requested request;
    time_point receivedAt;
};

/// An outcome that a former owner sends to the new one until it is answered.
struct forwarded_settlement {
    ledger_event::settlement_requested request;
    time_point retryAt;
    unsigned tries = 0;
};

} // namespace nutmegtally::detail
