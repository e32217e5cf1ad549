#include "agent/agent_daemon.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/errors.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr duration platformRetryAfter = std::chrono::seconds(2);
constexpr duration firstLoadTimeout = std::chrono::seconds(1); // wait for the upstream's incarnation before accepting work
constexpr std::string_view cancelPrefix = "/inner/v1/work/";

std::string describe(attempt_ref attempt)
{
    return "request=" + toHex(attempt.request.value()) + " attempt=" + std::to_string(attempt.attempt);
}

} // namespace

agent_daemon::agent_daemon(agent_settings settings, std::unique_ptr<fleet_source> fleet)
    : m_settings(std::move(settings))
    , m_fleet(std::move(fleet))
    , m_authenticator(m_settings.innerKeys)
    , m_offered(m_metrics.counter("nutmegtally_agent_work_offered_total", "Attempts that routers offered."))
    , m_refused(m_metrics.counter("nutmegtally_agent_work_refused_total", "Attempts that were refused as not run."))
    , m_started(m_metrics.counter("nutmegtally_agent_work_started_total", "Attempts that were sent to the upstream."))
    , m_cancelled(m_metrics.counter("nutmegtally_agent_work_cancelled_total", "Attempts whose caller or router went away."))
    , m_resumed(m_metrics.counter("nutmegtally_agent_streams_resumed_total", "Streams that went on over a new connection."))
    , m_failed(m_metrics.counter("nutmegtally_agent_upstream_failures_total", "Attempts that the upstream did not finish."))
    , m_connections(m_metrics.gauge("nutmegtally_agent_connections", "Open connections of routers."))
    , m_running(m_metrics.gauge("nutmegtally_agent_running", "Attempts at the upstream."))
    , m_queued(m_metrics.gauge("nutmegtally_agent_queued", "Attempts that wait in the queue."))
    , m_window(m_metrics.gauge("nutmegtally_agent_window", "Attempts that the upstream may run at once."))
    , m_loop([](const std::exception &fault) { logEvent(log_event::internalFault, fault.what()); })
    , m_upstream(m_loop.context(), m_settings.upstream)
    , m_core(m_settings.admission)
    , m_tickTimer(m_loop.context())
    , m_loadTimer(m_loop.context())
{
    m_fleet->start({[this](const fleet_config_ptr &config) { m_loop.post([this, config] { configChanged(config); }); },
                    [this](const upstream_info &info) { m_loop.post([this, info] { upstreamChanged(info); }); }});
    m_loop.run([this] {
        tick();
        pollLoad();
    });
    m_loop.waitFor([this] { return m_isFirstLoadPollDone; }, firstLoadTimeout);
    m_server = startServer(m_loop, m_settings.listen, m_settings.limits, [this](const http_exchange::pointer &each) { handle(each); });
    m_statusServer = startStatusServer(
        m_loop, m_settings.statusListen, m_metrics, [this] { return notReadyReason(); }, [this] { refreshMetrics(); });
    m_address = m_server->address();
    m_statusAddress = m_statusServer->address();
    logEvent(log_event::daemonReady, "listen=" + m_address + " status=" + m_statusAddress);
}

agent_daemon::~agent_daemon()
{
    m_fleet->stop();
    std::shared_ptr<agent_ledger> bookings;
    m_loop.run([this, &bookings] {
        m_tickTimer.cancel();
        m_loadTimer.cancel();
        bookings = std::exchange(m_ledger, nullptr);
        for (const auto &[attempt, stream] : std::exchange(m_streams, {})) {
            stream->cancel();
            stream->refuse(error_code::shuttingDown, run_state::unknown, duration(0));
        }
    });
    bookings.reset(); // joins the ledger's threads, which may still post to the loop
    stopServer(m_loop, m_server, duration(0));
    stopServer(m_loop, m_statusServer, duration(0));
    m_loop.stop();
}

std::string agent_daemon::address() const
{
    return m_address;
}

std::string agent_daemon::statusAddress() const
{
    return m_statusAddress;
}

bool agent_daemon::drain(duration limit)
{
    logEvent(log_event::daemonStopping, "limit_ms=" + std::to_string(limit.count() / 1000));
    const time_point end = steadyNow() + limit;
    m_fleet->announceLeaving();
    m_loop.run([this] {
        m_draining = true;
        post(admission_event::drain_requested {});
    });
    const bool complete = m_loop.waitFor([this] { return m_drained && m_senders == 0; }, limit);
    stopServer(m_loop, m_server, std::max(end - steadyNow(), duration(0)));
    logEvent(log_event::daemonStopped, complete ? "cut=no" : "cut=yes");
    return complete;
}

