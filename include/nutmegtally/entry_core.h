// Request handling of a router that serves without agents: accepts or refuses each request, chooses its upstream, and decides
// on retries and timeouts. A reducer: events carry the time, and the serving loop owns the sockets.
#pragma once

#include <nutmegtally/admission_order.h>
#include <nutmegtally/answer_framing.h>
#include <nutmegtally/attempt_failure.h>
#include <nutmegtally/cache_recovery.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/prompt_quarantine.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/request_limits.h>
#include <nutmegtally/retry_budget.h>
#include <nutmegtally/rollout_control.h>
#include <nutmegtally/traffic_rules.h>
#include <nutmegtally/upstream_set.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// Number of one request at this router. Never reused.
using exchange_id = std::uint64_t;

/// Properties of a request that the decisions use.
struct request_summary {
    std::string requestId; // the caller's
    std::string host;
    std::string path;
    std::optional<std::string> key; // the caller's credential
    duration deadline {0}; // time that the caller will wait, from the arrival on
    prompt_parts parts;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // upper bound of the generated tokens
};

/// Complete answer of an upstream, or the head of a stream.
struct answer_summary {
    int status = 0;
    bool notRun = false; // the upstream states that it did not run the request
    bool isSigned = false; // carries the upstream's signature
    std::optional<upstream_load> load;
    bool isLeaving = false; // the upstream is shutting down
    std::optional<duration> pauseFor = std::nullopt; // the upstream asks this router to send no requests for this time
    std::optional<double> requestsPerSecond = std::nullopt; // that the upstream states to take from all routers together
    std::string unreadableLimit {}; // beginning of such a statement that is no figure
    std::string unreadableTime {}; // beginning of a time in its load that is no figure, or 0
};

/// Where and how the body of an answer ended.
struct answer_end {
    answer_framing framing = answer_framing::length;
    std::uint64_t unfinishedBytes = 0; // after the last complete event of an event stream; 0 for other bodies
};

/// Final answers that a router gives itself.
enum class refusal_reason : std::uint8_t {
    noRules, // no configuration yet
    noRoute,
    unknownKey,
    noUpstream, // not run
    noRoom, // not run
    quarantined, // not run: its prompt has a part that crashes engines
    upstreamRefused, // not run, as the upstream stated
    draining, // not run
    timeoutNotRun, // timed out before it was sent
    timeoutUnknown, // timed out after it was sent; may have run
    upstreamFailed, // may have run
    count
};

struct refusal_info {
    refusal_reason reason;
    std::string_view name;
    int status;
    bool promisesNotRun;
};

inline constexpr auto refusalTable = std::to_array<refusal_info>({
    {refusal_reason::noRules, "no_rules", 503, true},
    {refusal_reason::noRoute, "no_route", 404, true},
    {refusal_reason::unknownKey, "unknown_key", 401, true},
    {refusal_reason::noUpstream, "no_upstream", 503, true},
    {refusal_reason::noRoom, "no_room", 503, true},
    {refusal_reason::quarantined, "quarantined", 503, true},
    {refusal_reason::upstreamRefused, "upstream_refused", 503, true},
    {refusal_reason::draining, "draining", 503, true},
    {refusal_reason::timeoutNotRun, "timeout_not_run", 503, true},
    {refusal_reason::timeoutUnknown, "timeout_unknown", 504, false},
    {refusal_reason::upstreamFailed, "upstream_failed", 502, false},
});

static_assert(refusalTable.size() == static_cast<std::size_t>(refusal_reason::count));

constexpr const refusal_info &infoOf(refusal_reason reason)
{
    return refusalTable[static_cast<std::size_t>(reason)];
}

struct entry_options {
    std::string name; // of this router
    std::string domain;
    retry_bounds retries;
    bool queriesCaches = false; // engines may have prompts cached from before this router's start: ask them for their lists
    mechanism_set mechanisms {};
    std::optional<rollout_bounds> rollouts = std::nullopt; // nothing: upstreams of all versions are used alike, and orders are ignored
};

