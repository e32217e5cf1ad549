// In-memory state of a ledger shard: records with their waiting callers, the commit in flight and the segment that is
// being written.
#pragma once

#include <nutmegtally/ledger.h>

#include <optional>
#include <string>
#include <vector>

namespace nutmegtally::detail
{

/// Passed to every event handler: the time of the event and the list that receives its effects.
struct event_context {
    time_point now;
    wall_time wall {}; // wall time at now
    std::vector<ledger_effect_type> &effects;
};

enum class shard_phase : std::uint8_t {
    ownerUnknown, // the head was not read, or its owner is not live
    loading, // the head or its segments are being read
    takingOver, // the head write that makes this agent the owner is in flight
    owned,
    remote, // another live agent owns the shard
};

/// Progress of an entry. InFlight: part of the commit in flight.
enum class record_step : std::uint8_t {
    claimPending, // new, not part of a commit yet
    claimInFlight,
    running, // claim stored, request sent to the service
    outcomePending, // has a final state that is not part of a commit yet
    outcomeInFlight,
    stored, // stored with its final state
    releasePending, // claim stored but request never sent: the next commit removes the entry
    releaseInFlight,
};

/// A requested booking with its parsed key.
struct booking_request {
    attempt_ref attempt;
    idempotency_key key;
    std::uint64_t requestHash = 0;
    time_point deadline;
    time_point receivedAt;
};

/// A caller that waits for the outcome of an entry.
struct ledger_waiter {
    attempt_ref attempt;
    time_point deadline;
    time_point receivedAt;
};

/// An entry of the shard with its progress.
struct ledger_record {
    ledger_entry entry;
    record_step step = record_step::claimPending;
    bool mayHaveRun = false; // an earlier claim of the key has an unknown outcome; only for services that check keys
    time_point finalStateAt; // when the final state became known here
    std::vector<ledger_waiter> waiters;
    std::vector<std::uint64_t> settlementIds; // settlements to be answered once the entry is stored
    std::string wholeBody; // complete body for the waiters; the entry has it only if it is short enough to store
    std::string segment; // name of the entry's sealed segment; empty while the entry is in the head
};

/// A conditional write of the head whose result is not known yet.
struct ledger_commit {
    std::uint64_t operation = 0; // the write or read-back in flight; 0 for none
    std::uint64_t nonce = 0; // written into the head to recognize this commit
    std::string value; // of the head object
    std::string ifVersion; // version of the head object that the write replaces
    bool takeOver = false; // the write makes this agent the owner
    bool uncertain = false; // a copy of the write may still take effect
    time_point issuedAt;
    std::optional<time_point> readBackAt; // only set while no call is in flight
    std::vector<idempotency_key> claims;
    std::vector<idempotency_key> outcomes;
    std::vector<idempotency_key> releases; // entries removed because their claim was never sent
    std::vector<idempotency_key> expired; // entries removed because their key expired
    std::vector<segment_ref> dropped; // segments removed because all their keys expired
    wall_time keptSince {}; // as in ledger_head
};

/// A sealed segment that is being written. Its name and content never change, so the write may be repeated.
struct segment_write {
    std::uint64_t operation = 0;
    std::string name;
    std::string value;
    std::vector<idempotency_key> keys; // of its entries
    wall_time newestKey {}; // creation time of the newest of keys
    std::optional<time_point> retryAt; // only set while no call is in flight
};

/// A settlement that waits until the owner of the shard is known.
struct queued_settlement {
    ledger_event::settlement_requested request;
    time_point receivedAt;
};

/// A settlement that this former owner sends to the new owner until it gets a final answer.
struct forwarded_settlement {
    ledger_event::settlement_requested request;
    time_point retryAt;
    unsigned tries = 0;
};

} // namespace nutmegtally::detail
