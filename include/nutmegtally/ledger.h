// Reducer of the at-most-once ledger: one ledger_core per agent and service. The claim of a booking is written to the
// shard's head object before the booking is sent to the service, its outcome is stored before the caller gets it, and a
// request with a known idempotency key gets the stored outcome. Every write of the head is conditional on its version,
// which fences former owners, so safety depends on no lease and no clock.
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

/// Identifies an object API call. The event with its result carries the same value.
struct object_operation {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;

    auto operator<=>(const object_operation &) const = default;
};

/// Identifies one claim of a booking. The event with the result of its call carries the same value.
struct claim_ref {
    std::uint32_t shard = 0;
    std::uint64_t nonce = 0;

    auto operator<=>(const claim_ref &) const = default;
};

enum class settle_result : std::uint8_t {
    stored, // the settlement is stored in the ledger
    alreadySettled, // the entry already has an outcome, which is not replaced
    notFound, // the shard has no entry with an unknown outcome for this key and claim
    notOwner, // retry at the named owner
    tooEarly, // not_run is only accepted once no former owner can still send the request: retry in ten seconds
    unavailable, // the update could not be stored
    count
};

namespace ledger_event
{

/// A router requests a booking. The agent keeps its method, path and body until the reply.
struct booking_requested {
    attempt_ref attempt;
    std::string key; // value of Idempotency-Key, empty if the header is missing
    std::uint64_t requestHash = 0; // of method, path and body
    time_point deadline;
    wall_time wallNow {};
};

/// The caller or its router disconnected. A claim that was not sent is released; one that was sent runs to its end.
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

/// The service answered, possibly with an HTTP error status: the booking ran.
struct service_answered {
    claim_ref claim;
    int status = 0;
    std::string contentType;
    std::string body; // complete
};

struct service_failed {
    claim_ref claim;
    run_state state = run_state::unknown; // notRun only if no byte was sent, for example when the connection was refused
};

/// Live agents of this service in this process's membership view. Leaving agents are not live; this agent always is.
struct owner_view_changed {
    std::vector<upstream_id> live;
};

/// The service's configuration changed. A changed number of shards is ignored, because it is fixed for the life of the
/// service.
struct service_config_changed {
    service_config config;
};

/// A former owner forwards an outcome, or an operator settles an entry with an unknown outcome.
struct settlement_requested {
    std::uint64_t settlementId = 0; // chosen by the sender and returned in reply_settlement; 0 for no reply
    idempotency_key key;
    std::uint64_t claimNonce = 0; // must match the entry's; operators get it from the list of unknown entries
    run_state state = run_state::ran; // ran or notRun
    booking_outcome outcome; // if state is ran
    std::optional<settle_audit> audit; // set if the request comes from an operator
};

/// Answer to forward_settlement.
struct forward_answered {
    claim_ref claim;
    settle_result result = settle_result::unavailable; // unavailable also if the call failed
    std::string owner; // upstream name if the result is notOwner; empty if not known
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

/// DELETE of an expired segment. Its result is an object_written event, which the ledger ignores.
struct delete_object {
    object_operation operation;
    std::string name;
};

/// Send the booking of this attempt to the service now. Only emitted once the claim is stored.
struct run_request {
    claim_ref claim;
    attempt_ref attempt; // method, path and body to send are those of this attempt
    idempotency_key key; // to be sent as Idempotency-Key
    std::uint64_t fencingToken = 0; // epoch of the shard, for services that check it
    time_point deadline; // abort then and post service_failed with state unknown
};

/// The booking ran.
struct reply_outcome {
    attempt_ref attempt;
    booking_outcome outcome; // includes a body that is too long to store if the caller waited for this call
    bool repeated = false; // the outcome was already stored when the request arrived
};

struct reply_refusal {
    attempt_ref attempt;
    error_code code = error_code::internal;
    run_state state = run_state::notRun;
    std::optional<duration> retryAfter; // retry with the same key after this time
    upstream_id owner; // if the code is notOwner
    std::string ownerName;
};

/// Call ledger.settle at the shard's new owner. Its result is a forward_answered event.
struct forward_settlement {
    claim_ref claim;
    std::string owner; // upstream name
    ledger_event::settlement_requested request;
};

struct reply_settlement {
    std::uint64_t settlementId = 0;
    settle_result result = settle_result::unavailable;
    std::string owner; // upstream name if the result is notOwner
};

} // namespace ledger_effect

struct ledger_options {
    std::string service; // name as in the configuration
    std::string self; // upstream name of this agent
    std::uint32_t shards = 4;
    duration horizon = std::chrono::hours(1);
    bool checksKeys = false; // the service itself executes an idempotency key at most once
    std::uint64_t nonceSeed = 1; // random at each process start, because nonces must not repeat after a restart
    duration commitInterval = std::chrono::milliseconds(200); // between the commits of a shard, apart from bursts
    std::size_t sealThresholdBytes = 32'768; // final entries of a larger head move to a sealed segment, so commits stay small
    // Longest time that a request waits for a commit or a take-over. A claim whose commit took longer is never sent.
    duration commitTimeout = std::chrono::seconds(1);
    // Commits that may follow each other without delay after an idle time. With 2, the outcome of a single booking is
    // stored without waiting for commitInterval; the average commit rate is the same.
    std::uint32_t commitBurst = 2;
    duration platformRetryDelay = std::chrono::milliseconds(500); // between calls while the platform is not available
};

/// Safety rules of the ledger. Tests disable single rules to verify that their oracle detects the resulting fault.
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

/// An entry with an unknown outcome, as listed for operators.
struct unknown_booking {
    std::uint32_t shard = 0;
    ledger_entry entry;
};

struct ledger_counts {
    std::uint64_t commits = 0; // conditional head writes, including repeated ones
    std::uint64_t segments = 0; // sealed segments written
    std::uint64_t reads = 0;
    std::uint64_t deletes = 0;
    std::size_t ownedShards = 0;
    std::size_t entries = 0; // in memory
    std::size_t unknown = 0; // entries with an unknown outcome
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

    /// Time at which the next tick is needed; nothing while idle. Additional ticks are harmless.
    std::optional<time_point> nextTick() const;

    /// Entries with an unknown outcome in the shards that this agent owns.
    std::vector<unknown_booking> unknownBookings() const;

    ledger_counts counts() const;

    /// Whether a shard that this agent owns has an entry for the key, so that a repeated request is answered from it.
    /// @param key Value of Idempotency-Key.
    bool contains(const std::string &key) const;

private:
    wall_time wallTimeAt(time_point now) const;

    wall_time m_lastWallTime {}; // wall time carried by the newest event that has one
    time_point m_lastWallTimeAt; // monotonic time of that event
    std::unique_ptr<ledger_options> m_options; // referenced by the shards
    std::unique_ptr<std::vector<upstream_id>> m_live; // sorted; referenced by the shards
    std::vector<std::unique_ptr<detail::ledger_shard<Policy>>> m_shards;
};

using ledger_core = basic_ledger_core<strict_ledger_policy>;

extern template class basic_ledger_core<strict_ledger_policy>;

} // namespace nutmegtally
