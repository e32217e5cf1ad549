// Reducer of the at-most-once ledger: one ledger_core per agent and plain service. A booking is claimed in the shard's
// head object before it is sent, its outcome is stored before it is answered, and a repeated key gets the stored
// outcome. The head's version check fences former owners, so safety needs no lease and no clock.
#pragma once

#include <nutmegtally/errors.h>
#include <nutmegtally/fleet_config.h>
#include <nutmegtally/idempotency_key.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/ledger_storage.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/objects.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/work.h>

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// Names an object API call. Its result repeats it.
struct object_operation {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;

    auto operator<=>(const object_operation &) const = default;
};

/// Names one claim of a booking. The result of its call repeats it.
struct claim_ref {
    std::uint32_t shard = 0;
    std::uint64_t nonce = 0;

    auto operator<=>(const claim_ref &) const = default;
};

enum class settle_result : std::uint8_t {
    stored, // the settlement is in the ledger
    alreadySettled, // the entry has an outcome, which stands
    notFound, // the shard has no such unknown entry
    notOwner, // ask the named owner
    tooEarly, // not_run is only accepted when no former owner can still send the request: ask again in ten seconds
    unavailable, // the platform did not take the update
    count
};

namespace ledger_event
{

/// A router offers a booking. The agent keeps its method, path and body until the reply.
struct booking_requested {
    attempt_ref attempt;
    std::string key; // text of Idempotency-Key, empty if there was none
    std::uint64_t requestHash = 0; // of method, path and body
    time_point deadline;
    wall_time wallNow {};
};

/// The caller or its router is gone. A claim that was not sent is released; one that was sent runs to its end.
struct booking_cancelled {
    attempt_ref attempt;
};

struct object_read {
    object_operation operation;
    object_status status = object_status::unavailable; // ok, missing or unavailable
    std::string value;
    std::string version; // from the ETag, without quotes
};

/// Result of write_object or delete_object.
struct object_written {
    object_operation operation;
    object_status status = object_status::unknown;
    std::string version; // new version if ok
};

/// The service answered, also with an HTTP error: the booking ran.
struct service_answered {
    claim_ref claim;
    int status = 0;
    std::string contentType;
    std::string body; // whole
};

struct service_failed {
    claim_ref claim;
    run_state state = run_state::unknown; // notRun only if no byte was sent, for example after a refused connection
};

/// Live agents of this service as this process sees them; leaving ones are not live. Self counts as live always.
struct owner_view_changed {
    std::vector<upstream_id> live;
};

/// The service's configuration changed. The number of shards is fixed for the life of the service and is ignored.
struct service_config_changed {
    service_config config;
};

/// A former owner sends a late outcome, or an operator settles an unknown entry.
struct settlement_requested {
    std::uint64_t settlementId = 0; // number of the caller's choice, repeated in reply_settlement; 0 for no reply
    idempotency_key key;
    std::uint64_t claimNonce = 0; // must match; an operator takes it from the listing
    run_state state = run_state::ran; // ran or notRun
    booking_outcome outcome; // for ran
    std::optional<settle_audit> audit; // set for an operator
};

/// Answer to forward_settlement.
struct forward_answered {
    claim_ref claim;
    settle_result result = settle_result::unavailable; // also for a call that failed
    std::string owner; // for notOwner, empty if not known
};

struct tick {
    wall_time wallNow {};
};

} // namespace ledger_event

namespace ledger_effect
{

/// GET of the object.
struct read_object {
    object_operation operation;
    std::string name;
};

/// PUT of the object.
struct write_object {
    object_operation operation;
    std::string name;
    std::string ifVersion; // If-Match; empty for a create-only write, If-None-Match: *
    std::string value;
};

/// DELETE of a dropped segment. Its result is an object_written; the ledger only counts it.
struct delete_object {
    object_operation operation;
    std::string name;
};

/// Send the booking of this attempt to the service now. Its claim is stored.
struct run_request {
    claim_ref claim;
    attempt_ref attempt; // whose method, path and body to send
    idempotency_key key; // passed on as Idempotency-Key
    std::uint64_t fencingToken = 0; // the shard's epoch, for services that check it
    time_point deadline; // give up then and post service_failed with unknown
};

/// The booking ran.
struct reply_outcome {
    attempt_ref attempt;
    booking_outcome outcome; // with the whole body for those who waited for the call
    bool repeated = false; // from the ledger
};

struct reply_refusal {
    attempt_ref attempt;
    error_code code = error_code::internal;
    run_state state = run_state::notRun;
    std::optional<duration> retryAfter; // ask again with the same key
    upstream_id owner; // for notOwner
    std::string ownerName;
};

/// Call ledger.settle at the shard's new owner. Its answer is a forward_answered.
struct forward_settlement {
    claim_ref claim;
    std::string owner; // upstream name
    ledger_event::settlement_requested request;
};

struct reply_settlement {
    std::uint64_t settlementId = 0;
    settle_result result = settle_result::unavailable;
    std::string owner; // for notOwner
};

} // namespace ledger_effect

