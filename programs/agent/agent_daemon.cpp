#include "agent/agent_daemon.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/errors.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr duration platformRetryAfter = std::chrono::seconds(2);
constexpr std::string_view cancelPrefix = "/inner/v1/work/";

std::string describe(attempt_ref attempt)
{
    return "request=" + toHex(attempt.request.value()) + " attempt=" + std::to_string(attempt.attempt);
}

} // namespace

class agent_daemon::attachment
{
public:
    attachment(agent_daemon &daemon, agent_stream &stream, std::uint64_t generation)
        : m_daemon(daemon)
        , m_stream(stream)
        , m_generation(generation)
    {
        const std::lock_guard lock(m_daemon.m_streamsMutex);
        ++m_daemon.m_senders;
    }

    ~attachment()
    {
        m_stream.detach(m_generation, steadyNow());
        const std::lock_guard lock(m_daemon.m_streamsMutex);
        --m_daemon.m_senders;
        m_daemon.m_streamsChanged.notify_all();
    }

    attachment(const attachment &) = delete;
    attachment &operator=(const attachment &) = delete;

private:
    agent_daemon &m_daemon;
    agent_stream &m_stream;
    std::uint64_t m_generation;
};

agent_daemon::agent_daemon(agent_settings settings, std::unique_ptr<fleet_source> fleet)
    : m_settings(std::move(settings))
    , m_fleet(std::move(fleet))
    , m_authenticator(m_settings.innerKeys)
    , m_upstream(m_settings.upstream)
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
    , m_core(m_settings.admission)
{
    m_fleet->start(
        {[this](const fleet_config_ptr &config) { configChanged(config); }, [this](const upstream_info &info) { upstreamChanged(info); }});
    pollLoad();
    m_server = std::make_unique<http_server>(m_settings.listen, m_settings.limits, [this](http_exchange &exchange) { handle(exchange); });
    m_status = std::make_unique<http_server>(m_settings.statusListen, http_limits {.maxConnections = 32},
                                             statusHandler(
                                                 m_metrics, [this] { return notReady(); }, [this] { refreshMetrics(); }));
    m_tick = std::make_unique<periodic_timer>(tickInterval, [this] { onTick(); });
    m_loadPoll = std::make_unique<periodic_timer>(m_settings.loadInterval, [this] { pollLoad(); });
    logEvent(log_event::daemonReady, "listen=" + address() + " status=" + statusAddress());
}

agent_daemon::~agent_daemon()
{
    m_fleet->stop();
    m_loadPoll.reset();
    m_tick.reset();
    std::map<attempt_ref, stream_ptr> streams;
    std::shared_ptr<agent_ledger> last;
    {
        const std::lock_guard lock(m_streamsMutex);
        streams.swap(m_streams);
    }
    for (const auto &[attempt, stream] : streams) {
        stream->cancel();
        stream->refuse(error_code::shuttingDown, run_state::unknown, duration(0));
    }
    m_server->stop(duration(0));
    m_status->stop(duration(0));
    m_workers.wait();
    {
        const std::lock_guard lock(m_ledgerMutex);
        m_ledger.swap(last);
    }
    last.reset();
    m_workers.wait(); // calls that the ledger started meanwhile
}

std::string agent_daemon::address() const
{
    return m_server->address();
}

std::string agent_daemon::statusAddress() const
{
    return m_status->address();
}

bool agent_daemon::drain(duration limit)
{
    logEvent(log_event::daemonStopping, "limit_ms=" + std::to_string(limit.count() / 1000));
    const time_point end = steadyNow() + limit;
    m_draining = true;
    m_fleet->announceLeaving();
    post(admission_event::drain_requested {});
    bool complete = false;
    {
        std::unique_lock lock(m_streamsMutex);
        complete = m_streamsChanged.wait_for(lock, limit, [this] { return m_drained && m_senders == 0; });
    }
    m_server->stop(std::max(end - steadyNow(), duration(0)));
    logEvent(log_event::daemonStopped, complete ? "cut=no" : "cut=yes");
    return complete;
}

void agent_daemon::handle(http_exchange &exchange)
{
    try {
        const std::string path = exchange.path();
        if (path == rpcPath && exchange.method() == "POST") {
            const std::string body = exchange.readBody();
            exchange.reply(200, "application/json", m_fleet->handleRpc(exchange.header(rpcAuthHeader), body));
        } else if (path == workPath && exchange.method() == "POST") {
            handleWork(exchange);
        } else if (path.compare(0, cancelPrefix.size(), cancelPrefix) == 0 && exchange.method() == "DELETE") {
            handleCancel(exchange);
        } else {
            exchange.reply(404, "text/plain", "no such path\n");
        }
    } catch (const error &) {
        throw;
    } catch (const std::exception &fault) {
        logEvent(log_event::internalFault, fault.what());
        throw error(error_code::internal, {}, run_state::unknown);
    }
}