void agent_daemon::handle(const http_exchange::pointer &exchange)
{
    const std::string path = exchange->path();
    if (path == rpcPath && exchange->method() == "POST") {
        exchange->reply(200, "application/json", m_fleet->handleRpc(exchange->header(rpcAuthHeader), exchange->body()));
    } else if (path == workPath && exchange->method() == "POST") {
        handleWork(exchange);
    } else if (path.compare(0, cancelPrefix.size(), cancelPrefix) == 0 && exchange->method() == "DELETE") {
        handleCancel(*exchange);
    } else {
        exchange->reply(404, "text/plain", "no such path\n");
    }
}

nlohmann::json agent_daemon::readVerifiedFields(const http_exchange &exchange)
{
    nlohmann::json fields = nlohmann::json::parse(exchange.header(workHeaderName), nullptr, false);
    if (!fields.is_object()) {
        throw error(error_code::malformedRequest, std::string(workHeaderName) + " is not a JSON object");
    }
    m_authenticator.verify(exchange.method(), exchange.target(), fields, exchange.body());
    return fields;
}

void agent_daemon::handleWork(const http_exchange::pointer &exchange)
{
    const work_header header = parseWorkHeader(readVerifiedFields(*exchange));
    m_fleet->observeConfigVersion(header.configVersion);
    const stream_ptr stream = findOrStart(header, exchange->body());
    sender_callbacks callbacks;
    callbacks.addLoadReport = [this](stream_record &record) {
        record.load = report();
        record.configVersion = m_configVersion;
    };
    callbacks.ended = [this, stream] { senderEnded(stream); };
    ++m_senders;
    const auto sender
        = std::make_shared<agent_sender>(m_loop.context(), exchange, stream, m_settings.keepaliveInterval, std::move(callbacks));
    if (!sender->start(header.resumeSeq)) {
        --m_senders;
        throw error(error_code::streamLost, "the record to resume at is not in the buffer", run_state::unknown);
    }
    if (header.resume) {
        m_resumed.Increment();
        logEvent(log_event::streamResumed, describe(header.attempt) + " seq=" + std::to_string(header.resumeSeq));
    }
}

void agent_daemon::senderEnded(const stream_ptr &stream)
{
    --m_senders;
    if (stream->isEnded() && !stream->isComplete()) {
        // Routers never resume a refused attempt. Keeping it for the resume window would let a burst of refusals exhaust memory.
        m_streams.erase(stream->header().attempt);
    }
}

agent_daemon::stream_ptr agent_daemon::findOrStart(const work_header &header, const std::string &body)
{
    if (stream_ptr known = find(header.attempt)) {
        return known;
    }
    // Without a buffered stream, only a streamed chat can be resumed: the engine accepts a resume offset.
    if (header.resumeSeq > 0 && !header.stream) {
        throw error(error_code::streamLost, "the attempt is not known here", run_state::unknown);
    }
    auto stream = std::make_shared<agent_stream>(header, body, m_settings.streamBufferBytes);
    m_streams.emplace(header.attempt, stream);
    offer(stream);
    return stream;
}

void agent_daemon::offer(const stream_ptr &stream)
{
    const work_header &header = stream->header();
    m_offered.Increment();
    if (header.info.kind == work_kind::booking && !m_ledger) {
        // A booking must not run without a ledger to record it.
        m_refused.Increment();
        stream->refuse(error_code::platformUnavailable, run_state::notRun, platformRetryAfter);
        return;
    }
    if (header.info.kind == work_kind::booking && m_ledger->contains(header.info.idempotencyKey)) {
        // A known key needs no admission: it starts no work, and a refusal would hide that the booking has already run.
        offerToLedger(stream);
        return;
    }
    request_info info = header.info;
    info.deadline = steadyNow() + info.deadline.time_since_epoch();
    post(admission_event::work_offered {header.attempt, info, header.mean, header.expectedCachedTokens});
}

void agent_daemon::offerToLedger(const stream_ptr &stream)
{
    const request_info &info = stream->header().info;
    m_ledger->post(ledger_event::booking_requested {stream->header().attempt, info.idempotencyKey, info.bodyHash,
                                                    steadyNow() + info.deadline.time_since_epoch(), wallNow()});
}

