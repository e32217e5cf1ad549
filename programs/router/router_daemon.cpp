#include "router/router_daemon.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/errors.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(250);
constexpr duration retryAfterShutdown = std::chrono::seconds(1);
constexpr duration retryAfterStart = std::chrono::seconds(2);

std::string describe(request_id id)
{
    return "request=" + toHex(id.value());
}

} // namespace

router_daemon::router_daemon(router_settings settings, std::unique_ptr<fleet_source> fleet)
    : m_settings(std::move(settings))
    , m_fleet(std::move(fleet))
    , m_authenticator(m_settings.innerKeys)
    , m_outcomes(m_metrics.counterFamily("nutmegtally_router_requests_total", "Requests by the code of their final answer."))
    , m_attempts(m_metrics.counter("nutmegtally_router_attempts_total", "Attempts that were sent to an agent."))
    , m_attemptsRefused(m_metrics.counter("nutmegtally_router_attempts_refused_total", "Attempts that an agent refused as not run."))
    , m_attemptsFailed(m_metrics.counter("nutmegtally_router_attempts_failed_total", "Attempts that could not be finished."))
    , m_callerDisconnects(m_metrics.counter("nutmegtally_router_callers_gone_total", "Callers that left before their answer ended."))
    , m_streamIdleTimeouts(m_metrics.counter("nutmegtally_router_streams_silent_total", "Connections that brought no record in time."))
    , m_streamsResumed(m_metrics.counter("nutmegtally_router_streams_resumed_total", "Connections that were replaced in an attempt."))
    , m_promptTokens(m_metrics.counter("nutmegtally_router_prompt_tokens_total", "Prompt tokens as engines counted them."))
    , m_cachedTokens(m_metrics.counter("nutmegtally_router_cached_tokens_total", "Prompt tokens that engines found in their cache."))
    , m_firstDataSeconds(m_metrics.seconds("nutmegtally_router_first_data_seconds", "Time from a request to the first data of its answer."))
    , m_connections(m_metrics.gauge("nutmegtally_router_connections", "Open connections of callers."))
    , m_refusedConnections(m_metrics.gauge("nutmegtally_router_connections_refused", "Connections refused because of the limit."))
    , m_runningRequests(m_metrics.gauge("nutmegtally_router_requests_running", "Requests without their final answer."))
    , m_configVersion(m_metrics.gauge("nutmegtally_router_configuration_version", "Version of the configuration in force."))
    , m_loop([](const std::exception &fault) { logEvent(log_event::internalFault, fault.what()); })
    , m_client(m_loop.context(), steadyNow)
    , m_core(m_settings.routing)
    , m_tickTimer(m_loop.context())
{
    m_fleet->start({[this](const fleet_config_ptr &config) { m_loop.post([this, config] { configChanged(config); }); },
                    [this](const upstream_info &info) { m_loop.post([this, info] { upstreamChanged(info); }); }});
    m_loop.run([this] { tick(); });
    m_server = startServer(m_loop, m_settings.listen, m_settings.limits, [this](const http_exchange::pointer &each) { handle(each); });
    if (!m_settings.innerListen.empty()) {
        m_peerServer = startServer(m_loop, m_settings.innerListen, m_settings.limits,
                                   [this](const http_exchange::pointer &each) { handlePeerRequest(each); });
    }
    m_statusServer = startStatusServer(
        m_loop, m_settings.statusListen, m_metrics, [this] { return notReadyReason(); }, [this] { refreshMetrics(); });
    m_address = m_server->address();
    m_statusAddress = m_statusServer->address();
    logEvent(log_event::daemonReady, "listen=" + m_address + " status=" + m_statusAddress);
}

router_daemon::~router_daemon()
{
    m_fleet->stop();
    stopServer(m_loop, m_peerServer, duration(0));
    stopServer(m_loop, m_server, duration(0));
    stopServer(m_loop, m_statusServer, duration(0));
    m_loop.stop();
}

std::string router_daemon::address() const
{
    return m_address;
}

std::string router_daemon::statusAddress() const
{
    return m_statusAddress;
}

bool router_daemon::drain(duration limit)
{
    logEvent(log_event::daemonStopping, "limit_ms=" + std::to_string(limit.count() / 1000));
    const time_point end = steadyNow() + limit;
    m_fleet->announceLeaving();
    m_loop.run([this] { m_draining = true; });
    const bool complete = m_loop.waitFor([this] { return m_requests.empty(); }, limit);
    stopServer(m_loop, m_server, std::max(end - steadyNow(), duration(0)));
    logEvent(log_event::daemonStopped, complete ? "cut=no" : "cut=yes");
    return complete;
}