work_header agent_daemon::readHeader(http_exchange &exchange, const std::string &body)
{
    nlohmann::json fields = nlohmann::json::parse(exchange.header(workHeaderName), nullptr, false);
    if (!fields.is_object()) {
        throw error(error_code::malformedRequest, std::string(workHeaderName) + " is not a JSON object");
    }
    m_authenticator.verify(exchange.method(), exchange.target(), fields, body);
    return parseWorkHeader(fields);
}

void agent_daemon::handleWork(http_exchange &exchange)
{
    std::string body = exchange.readBody();
    const work_header header = readHeader(exchange, body);
    m_fleet->versionSeen(header.configVersion);
    const stream_ptr stream = findOrStart(header, std::move(body));
    const std::uint64_t generation = stream->attach(header.resumeSeq);
    if (generation == 0) {
        throw error(error_code::streamLost, "the record to resume at is not in the buffer", run_state::unknown);
    }
    if (header.resume) {
        m_resumed.Increment();
        logEvent(log_event::streamResumed, describe(header.attempt) + " seq=" + std::to_string(header.resumeSeq));
    }
    const attachment guard(*this, *stream, generation);
    exchange.startStream(200, "application/x-ndjson");
    send(exchange, *stream, generation);
    if (stream->isEnded() && !stream->isComplete()) {
        // Nobody resumes a refused attempt. A surge of refusals must not fill the memory for the resume window.
        const std::lock_guard lock(m_streamsMutex);
        m_streams.erase(header.attempt);
    }
}

agent_daemon::stream_ptr agent_daemon::findOrStart(const work_header &header, std::string body)
{
    stream_ptr stream;
    {
        const std::lock_guard lock(m_streamsMutex);
        const auto found = m_streams.find(header.attempt);
        if (found != m_streams.end()) {
            return found->second;
        }
        // A streamed chat can be asked of the engine again from the offset on; other work only from its start.
        if (header.resumeSeq > 0 && !header.stream) {
            throw error(error_code::streamLost, "the attempt is not known here", run_state::unknown);
        }
        stream = std::make_shared<agent_stream>(header, std::move(body), m_settings.streamBufferBytes);
        m_streams.emplace(header.attempt, stream);
    }
    offer(stream);
    return stream;
}

void agent_daemon::offer(const stream_ptr &stream)
{
    const work_header &header = stream->header();
    m_offered.Increment();
    if (header.info.kind == work_kind::booking && !ledger()) {
        // Without a ledger no booking may run.
        m_refused.Increment();
        stream->refuse(error_code::platformUnavailable, run_state::notRun, platformRetryAfter);
        return;
    }
    request_info info = header.info;
    info.deadline = steadyNow() + info.deadline.time_since_epoch();
    post(admission_event::work_offered {header.attempt, info, header.mean, header.expectedCachedTokens});
}

void agent_daemon::send(http_exchange &exchange, agent_stream &stream, std::uint64_t generation)
{
    stream_checksum checksum;
    stream_record record;
    for (;;) {
        record = stream_record();
        const agent_stream::next_kind kind = stream.next(generation, m_settings.keepaliveInterval, record);
        if (kind == agent_stream::next_kind::replaced) {
            exchange.abort();
            return;
        }
        if (kind == agent_stream::next_kind::idle) {
            record.kind = record_kind::keepalive;
        }
        if (!sendRecord(exchange, stream, record, checksum)) {
            exchange.abort();
            return;
        }
        if (record.kind == record_kind::end || record.kind == record_kind::refused) {
            return;
        }
    }
}

bool agent_daemon::sendRecord(http_exchange &exchange, agent_stream &stream, stream_record &record, stream_checksum &checksum)
{
    record.request = stream.header().attempt.request;
    if (record.kind == record_kind::data) {
        checksum.add(record.data);
    }
    if (record.kind == record_kind::end) {
        record.bytes = checksum.bytes();
        record.checksum = checksum.value();
    }
    if (record.kind != record_kind::data && record.kind != record_kind::keepalive) {
        record.load = report();
        record.configVersion = m_configVersion;
    }
    return exchange.write(encodeRecord(record) + "\n");
}