void agent_daemon::handleCancel(http_exchange &exchange)
{
    readVerifiedFields(exchange);
    const std::string rest = exchange.path().substr(cancelPrefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos) {
        throw error(error_code::malformedRequest, "the path is REQUEST/ATTEMPT");
    }
    const attempt_ref attempt {request_id(fromHex(rest.substr(0, slash))), static_cast<std::uint32_t>(fromHex(rest.substr(slash + 1)))};
    if (const stream_ptr stream = find(attempt)) {
        logEvent(log_event::callerGone, describe(attempt));
        cancelAtUpstream(stream);
    }
    exchange.reply(204, "", "");
}

void agent_daemon::post(const admission_core::event &event)
{
    m_events.post(m_core, event, steadyNow, [this](const auto &effect) { carryOut(effect); });
}

void agent_daemon::carryOut(const admission_effect::start_work &order)
{
    const stream_ptr stream = find(order.attempt);
    if (!stream) {
        return;
    }
    m_started.Increment();
    if (stream->header().info.kind == work_kind::booking) {
        offerToLedger(stream);
        return;
    }
    m_upstream.run(
        stream, order.priority,
        [this, attempt = order.attempt](bool isFirst) {
            if (isFirst) {
                post(admission_event::first_token {attempt});
            } else {
                post(admission_event::token {attempt});
            }
        },
        [this, attempt = order.attempt](const upstream_result &result) {
            if (!result.ok) {
                m_failed.Increment();
            }
            post(admission_event::work_finished {attempt, result.ok, result.generatedTokens});
        });
}

void agent_daemon::carryOut(const admission_effect::refuse_work &refused)
{
    m_refused.Increment();
    if (const stream_ptr stream = find(refused.attempt)) {
        logEvent(log_event::workRefused, describe(refused.attempt) + " code=" + std::string(errorInfo(refused.reason.code).name));
        stream->refuse(refused.reason.code, run_state::notRun, refused.reason.retryAfter);
    }
}

void agent_daemon::carryOut(const admission_effect::cancel_work &cancelled)
{
    if (const stream_ptr stream = find(cancelled.attempt)) {
        cancelAtUpstream(stream);
    }
}

void agent_daemon::carryOut(const admission_effect::drained &)
{
    m_drained = true;
}

void agent_daemon::carryOut(const log_record &record)
{
    logEvent(record);
}

void agent_daemon::cancelAtUpstream(const stream_ptr &stream)
{
    // Must be read before cancel(), which ends the call to the upstream.
    const bool running = stream->wasStarted() && !stream->isEnded();
    if (!stream->cancel()) {
        return;
    }
    m_cancelled.Increment();
    const bool isBooking = stream->header().info.kind == work_kind::booking;
    if (isBooking && m_ledger) {
        m_ledger->post(ledger_event::booking_cancelled {stream->header().attempt});
    }
    stream->refuse(error_code::streamLost, running || isBooking ? run_state::unknown : run_state::notRun, duration(0));
    if (running) {
        m_upstream.cancel(stream->header().attempt.request);
    }
    post(admission_event::work_cancelled {stream->header().attempt});
}

void agent_daemon::configChanged(const fleet_config_ptr &config)
{
    m_configVersion = config->version;
    post(admission_event::config_changed {config});
    logEvent(log_event::configurationApplied, "version=" + std::to_string(config->version));
    const service_config *service = config->findService(m_settings.self.service);
    if (service == nullptr || m_settings.platform.objectsAddress.empty()) {
        return;
    }
    if (m_ledger) {
        m_ledger->post(ledger_event::service_config_changed {*service});
        return;
    }
    ledger_options options;
    options.service = service->name;
    options.self = m_settings.self.name;
    options.shards = service->shards;
    options.horizon = service->horizon;
    options.checksKeys = service->checksKeys;
    options.nonceSeed = randomId();
    m_ledger = std::make_shared<agent_ledger>(std::move(options), m_settings.platform.objectsAddress, ledgerCallbacks());
    postOwnerView();
}

void agent_daemon::upstreamChanged(const upstream_info &info)
{
    if (!info.service.isValid() || info.service != m_settings.self.service) {
        return;
    }
    m_serviceAgents[info.upstream] = info.state == upstream_state::live;
    postOwnerView();
}

void agent_daemon::postOwnerView()
{
    if (!m_ledger) {
        return;
    }
    ledger_event::owner_view_changed view;
    for (const auto &[upstream, isLive] : m_serviceAgents) {
        if (isLive) {
            view.live.push_back(upstream);
        }
    }
    m_ledger->post(view);
}

