#include "router/router_daemon.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/reducer.h>

#include <algorithm>
#include <thread>
#include <vector>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(250);
constexpr duration callerCheckInterval = std::chrono::milliseconds(100); // while nothing is read for a request
constexpr duration retryAfterShutdown = std::chrono::seconds(1);
constexpr duration retryAfterStart = std::chrono::seconds(2);

std::string describe(request_id id)
{
    return "request=" + toHex(id.value());
}

} // namespace

void router_daemon::mailbox::put(router_core::effect effect)
{
    const std::lock_guard lock(m_mutex);
    m_effects.push_back(std::move(effect));
    m_changed.notify_all();
}

std::optional<router_core::effect> router_daemon::mailbox::take(duration wait)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, wait, [this] { return !m_effects.empty(); })) {
        return {};
    }
    router_core::effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

class router_daemon::active_request
{
public:
    /// @throws error shuttingDown
    active_request(router_daemon &daemon, request_id id)
        : m_daemon(daemon)
        , m_id(id)
        , m_box(std::make_shared<mailbox>())
    {
        const std::lock_guard lock(m_daemon.m_requestsMutex);
        if (m_daemon.m_draining) {
            throw error(error_code::shuttingDown, {}, run_state::notRun, retryAfterShutdown);
        }
        m_daemon.m_mailboxes.emplace(m_id, m_box);
        ++m_daemon.m_running;
    }

    ~active_request()
    {
        const std::lock_guard lock(m_daemon.m_requestsMutex);
        m_daemon.m_mailboxes.erase(m_id);
        --m_daemon.m_running;
        m_daemon.m_requestsChanged.notify_all();
    }

    active_request(const active_request &) = delete;
    active_request &operator=(const active_request &) = delete;

    mailbox &box()
    {
        return *m_box;
    }

private:
    router_daemon &m_daemon;
    request_id m_id;
    std::shared_ptr<mailbox> m_box;
};

router_daemon::router_daemon(router_settings settings, std::unique_ptr<fleet_source> fleet)
    : m_settings(std::move(settings))
    , m_fleet(std::move(fleet))
    , m_authenticator(m_settings.innerKeys)
    , m_pool(m_settings.connectTimeout)
    , m_requests(m_metrics.counterFamily("nutmegtally_router_requests_total", "Requests by the code of their final answer."))
    , m_attempts(m_metrics.counter("nutmegtally_router_attempts_total", "Attempts that were sent to an agent."))
    , m_attemptsRefused(m_metrics.counter("nutmegtally_router_attempts_refused_total", "Attempts that an agent refused as not run."))
    , m_attemptsFailed(m_metrics.counter("nutmegtally_router_attempts_failed_total", "Attempts that could not be finished."))
    , m_callersGone(m_metrics.counter("nutmegtally_router_callers_gone_total", "Callers that left before their answer ended."))
    , m_streamsSilent(m_metrics.counter("nutmegtally_router_streams_silent_total", "Connections that brought no record in time."))
    , m_streamsResumed(m_metrics.counter("nutmegtally_router_streams_resumed_total", "Connections that were replaced in an attempt."))
    , m_promptTokens(m_metrics.counter("nutmegtally_router_prompt_tokens_total", "Prompt tokens as engines counted them."))
    , m_cachedTokens(m_metrics.counter("nutmegtally_router_cached_tokens_total", "Prompt tokens that engines found in their cache."))
    , m_firstByte(m_metrics.seconds("nutmegtally_router_first_data_seconds", "Time from a request to the first data of its answer."))
    , m_connections(m_metrics.gauge("nutmegtally_router_connections", "Open connections of callers."))
    , m_refusedConnections(m_metrics.gauge("nutmegtally_router_connections_refused", "Connections refused because of the limit."))
    , m_active(m_metrics.gauge("nutmegtally_router_requests_running", "Requests without their final answer."))
    , m_configVersion(m_metrics.gauge("nutmegtally_router_configuration_version", "Version of the configuration in force."))
    , m_core(m_settings.routing)
{
    m_fleet->start(
        {[this](const fleet_config_ptr &config) { configChanged(config); }, [this](const upstream_info &info) { upstreamChanged(info); }});
    m_tick = std::make_unique<periodic_timer>(tickInterval, [this] { post(router_event::tick {}); });
    m_server = std::make_unique<http_server>(m_settings.listen, m_settings.limits, [this](http_exchange &exchange) { handle(exchange); });
    if (!m_settings.innerListen.empty()) {
        m_inner = std::make_unique<http_server>(m_settings.innerListen, m_settings.limits,
                                                [this](http_exchange &exchange) { handleInner(exchange); });
    }
    m_status = std::make_unique<http_server>(m_settings.statusListen, http_limits {.maxConnections = 32},
                                             statusHandler(
                                                 m_metrics, [this] { return notReady(); }, [this] { refreshMetrics(); }));
    logEvent(log_event::daemonReady, "listen=" + address() + " status=" + statusAddress());
}