struct ledger_options {
    std::string service; // name as in the configuration
    std::string self; // upstream name of this agent
    std::uint32_t shards = 4;
    duration horizon = std::chrono::hours(1);
    bool checksKeys = false; // the service runs a key at most once itself
    std::uint64_t nonceSeed = 1; // random for each start of the process: nonces must not repeat after a restart
    duration commitInterval = std::chrono::milliseconds(200); // between commits of a shard
    std::size_t sealThresholdBytes = 32'768; // a head of this size is sealed into a segment, which keeps commits small
    duration commitTimeout = std::chrono::seconds(1); // for a commit whose answer was lost
    // Commits that may follow each other at once after a pause. With 2, the outcome of a lone booking is stored without
    // a wait for the spacing; the rate over time is the same.
    std::uint32_t commitBurst = 2;
    duration platformRetryDelay = std::chrono::milliseconds(500); // between tries while the platform is down
};

/// Rules of the ledger. Only tests use other values, to show that the oracle finds the fault.
struct strict_ledger_policy {
    static constexpr bool storeClaimBeforeSend = true;
    static constexpr bool fenceOnConflict = true;
    static constexpr bool timeoutIsUnknown = true;
    static constexpr bool checkRequestHash = true;
};

template<typename P>
concept ledger_policy = requires
{
    {
        P::storeClaimBeforeSend
        } -> std::convertible_to<bool>;
    {
        P::fenceOnConflict
        } -> std::convertible_to<bool>;
    {
        P::timeoutIsUnknown
        } -> std::convertible_to<bool>;
    {
        P::checkRequestHash
        } -> std::convertible_to<bool>;
};

using ledger_event_type = std::variant<ledger_event::booking_requested, ledger_event::booking_cancelled, ledger_event::object_read,
                                       ledger_event::object_written, ledger_event::service_answered, ledger_event::service_failed,
                                       ledger_event::owner_view_changed, ledger_event::service_config_changed,
                                       ledger_event::settlement_requested, ledger_event::forward_answered, ledger_event::tick>;

using ledger_effect_type = std::variant<ledger_effect::read_object, ledger_effect::write_object, ledger_effect::delete_object,
                                        ledger_effect::run_request, ledger_effect::reply_outcome, ledger_effect::reply_refusal,
                                        ledger_effect::forward_settlement, ledger_effect::reply_settlement, log_record>;

/// An unknown entry as operators list it.
struct unknown_booking {
    std::uint32_t shard = 0;
    ledger_entry entry;
};

struct ledger_counts {
    std::uint64_t commits = 0; // conditional updates of heads
    std::uint64_t segments = 0; // sealed
    std::uint64_t reads = 0;
    std::uint64_t deletes = 0;
    std::size_t ownedShards = 0;
    std::size_t entries = 0; // kept in memory
    std::size_t unknown = 0;
};

namespace detail
{
template<ledger_policy Policy>
class ledger_shard;
} // namespace detail

template<ledger_policy Policy>
class basic_ledger_core
{
public:
    using event = ledger_event_type;
    using effect = ledger_effect_type;

    explicit basic_ledger_core(ledger_options options);
    basic_ledger_core(basic_ledger_core &&) noexcept;
    basic_ledger_core &operator=(basic_ledger_core &&) noexcept;
    ~basic_ledger_core();

    void apply(time_point now, const event &event, std::vector<effect> &effects);

    /// Time at which the next tick has something to do; nothing while idle. Ticks at other times do no harm.
    std::optional<time_point> nextTick() const;

    /// Unknown entries of the shards that this agent owns.
    std::vector<unknown_booking> unknownBookings() const;

    ledger_counts counts() const;

    /// A booking with this key is in a shard that this agent owns: offered again, it is answered from there.
    /// @param key Text of Idempotency-Key.
    bool contains(const std::string &key) const;

private:
    wall_time wallTimeAt(time_point now) const;

    wall_time m_lastWallTime {}; // newest wall time of an event
    time_point m_lastWallTimeAt; // when that event came
    std::unique_ptr<ledger_options> m_options; // shards refer to it
    std::unique_ptr<std::vector<upstream_id>> m_live; // sorted; shards refer to it
    std::vector<std::unique_ptr<detail::ledger_shard<Policy>>> m_shards;
};

using ledger_core = basic_ledger_core<strict_ledger_policy>;

extern template class basic_ledger_core<strict_ledger_policy>;

} // namespace nutmegtally