/// The ledger invokes these from its own threads; each one posts to the event loop.
ledger_callbacks agent_daemon::ledgerCallbacks()
{
    ledger_callbacks callbacks;
    callbacks.run = [this](const ledger_effect::run_request &order) { m_loop.post([this, order] { runBooking(order); }); };
    callbacks.outcome = [this](const ledger_effect::reply_outcome &reply) { m_loop.post([this, reply] { replyOutcome(reply); }); };
    callbacks.refusal = [this](const ledger_effect::reply_refusal &reply) { m_loop.post([this, reply] { replyRefusal(reply); }); };
    return callbacks;
}

void agent_daemon::runBooking(const ledger_effect::run_request &order)
{
    const auto answered = [this, claim = order.claim](const service_answer &answer) {
        if (!m_ledger) {
            return;
        }
        if (answer.state == run_state::ran) {
            m_ledger->post(ledger_event::service_answered {claim, answer.status, answer.contentType, answer.body});
        } else {
            m_ledger->post(ledger_event::service_failed {claim, answer.state});
        }
    };
    if (const stream_ptr stream = find(order.attempt)) {
        m_upstream.sendBooking(stream, order.key.toText(), order.fencingToken, order.deadline - steadyNow(), answered);
        return;
    }
    service_answer notRun;
    notRun.state = run_state::notRun;
    answered(notRun);
}

void agent_daemon::replyOutcome(const ledger_effect::reply_outcome &reply)
{
    if (const stream_ptr stream = find(reply.attempt)) {
        stream_record head;
        head.status = reply.outcome.status;
        head.contentType = reply.outcome.contentType;
        head.outcome = reply.outcome.bodyKept ? "" : "ran";
        stream->setHead(std::move(head));
        if (!reply.outcome.body.empty()) {
            stream->append({reply.outcome.body, {}});
        }
        stream->finish(0, 0);
    }
    post(admission_event::work_finished {reply.attempt, true, 0});
}

void agent_daemon::replyRefusal(const ledger_effect::reply_refusal &reply)
{
    if (const stream_ptr stream = find(reply.attempt)) {
        stream->refuse(reply.code, reply.state, reply.retryAfter.value_or(duration(0)), reply.owner);
    }
    post(admission_event::work_finished {reply.attempt, true, 0});
}

agent_daemon::stream_ptr agent_daemon::find(attempt_ref attempt) const
{
    const auto found = m_streams.find(attempt);
    return found == m_streams.end() ? nullptr : found->second;
}

load_report agent_daemon::report() const
{
    load_report load = m_core.report(steadyNow());
    if (m_incarnation != 0) {
        load.incarnation = m_incarnation;
    }
    return load;
}

void agent_daemon::tick()
{
    post(admission_event::tick {});
    const time_point expired = steadyNow() - m_settings.resumeWindow;
    std::vector<stream_ptr> old;
    std::erase_if(m_streams, [&](const auto &entry) {
        const bool isOld = entry.second->isDetachedSince(expired);
        if (isOld) {
            old.push_back(entry.second);
        }
        return isOld;
    });
    for (const stream_ptr &stream : old) {
        if (!stream->isEnded()) {
            logEvent(log_event::streamLost, describe(stream->header().attempt) + " reason=not_resumed");
            cancelAtUpstream(stream);
        }
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &stopped) {
        if (!stopped) {
            tick();
        }
    });
}

void agent_daemon::pollLoad()
{
    m_upstream.readLoad([this](const std::optional<upstream_load> &load) {
        m_isFirstLoadPollDone = true;
        if (load) {
            const std::uint64_t before = std::exchange(m_incarnation, load->incarnation);
            if (before != 0 && before != load->incarnation) {
                post(admission_event::upstream_restarted {load->incarnation});
            }
            post(admission_event::upstream_load_reported {load->running});
        }
        m_loadTimer.expires_after(m_settings.loadInterval);
        m_loadTimer.async_wait([this](const boost::system::error_code &stopped) {
            if (!stopped) {
                pollLoad();
            }
        });
    });
}

void agent_daemon::refreshMetrics()
{
    const load_report load = report();
    m_connections.Set(m_server ? static_cast<double>(m_server->connections()) : 0);
    m_running.Set(load.running);
    m_queued.Set(load.queued);
    m_window.Set(load.window);
}

std::string agent_daemon::notReadyReason() const
{
    if (m_draining) {
        return "draining";
    }
    return m_configVersion == 0 ? "no configuration" : "";
}

} // namespace nutmegtally
