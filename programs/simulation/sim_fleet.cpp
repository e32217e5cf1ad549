#include "simulation/sim_fleet.h"

#include <algorithm>
#include <stdexcept>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr unsigned ticksPerProgressReport = 5; // 500 ms, the interval of keepalives
constexpr duration closureGrace = std::chrono::seconds(3); // property P3: a closed domain gets no new work after this

using router_apply = std::function<void(time_point, const detail::router_base::event &, std::vector<detail::router_base::effect> &)>;

template<typename Policy>
router_apply makeRouter(const router_options &options)
{
    auto core = std::make_shared<basic_router_core<Policy>>(options);
    return [core](time_point now, const auto &event, auto &effects) { core->apply(now, event, effects); };
}

struct policy_entry {
    std::string name;
    router_apply (*make)(const router_options &);
};

template<typename... Policies>
std::vector<policy_entry> policyTable()
{
    return {policy_entry {std::string(Policies::name), makeRouter<Policies>}...};
}

const std::vector<policy_entry> &policies()
{
    static const std::vector<policy_entry> table
        = policyTable<random_policy, least_outstanding_policy, power_of_two_policy, consistent_hash_policy, rendezvous_policy,
                      bounded_rendezvous_policy, affinity_policy>();
    return table;
}

router_apply makeRouter(const std::string &policy, const router_options &options)
{
    for (const policy_entry &entry : policies()) {
        if (entry.name == policy) {
            return entry.make(options);
        }
    }
    throw std::invalid_argument("no policy '" + policy + "'; the policies are listed by --help");
}

} // namespace

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> result;
        for (const policy_entry &entry : policies()) {
            result.push_back(entry.name);
        }
        return result;
    }();
    return names;
}

struct sim_fleet::router_process {
    router_apply apply;
};

struct sim_fleet::agent_process {
    upstream_info info;
    unsigned domain = 0;
    bool isUp = true;
    std::unique_ptr<admission_core> core;
    std::unique_ptr<sim_engine> engine;

    struct agent_work {
        std::size_t router = 0;
        request_info info;
        std::uint32_t outputTokens = 0;
    };

    std::map<attempt_ref, agent_work> work;
    duration downTime {0}; // after a drain
};

struct sim_fleet::client_request {
    request_info info;
    std::uint32_t outputTokens = 0;
    time_point sentAt;
    std::optional<time_point> firstTokenAt;
    std::string token;
    finished_handler finished;
};