namespace entry_event
{

struct rules_changed {
    std::shared_ptr<const traffic_rules> rules;
};

struct upstream_listed {
    upstream_record record;
};

struct upstream_unlisted {
    std::string instance;
    duration grace {0}; // as in upstream_set::unlist
};

struct closures_changed {
    std::vector<std::string> domains;
};

struct routers_changed {
    std::vector<std::string> live;
};

/// This router became a leader of its failure domain, or stepped down.
struct role_changed {
    bool isLeader = false;
};

struct request_received {
    exchange_id exchange = 0;
    request_summary request;
};

struct caller_left {
    exchange_id exchange = 0;
};

/// A load update of another router was received.
struct load_update_received {
    load_update update;
    bool isCounted = true; // false if another update counts the same requests
    bool isSubstitute = false; // not counted, but of the same scope: from a leader that does not reach the object API
    std::string covers {}; // whose requests it counts, the same for all leaders of a domain; empty for the source's
};

/// Another router reported where prompts are cached.
struct prompt_locations_received {
    std::vector<prompt_location> prompts;
};

/// An engine listed the prompt parts that it has cached.
struct held_parts_read {
    std::string instance;
    prompt_parts parts;
};

/// The upstream has got past the beginning of its answer, of which more is to come.
struct answer_progressed {
    exchange_id exchange = 0;
};

/// Result of check_upstream.
struct upstream_checked {
    upstream_number upstream = noUpstreamNumber;
    bool isDown = false; // refuses connections
};

/// Evidence of other routers on prompt parts that crash engines.
struct part_evidence_received {
    std::vector<part_evidence> evidence;
};

/// An operator releases a prompt part from quarantine.
struct part_released {
    std::uint64_t part = 0;
};

/// Limits of upstreams that another router heard of.
struct limits_received {
    std::vector<limit_statement> statements;
};

/// Another router asks this one for a permit.
struct permit_requested {
    std::string router; // name of the other
    permit_request request;
};

/// Another router answered a permit_request.
struct permit_answered {
    permit_answer answer;
};

/// A complete answer, or the head of a stream, was received.
struct answer_received {
    exchange_id exchange = 0;
    answer_summary answer;
};

/// An engine did not list its cached parts.
struct held_parts_unread {
    std::string instance;
};

struct attempt_failed {
    exchange_id exchange = 0;
    attempt_failure failure = attempt_failure::lost;
};

/// The connection of a relayed stream ended before the stream was complete. On a route that may be resumed the caller got only whole
/// events, else perhaps a part of the last one.
struct stream_broken {
    exchange_id exchange = 0;
    attempt_failure failure = attempt_failure::lost;
    answer_end end {};
};

/// The last byte of the answer was sent to the caller.
struct answer_finished {
    exchange_id exchange = 0;
    answer_end end {};
};

/// An order for a rollout, or its status, is new or has changed.
struct rollout_ordered {
    rollout_order order;
};

/// The object of an order was deleted.
struct rollout_withdrawn {
    std::string service;
};

/// This router knows all orders up to a revision of the object store.
struct rollouts_verified {
    store_revision asOf;
};

/// Result of write_rollout_status.
struct rollout_status_answered {
    std::string service;
    rollout_write_result result = rollout_write_result::unknown;
};

/// This router's rules, upstreams and closures are as new as those of another router or of the object API.
struct state_verified {
};

struct drain_requested {
};

/// Sent a few times a second, and more often while requests wait.
struct tick {
};

} // namespace entry_event

namespace entry_effect
{

/// Send the request to an upstream.
struct start_attempt {
    exchange_id exchange = 0;
    std::string instance; // the only one that may run the request
    std::string address;
    duration timeLeft {0}; // until the request times out
    int priority = 0;
    std::string account; // empty on public routes
    bool isStream = false;
    bool isResumable = false;
    bool isResume = false; // continue the stream after the last event that the caller got
    std::string fetchFrom; // address of an upstream that has more of the prompt cached; empty for none
};

/// Close the upstream connection of the running attempt.
struct stop_attempt {
    exchange_id exchange = 0;
};

struct relay_answer {
    exchange_id exchange = 0;
};

/// Ask an engine for the prompt parts that it has cached.
struct list_held_parts {
    std::string instance;
    std::string address;
};

/// Find out whether an upstream that broke off an answer still accepts connections.
struct check_upstream {
    upstream_number upstream = noUpstreamNumber;
    std::string address;
};

/// Send a message about a permit to another router. It may be lost.
struct send_permit_message {
    std::string router; // name of the other
    std::variant<permit_request, permit_answer> message;
};

/// Write the status of an order, on condition that its object has not changed since the order's revision.
struct write_rollout_status {
    rollout_order order;
    rollout_status status = rollout_status::trial;
};

/// Send a final answer of this router. Ends the exchange.
struct refuse {
    exchange_id exchange = 0;
    refusal_reason reason = refusal_reason::upstreamFailed;
    std::optional<duration> retryAfter;
};

/// Close the caller's connection within an answer that cannot be completed, so that the caller sees that it is incomplete. Ends
/// the exchange.
struct cut_answer {
    exchange_id exchange = 0;
};

} // namespace entry_effect

