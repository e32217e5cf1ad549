// Runs the production reducers of several routers and agents in virtual time, with network delays, lost connections and
// engine models. Used by the policy benchmark and the scenario runner. Dissemination is not simulated: membership and
// configuration reach each process after a random delay.
#pragma once

#include "simulation/sim_engine.h"
#include "simulation/sim_queue.h"

#include <nutmegtally/admission.h>
#include <nutmegtally/router_core.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegtally
{

struct sim_fleet_options {
    std::uint64_t seed = 1;
    std::string policy = "affinity";
    unsigned engines = 9;
    unsigned domains = 3;
    unsigned routers = 4;
    duration latency = std::chrono::microseconds(1500); // one way between processes
    duration latencyJitter = std::chrono::microseconds(500);
    duration clientLatency = std::chrono::milliseconds(3); // one way
    duration maxPropagationDelay = std::chrono::milliseconds(2500); // upper bound of the random delay of configuration and membership
    double loss = 0.0005; // share of attempts lost to a broken connection; the router gets run_state::unknown
    sim_engine_options engine;
    bool sharedCache = false; // one prefix cache for all engines, kept across crashes; models an ideal placement
    admission_options admission;
    router_options router;
    fleet_config_ptr config; // domains d0, d1, ... are added to it
    std::function<void(unsigned engine, request_id request)> workStarted; // called when an engine gets work; may be empty
};

/// Names of the placement policies, in the order of the benchmark's report.
const std::vector<std::string> &policyNames();

/// Final result of a request as its client sees it.
struct sim_outcome {
    bool ok = false;
    error_code code = error_code::internal; // if not ok
    run_state state = run_state::notRun;
    duration firstToken {0};
    duration betweenTokens {0};
    duration total {0};
    std::uint32_t cachedTokens = 0;
    std::string token; // routing token to send with the next turn
};

/// Counters that only an observer of all processes can keep.
struct sim_counters {
    std::uint64_t startsInClosedDomains = 0; // work started in a domain more than 3 s after it was closed
    std::uint64_t windowViolations = 0; // starts at which more requests ran than the concurrency window allows
    std::uint64_t coldFailures = 0; // requests over the concurrency limit of a cold start
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> agentRefusals; // by code
    std::vector<float> admissionSkew; // load after an admission, as a multiple of the mean; only loads above the load floor
};

class sim_fleet
{
public:
    using finished_handler = std::function<void(const sim_outcome &)>;

    explicit sim_fleet(sim_fleet_options options);
    ~sim_fleet();
    sim_fleet(const sim_fleet &) = delete;
    sim_fleet &operator=(const sim_fleet &) = delete;

    sim_queue &queue()
    {
        return m_queue;
    }

    /// Sends a request as a client at the current time. @param outputTokens Length of the answer.
    request_id submit(request_info info, std::uint32_t outputTokens, finished_handler finished);

    void setDomainOpen(unsigned domain, bool open);

    /// Restarts the engine process: running work fails and the cache is cleared; the agent keeps running.
    void restartEngine(unsigned engine, duration downTime);

    /// Stops the VM without notice, with its agent and engine. It returns with a new incarnation after @p downTime.
    void restartVm(unsigned engine, duration downTime);

    /// Shuts the VM down gracefully: its agent drains, then the VM is down for @p downTime and returns.
    void drainVm(unsigned engine, duration downTime);

    /// Begins a cold start of the engine without a new incarnation.
    void returnToColdStart(unsigned engine);

    /// @param loss Share of the attempts that are lost to a broken connection from now on.
    void setLoss(double loss)
    {
        m_options.loss = loss;
    }

    /// Running and queued requests of each engine that is up and in an open domain.
    std::vector<unsigned> loads() const;

    bool isServing(unsigned engine) const;

    unsigned engineCount() const
    {
        return static_cast<unsigned>(m_agents.size());
    }

    void resetCounters();
    sim_counters counters() const;

private:
    struct router_process;
    struct agent_process;
    struct client_request;

    using router_event_type = detail::router_base::event;

    void postRouter(std::size_t router, const router_event_type &event);
    void postAgent(std::size_t agent, const admission_core::event &event);
    void handle(std::size_t router, const detail::router_base::effect &effect);
    void handle(std::size_t agent, const admission_core::effect &effect);
    void deliverAttempt(std::size_t router, const router_effect::send_attempt &send);
    void deliverToAgent(std::size_t agent, std::size_t router, const router_effect::send_attempt &send, const client_request &request);
    void publishUpstream(std::size_t agent, upstream_state state);
    void startAgentCore(std::size_t agent);
    void engineFirstToken(std::size_t agent, const sim_engine::sequence &work);
    void engineFinished(std::size_t agent, const sim_engine::sequence &work);
    void engineFailed(std::size_t agent, const sim_engine::sequence &work);
    void tickAgents();
    void tickRouters();
    void reply(request_id request, const sim_outcome &outcome);
    duration drawLatency();
    std::size_t routerOf(request_id request) const;
    std::size_t agentOf(upstream_id upstream) const;
    bool isOpen(std::size_t agent) const;

    sim_fleet_options m_options;
    sim_queue m_queue;
    random_source m_random;
    std::vector<std::unique_ptr<router_process>> m_routers;
    std::vector<std::unique_ptr<agent_process>> m_agents;
    std::unordered_map<request_id, client_request> m_requests;
    std::unordered_map<upstream_id, std::size_t> m_agentIndex;
    std::vector<std::optional<time_point>> m_closedAt; // by domain index; empty while the domain is open
    std::shared_ptr<fleet_config> m_config;
    std::shared_ptr<prefix_cache> m_sharedCache;
    sim_counters m_counters;
    std::uint64_t m_nextRequest = 1;
    unsigned m_tick = 0;
};

} // namespace nutmegtally