void agent_daemon::handleCancel(http_exchange &exchange)
{
    nlohmann::json fields = nlohmann::json::parse(exchange.header(workHeaderName), nullptr, false);
    if (!fields.is_object()) {
        throw error(error_code::malformedRequest, std::string(workHeaderName) + " is not a JSON object");
    }
    m_authenticator.verify(exchange.method(), exchange.target(), fields, "");
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
    std::vector<admission_core::effect> effects;
    {
        const std::lock_guard lock(m_coreMutex);
        m_core.apply(steadyNow(), event, effects);
    }
    for (const admission_core::effect &effect : effects) {
        execute(effect);
    }
}

void agent_daemon::execute(const admission_core::effect &effect)
{
    std::visit(overloaded {
                   [this](const admission_effect::start_work &order) {
                       if (const stream_ptr stream = find(order.attempt)) {
                           start(stream, order.priority);
                       }
                   },
                   [this](const admission_effect::refuse_work &refused) {
                       m_refused.Increment();
                       if (const stream_ptr stream = find(refused.attempt)) {
                           logEvent(log_event::workRefused,
                                    describe(refused.attempt) + " code=" + std::string(errorInfo(refused.why.code).name));
                           stream->refuse(refused.why.code, run_state::notRun, refused.why.retryAfter);
                       }
                   },
                   [this](const admission_effect::cancel_work &cancelled) {
                       if (const stream_ptr stream = find(cancelled.attempt)) {
                           cancelAtUpstream(stream);
                       }
                   },
                   [this](const admission_effect::drained &) {
                       const std::lock_guard lock(m_streamsMutex);
                       m_drained = true;
                       m_streamsChanged.notify_all();
                   },
                   [](const log_record &record) { logEvent(record); },
               },
               effect);
}

void agent_daemon::start(const stream_ptr &stream, unsigned priority)
{
    m_started.Increment();
    if (stream->header().info.kind == work_kind::booking) {
        const request_info &info = stream->header().info;
        ledger()->post(ledger_event::booking_offered {stream->header().attempt, info.idempotencyKey, info.bodyHash,
                                                      steadyNow() + info.deadline.time_since_epoch(), wallNow()});
        return;
    }
    m_workers.run([this, stream, priority] {
        const attempt_ref attempt = stream->header().attempt;
        upstream_result result;
        try {
            result = m_upstream.run(*stream, priority, [this, attempt] { post(admission_event::first_token {attempt}); });
        } catch (const std::exception &fault) {
            logEvent(log_event::internalFault, describe(attempt) + " " + fault.what());
        }
        if (!result.ok) {
            m_failed.Increment();
        }
        stream->refuse(error_code::internal, run_state::unknown, duration(0)); // ignored if the stream has its end
        post(admission_event::work_finished {attempt, result.ok, result.generatedTokens});
    });
}

void agent_daemon::cancelAtUpstream(const stream_ptr &stream)
{
    // Read before cancel(): that breaks the upstream connection, and its thread may end the stream at once.
    const bool running = stream->wasStarted() && !stream->isEnded();
    if (!stream->cancel()) {
        return;
    }
    m_cancelled.Increment();
    const bool isBooking = stream->header().info.kind == work_kind::booking;
    if (const std::shared_ptr<agent_ledger> bookings = isBooking ? ledger() : nullptr) {
        bookings->post(ledger_event::booking_cancelled {stream->header().attempt});
    }
    stream->refuse(error_code::streamLost, running || isBooking ? run_state::unknown : run_state::notRun, duration(0));
    if (running) {
        m_workers.run([this, stream] { m_upstream.cancel(stream->header().attempt.request); });
    }
    post(admission_event::work_cancelled {stream->header().attempt});
}

void agent_daemon::configChanged(const fleet_config_ptr &config)
{
    m_configVersion = config->version;
    post(admission_event::config_changed {config});
    logEvent(log_event::configurationApplied, "version=" + std::to_string(config->version));
    const service_config *service = config->findService(m_settings.self.service);
    if (service == nullptr || m_settings.platform.objects.empty()) {
        return;
    }
    std::shared_ptr<agent_ledger> bookings = ledger();
    if (bookings) {
        bookings->post(ledger_event::service_config_changed {*service});
        return;
    }
    ledger_options options;
    options.service = service->name;
    options.self = m_settings.self.name;
    options.shards = service->shards;
    options.horizon = service->horizon;
    options.checksKeys = service->checksKeys;
    options.nonceSeed = randomId();
    bookings = std::make_shared<agent_ledger>(std::move(options), m_settings.platform.objects, ledgerCallbacks());
    {
        const std::lock_guard lock(m_ledgerMutex);
        m_ledger = std::move(bookings);
    }
    postOwners();
}