router_daemon::~router_daemon()
{
    if (m_inner) {
        m_inner->stop(duration(0));
    }
    m_fleet->stop();
    m_tick.reset();
    m_server->stop(duration(0));
    m_status->stop(duration(0));
}

std::string router_daemon::address() const
{
    return m_server->address();
}

std::string router_daemon::statusAddress() const
{
    return m_status->address();
}

bool router_daemon::drain(duration limit)
{
    logEvent(log_event::daemonStopping, "limit_ms=" + std::to_string(limit.count() / 1000));
    const time_point end = steadyNow() + limit;
    bool complete = false;
    m_fleet->announceLeaving();
    {
        std::unique_lock lock(m_requestsMutex);
        m_draining = true;
        complete = m_requestsChanged.wait_for(lock, limit, [this] { return m_running == 0; });
    }
    m_server->stop(std::max(end - steadyNow(), duration(0)));
    logEvent(log_event::daemonStopped, complete ? "cut=no" : "cut=yes");
    return complete;
}

void router_daemon::handle(http_exchange &exchange)
{
    const request_id id(randomId());
    exchange.setHeader("X-Nutmegtally-Request", toHex(id.value()));
    try {
        serve(exchange, id);
    } catch (const error &fault) {
        if (exchange.isStarted()) {
            exchange.abort();
            return;
        }
        const bool denied = fault.code() == error_code::unknownAccount;
        logEvent(denied ? log_event::accessDenied : log_event::requestRefused,
                 describe(id) + " code=" + std::string(errorInfo(fault.code()).name));
        countOutcome(errorInfo(fault.code()).name);
        exchange.replyError(fault, toHex(id.value()));
    } catch (const std::exception &fault) {
        logEvent(log_event::internalFault, describe(id) + " " + fault.what());
        if (exchange.isStarted()) {
            exchange.abort();
            return;
        }
        countOutcome("internal");
        exchange.replyError(error(error_code::internal, {}, run_state::unknown), toHex(id.value()));
    }
}

void router_daemon::handleInner(http_exchange &exchange)
{
    if (exchange.path() != rpcPath || exchange.method() != "POST") {
        exchange.reply(404, "text/plain", "no such path\n");
        return;
    }
    const std::string body = exchange.readBody();
    exchange.reply(200, "application/json", m_fleet->handleRpc(exchange.header(rpcAuthHeader), body));
}

void router_daemon::serve(http_exchange &exchange, request_id id)
{
    active_request active(*this, id);
    const std::shared_ptr<const fleet_snapshot> fleet = snapshot();
    if (!fleet) {
        throw error(error_code::configurationUnknown, {}, run_state::notRun, retryAfterStart);
    }
    const caller_request request = readCallerRequest(exchange, id, {*fleet->config, fleet->accounts, m_settings.requestLimit});
    caller_answer answer(exchange, request.work.stream, toHex(id.value()), m_settings.answerBufferBytes);
    route(request, active.box(), answer);
}

