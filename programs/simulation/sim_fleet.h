// Small driver that runs the real reducers of several routers and agents in virtual time, with delays, lost
// connections and engine models. Used by the policy benchmark and the scenario runner. It is no cluster simulator:
// membership and configuration reach each process by a drawn delay, without dissemination.
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
    duration maxPropagationDelay = std::chrono::milliseconds(2500); // longest delay of configuration and membership
    double loss = 0.0005; // attempts that a broken connection loses; the router sees it as unknown
    sim_engine_options engine;
    bool sharedCache = false; // one prefix cache for all engines, which no crash clears: an ideal placement
    admission_options admission;
    router_options router;
    fleet_config_ptr config; // its domains are filled in by name d0, d1, ...
    std::function<void(unsigned engine, request_id request)> workStarted; // called when an engine gets work; may be empty
};

/// Names of the policies, in the order of the report.
const std::vector<std::string> &policyNames();

/// End of one request as its client sees it.
struct sim_outcome {
    bool ok = false;
    error_code code = error_code::internal; // if not ok
    run_state state = run_state::notRun;
    duration firstToken {0};
    duration betweenTokens {0};
    duration total {0};
    std::uint32_t cachedTokens = 0;
    std::string token; // routing token for the next turn
};

/// Counters that need the view of the whole fleet.
struct sim_counters {
    std::uint64_t startsInClosedDomains = 0; // work started at a domain more than 3 s after its closure
    std::uint64_t windowViolations = 0; // more running than the window when work started
    std::uint64_t coldFailures = 0; // failures of cold engines under load
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> agentRefusals; // by code
    std::vector<float> admissionSkew; // load after an admission above the floor, as a multiple of the mean
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

    /// A client sends a request now. @param outputTokens Length of the answer.
    request_id submit(request_info info, std::uint32_t outputTokens, finished_handler finished);

    void setDomainOpen(unsigned domain, bool open);

    /// The engine process restarts: running work fails, the cache is lost, the agent stays.
    void restartEngine(unsigned engine, duration downTime);

    /// The VM vanishes with agent and engine, and comes back with a new incarnation.
    void restartVm(unsigned engine, duration downTime);

    /// The VM is shut down gracefully: its agent drains, then it is away for the time and comes back.
    void drainVm(unsigned engine, duration downTime);

    /// A warm engine becomes slow without a new incarnation.
    void returnToColdStart(unsigned engine);

    /// Share of the attempts that a broken connection loses from now on.
    void setLoss(double loss)
    {
        m_options.loss = loss;
    }

    /// Running and queued requests per engine that is up and in an open domain.
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
    std::vector<std::optional<time_point>> m_closedAt; // by domain
    std::shared_ptr<fleet_config> m_config;
    std::shared_ptr<prefix_cache> m_sharedCache;
    sim_counters m_counters;
    std::uint64_t m_nextRequest = 1;
    unsigned m_tick = 0;
};

} // namespace nutmegtally