void router_daemon::handle(const http_exchange::pointer &exchange)
{
    const request_id id(randomId());
    exchange->setHeader("X-Nutmegtally-Request", toHex(id.value()));
    try {
        serve(exchange, id);
    } catch (const error &fault) {
        const bool denied = fault.code() == error_code::unknownAccount;
        logEvent(denied ? log_event::accessDenied : log_event::requestRefused,
                 describe(id) + " code=" + std::string(errorInfo(fault.code()).name));
        countOutcome(errorInfo(fault.code()).name);
        replyError(*exchange, fault, toHex(id.value()));
    } catch (const std::exception &fault) {
        logEvent(log_event::internalFault, describe(id) + " " + fault.what());
        countOutcome("internal");
        replyError(*exchange, error(error_code::internal, {}, run_state::unknown), toHex(id.value()));
    }
}

void router_daemon::handlePeerRequest(const http_exchange::pointer &exchange)
{
    if (exchange->path() != rpcPath || exchange->method() != "POST") {
        exchange->reply(404, "text/plain", "no such path\n");
        return;
    }
    exchange->reply(200, "application/json", m_fleet->handleRpc(exchange->header(rpcAuthHeader), exchange->body()));
}

void router_daemon::serve(const http_exchange::pointer &exchange, request_id id)
{
    if (m_draining) {
        throw error(error_code::shuttingDown, {}, run_state::notRun, retryAfterShutdown);
    }
    if (!m_snapshot) {
        throw error(error_code::configurationUnknown, {}, run_state::notRun, retryAfterStart);
    }
    auto running = std::make_shared<running_request>(m_loop.context());
    running->request = readCallerRequest(*exchange, id, {*m_snapshot->config, m_snapshot->accounts, m_settings.requestLimit});
    running->answer
        = std::make_shared<caller_answer>(exchange, running->request.work.stream, toHex(id.value()), m_settings.answerBufferBytes);
    m_requests.emplace(id, running);
    exchange->setCallbacks([this, id] { callerDisconnected(id); }, [this, id] { outputDrained(id); });
    startDeadlineTimer(id, *running);
    post(router_event::request_arrived {id, running->request.work.info});
}

void router_daemon::startDeadlineTimer(request_id id, running_request &running)
{
    running.deadlineTimer.expires_after(running.request.work.info.deadline - steadyNow());
    running.deadlineTimer.async_wait([this, id](const boost::system::error_code &stopped) {
        if (!stopped && find(id) != nullptr) {
            post(router_event::request_cancelled {id});
            fail(id, error(error_code::deadlineExceeded, {}, run_state::unknown));
        }
    });
}

void router_daemon::callerDisconnected(request_id id)
{
    if (find(id) == nullptr) {
        return;
    }
    m_callerDisconnects.Increment();
    logEvent(log_event::callerGone, describe(id));
    post(router_event::request_cancelled {id});
    finish(id);
}

void router_daemon::outputDrained(request_id id)
{
    const running_request *running = find(id);
    if (running != nullptr && running->runner) {
        running->runner->resumeReading();
    }
}

void router_daemon::carryOut(const router_effect::send_attempt &order)
{
    running_request *running = find(order.attempt.request);
    if (running == nullptr) {
        return; // the request has already ended
    }
    if (order.delay <= duration(0)) {
        startAttempt(order);
        return;
    }
    running->delayTimer.expires_after(order.delay);
    running->delayTimer.async_wait([this, order](const boost::system::error_code &stopped) {
        if (!stopped) {
            startAttempt(order);
        }
    });
}

void router_daemon::carryOut(const router_effect::reply_error &reply)
{
    if (find(reply.request) != nullptr) {
        fail(reply.request, error(reply.code, {}, reply.state, reply.retryAfter));
    }
}

/// Nothing to do: the core emits this after a request was cancelled, and finish() cancels its attempt.
void router_daemon::carryOut(const router_effect::cancel_attempt &) { }

void router_daemon::carryOut(const log_record &record)
{
    logEvent(record);
}

void router_daemon::startAttempt(const router_effect::send_attempt &order)
{
    running_request *running = find(order.attempt.request);
    if (running == nullptr) {
        return;
    }
    const auto address = m_addresses.find(order.upstream);
    if (address == m_addresses.end()) {
        attempt_result unreachable;
        unreachable.state = run_state::notRun;
        attemptEnded(order, unreachable);
        return;
    }
    work_header work = running->request.work;
    work.attempt = order.attempt;
    work.mean = order.mean;
    work.expectedCachedTokens = order.expectedCachedTokens;
    work.configVersion = m_snapshot->config->version;
    running->answer->reset();
    running->answer->setRoutingToken(order.nextToken);
    m_attempts.Increment();
    running->runner
        = std::make_shared<attempt_runner>(attempt_context {m_loop.context(), m_pool, m_client, m_authenticator},
                                           attempt_options {m_settings.streamIdleTimeout, m_settings.connectTimeout, m_settings.maxResumes},
                                           address->second, std::move(work), running->request.body, makeObserver(order, running->request));
    running->runner->start(running->answer);
}