void agent_daemon::upstreamChanged(const upstream_info &info)
{
    if (!info.service.isValid() || info.service != m_settings.self.service) {
        return;
    }
    {
        const std::lock_guard lock(m_ledgerMutex);
        m_owners[info.upstream] = info.state == upstream_state::live;
    }
    postOwners();
}

void agent_daemon::postOwners()
{
    ledger_event::owner_view_changed view;
    std::shared_ptr<agent_ledger> bookings;
    {
        const std::lock_guard lock(m_ledgerMutex);
        for (const auto &[upstream, isLive] : m_owners) {
            if (isLive) {
                view.live.push_back(upstream);
            }
        }
        bookings = m_ledger;
    }
    if (bookings) {
        bookings->post(view);
    }
}

std::shared_ptr<agent_ledger> agent_daemon::ledger()
{
    const std::lock_guard lock(m_ledgerMutex);
    return m_ledger;
}

ledger_callbacks agent_daemon::ledgerCallbacks()
{
    ledger_callbacks callbacks;
    callbacks.run = [this](const ledger_effect::run_request &order) { m_workers.run([this, order] { book(order); }); };
    callbacks.outcome = [this](const ledger_effect::reply_outcome &reply) { replyOutcome(reply); };
    callbacks.refusal = [this](const ledger_effect::reply_refusal &reply) { replyRefusal(reply); };
    return callbacks;
}

void agent_daemon::book(const ledger_effect::run_request &order)
{
    service_answer answer;
    answer.state = run_state::notRun;
    if (const stream_ptr stream = find(order.attempt)) {
        answer = m_upstream.book(*stream, order.key.toText(), order.fencing, order.deadline - steadyNow());
    }
    const std::shared_ptr<agent_ledger> bookings = ledger();
    if (!bookings) {
        return;
    }
    if (answer.state == run_state::ran) {
        bookings->post(ledger_event::service_answered {order.claim, answer.status, answer.contentType, answer.body});
    } else {
        bookings->post(ledger_event::service_failed {order.claim, answer.state});
    }
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
            stream->append({reply.outcome.body, {}}); // the first piece never waits for room
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

agent_daemon::stream_ptr agent_daemon::find(attempt_ref attempt)
{
    const std::lock_guard lock(m_streamsMutex);
    const auto found = m_streams.find(attempt);
    return found == m_streams.end() ? nullptr : found->second;
}

load_report agent_daemon::report()
{
    const std::lock_guard lock(m_coreMutex);
    load_report load = m_core.report(steadyNow());
    if (m_incarnation != 0) {
        load.incarnation = m_incarnation;
    }
    return load;
}

void agent_daemon::onTick()
{
    post(admission_event::tick {});
    const time_point expired = steadyNow() - m_settings.resumeWindow;
    std::vector<stream_ptr> old;
    {
        const std::lock_guard lock(m_streamsMutex);
        for (auto entry = m_streams.begin(); entry != m_streams.end();) {
            if (!entry->second->isDetachedSince(expired)) {
                ++entry;
                continue;
            }
            old.push_back(entry->second);
            entry = m_streams.erase(entry);
        }
    }
    for (const stream_ptr &stream : old) {
        if (!stream->isEnded()) {
            logEvent(log_event::streamLost, describe(stream->header().attempt) + " reason=not_resumed");
            cancelAtUpstream(stream);
        }
    }
}

void agent_daemon::pollLoad()
{
    const std::optional<upstream_load> load = m_upstream.readLoad();
    if (!load) {
        return;
    }
    const std::uint64_t before = m_incarnation.exchange(load->incarnation);
    if (before != 0 && before != load->incarnation) {
        post(admission_event::upstream_restarted {load->incarnation});
    }
    post(admission_event::upstream_load_reported {load->running});
}

void agent_daemon::refreshMetrics()
{
    const load_report load = report();
    m_connections.Set(m_server ? m_server->connections() : 0);
    m_running.Set(load.running);
    m_queued.Set(load.queued);
    m_window.Set(load.window);
}

std::string agent_daemon::notReady()
{
    if (m_draining) {
        return "draining";
    }
    return m_configVersion == 0 ? "no configuration" : "";
}

} // namespace nutmegtally