/// Outcome of a finished request, for metrics.
struct exchange_report {
    request_kind kind = request_kind::nonIdempotent;
    std::string_view outcome; // "answered", "refused", "cut" or "left"
    std::string_view reason; // name of the refusal
    duration took {0};
};

class entry_core
{
public:
    using event = std::variant<
        entry_event::rules_changed, entry_event::upstream_listed, entry_event::upstream_unlisted, entry_event::closures_changed,
        entry_event::routers_changed, entry_event::role_changed, entry_event::request_received, entry_event::caller_left,
        entry_event::load_update_received, entry_event::prompt_locations_received, entry_event::held_parts_read,
        entry_event::held_parts_unread, entry_event::answer_received, entry_event::attempt_failed, entry_event::stream_broken,
        entry_event::answer_finished, entry_event::answer_progressed, entry_event::upstream_checked, entry_event::part_evidence_received,
        entry_event::part_released, entry_event::limits_received, entry_event::permit_requested, entry_event::permit_answered,
        entry_event::rollout_ordered, entry_event::rollout_withdrawn, entry_event::rollouts_verified, entry_event::rollout_status_answered,
        entry_event::state_verified, entry_event::drain_requested, entry_event::tick>;
    using effect
        = std::variant<entry_effect::start_attempt, entry_effect::stop_attempt, entry_effect::relay_answer, entry_effect::list_held_parts,
                       entry_effect::check_upstream, entry_effect::send_permit_message, entry_effect::write_rollout_status,
                       entry_effect::refuse, entry_effect::cut_answer, exchange_report, log_record>;