void router_daemon::route(const caller_request &request, mailbox &box, caller_answer &answer)
{
    post(router_event::request_arrived {request.id, request.work.info});
    for (;;) {
        const std::optional<router_core::effect> effect = box.take(callerCheckInterval);
        if (effect) {
            if (execute(request, *effect, answer)) {
                return;
            }
            continue;
        }
        if (answer.isCallerGone()) {
            m_callersGone.Increment();
            logEvent(log_event::callerGone, describe(request.id));
            post(router_event::request_cancelled {request.id});
            return;
        }
        if (steadyNow() >= request.work.info.deadline) {
            giveUp(request, answer, error_code::deadlineExceeded);
            return;
        }
    }
}

bool router_daemon::execute(const caller_request &request, const router_core::effect &effect, caller_answer &answer)
{
    if (const auto *order = std::get_if<router_effect::send_attempt>(&effect)) {
        return attempt(request, *order, answer);
    }
    if (const auto *reply = std::get_if<router_effect::reply_error>(&effect)) {
        fail(request, answer, error(reply->code, {}, reply->state, reply->retryAfter));
        return true;
    }
    return false;
}

/// @return False if the caller left or the deadline passed.
bool router_daemon::pause(duration delay, caller_answer &answer) const
{
    const time_point end = steadyNow() + delay;
    for (duration left = delay; left > duration(0); left = end - steadyNow()) {
        if (answer.isCallerGone()) {
            return false;
        }
        std::this_thread::sleep_for(std::min(left, callerCheckInterval));
    }
    return true;
}

bool router_daemon::attempt(const caller_request &request, const router_effect::send_attempt &order, caller_answer &answer)
{
    if (!pause(order.delay, answer)) {
        attempt_result gone;
        gone.outcome = attempt_outcome::callerGone;
        return settle(request, order.attempt, gone, answer);
    }
    const std::string address = addressOf(order.upstream);
    if (address.empty()) {
        attempt_result unreachable;
        unreachable.state = run_state::notRun;
        return settle(request, order.attempt, unreachable, answer);
    }
    work_header work = request.work;
    work.attempt = order.attempt;
    work.mean = order.mean;
    work.expectedCachedTokens = order.expectedCachedTokens;
    work.configVersion = snapshot()->config->version;
    answer.reset();
    answer.setToken(order.nextToken);
    m_attempts.Increment();

    const time_point begin = request.work.info.deadline - m_settings.requestLimit;
    attempt_observer observer;
    observer.started = [&](const load_report &load) { post(router_event::attempt_started {order.attempt, load}); };
    observer.versionSeen = [&](std::uint64_t version) { m_fleet->versionSeen(version); };
    observer.firstData = [&] { m_firstByte.Observe(std::chrono::duration<double>(steadyNow() - begin).count()); };
    observer.silent = [&] { m_streamsSilent.Increment(); };
    observer.resumed = [&] {
        m_streamsResumed.Increment();
        logEvent(log_event::streamResumed, describe(request.id));
    };
    attempt_runner runner(m_pool, m_authenticator, {m_settings.streamSilence, m_settings.maxResumes}, address, std::move(work),
                          request.body, observer);
    const attempt_result result = runner.run(answer);
    if (result.hasLoad && result.outcome != attempt_outcome::finished) {
        post(router_event::load_reported {order.upstream, result.load});
    }
    const bool done = settle(request, order.attempt, result, answer);
    if (result.outcome == attempt_outcome::callerGone || result.outcome == attempt_outcome::deadlinePassed) {
        runner.cancel();
    }
    return done;
}

bool router_daemon::settle(const caller_request &request, attempt_ref attempt, const attempt_result &result, caller_answer &answer)
{
    const std::string text = describe(request.id) + " attempt=" + std::to_string(attempt.attempt);
    switch (result.outcome) {
    case attempt_outcome::finished:
        m_promptTokens.Increment(result.promptTokens);
        m_cachedTokens.Increment(result.cachedTokens);
        countOutcome("ok");
        post(router_event::attempt_finished {attempt, result.load, result.cachedTokens, result.promptTokens});
        return true;
    case attempt_outcome::refused:
        m_attemptsRefused.Increment();
        logEvent(log_event::attemptRefused, text + " code=" + std::string(errorInfo(result.why.code).name));
        post(router_event::attempt_refused {attempt, result.why, result.owner});
        return false;
    case attempt_outcome::callerGone:
        m_callersGone.Increment();
        logEvent(log_event::callerGone, text);
        post(router_event::request_cancelled {request.id});
        return true;
    case attempt_outcome::deadlinePassed:
        giveUp(request, answer, error_code::deadlineExceeded);
        return true;
    default:
        m_attemptsFailed.Increment();
        logEvent(answer.hasStarted() ? log_event::streamLost : log_event::attemptFailed,
                 text + " run_state=" + std::string(name(result.state)));
        post(router_event::attempt_failed {attempt, result.state, answer.hasStarted()});
        return false;
    }
}