sim_fleet::sim_fleet(sim_fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_closedAt(m_options.domains)
    , m_config(std::make_shared<fleet_config>(*m_options.config))
{
    for (unsigned i = 0; i < m_options.domains; ++i) {
        const std::string name = "d" + std::to_string(i);
        m_config->domains[domain_id::fromName(name)] = {name, "r", domain_state::open, ""};
    }
    if (m_options.sharedCache) {
        m_sharedCache = std::make_shared<prefix_cache>(m_options.engine.cacheTokens * m_options.engines);
    }
    for (unsigned i = 0; i < m_options.routers; ++i) {
        router_options router = m_options.router;
        router.seed = mixHash(m_options.seed, i + 1);
        m_routers.push_back(std::make_unique<router_process>());
        m_routers.back()->apply = makeRouter(m_options.policy, router);
        postRouter(i, router_event::config_changed {m_config});
    }
    for (unsigned i = 0; i < m_options.engines; ++i) {
        auto agent = std::make_unique<agent_process>();
        agent->domain = i % m_options.domains;
        agent->info.name = "engine-" + std::to_string(i);
        agent->info.upstream = upstream_id::fromName(agent->info.name);
        agent->info.domain = domain_id::fromName("d" + std::to_string(agent->domain));
        agent->info.model = m_config->models.begin()->first;
        agent->info.incarnation = 1;
        m_agentIndex[agent->info.upstream] = i;
        m_agents.push_back(std::move(agent));
        startAgentCore(i);
        m_agents[i]->engine->skipColdStart();
        for (std::size_t r = 0; r < m_routers.size(); ++r) {
            postRouter(r, router_event::upstream_changed {m_agents[i]->info});
        }
    }
    m_queue.after(tickInterval, [this] { tickAgents(); });
    m_queue.after(tickInterval / 2, [this] { tickRouters(); });
}

sim_fleet::~sim_fleet() = default;

void sim_fleet::startAgentCore(std::size_t agent)
{
    agent_process &process = *m_agents[agent];
    admission_options admission = m_options.admission;
    admission.domain = process.info.domain;
    admission.incarnation = process.info.incarnation;
    process.core = std::make_unique<admission_core>(admission);
    if (!process.engine) {
        auto cache = m_sharedCache ? m_sharedCache : std::make_shared<prefix_cache>(m_options.engine.cacheTokens);
        process.engine = std::make_unique<sim_engine>(
            m_queue, m_options.engine,
            sim_engine::handlers {[this, agent](const auto &work) { engineFirstToken(agent, work); },
                                  [this, agent](const auto &work) { postAgent(agent, admission_event::token {work.attempt}); },
                                  [this, agent](const auto &work) { engineFinished(agent, work); },
                                  [this, agent](const auto &work) { engineFailed(agent, work); }},
            std::move(cache));
    }
    postAgent(agent, admission_event::config_changed {m_config});
}

duration sim_fleet::drawLatency()
{
    return m_options.latency + std::chrono::duration_cast<duration>(m_options.latencyJitter * m_random.fraction());
}

std::size_t sim_fleet::routerOf(request_id request) const
{
    return request.value() % m_routers.size();
}

std::size_t sim_fleet::agentOf(upstream_id upstream) const
{
    return m_agentIndex.at(upstream);
}

bool sim_fleet::isOpen(std::size_t agent) const
{
    return !m_closedAt[m_agents[agent]->domain];
}

bool sim_fleet::isServing(unsigned engine) const
{
    return m_agents[engine]->isUp && isOpen(engine);
}

std::vector<unsigned> sim_fleet::loads() const
{
    std::vector<unsigned> result;
    for (unsigned i = 0; i < m_agents.size(); ++i) {
        if (isServing(i)) {
            const load_report report = m_agents[i]->core->report(m_queue.now());
            result.push_back(report.running + report.queued);
        }
    }
    return result;
}

void sim_fleet::resetCounters()
{
    m_counters = {};
    for (const auto &agent : m_agents) {
        m_counters.coldFailures -= agent->engine->coldFailures();
    }
}

sim_counters sim_fleet::counters() const
{
    sim_counters result = m_counters;
    for (const auto &agent : m_agents) {
        result.coldFailures += agent->engine->coldFailures();
    }
    return result;
}

void sim_fleet::postRouter(std::size_t router, const router_event_type &event)
{
    std::vector<detail::router_base::effect> effects;
    m_routers[router]->apply(m_queue.now(), event, effects);
    for (const auto &effect : effects) {
        handle(router, effect);
    }
}

void sim_fleet::postAgent(std::size_t agent, const admission_core::event &event)
{
    std::vector<admission_core::effect> effects;
    m_agents[agent]->core->apply(m_queue.now(), event, effects);
    for (const auto &effect : effects) {
        handle(agent, effect);
    }
}

request_id sim_fleet::submit(request_info info, std::uint32_t outputTokens, finished_handler finished)
{
    const request_id request(m_nextRequest++);
    client_request &entry = m_requests[request];
    entry.info = std::move(info);
    entry.outputTokens = outputTokens;
    entry.sentAt = m_queue.now();
    entry.finished = std::move(finished);
    m_queue.after(m_options.clientLatency, [this, request] {
        postRouter(routerOf(request), router_event::request_arrived {request, m_requests.at(request).info});
    });
    return request;
}

void sim_fleet::handle(std::size_t router, const detail::router_base::effect &effect)
{
    std::visit(overloaded {[&](const router_effect::send_attempt &send) {
                               ++m_counters.attempts;
                               m_queue.after(send.delay + drawLatency(), [this, router, send] { deliverAttempt(router, send); });
                           },
                           [&](const router_effect::reply_error &error) {
                               sim_outcome outcome;
                               outcome.code = error.code;
                               outcome.state = error.state;
                               reply(error.request, outcome);
                           },
                           [&](const router_effect::cancel_attempt &cancel) {
                               m_queue.after(drawLatency(), [this, cancel] {
                                   for (std::size_t i = 0; i < m_agents.size(); ++i) {
                                       if (m_agents[i]->work.contains(cancel.attempt)) {
                                           postAgent(i, admission_event::work_cancelled {cancel.attempt});
                                       }
                                   }
                               });
                           },
                           [](const log_record &) {}},
               effect);
}

void sim_fleet::deliverAttempt(std::size_t router, const router_effect::send_attempt &send)
{
    const auto request = m_requests.find(send.attempt.request);
    if (request == m_requests.end()) {
        return;
    }
    const std::size_t agent = agentOf(send.upstream);
    if (!m_agents[agent]->isUp) {
        m_queue.after(drawLatency(), [this, router, send] {
            postRouter(router, router_event::attempt_failed {send.attempt, run_state::notRun, false});
        });
        return;
    }
    if (m_random.fraction() < m_options.loss) {
        m_queue.after(drawLatency(), [this, router, send] {
            postRouter(router, router_event::attempt_failed {send.attempt, run_state::unknown, false});
        });
        return;
    }
    request->second.token = send.nextToken;
    deliverToAgent(agent, router, send, request->second);
}

void sim_fleet::deliverToAgent(std::size_t agent, std::size_t router, const router_effect::send_attempt &send,
                               const client_request &request)
{
    admission_event::work_offered offered;
    offered.attempt = send.attempt;
    offered.info = request.info;
    offered.mean = send.mean;
    offered.expectedCachedTokens = send.expectedCachedTokens;
    m_agents[agent]->work[send.attempt] = {router, request.info, request.outputTokens};
    postAgent(agent, offered);
    if (!m_agents[agent]->work.contains(send.attempt)) {
        return; // refused
    }
    const load_report report = m_agents[agent]->core->report(m_queue.now());
    const double load = report.running + report.queued;
    if (load > m_options.admission.loadFloor) {
        const std::vector<unsigned> all = loads();
        double sum = 0;
        for (const unsigned value : all) {
            sum += value;
        }
        if (sum > 0) {
            m_counters.admissionSkew.push_back(static_cast<float>(load * static_cast<double>(all.size()) / sum));
        }
    }
}

void sim_fleet::handle(std::size_t agent, const admission_core::effect &effect)
{
    agent_process &process = *m_agents[agent];
    if (const auto *start = std::get_if<admission_effect::start_work>(&effect)) {
        const auto &work = process.work.at(start->attempt);
        const std::optional<time_point> closedAt = m_closedAt[process.domain];
        if (closedAt && m_queue.now() > *closedAt + closureGrace) {
            ++m_counters.startsInClosedDomains;
        }
        const load_report report = process.core->report(m_queue.now());
        m_counters.windowViolations += report.running > report.window ? 1 : 0;
        sim_engine::sequence sequence;
        sequence.attempt = start->attempt;
        sequence.chat = work.info.chat;
        sequence.promptTokens = work.info.promptTokens;
        sequence.outputTokens = work.outputTokens;
        sequence.priority = start->priority;
        if (m_options.workStarted) {
            m_options.workStarted(static_cast<unsigned>(agent), start->attempt.request);
        }
        process.engine->start(sequence);
    } else if (const auto *refuse = std::get_if<admission_effect::refuse_work>(&effect)) {
        const std::size_t router = process.work.at(refuse->attempt).router;
        process.work.erase(refuse->attempt);
        ++m_counters.agentRefusals[std::string(errorInfo(refuse->reason.code).name)];
        const load_report report = process.core->report(m_queue.now());
        m_queue.after(drawLatency(), [this, router, upstream = process.info.upstream, report, refused = *refuse] {
            postRouter(router, router_event::load_reported {upstream, report});
            postRouter(router, router_event::attempt_refused {refused.attempt, refused.reason, {}});
        });
    } else if (const auto *cancel = std::get_if<admission_effect::cancel_work>(&effect)) {
        process.engine->cancel(cancel->attempt);
        process.work.erase(cancel->attempt);
    } else if (std::holds_alternative<admission_effect::drained>(effect)) {
        // Deferred, because restartVm() replaces the agent's core, which still processes this event.
        m_queue.after(duration(0), [this, agent] { restartVm(static_cast<unsigned>(agent), m_agents[agent]->downTime); });
    }
}

void sim_fleet::engineFirstToken(std::size_t agent, const sim_engine::sequence &work)
{
    agent_process &process = *m_agents[agent];
    const auto found = process.work.find(work.attempt);
    if (found == process.work.end()) {
        return;
    }
    const std::size_t router = found->second.router;
    postAgent(agent, admission_event::first_token {work.attempt});
    const load_report report = process.core->report(m_queue.now());
    m_queue.after(drawLatency(), [this, router, attempt = work.attempt, report] {
        postRouter(router, router_event::attempt_started {attempt, report});
        const auto request = m_requests.find(attempt.request);
        if (request != m_requests.end() && !request->second.firstTokenAt) {
            request->second.firstTokenAt = m_queue.now() + m_options.clientLatency;
        }
    });
}

void sim_fleet::engineFinished(std::size_t agent, const sim_engine::sequence &work)
{
    agent_process &process = *m_agents[agent];
    const auto found = process.work.find(work.attempt);
    if (found == process.work.end()) {
        return;
    }
    const std::size_t router = found->second.router;
    process.work.erase(found);
    postAgent(agent, admission_event::work_finished {work.attempt, true, work.generated});
    const load_report report = process.core->report(m_queue.now());
    m_queue.after(drawLatency() + m_options.latencyJitter, [this, router, work, report] {
        postRouter(router, router_event::attempt_finished {work.attempt, report, work.cachedTokens, work.promptTokens});
        const auto request = m_requests.find(work.attempt.request);
        if (request == m_requests.end()) {
            return;
        }
        sim_outcome outcome;
        outcome.ok = true;
        outcome.cachedTokens = work.cachedTokens;
        outcome.token = request->second.token;
        const time_point end = m_queue.now() + m_options.clientLatency;
        const time_point first = request->second.firstTokenAt.value_or(end);
        outcome.firstToken = first - request->second.sentAt;
        outcome.betweenTokens = work.generated > 1 ? (end - first) / (work.generated - 1) : duration(0);
        outcome.total = end - request->second.sentAt;
        reply(work.attempt.request, outcome);
    });
}

void sim_fleet::engineFailed(std::size_t agent, const sim_engine::sequence &work)
{
    agent_process &process = *m_agents[agent];
    const auto found = process.work.find(work.attempt);
    if (found == process.work.end()) {
        return;
    }
    const std::size_t router = found->second.router;
    const bool started = work.generated > 0;
    process.work.erase(found);
    if (process.isUp) {
        postAgent(agent, admission_event::work_finished {work.attempt, false, work.generated});
    }
    m_queue.after(drawLatency(), [this, router, work, started] {
        postRouter(router, router_event::attempt_failed {work.attempt, run_state::unknown, started});
    });
}

void sim_fleet::reply(request_id request, const sim_outcome &outcome)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        return;
    }
    finished_handler finished = std::move(found->second.finished);
    m_requests.erase(found);
    m_queue.after(m_options.clientLatency, [finished = std::move(finished), outcome] { finished(outcome); });
}