attempt_observer router_daemon::makeObserver(const router_effect::send_attempt &order, const caller_request &request)
{
    const time_point begin = request.work.info.deadline - m_settings.requestLimit;
    attempt_observer observer;
    observer.started = [this, attempt = order.attempt](const load_report &load) { post(router_event::attempt_started {attempt, load}); };
    observer.versionSeen = [this](std::uint64_t version) { m_fleet->observeConfigVersion(version); };
    observer.firstData = [this, begin] { m_firstDataSeconds.Observe(std::chrono::duration<double>(steadyNow() - begin).count()); };
    observer.idleTimedOut = [this] { m_streamIdleTimeouts.Increment(); };
    observer.resumed = [this, id = request.id] {
        m_streamsResumed.Increment();
        logEvent(log_event::streamResumed, describe(id));
    };
    observer.ended = [this, order](const attempt_result &result) { attemptEnded(order, result); };
    return observer;
}

void router_daemon::attemptEnded(const router_effect::send_attempt &order, const attempt_result &result)
{
    const attempt_ref attempt = order.attempt;
    running_request *running = find(attempt.request);
    if (running == nullptr) {
        return;
    }
    const std::string text = describe(attempt.request) + " attempt=" + std::to_string(attempt.attempt);
    if (result.hasLoad && result.outcome != attempt_outcome::finished) {
        post(router_event::load_reported {order.upstream, result.load});
    }
    switch (result.outcome) {
    case attempt_outcome::finished:
        m_promptTokens.Increment(result.promptTokens);
        m_cachedTokens.Increment(result.cachedTokens);
        countOutcome("ok");
        finish(attempt.request);
        post(router_event::attempt_finished {attempt, result.load, result.cachedTokens, result.promptTokens});
        return;
    case attempt_outcome::refused:
        m_attemptsRefused.Increment();
        logEvent(log_event::attemptRefused, text + " code=" + std::string(errorInfo(result.reason.code).name));
        post(router_event::attempt_refused {attempt, result.reason, result.owner});
        return;
    case attempt_outcome::deadlinePassed:
        post(router_event::request_cancelled {attempt.request});
        fail(attempt.request, error(error_code::deadlineExceeded, {}, run_state::unknown));
        return;
    default:
        m_attemptsFailed.Increment();
        logEvent(running->answer->hasStarted() ? log_event::streamLost : log_event::attemptFailed,
                 text + " run_state=" + std::string(name(result.state)));
        post(router_event::attempt_failed {attempt, result.state, running->answer->hasStarted()});
    }
}

void router_daemon::fail(request_id id, const error &fault)
{
    const running_request *running = find(id);
    logEvent(log_event::requestRefused, describe(id) + " class=" + running->request.className + " code="
                                            + std::string(errorInfo(fault.code()).name) + " run_state=" + std::string(name(fault.state())));
    countOutcome(errorInfo(fault.code()).name);
    running->answer->fail(fault);
    finish(id);
}

void router_daemon::finish(request_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const std::shared_ptr<running_request> running = found->second;
    m_requests.erase(found);
    running->deadlineTimer.cancel();
    running->delayTimer.cancel();
    // A finished attempt is left alone: it reads its connection to the end of the body, so that it can be reused.
    if (running->runner && !running->runner->isFinished()) {
        running->runner->cancel();
    }
}

router_daemon::running_request *router_daemon::find(request_id id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void router_daemon::post(const router_core::event &event)
{
    m_events.post(m_core, event, steadyNow, [this](const auto &effect) { carryOut(effect); });
}

void router_daemon::configChanged(const fleet_config_ptr &config)
{
    m_snapshot = fleet_snapshot {config, account_index(*config)};
    m_configVersion.Set(static_cast<double>(config->version));
    post(router_event::config_changed {config});
    logEvent(log_event::configurationApplied, "version=" + std::to_string(config->version));
}

void router_daemon::upstreamChanged(const upstream_info &info)
{
    if (info.state == upstream_state::gone) {
        m_addresses.erase(info.upstream);
    } else {
        m_addresses[info.upstream] = info.address;
    }
    post(router_event::upstream_changed {info});
}

void router_daemon::tick()
{
    post(router_event::tick {});
    m_pool.closeExpired(steadyNow());
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &stopped) {
        if (!stopped) {
            tick();
        }
    });
}

void router_daemon::countOutcome(std::string_view code)
{
    m_outcomes.Add({{"code", std::string(code)}}).Increment();
}

void router_daemon::refreshMetrics()
{
    m_connections.Set(m_server ? static_cast<double>(m_server->connections()) : 0);
    m_refusedConnections.Set(m_server ? static_cast<double>(m_server->refusedConnections()) : 0);
    m_runningRequests.Set(static_cast<double>(m_requests.size()));
}

std::string router_daemon::notReadyReason() const
{
    if (m_draining) {
        return "shutting down";
    }
    return m_snapshot ? "" : "no configuration";
}

} // namespace nutmegtally