void router_daemon::giveUp(const caller_request &request, caller_answer &answer, error_code code)
{
    post(router_event::request_cancelled {request.id});
    fail(request, answer, error(code, {}, run_state::unknown));
}

void router_daemon::fail(const caller_request &request, caller_answer &answer, const error &fault)
{
    logEvent(log_event::requestRefused, describe(request.id) + " class=" + request.className + " code="
                                            + std::string(errorInfo(fault.code()).name) + " run_state=" + std::string(name(fault.state())));
    countOutcome(errorInfo(fault.code()).name);
    answer.fail(fault);
}

void router_daemon::post(const router_core::event &event)
{
    std::vector<router_core::effect> effects;
    {
        const std::lock_guard lock(m_coreMutex);
        m_core.apply(steadyNow(), event, effects);
    }
    for (const router_core::effect &effect : effects) {
        dispatch(effect);
    }
}

void router_daemon::dispatch(const router_core::effect &effect)
{
    std::visit(overloaded {
                   [&](const router_effect::send_attempt &order) { deliver(order.attempt.request, effect); },
                   [&](const router_effect::reply_error &reply) { deliver(reply.request, effect); },
                   [&](const router_effect::cancel_attempt &order) { deliver(order.attempt.request, effect); },
                   [](const log_record &record) { logEvent(record); },
               },
               effect);
}

void router_daemon::deliver(request_id id, const router_core::effect &effect)
{
    std::shared_ptr<mailbox> box;
    {
        const std::lock_guard lock(m_requestsMutex);
        const auto found = m_mailboxes.find(id);
        if (found == m_mailboxes.end()) {
            return; // the request has its final answer
        }
        box = found->second;
    }
    box->put(effect);
}

std::shared_ptr<const router_daemon::fleet_snapshot> router_daemon::snapshot() const
{
    const std::lock_guard lock(m_fleetMutex);
    return m_snapshot;
}

std::string router_daemon::addressOf(upstream_id upstream) const
{
    const std::lock_guard lock(m_fleetMutex);
    const auto found = m_addresses.find(upstream);
    return found == m_addresses.end() ? std::string() : found->second;
}

void router_daemon::configChanged(const fleet_config_ptr &config)
{
    auto next = std::make_shared<const fleet_snapshot>(fleet_snapshot {config, account_index(*config)});
    {
        const std::lock_guard lock(m_fleetMutex);
        m_snapshot = std::move(next);
    }
    m_configVersion.Set(static_cast<double>(config->version));
    post(router_event::config_changed {config});
    logEvent(log_event::configurationApplied, "version=" + std::to_string(config->version));
}

void router_daemon::upstreamChanged(const upstream_info &info)
{
    {
        const std::lock_guard lock(m_fleetMutex);
        if (info.state == upstream_state::gone) {
            m_addresses.erase(info.upstream);
        } else {
            m_addresses[info.upstream] = info.address;
        }
    }
    post(router_event::upstream_changed {info});
}

void router_daemon::countOutcome(std::string_view code)
{
    m_requests.Add({{"code", std::string(code)}}).Increment();
}

void router_daemon::refreshMetrics()
{
    m_connections.Set(m_server->connections());
    m_refusedConnections.Set(static_cast<double>(m_server->refusedConnections()));
    const std::lock_guard lock(m_requestsMutex);
    m_active.Set(m_running);
}

std::string router_daemon::notReady() const
{
    if (m_draining) {
        return "shutting down";
    }
    return snapshot() ? "" : "no configuration";
}

} // namespace nutmegtally
