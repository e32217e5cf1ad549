// Admission control reducer of an agent: the hard load bound, the adaptive concurrency window, the queue by class
// priority, fair share and deadline, early refusal, closed failure domains and draining. The agent sees all traffic of
// its upstream, so every hard limit is enforced here.
#pragma once

#include <nutmegtally/admission_queue.h>
#include <nutmegtally/concurrency_window.h>
#include <nutmegtally/fleet_config.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/token_pace.h>
#include <nutmegtally/work.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace nutmegtally
{

namespace admission_event
{

struct config_changed {
    fleet_config_ptr config;
};

/// A router offers an attempt for admission.
struct work_offered {
    attempt_ref attempt;
    request_info info;
    mean_load_estimate mean; // the router's estimate
    std::uint32_t expectedCachedTokens = 0;
};

struct first_token {
    attempt_ref attempt;
};

/// A running answer produced another token.
struct token {
    attempt_ref attempt;
};

/// Progress of a running answer. Daemons post it with each keepalive, so that the time between tokens is known before
/// the answer ends.
struct progress {
    attempt_ref attempt;
    std::uint32_t generatedTokens = 0; // so far
};

/// The upstream answered or failed.
struct work_finished {
    attempt_ref attempt;
    bool ok = true;
    std::uint32_t generatedTokens = 0;
};

/// The caller or its router has disconnected.
struct work_cancelled {
    attempt_ref attempt;
};

/// The upstream has a new incarnation; its caches are empty.
struct upstream_restarted {
    std::uint64_t incarnation = 0;
};

/// Load reported by the upstream itself, which lags behind.
struct upstream_load_reported {
    std::uint32_t running = 0;
};

/// Mean load received by dissemination, for classes with little traffic.
struct mean_load_reported {
    mean_load_estimate mean;
};

struct drain_requested {
};

/// The agent stops draining and accepts work again, for example after an aborted replacement.
struct drain_aborted {
};

struct tick {
};

} // namespace admission_event

namespace admission_effect
{

/// Send the work to the upstream now.
struct start_work {
    attempt_ref attempt;
    unsigned priority = 0; // engine priority, 0 is served first; 10 and above for accounts over their fair share
};

/// Final answer to the router: no byte was sent to the upstream.
struct refuse_work {
    attempt_ref attempt;
    refusal reason;
};

/// Cancel the work at the upstream.
struct cancel_work {
    attempt_ref attempt;
};

/// A drain has finished: nothing runs and nothing waits.
struct drained {
};

} // namespace admission_effect

struct admission_options {
    domain_id domain;
    std::uint64_t incarnation = 1;
    std::uint32_t initialWindow = 2; // requests; a cold upstream can serve only a few at once
    std::uint32_t maxWindow = 256; // requests
    double windowGrowth = 1.5; // factor per interval with good latency
    duration windowInterval = std::chrono::seconds(1);
    double latencyJump = 3.0; // a time to first token above this multiple of the usual one is a jump; enough jumps collapse the window
    std::uint32_t loadFloor = 4; // requests that are within the load bound whatever the mean load, so that an idle fleet can start
    std::uint32_t maxQueue = 512; // requests
    bool enforceLoadBound = true; // false only to measure limits enforced by routers alone
};

class admission_core
{
public:
    using event
        = std::variant<admission_event::config_changed, admission_event::work_offered, admission_event::first_token, admission_event::token,
                       admission_event::progress, admission_event::work_finished, admission_event::work_cancelled,
                       admission_event::upstream_restarted, admission_event::upstream_load_reported, admission_event::mean_load_reported,
                       admission_event::drain_requested, admission_event::drain_aborted, admission_event::tick>;
    using effect = std::variant<admission_effect::start_work, admission_effect::refuse_work, admission_effect::cancel_work,
                                admission_effect::drained, log_record>;

    explicit admission_core(admission_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// Load report to attach to the next answer.
    load_report report(time_point now) const;

private:
    /// Queued work. No byte of it was sent to the upstream.
    struct queued_work {
        attempt_ref attempt;
        request_info info;
        std::uint32_t uncachedTokens = 0;
        time_point arrived;
        time_point startBy; // latest start that can still meet the target
        unsigned priority = 0;
    };

    /// Work at the upstream.
    struct running_work {
        account_id account;
        std::uint32_t uncachedTokens = 0;
        unsigned priority = 0; // as sent to the engine
        double load = 0; // prompt tokens to prefill at the start, of this request and those ahead of it
        time_point started;
        std::optional<time_point> firstTokenAt;
        time_point tokenAt; // time of the newest token; valid if firstTokenAt is set
        std::optional<duration> betweenTokensTarget;
        std::uint32_t seenTokens = 0; // tokens generated up to seenAt
        time_point seenAt;
    };

    void on(time_point now, const admission_event::config_changed &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::work_offered &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::first_token &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::token &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::progress &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::work_finished &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::work_cancelled &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::upstream_restarted &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::upstream_load_reported &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::mean_load_reported &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::drain_requested &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::drain_aborted &input, std::vector<effect> &effects);
    void on(time_point now, const admission_event::tick &input, std::vector<effect> &effects);

    bool isClosed() const;
    std::optional<error_code> refusalReason(time_point now, const queued_work &work, const class_config *entry);
    void refuse(time_point now, const attempt_ref &attempt, error_code code, std::vector<effect> &effects);
    void refuseQueue(time_point now, error_code code, std::vector<effect> &effects);
    void refuseOverdue(time_point now, std::vector<effect> &effects);
    bool mayStart(account_id account) const;
    double completionInterval() const;
    bool isProbe(time_point now, const queued_work &work) const;
    bool evictOverShare(time_point now, account_id arriving, std::vector<effect> &effects);
    void startQueued(time_point now, std::vector<effect> &effects);
    void start(time_point now, queued_work work, std::vector<effect> &effects);
    void checkDrained(std::vector<effect> &effects);
    double loadLimit(time_point now, const class_config *entry) const;
    duration expectedWait(const queued_work &work) const;
    double pendingPrefill(unsigned enginePriority) const;
    duration expectedPrefill(const queued_work &work) const;
    unsigned enginePriority(const queued_work &work) const;
    duration retryAfter() const;
    void addMeanLoad(time_point now, const mean_load_estimate &mean);
    double meanLoad(time_point now) const;
    std::uint32_t runningOf(account_id account) const;
    double fairShare(account_id account) const;
    double allowance(account_id account) const;
    bool isOverShare(account_id account) const;

    admission_options m_options;
    fleet_config_ptr m_config;
    std::map<attempt_ref, running_work> m_running;
    detail::fair_queue<queued_work> m_queue;
    std::map<account_id, std::uint32_t> m_runningByAccount;
    concurrency_window m_window;
    token_pace m_pace;
    std::uint32_t m_streamingAnswers = 0; // running answers that have their first token
    std::uint64_t m_incarnation;
    std::map<unsigned, time_point> m_lastStart; // by engine priority
    std::map<unsigned, std::uint64_t> m_pendingPrefill; // uncached prompt tokens of running work without a first token, by engine priority
    double m_meanSum = 0; // estimates weighted by their samples, exponentially decayed
    double m_meanWeight = 0;
    std::optional<time_point> m_meanAt;
    double m_serviceSeconds = 0; // time from start to end of work, moving average; 0 if not known
    std::uint32_t m_reportedRunning = 0;
    bool m_draining = false;
    bool m_drainReported = false;
};

} // namespace nutmegtally