void sim_fleet::tickAgents()
{
    ++m_tick;
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        if (!m_agents[i]->isUp) {
            continue;
        }
        if (m_tick % ticksPerProgressReport == 0) {
            const std::vector<sim_engine::sequence> running = m_agents[i]->engine->running();
            for (const sim_engine::sequence &work : running) {
                if (work.generated > 0) {
                    postAgent(i, admission_event::progress {work.attempt, work.generated});
                }
            }
        }
        postAgent(i, admission_event::tick {});
    }
    m_queue.after(tickInterval, [this] { tickAgents(); });
}

void sim_fleet::tickRouters()
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        postRouter(i, router_event::tick {});
    }
    m_queue.after(tickInterval, [this] { tickRouters(); });
}

void sim_fleet::publishUpstream(std::size_t agent, upstream_state state)
{
    upstream_info info = m_agents[agent]->info;
    info.state = state;
    for (std::size_t r = 0; r < m_routers.size(); ++r) {
        const auto delay = std::chrono::duration_cast<duration>(m_options.maxPropagationDelay * m_random.fraction());
        m_queue.after(delay, [this, r, info] { postRouter(r, router_event::upstream_changed {info}); });
    }
}

void sim_fleet::setDomainOpen(unsigned domain, bool open)
{
    m_config = std::make_shared<fleet_config>(*m_config);
    ++m_config->version;
    m_config->domains[domain_id::fromName("d" + std::to_string(domain))].state = open ? domain_state::open : domain_state::closed;
    m_closedAt[domain] = open ? std::nullopt : std::optional(m_queue.now());
    const auto delay = [&] { return std::chrono::duration_cast<duration>(m_options.maxPropagationDelay * m_random.fraction()); };
    for (std::size_t r = 0; r < m_routers.size(); ++r) {
        m_queue.after(delay(), [this, r, config = m_config] { postRouter(r, router_event::config_changed {config}); });
    }
    for (std::size_t a = 0; a < m_agents.size(); ++a) {
        m_queue.after(delay(), [this, a, config = m_config] { postAgent(a, admission_event::config_changed {config}); });
    }
}