    explicit entry_core(entry_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// Number of requests that were received and whose answer is not finished.
    std::size_t openExchanges() const
    {
        return m_exchanges.size();
    }

    bool hasRules() const
    {
        return m_rules != nullptr;
    }

    const traffic_rules *rules() const
    {
        return m_rules.get();
    }

    /// False while this router knows only the cached prompts of its own requests since its start.
    bool hasCacheState(time_point now) const
    {
        return m_cacheRecovery.isOver(now);
    }

    /// As upstream_set::takePrompts().
    upstream_set::outgoing_prompts takePrompts()
    {
        return m_upstreams.takePrompts();
    }

    /// There is something that other routers should soon know.
    bool hasAnnouncements() const
    {
        return m_upstreams.hasPromptsToAnnounce() || m_quarantine.hasNews() || m_limits.hasNews();
    }

    /// As request_limits::takeStatements().
    std::vector<limit_statement> takeLimits(time_point now)
    {
        return m_limits.takeStatements(now);
    }

    /// Upstreams of one service that state limits.
    struct limited_service {
        std::size_t upstreams = 0;
        double perSecond = 0; // sum of their limits
    };

    /// The limits in force, by service.
    std::map<std::string, limited_service> limitedServices() const;

    std::size_t quarantinedParts(time_point now) const
    {
        const std::vector<part_verdict> verdicts = m_quarantine.verdicts(now);
        return static_cast<std::size_t>(std::count_if(
            verdicts.begin(), verdicts.end(), [](const part_verdict &each) { return each.standing == part_standing::quarantined; }));
    }

    const prompt_quarantine &quarantine() const
    {
        return m_quarantine;
    }

    /// As prompt_quarantine::evidence(), for a message to other routers.
    std::vector<part_evidence> takeEvidence(time_point now)
    {
        m_quarantine.noteShared();
        return m_quarantine.evidence(now);
    }

    const rollout_control &rollouts() const
    {
        return m_rollouts;
    }

    const admission_order &admission() const
    {
        return m_order;
    }

    const upstream_set &upstreams() const
    {
        return m_upstreams;
    }

private:
    enum class phase : std::uint8_t {
        waiting, // no attempt is running
        sent, // an attempt is running and has no answer yet
        relaying, // the answer is being relayed to the caller
    };

    /// Placement of a request that is sent when the issuer of the upstream's permits agrees.
    struct permit_wait {
        std::uint64_t number = 0; // of the permit_request
        placement choice;
        std::string issuer;
        time_point until; // then the issuer counts as silent
    };

    enum class permit_result : std::uint8_t {
        granted,
        denied, // the upstream is held back for a time
        asked, // the answer comes as permit_answered
    };

    struct exchange {
        request_summary request;
        std::shared_ptr<const traffic_rules> rules; // version under which it was accepted
        const route_rule *route = nullptr; // in rules
        std::string account;
        int priority = 0;
        std::string service;
        time_point arrivedAt;
        time_point deadlineAt; // the caller's deadline
        time_point timeoutAt; // the route's timeout, or the deadline if that is sooner
        time_point queueUntil; // refused if it is still waiting then
        time_point heldUntil; // it is held back until then while more urgent requests wait at other routers
        bool isHeldBack = false; // with placement_outcome::awaitsTurn: for such requests
        bool isReturned = false; // its caller was told to come back at about the time of its arrival
        time_point sentAt;
        phase state = phase::waiting;
        upstream_number upstream = noUpstreamNumber; // of the running attempt
        std::uint64_t prefillTokens = 0; // of the running attempt, as in its placement
        attempt_size size; // of the running attempt
        duration expectedTime {0}; // to the answer of the running attempt, or to its first event
        bool isVersionCounted = false; // the running attempt was counted for the version of its upstream
        bool isCountedGood = false; // as a good answer
        bool awaitsFirstEvent = false; // the running attempt has no answer yet
        bool isPastStart = false; // the upstream of the running attempt has got past the beginning of its answer
        bool wasOverdue = false;
        bool isResume = false;
        unsigned sends = 0; // attempts of which something may have reached an upstream
        std::vector<upstream_number> tried;
        placement_outcome lastPlacement = placement_outcome::chosen;
        time_point pausedUntil; // with placement_outcome::allPaused or allLimited
        double limitedPerSecond = 0; // with placement_outcome::allLimited, as in placement
        std::optional<permit_wait> permit; // a permit was asked for, which state phase::waiting then waits for
        unsigned permitDenials = 0; // since it arrived or was last queued
        bool isSuccess = false; // the answer that is being relayed has a status of success
        upstream_number checkedUpstream = noUpstreamNumber; // until the check of it has ended, the request is not sent again
        bool isSuspected = false; // a part of the prompt is suspected to crash engines
        duration heldFor {0}; // with placement_outcome::quarantined or onTrial
        refusal_reason lastFailure = refusal_reason::noUpstream; // reason of a refusal if there is no further attempt
        std::optional<refusal_reason> mayHaveRun; // set once the outcome of an attempt is unknown; replaces reasons that promise "not run"
    };

    struct upstream_check {
        std::string instance;
        crash_id crash = 0; // its id, should the upstream have crashed
        std::vector<crash_suspect> suspects; // the answers that it broke off at their beginning
    };

    using exchanges = std::unordered_map<exchange_id, exchange>;

    void on(time_point now, const entry_event::rules_changed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::upstream_listed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::upstream_unlisted &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::closures_changed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::routers_changed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::role_changed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::request_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::caller_left &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::load_update_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::prompt_locations_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::held_parts_read &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::held_parts_unread &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::answer_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::attempt_failed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::stream_broken &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::answer_finished &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::answer_progressed &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::upstream_checked &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::part_evidence_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::part_released &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::limits_received &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::permit_requested &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::permit_answered &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::rollout_ordered &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::rollout_withdrawn &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::rollouts_verified &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::rollout_status_answered &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::state_verified &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::drain_requested &input, std::vector<effect> &effects);
    void on(time_point now, const entry_event::tick &input, std::vector<effect> &effects);

    log_line attemptLogLine(time_point now, const exchange &work) const;
    static void addAnswerEnd(log_line &line, const answer_end &end);
    void queryCaches(time_point now, std::vector<effect> &effects);
    /// True if a request with a prompt had better wait until it is known which engines have it cached.
    bool awaitsCacheState(time_point now, const exchange &work) const;
    /// False if a part of the prompt is quarantined, or suspected while another request with it is on trial.
    bool passesQuarantine(time_point now, exchange_id id, exchange &work);
    void recordSurvival(time_point now, const exchange &work, std::vector<effect> &effects);
    /// Checks an upstream that broke off an answer at its beginning: it may have crashed on the prompt. Call before the attempt ends.
    void checkUpstream(exchange &work, attempt_failure failure, std::vector<effect> &effects);
    /// As upstream_set::choose(), among the versions that rollouts allow.
    placement chooseAllowed(time_point now, placement_query &wanted, const exchange &work);
    /// False if rollouts no longer allow an upstream that was chosen a moment ago.
    bool mayUseVersion(time_point now, const exchange &work, upstream_number upstream);
    void noteVersionStart(exchange &work, const upstream_entry &upstream, const placement &choice);
    /// Takes the start of an attempt back whose upstream could not be reached.
    void noteVersionUnreachable(const exchange &work, attempt_failure failure);
    /// Counts the outcome of the running attempt for the version of its upstream, once.
    void countVersionAnswer(time_point now, exchange &work, answer_quality quality);
    void updateRollouts(time_point now, std::vector<effect> &effects);
    void recordLoad(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects);
    /// Records that the running attempt has a good answer.
    void noteGoodAnswer(time_point now, exchange &work, bool isSuccess);
    /// Learns from the time of the running attempt.
    /// @param isAtLeast There is no answer yet.
    void learnSpeed(time_point now, const exchange &work, bool isAtLeast);
    void logSpeeds(std::vector<effect> &effects);
    void logChanges(std::vector<effect> &effects);
    static void append(const std::vector<rollout_control::effect> &decisions, std::vector<effect> &effects);
    /// Goes on with a request whose upstream was checked.
    void followCheck(time_point now, exchange_id id, exchange &work, bool isDown, std::vector<effect> &effects);
    std::vector<exchange_id> openIds() const;
    void logQuarantine(std::vector<effect> &effects);
    /// Sends the request to an upstream, or asks for the permit to do so. @return False if neither is possible now.
    bool place(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects);
    void startAttempt(time_point now, exchange_id id, exchange &work, const placement &choice, std::vector<effect> &effects);
    static permit_claim claimOf(const exchange &work);
    permit_result obtainPermit(time_point now, exchange_id id, exchange &work, const placement &choice, std::vector<effect> &effects);
    /// Places a request again whose permit was denied or did not come.
    void placeAfterPermit(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects);
    void recordLimit(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects);
    /// True if a request is likely to get one of the permits that this router can count on while it waits.
    bool isPermitLikely(time_point now, const exchange &work) const;
    void logLimits(std::vector<effect> &effects);
    static admission_order::scheme schemeFor(const mechanism_set &mechanisms);
    static admission_request admissionOf(exchange_id id, const exchange &work);
    /// Finds out whether the caller of a new request was told to come back now, and how long the request may be held back.
    void noteArrival(time_point now, exchange_id id, exchange &work);
    /// Counts an attempt that is starting for the shares of accounts.
    void noteAdmission(time_point now, exchange_id id, const exchange &work);
    /// False if requests that come first wait. A request that was sent before does not wait again.
    bool isTurnOf(time_point now, exchange_id id, exchange &work) const;
    void reportAdmission(time_point now, std::vector<effect> &effects);
    /// Why a request waits after placing it failed; nothing if it does not wait.
    std::optional<wait_reason> waitReason(time_point now, const exchange &work) const;
    void placeOrWait(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects);
    void placeWaiting(time_point now, std::vector<effect> &effects);
    /// Refuses a request that was not sent, for the reason why it was not placed.
    void refuseUnplaced(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects);
    /// Time after which the caller of a refused request should come back.
    std::optional<duration> retryAfter(time_point now, exchange_id id, const exchange &work, refusal_reason reason);
    bool mayRetry(time_point now, exchange &work, std::vector<effect> &effects);
    void detectPause(time_point now, std::vector<effect> &effects);
    /// Applies what an answer says besides its status: that the upstream is leaving, asks for a pause, or states a limit.
    void applyUpstreamSignals(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects);
    void endAttempt(time_point now, exchange &work, attempt_result result);
    void checkTimeouts(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects);
    void refuse(time_point now, exchange_id id, exchange &work, refusal_reason reason, std::vector<effect> &effects);
    void cut(time_point now, exchange_id id, exchange &work, std::string_view why, std::vector<effect> &effects);
    void report(time_point now, const exchange &work, std::string_view outcome, std::string_view reason,
                std::vector<effect> &effects) const;
    void finish(exchange_id id);

    entry_options m_options;
    std::shared_ptr<const traffic_rules> m_rules; // never replaced by an older version
    upstream_set m_upstreams;
    std::map<std::string, retry_budget> m_retryBudgets; // by service
    exchanges m_exchanges;
    std::optional<time_point> m_drainingSince;
    std::optional<time_point> m_lastEventAt; // a long gap means that the process was paused, as ticks are frequent
    std::optional<time_point> m_unverifiedUntil; // after a pause of the process: upstreams may have left, keys may be revoked
    cache_recovery m_cacheRecovery;
    prompt_quarantine m_quarantine;
    std::unordered_map<std::uint64_t, exchange_id> m_trials; // by suspected part: the request that may be sent with it
    std::map<upstream_number, upstream_check> m_checks; // in progress
    rollout_control m_rollouts;
    admission_order m_order; // of the requests in phase::waiting that wait for an upstream, without those that wait for a permit or a check
    request_limits m_limits;
    std::uint64_t m_lastPermit = 0; // number of the last permit_request
    std::unordered_map<std::uint64_t, exchange_id> m_permits; // by number of the permit_request that is not answered
    bool m_announcesHeldParts = false; // other routers do not ask the same engines
};

} // namespace nutmegtally
