// Simulation for the ledger's tests: the real ledger cores of three agents, two real router cores, a fake service and a
// fake object API. They exchange messages that can be delayed, reordered, duplicated and lost. An oracle checks each
// execution and each answer, and finish() checks the final state.
#pragma once

#include "src/ledger_core_impl.h"

#include <nutmegtally/router_core.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace nutmegtally::testing
{

using namespace std::chrono_literals;

/// Thrown if the oracle detects a violation.
struct oracle_failure : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A caller's request and its answer.
struct caller_call {
    std::size_t key = 0;
    std::uint64_t body = 0;
    bool answered = false;
    bool succeeded = false;
    run_state state = run_state::unknown;
    error_code code = error_code::internal;
    booking_outcome outcome;
    unsigned redirects = 0;
    std::optional<std::size_t> router; // router that has the call; if not set, the simulation follows redirects itself
};

/// An execution at the service.
struct execution {
    std::uint64_t body = 0;
    std::string answer;
    std::uint64_t call = 0;
};

template<ledger_policy Policy>
class ledger_simulation
{
public:
    static constexpr std::size_t agentCount = 3;
    static constexpr std::size_t keyCount = 4;

    explicit ledger_simulation(bool checksKeys = false)
        : m_checksKeys(checksKeys)
    {
        for (std::size_t i = 0; i < keyCount; ++i) {
            m_keys.push_back(idempotency_key::make(wall(), i * 77 + 1, i * 7919 + 5));
        }
        startRouters();
        for (std::size_t i = 0; i < agentCount; ++i) {
            start(i);
        }
        for (std::size_t i = 0; i < agentCount; ++i) {
            for (std::size_t j = 0; j < agentCount; ++j) {
                setView(i, j, true);
            }
        }
    }

    // Commands.

    /// Requests a booking at an agent. The simulation follows redirects.
    std::uint64_t request(std::size_t key, std::uint64_t body, std::size_t agent)
    {
        const std::uint64_t call = ++m_lastCall;
        m_calls[call].key = key;
        m_calls[call].body = body;
        send(message {kind::request, agent, 0, call, ++m_lastAttempt});
        return call;
    }

    /// Requests a booking through the real router reducer, which selects the agent and decides about further attempts.
    std::uint64_t requestThroughRouter(std::size_t router, std::size_t key, std::uint64_t body)
    {
        const std::uint64_t call = ++m_lastCall;
        m_calls[call].key = key;
        m_calls[call].body = body;
        m_calls[call].router = router;
        request_info info;
        info.kind = work_kind::booking;
        info.service = service_id::fromName("booking-app");
        info.idempotencyKey = m_keys[key].toText();
        info.bodyHash = body;
        info.deadline = m_now + 3s;
        postToRouter(router, router_event::request_arrived {request_id(call), info});
        return call;
    }

    void deliver(std::size_t pick)
    {
        if (!m_messages.empty()) {
            const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(pick % m_messages.size());
            const message taken = std::move(*at);
            m_messages.erase(at);
            handle(taken);
        }
    }

    /// Delivers messages in order until none is left; the limit ends endless exchanges.
    void deliverInOrder(std::size_t limit = 400)
    {
        for (; limit > 0 && !m_messages.empty(); --limit) {
            deliver(0);
        }
    }

    /// Drops a request or response. The waiting side sees a broken connection.
    void lose(std::size_t pick)
    {
        if (!m_messages.empty()) {
            const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(pick % m_messages.size());
            const message taken = std::move(*at);
            m_messages.erase(at);
            fail(taken, false);
        }
    }

    /// The sender times out, but the message is still in flight.
    void timeOut(std::size_t pick)
    {
        if (!m_messages.empty()) {
            message &late = m_messages[pick % m_messages.size()];
            const message seen = late;
            late.abandoned = true;
            fail(seen, false);
        }
    }

    /// The connection is refused, so the request has no effect.
    void refuseConnection(std::size_t pick)
    {
        if (!m_messages.empty()) {
            const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(pick % m_messages.size());
            if (!at->abandoned && at->what != kind::reply && at->what != kind::objectAnswer && at->what != kind::serviceAnswer) {
                const message taken = std::move(*at);
                m_messages.erase(at);
                fail(taken, true);
            }
        }
    }

    /// Not applied to booking requests and service calls, which are never sent twice over one connection.
    void duplicate(std::size_t pick)
    {
        if (!m_messages.empty()) {
            message copy = m_messages[pick % m_messages.size()];
            if (copy.what != kind::request && copy.what != kind::serviceCall) {
                m_messages.push_back(std::move(copy));
            }
        }
    }

    void crash(std::size_t agent)
    {
        agent_process &process = m_agents[agent];
        process.core.reset();
        process.inbox.clear();
        // Open connections from routers to the agent break.
        for (auto &[attempt, target] : std::map<std::uint64_t, std::size_t>(m_openAttempts)) {
            if (target == agent) {
                routerFailed(attempt, run_state::unknown);
            }
        }
    }

    void restart(std::size_t agent)
    {
        if (!m_agents[agent].core) {
            start(agent);
            applyView(agent);
        }
    }

    void setPaused(std::size_t agent, bool paused)
    {
        agent_process &process = m_agents[agent];
        process.paused = paused;
        if (!paused) {
            std::deque<ledger_event_type> events;
            events.swap(process.inbox);
            for (const ledger_event_type &event : events) {
                post(agent, event);
            }
        }
    }

    void setView(std::size_t viewer, std::size_t agent, bool live)
    {
        m_views[viewer].erase(agent);
        if (live) {
            m_views[viewer].insert(agent);
        }
        applyView(viewer);
    }

    void setOutage(bool outage)
    {
        m_outage = outage;
    }

    void advance(duration time)
    {
        m_now += time;
        for (std::size_t router = 0; router < m_routers.size(); ++router) {
            postToRouter(router, router_event::tick());
        }
        for (std::size_t i = 0; i < agentCount; ++i) {
            if (m_agents[i].core && !m_agents[i].paused) {
                post(i, ledger_event::tick {wall()});
            }
        }
    }

    /// An operator settles an unknown entry according to the service's actual state.
    void settleByOperator(std::size_t agent, std::size_t pick)
    {
        if (!m_agents[agent].core || m_agents[agent].paused) {
            return;
        }
        const auto unknown = m_agents[agent].core->unknownBookings();
        if (unknown.empty()) {
            return;
        }
        const ledger_entry &entry = unknown[pick % unknown.size()].entry;
        ledger_event::settlement_requested request;
        request.settlementId = ++m_lastSettlement;
        request.key = entry.key;
        request.claimNonce = entry.claimNonce;
        request.audit = settle_audit {"operator", wall(), "read the service"};
        const auto &runs = m_executions[keyIndex(entry.key)];
        if (!runs.empty()) {
            request.outcome = outcomeOf(runs.front());
        } else if (hasCallInFlight(entry.key)) {
            return; // the call may still run, so the operator does not settle the entry yet
        } else {
            request.state = run_state::notRun;
        }
        post(agent, request);
    }

    /// Ends all faults, waits until every call is answered, repeats successful requests and checks the final state.
    void finish()
    {
        setOutage(false);
        for (std::size_t i = 0; i < agentCount; ++i) {
            restart(i);
            setPaused(i, false);
            for (std::size_t j = 0; j < agentCount; ++j) {
                setView(i, j, true);
            }
        }
        runUntilQuiet();
        for (const auto &[id, call] : m_calls) {
            require(call.answered, "no answer for " + describe(id));
        }
        const std::map<std::uint64_t, caller_call> before = m_calls;
        for (std::size_t key = 0; key < keyCount; ++key) {
            checkKeyAtEnd(key, before);
        }
    }

    void runUntilQuiet()
    {
        for (int round = 0; round < 30; ++round) {
            deliverInOrder();
            advance(250ms);
        }
        deliverInOrder();
    }

    const caller_call &call(std::uint64_t id) const
    {
        return m_calls.at(id);
    }

    std::size_t executions(std::size_t key) const
    {
        const auto found = m_executions.find(key);
        return found == m_executions.end() ? 0 : found->second.size();
    }

    basic_ledger_core<Policy> &core(std::size_t agent)
    {
        return *m_agents[agent].core;
    }

    const idempotency_key &key(std::size_t index) const
    {
        return m_keys[index];
    }

    /// Whether an agent logged the event; tells which parts of the protocol a sequence has reached.
    bool wasLogged(log_event event) const
    {
        return m_logged.contains(event);
    }

    bool hasSuccess() const
    {
        return std::any_of(m_calls.begin(), m_calls.end(), [](const auto &item) { return item.second.succeeded; });
    }

    bool hasSegment() const
    {
        return std::any_of(m_objects.begin(), m_objects.end(), [](const auto &object) { return !object.first.ends_with("/head"); });
    }

    std::map<std::string, std::pair<std::uint64_t, std::string>> &objects()
    {
        return m_objects;
    }

    enum class kind {
        request,
        reply,
        objectCall,
        objectAnswer,
        serviceCall,
        serviceAnswer,
        settleCall,
        settleAnswer
    };

    /// Index of a message, of the wanted kind if there is one. Without the kind, most picks would be object API calls.
    std::size_t pickKind(std::size_t pick, std::size_t wanted) const
    {
        std::vector<std::size_t> matching;
        for (std::size_t i = 0; i < m_messages.size(); ++i) {
            if (static_cast<std::size_t>(m_messages[i].what) == wanted % 8) {
                matching.push_back(i);
            }
        }
        return matching.empty() ? pick : matching[pick % matching.size()];
    }

    bool has(kind what) const
    {
        return std::any_of(m_messages.begin(), m_messages.end(), [&](const message &m) { return m.what == what; });
    }

    /// Index of the first message of this kind.
    std::size_t find(kind what) const
    {
        for (std::size_t i = 0; i < m_messages.size(); ++i) {
            if (m_messages[i].what == what) {
                return i;
            }
        }
        throw std::logic_error("no such message");
    }

private:
    struct message {
        kind what = kind::request;
        std::size_t agent = 0; // sender or receiver
        std::uint64_t incarnation = 0; // of the agent; responses to an earlier process are dropped
        std::uint64_t call = 0;
        std::uint64_t attempt = 0;
        ledger_effect_type effect {}; // if the agent is the sender
        ledger_event_type event {}; // if the agent is the receiver
        bool abandoned = false; // the waiting side has timed out
        std::size_t target = 0; // agent that receives a settle call
        std::uint64_t settlementId = 0;
    };

    struct agent_process {
        std::unique_ptr<basic_ledger_core<Policy>> core; // null after a crash
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::deque<ledger_event_type> inbox; // events that arrive while paused
    };

    static std::string agentName(std::size_t agent)
    {
        return "agent-" + std::to_string(agent);
    }

    wall_time wall() const
    {
        return wall_time(1'780'000'000'000ms) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
    }

    static void require(bool condition, const std::string &what)
    {
        if (!condition) {
            throw oracle_failure(what);
        }
    }

    std::string describe(std::uint64_t id) const
    {
        const caller_call &call = m_calls.at(id);
        std::ostringstream text;
        text << "call=" << id << " key=" << call.key << " body=" << call.body << " executions=" << executions(call.key)
             << " state=" << name(call.state) << " code=" << errorInfo(call.code).name << " succeeded=" << call.succeeded;
        return text.str();
    }

    std::size_t keyIndex(const idempotency_key &key) const
    {
        return static_cast<std::size_t>(std::find(m_keys.begin(), m_keys.end(), key) - m_keys.begin());
    }

    static booking_outcome outcomeOf(const execution &run)
    {
        booking_outcome outcome;
        outcome.status = 200;
        outcome.body = run.answer;
        outcome.bodyHash = hashText(run.answer);
        return outcome;
    }

    bool hasCallInFlight(const idempotency_key &key) const
    {
        return std::any_of(m_messages.begin(), m_messages.end(), [&](const message &m) {
            return m.what == kind::serviceCall && std::get<ledger_effect::run_request>(m.effect).key == key;
        });
    }

    void start(std::size_t agent)
    {
        agent_process &process = m_agents[agent];
        process.incarnation = ++m_lastIncarnation;
        process.paused = false;
        ledger_options options;
        options.service = "booking-app";
        options.self = agentName(agent);
        options.shards = 2;
        options.nonceSeed = mixHash(7, process.incarnation);
        options.checksKeys = m_checksKeys;
        options.sealThresholdBytes = 300; // about one entry, so that segments are sealed often
        process.core = std::make_unique<basic_ledger_core<Policy>>(std::move(options));
    }

    void applyView(std::size_t viewer)
    {
        ledger_event::owner_view_changed view;
        for (const std::size_t agent : m_views[viewer]) {
            view.live.push_back(upstream_id::fromName(agentName(agent)));
        }
        if (m_agents[viewer].core) {
            post(viewer, view);
        }
    }

    void post(std::size_t agent, const ledger_event_type &event)
    {
        agent_process &process = m_agents[agent];
        if (process.paused) {
            process.inbox.push_back(event);
            return;
        }
        std::vector<ledger_effect_type> effects;
        process.core->apply(m_now, event, effects);
        for (const ledger_effect_type &effect : effects) {
            execute(agent, effect);
        }
    }

    void execute(std::size_t agent, const ledger_effect_type &effect)
    {
        message sent {kind::objectCall, agent, m_agents[agent].incarnation, 0, 0, effect};
        std::visit(overloaded {[&](const ledger_effect::run_request &run) {
                                   sent.what = kind::serviceCall;
                                   sent.call = m_attemptCall.at(run.attempt.request.value());
                                   send(sent);
                               },
                               [&](const ledger_effect::reply_outcome &reply) {
                                   sent.what = kind::reply;
                                   sent.attempt = reply.attempt.request.value();
                                   send(sent);
                               },
                               [&](const ledger_effect::reply_refusal &reply) {
                                   sent.what = kind::reply;
                                   sent.attempt = reply.attempt.request.value();
                                   send(sent);
                               },
                               [&](const ledger_effect::forward_settlement &settle) {
                                   sent.what = kind::settleCall;
                                   sent.target = settle.owner.empty() ? 0 : static_cast<std::size_t>(settle.owner.back() - '0');
                                   send(sent);
                               },
                               [&](const ledger_effect::reply_settlement &reply) { answerSettle(reply); },
                               [&](const log_record &record) { m_logged.insert(record.event); }, [&](const auto &) { send(sent); }},
                   effect);
    }

    void send(message sent)
    {
        if (sent.what == kind::request) {
            m_openAttempts[sent.attempt] = sent.agent;
            m_attemptCall[sent.attempt] = sent.call;
        }
        m_messages.push_back(std::move(sent));
    }

    void handle(const message &taken)
    {
        switch (taken.what) {
        case kind::request:
            handleRequest(taken);
            return;
        case kind::reply:
            handleReply(taken);
            return;
        case kind::objectCall:
            handleObject(taken);
            return;
        case kind::serviceCall:
            handleService(taken);
            return;
        case kind::settleCall:
            handleSettle(taken);
            return;
        default:
            answerAgent(taken);
            return;
        }
    }

    void answerAgent(const message &answer)
    {
        const agent_process &process = m_agents[answer.agent];
        if (process.core && process.incarnation == answer.incarnation && !answer.abandoned) {
            post(answer.agent, answer.event);
        }
    }

    using router_core = basic_router_core<power_of_two_policy>;

    static router_core makeRouter(std::uint64_t seed)
    {
        router_options options;
        options.seed = seed;
        return router_core(options);
    }

    void startRouters()
    {
        auto config = std::make_shared<fleet_config>();
        service_config service;
        service.name = "booking-app";
        service.checksKeys = m_checksKeys;
        service.shards = 2;
        config->version = 1;
        config->services[service_id::fromName(service.name)] = service;
        for (std::size_t router = 0; router < m_routers.size(); ++router) {
            postToRouter(router, router_event::config_changed {config});
            for (std::size_t agent = 0; agent < agentCount; ++agent) {
                upstream_info info;
                info.name = agentName(agent);
                info.upstream = upstream_id::fromName(info.name);
                info.service = service_id::fromName(service.name);
                info.incarnation = 1;
                postToRouter(router, router_event::upstream_changed {info});
            }
        }
    }

    void postToRouter(std::size_t router, const router_core::event &event)
    {
        std::vector<router_core::effect> effects;
        m_routers[router].apply(m_now, event, effects);
        for (const router_core::effect &effect : effects) {
            if (const auto *sent = std::get_if<router_effect::send_attempt>(&effect)) {
                const std::uint64_t call = sent->attempt.request.value();
                std::size_t agent = 0;
                while (upstream_id::fromName(agentName(agent)) != sent->upstream) {
                    ++agent;
                }
                m_routerAttempts[++m_lastAttempt] = sent->attempt;
                send(message {kind::request, agent, 0, call, m_lastAttempt});
            } else if (const auto *reply = std::get_if<router_effect::reply_error>(&effect)) {
                caller_call &call = m_calls.at(reply->request.value());
                call.code = reply->code;
                call.state = reply->state;
                answer(reply->request.value());
            }
        }
    }

    /// As in the router's daemon: only a refusal with not_run is posted as a refusal, others as failures.
    void replyToRouter(std::size_t router, std::uint64_t id, const message &taken)
    {
        const attempt_ref attempt = m_routerAttempts.at(taken.attempt);
        if (const auto *reply = std::get_if<ledger_effect::reply_outcome>(&taken.effect)) {
            caller_call &call = m_calls.at(id);
            if (!call.answered) {
                call.succeeded = true;
                call.outcome = reply->outcome;
                call.state = run_state::ran;
                answer(id);
            }
            postToRouter(router, router_event::attempt_finished {attempt, {}, 0, 0});
            return;
        }
        const auto &refusal = std::get<ledger_effect::reply_refusal>(taken.effect);
        if (refusal.state == run_state::notRun) {
            postToRouter(router, router_event::attempt_refused {attempt, {refusal.code, refusal.retryAfter.value_or(0ms)}, refusal.owner});
        } else {
            postToRouter(router, router_event::attempt_failed {attempt, refusal.state, false});
        }
    }

    void handleRequest(const message &taken)
    {
        const caller_call &call = m_calls.at(taken.call);
        if (!m_agents[taken.agent].core) {
            routerFailed(taken.attempt, run_state::notRun); // connection refused
            return;
        }
        post(taken.agent,
             ledger_event::booking_requested {
                 {request_id(taken.attempt), 1}, m_keys[call.key].toText(), hashText(std::to_string(call.body)), m_now + 3s, wall()});
    }

    /// Follows a router's rules for bookings: only notOwner is retried at another agent, and a broken connection leaves the
    /// outcome unknown.
    void handleReply(const message &taken)
    {
        const auto open = m_openAttempts.find(taken.attempt);
        if (open == m_openAttempts.end() || taken.abandoned) {
            return;
        }
        const std::uint64_t id = m_attemptCall.at(taken.attempt);
        m_openAttempts.erase(open);
        caller_call &call = m_calls.at(id);
        if (call.router) {
            replyToRouter(*call.router, id, taken);
            return;
        }
        if (const auto *reply = std::get_if<ledger_effect::reply_outcome>(&taken.effect)) {
            call.succeeded = true;
            call.outcome = reply->outcome;
            call.state = run_state::ran;
            answer(id);
            return;
        }
        const auto &refusal = std::get<ledger_effect::reply_refusal>(taken.effect);
        call.code = refusal.code;
        call.state = refusal.state;
        if (refusal.code == error_code::notOwner && call.redirects < 3) {
            ++call.redirects;
            const auto owner = static_cast<std::size_t>(refusal.ownerName.back() - '0');
            send(message {kind::request, owner, 0, id, ++m_lastAttempt});
            return;
        }
        answer(id);
    }

    void routerFailed(std::uint64_t attempt, run_state state)
    {
        if (m_openAttempts.erase(attempt) > 0) {
            const std::uint64_t id = m_attemptCall.at(attempt);
            if (const std::optional<std::size_t> router = m_calls.at(id).router) {
                postToRouter(*router, router_event::attempt_failed {m_routerAttempts.at(attempt), state, false});
                return;
            }
            m_calls.at(id).state = state;
            m_calls.at(id).code = error_code::upstreamFailed;
            answer(id);
        }
    }

    void answer(std::uint64_t id)
    {
        caller_call &call = m_calls.at(id);
        require(!call.answered, "second answer for " + describe(id));
        call.answered = true;
        if (call.succeeded) {
            const auto &runs = m_executions[call.key];
            require(runs.size() == 1, "success without exactly one execution: " + describe(id));
            require(runs.front().body == call.body, "success for another request: " + describe(id));
            require(call.outcome.body == runs.front().answer, "outcome of another execution: " + describe(id));
        } else if (call.state == run_state::notRun) {
            for (const execution &run : m_executions[call.key]) {
                require(run.call != id, "not_run for a request that ran: " + describe(id));
            }
        }
    }

    void handleObject(const message &taken)
    {
        message result {kind::objectAnswer, taken.agent, taken.incarnation};
        result.abandoned = taken.abandoned;
        std::visit(overloaded {[&](const ledger_effect::read_object &read) { result.event = readObject(read); },
                               [&](const ledger_effect::write_object &write) { result.event = writeObject(write); },
                               [&](const ledger_effect::delete_object &remove) {
                                   m_objects.erase(remove.name);
                                   result.event = ledger_event::object_written {remove.operation, object_status::ok, {}};
                               },
                               [](const auto &) {}},
                   taken.effect);
        send(std::move(result));
    }

    ledger_event::object_read readObject(const ledger_effect::read_object &read)
    {
        if (m_outage) {
            return {read.operation, object_status::unavailable, {}, {}};
        }
        const auto found = m_objects.find(read.name);
        if (found == m_objects.end()) {
            return {read.operation, object_status::missing, {}, {}};
        }
        return {read.operation, object_status::ok, found->second.second, std::to_string(found->second.first)};
    }

    ledger_event::object_written writeObject(const ledger_effect::write_object &write)
    {
        if (m_outage) {
            return {write.operation, object_status::unavailable, {}};
        }
        const auto found = m_objects.find(write.name);
        const std::string current = found == m_objects.end() ? std::string() : std::to_string(found->second.first);
        if (current != write.ifVersion) {
            return {write.operation, object_status::conflict, {}};
        }
        m_objects[write.name] = {++m_lastVersion, write.value};
        return {write.operation, object_status::ok, std::to_string(m_lastVersion)};
    }

    void handleService(const message &taken)
    {
        const auto &run = std::get<ledger_effect::run_request>(taken.effect);
        const std::size_t key = keyIndex(run.key);
        const caller_call &call = m_calls.at(taken.call);
        auto &runs = m_executions[key];
        if (!m_checksKeys || runs.empty()) {
            runs.push_back({call.body, "booking " + std::to_string(++m_lastBooking), taken.call});
            require(runs.size() == 1, "key executed twice: " + describe(taken.call));
            require(!call.answered || call.state != run_state::notRun, "executed after not_run: " + describe(taken.call));
        }
        message result {kind::serviceAnswer, taken.agent, taken.incarnation};
        result.event = ledger_event::service_answered {run.claim, 200, "text/plain", runs.front().answer};
        result.abandoned = taken.abandoned;
        send(std::move(result));
    }

    void handleSettle(const message &taken)
    {
        const auto &settle = std::get<ledger_effect::forward_settlement>(taken.effect);
        if (!m_agents[taken.target].core) {
            fail(taken, true);
            return;
        }
        ledger_event::settlement_requested request = settle.request;
        request.settlementId = ++m_lastSettlement;
        m_settleCalls[request.settlementId] = taken;
        post(taken.target, request);
    }

    void answerSettle(const ledger_effect::reply_settlement &reply)
    {
        const auto found = m_settleCalls.find(reply.settlementId);
        if (found == m_settleCalls.end()) {
            return; // the settlement of an operator
        }
        message result {kind::settleAnswer, found->second.agent, found->second.incarnation};
        const auto &settle = std::get<ledger_effect::forward_settlement>(found->second.effect);
        result.event = ledger_event::forward_answered {settle.claim, reply.result, reply.owner};
        m_settleCalls.erase(found);
        send(std::move(result));
    }

    /// Reports a lost message to the waiting side.
    void fail(const message &lost, bool refused)
    {
        if (lost.abandoned) {
            return;
        }
        message result {kind::objectAnswer, lost.agent, lost.incarnation};
        switch (lost.what) {
        case kind::request:
        case kind::reply:
            routerFailed(lost.attempt, refused ? run_state::notRun : run_state::unknown);
            return;
        case kind::objectCall:
            std::visit(overloaded {[&](const ledger_effect::read_object &read) {
                                       result.event = ledger_event::object_read {read.operation, object_status::unavailable, {}, {}};
                                   },
                                   [&](const ledger_effect::write_object &write) {
                                       result.event = ledger_event::object_written {
                                           write.operation, refused ? object_status::unavailable : object_status::unknown, {}};
                                   },
                                   [](const auto &) {}},
                       lost.effect);
            answerAgent(result);
            return;
        case kind::objectAnswer:
            if (const auto *read = std::get_if<ledger_event::object_read>(&lost.event)) {
                result.event = ledger_event::object_read {read->operation, object_status::unavailable, {}, {}};
            } else {
                const auto &written = std::get<ledger_event::object_written>(lost.event);
                result.event = ledger_event::object_written {written.operation, object_status::unknown, {}};
            }
            answerAgent(result);
            return;
        case kind::serviceCall:
            result.event = ledger_event::service_failed {std::get<ledger_effect::run_request>(lost.effect).claim,
                                                         refused ? run_state::notRun : run_state::unknown};
            answerAgent(result);
            return;
        case kind::serviceAnswer:
            result.event = ledger_event::service_failed {std::get<ledger_event::service_answered>(lost.event).claim, run_state::unknown};
            answerAgent(result);
            return;
        case kind::settleCall:
            result.event = ledger_event::forward_answered {
                std::get<ledger_effect::forward_settlement>(lost.effect).claim, settle_result::unavailable, {}};
            answerAgent(result);
            return;
        case kind::settleAnswer:
            return;
        }
    }

    void checkKeyAtEnd(std::size_t key, const std::map<std::uint64_t, caller_call> &calls)
    {
        bool allNotRun = true;
        for (const auto &[id, before] : calls) {
            if (before.key != key) {
                continue;
            }
            allNotRun = allNotRun && before.state == run_state::notRun && !before.succeeded;
            if (before.succeeded) {
                const std::uint64_t repeat = request(key, before.body, 0);
                runUntilQuiet();
                const caller_call &again = m_calls.at(repeat);
                require(again.answered, "no answer for the repeated " + describe(repeat));
                require(again.succeeded || again.state == run_state::unknown, "acknowledged booking lost: " + describe(repeat));
            }
        }
        if (allNotRun) {
            require(executions(key) == 0, "every call of the key was not_run, but it ran");
        }
    }

    bool m_checksKeys;
    std::set<log_event> m_logged;
    time_point m_now {1h};
    std::vector<idempotency_key> m_keys;
    std::array<agent_process, agentCount> m_agents;
    std::array<std::set<std::size_t>, agentCount> m_views;
    std::vector<message> m_messages;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_objects; // name to version and value
    bool m_outage = false;
    std::map<std::uint64_t, caller_call> m_calls;
    std::map<std::uint64_t, std::size_t> m_openAttempts; // attempt to agent
    std::map<std::uint64_t, std::uint64_t> m_attemptCall; // attempt to call
    std::map<std::size_t, std::vector<execution>> m_executions; // by key
    std::map<std::uint64_t, message> m_settleCalls; // by settlement id
    std::array<router_core, 2> m_routers {makeRouter(1), makeRouter(2)};
    std::map<std::uint64_t, attempt_ref> m_routerAttempts;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastAttempt = 1'000'000;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastSettlement = 0;
    std::uint64_t m_lastBooking = 0;
};

} // namespace nutmegtally::testing