void sim_fleet::restartEngine(unsigned engine, duration downTime)
{
    m_agents[engine]->engine->crash();
    m_queue.after(downTime, [this, engine] {
        agent_process &process = *m_agents[engine];
        process.engine->boot();
        ++process.info.incarnation;
        postAgent(engine, admission_event::upstream_restarted {process.info.incarnation});
        publishUpstream(engine, upstream_state::live);
    });
}

void sim_fleet::drainVm(unsigned engine, duration downTime)
{
    m_agents[engine]->downTime = downTime;
    publishUpstream(engine, upstream_state::leaving);
    postAgent(engine, admission_event::drain_requested {});
}

void sim_fleet::returnToColdStart(unsigned engine)
{
    m_agents[engine]->engine->returnToColdStart();
}

void sim_fleet::restartVm(unsigned engine, duration downTime)
{
    agent_process &process = *m_agents[engine];
    process.isUp = false;
    process.engine->crash();
    // Queued work was not started, but the router sees only the broken connection, hence run_state::unknown.
    for (const auto &[attempt, work] : std::exchange(process.work, {})) {
        m_queue.after(drawLatency(), [this, attempt = attempt, router = work.router] {
            postRouter(router, router_event::attempt_failed {attempt, run_state::unknown, false});
        });
    }
    publishUpstream(engine, upstream_state::gone);
    m_queue.after(downTime, [this, engine] {
        agent_process &back = *m_agents[engine];
        ++back.info.incarnation;
        back.isUp = true;
        back.engine->boot();
        startAgentCore(engine);
        publishUpstream(engine, upstream_state::live);
    });
}

} // namespace nutmegtally
