// Router reducer: chooses an upstream for each request, retries refused and failed attempts within a retry budget,
// damps flapping upstreams and estimates the mean load. It keeps no directory of chats; the routing token in each
// request identifies the engines that probably cache the chat.
#pragma once

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/placement.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/work.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace nutmegtally
{

namespace router_event
{

struct config_changed {
    fleet_config_ptr config;
};

/// An upstream was added or changed; upstream_state::gone removes it.
struct upstream_changed {
    upstream_info info;
};

struct load_reported {
    upstream_id upstream;
    load_report report;
};

/// Cache event of an engine. Events may be late or missing, so they only correct the expected length of a cached
/// prefix.
struct cache_reported {
    upstream_id upstream;
    chat_id chat;
    std::uint32_t cachedTokens = 0;
};

struct request_arrived {
    request_id request;
    request_info info;
};

/// The agent refused the attempt; no byte of it reached the upstream.
struct attempt_refused {
    attempt_ref attempt;
    refusal reason;
    upstream_id owner; // with notOwner: upstream whose agent owns the ledger shard; otherwise invalid
};

/// The attempt ended without a complete answer.
struct attempt_failed {
    attempt_ref attempt;
    run_state state = run_state::unknown; // notRun only if no byte reached the agent
    bool answerStarted = false; // at least one byte of the answer was sent to the caller
};

/// The first record of an answer arrived.
struct attempt_started {
    attempt_ref attempt;
    load_report report;
};

struct attempt_finished {
    attempt_ref attempt;
    load_report report;
    std::uint32_t cachedTokens = 0; // prompt tokens that the engine found in its cache
    std::uint32_t promptTokens = 0;
};

struct request_cancelled {
    request_id request;
};

struct tick {
};

} // namespace router_event

namespace router_effect
{

/// Send the request to the upstream's agent after the delay.
struct send_attempt {
    attempt_ref attempt;
    upstream_id upstream;
    duration delay {0};
    mean_load_estimate mean;
    std::uint32_t expectedCachedTokens = 0;
    std::string nextToken; // routing token to return with the answer
};

/// Answer the request with this error; no further attempt is made.
struct reply_error {
    request_id request;
    error_code code = error_code::internal;
    run_state state = run_state::notRun;
    std::optional<duration> retryAfter;
};

struct cancel_attempt {
    attempt_ref attempt;
};

} // namespace router_effect

/// Limits of a router that are settings, not fleet configuration.
struct router_options {
    std::uint64_t seed = 1; // jitter and sampling
    region_id region; // region of this router; other regions are used only if it has no usable upstream
    std::size_t candidates = 4;
    double retryBudgetShare = 0.10; // retries per success
    double retryBudgetFloor = 3; // retries allowed without any success
    unsigned maxAttempts = 3;
    duration retryJitter = std::chrono::milliseconds(50); // upper bound of the random delay before the second and later retries
    duration loadReportLifetime = std::chrono::seconds(10);
    duration flapHalfLife = std::chrono::seconds(30);
};

namespace detail
{

/// Input of one placement decision, which the policy makes.
struct placement_job {
    request_id request;
    const upstream_pool *pool = nullptr;
    placement_request input;
    duration delay {0};
    std::optional<refusal> originalRefusal; // of a retry: returned as the final answer if the retry would miss the target too
    duration target {0}; // time to first token; 0 for no target
    bool isService = false; // plain services have no prefix cache, so they use power of two choices
};

/// Part of the router core that does not depend on the placement policy.
class router_base
{
public:
    using event = std::variant<router_event::config_changed, router_event::upstream_changed, router_event::load_reported,
                               router_event::cache_reported, router_event::request_arrived, router_event::attempt_refused,
                               router_event::attempt_failed, router_event::attempt_started, router_event::attempt_finished,
                               router_event::request_cancelled, router_event::tick>;
    using effect = std::variant<router_effect::send_attempt, router_effect::reply_error, router_effect::cancel_attempt, log_record>;

    explicit router_base(router_options options);

    /// @return Placement decision that the event requires, if any. The caller passes the chosen slot to
    /// applyPlacement().
    std::optional<placement_job> handle(time_point now, const event &input, std::vector<effect> &effects);

    /// @param slot Index in the job's pool, or noSlot.
    void applyPlacement(time_point now, const placement_job &job, std::size_t slot, std::vector<effect> &effects);

    random_source &random()
    {
        return m_random;
    }

    mean_load_estimate meanOf(time_point now, const request_info &info);
    const upstream_pool *findPool(model_id model, service_id service) const;

private:
    struct pool_key {
        std::uint64_t target = 0; // model or service
        region_id region;

        auto operator<=>(const pool_key &) const = default;
    };

    /// One request from its arrival to its last answer record.
    struct request_state {
        request_info info;
        std::uint32_t attempts = 0;
        upstream_id upstream; // of the current attempt
        std::vector<upstream_id> tried;
        std::uint32_t uncachedTokens = 0; // expected for the current attempt
        std::uint32_t cachedTokens = 0; // expected for the current attempt
        std::uint32_t retries = 0; // charged to the retry budget
        bool mayHaveReachedUpstream = false; // an attempt may have reached an upstream
        bool started = false; // the answer of the current attempt has started
    };

    /// Pool and slot index of an upstream. Removing an upstream moves another slot, so indices are looked up by
    /// upstream id.
    struct slot_ref {
        pool_key pool;
        std::size_t slot = 0;
    };

    /// Flap penalty of an upstream. It outlives the slot, because a flapping upstream leaves the pool each time.
    struct flap_record {
        double penalty = 0;
        time_point at;
    };

    struct cache_hint {
        chat_id chat;
        upstream_id upstream;
        std::uint32_t cachedTokens = 0;
    };

    using placement = std::optional<placement_job>;

    placement on(time_point now, const router_event::config_changed &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::upstream_changed &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::load_reported &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::cache_reported &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::request_arrived &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::attempt_refused &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::attempt_failed &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::attempt_started &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::attempt_finished &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::request_cancelled &input, std::vector<effect> &effects);
    placement on(time_point now, const router_event::tick &input, std::vector<effect> &effects);

    pool_key keyOf(std::uint64_t target, region_id region) const;
    upstream_pool *poolFor(const request_info &info);
    upstream_slot *slotOf(upstream_id upstream);
    void addSlot(time_point now, const upstream_info &info);
    void removeSlot(time_point now, upstream_id upstream);
    void refreshUsable(time_point now);
    void refreshUsable(time_point now, upstream_pool &pool);
    void refreshLoad(time_point now, upstream_id upstream);
    const mean_load_estimate &refreshMean(time_point now, upstream_pool &pool);
    void applyLoadReport(time_point now, upstream_id upstream, const load_report &report);
    void addFlapPenalty(time_point now, upstream_id upstream, std::vector<effect> &effects);
    void releaseAttempt(time_point now, request_state &request);

    request_state *currentAttempt(const attempt_ref &attempt);
    placement_job makePlacementJob(time_point now, request_id request, const request_state &state, upstream_pool &pool, duration delay);
    placement retry(time_point now, request_id request, request_state &state, const refusal &reason, std::vector<effect> &effects);
    bool consumeRetryBudget(time_point now, request_id request, request_state &state, std::vector<effect> &effects);
    void sendTo(time_point now, request_id request, request_state &state, upstream_id upstream, duration delay,
                std::vector<effect> &effects);
    void finishWithError(request_id request, error_code code, run_state state, std::optional<duration> retryAfter,
                         std::vector<effect> &effects);
    void decayBudget(time_point now);
    upstream_id shardOwner(const request_info &info) const;

    router_options m_options;
    random_source m_random;
    fleet_config_ptr m_config;
    std::map<pool_key, upstream_pool> m_pools;
    std::unordered_map<upstream_id, slot_ref> m_slotRefs;
    std::unordered_map<upstream_id, flap_record> m_flaps;
    std::unordered_map<request_id, request_state> m_requests;
    std::set<std::pair<time_point, request_id>> m_deadlines;
    std::map<std::pair<service_id, unsigned>, upstream_id> m_shardOwners; // learned from notOwner refusals
    std::vector<cache_hint> m_cacheHints; // fixed-size table, direct-mapped by chat id
    double m_successes = 0; // decayed
    double m_retries = 0; // decayed
    time_point m_budgetAt;
    std::uint64_t m_poolVersion = 0;
};

} // namespace detail

/// @tparam Policy Placement policy, see placement.h.
template<placement_policy Policy>
class basic_router_core
{
public:
    using event = detail::router_base::event;
    using effect = detail::router_base::effect;

    explicit basic_router_core(router_options options, Policy policy = Policy())
        : m_base(options)
        , m_policy(std::move(policy))
    {
    }

    void apply(time_point now, const event &input, std::vector<effect> &effects)
    {
        const std::optional<detail::placement_job> job = m_base.handle(now, input, effects);
        if (!job) {
            return;
        }
        const std::size_t slot = job->isService ? power_of_two_policy().choose(*job->pool, job->input, m_base.random())
                                                : m_policy.choose(*job->pool, job->input, m_base.random());
        m_base.applyPlacement(now, *job, slot, effects);
    }

    /// Mean load of the upstreams that can serve this request, as sent with attempts and by dissemination.
    mean_load_estimate meanOf(time_point now, const request_info &info)
    {
        return m_base.meanOf(now, info);
    }

    /// The router's view of the upstreams of a model or service, or null. For status output and measurements.
    const upstream_pool *findPool(model_id model, service_id service = {}) const
    {
        return m_base.findPool(model, service);
    }

private:
    detail::router_base m_base;
    Policy m_policy;
};

/// Router core with the placement policy used in production.
using router_core = basic_router_core<affinity_policy>;

} // namespace nutmegtally
