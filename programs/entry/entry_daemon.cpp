#include "entry/entry_daemon.h"

#include "entry/message_compression.h"
#include "platform/names.h"
#include "platform/objects_codec.h"
#include "src/limits.h"

#include <nutmegtally/log_line.h>

#include <signal.h>
#include <time.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tickInterval = 100ms; // period in which followers, gossip and shutdown are checked
constexpr duration firstStartListDelay = 2s; // the first time the system starts, only seeds list at once; others sync from them
constexpr duration upstreamsWatchDelay = 200ms; // batches changes: rollouts replace upstreams one by one, and calls are charged
constexpr duration closureKeepTime = 6s; // that a closure stays which the restored object API lacks; operators write it again sooner
constexpr duration listTimeout = 1500ms; // for one page; a slow store takes some hundred milliseconds
constexpr duration statusWriteTimeout = 900ms; // below limits::rolloutRewriteDelay, so that a write does not overlap the next
constexpr duration minReportedTickGap = 1s; // a longer gap means that the process was suspended or starved of CPU
constexpr duration shutdownIdleTimeout = 1500ms; // closes callers' connections; a busier one gets "close" in its next answer
constexpr duration shutdownMargin = 200ms; // the process exits this long before the platform would kill it
constexpr std::size_t reservedDescriptors = 200; // kept for files and this process's own connections

follower_options followerOptionsFrom(std::string_view kind, const entry_settings &settings)
{
    follower_options options;
    options.kind = std::string(kind);
    if (kind == platform::kind::configuration || kind == platform::kind::rollouts) {
        options.keepAfterRestore = std::nullopt; // acknowledged rules and orders hold until newer ones are written
    } else if (kind == platform::kind::closures) {
        options.keepAfterRestore = closureKeepTime;
        options.watchTimeout = limits::closureWatchTimeout;
    }
    options.watchDelay = kind == platform::kind::upstreams ? upstreamsWatchDelay : duration(0);
    const bool isSeed = std::find(settings.seeds.begin(), settings.seeds.end(), settings.routersListen) != settings.seeds.end();
    options.initialListDelay = settings.isFirstStart && !settings.seeds.empty() && !isSeed ? firstStartListDelay : duration(0);
    return options;
}

duration timeSinceBoot()
{
    timespec elapsed {};
    ::clock_gettime(CLOCK_BOOTTIME, &elapsed);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(elapsed.tv_sec) + std::chrono::nanoseconds(elapsed.tv_nsec));
}

entry_options coreOptionsFrom(const entry_settings &settings)
{
    return {settings.name, settings.domain, settings.retries, !settings.isFirstStart, settings.mechanisms, settings.rollouts};
}

json_log_options logOptionsFrom(const entry_settings &settings)
{
    json_log_options options;
    options.process = settings.name;
    options.level = settings.logLevel;
    options.linesPerSecond = settings.logLinesPerSecond;
    return options;
}

gossip_options gossipOptionsFrom(const entry_settings &settings)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto startedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return {settings.name,
            settings.routersListen,
            settings.domain,
            settings.seeds,
            !settings.isFirstStart,
            static_cast<std::uint64_t>(std::max<std::int64_t>(1, startedAtMs)), // 0 would be that of an earlier version
            time_point(timeSinceBoot())};
}

local_answer plainAnswer(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

} // namespace

entry_daemon::entry_daemon(boost::asio::io_context &context, const entry_settings &settings, std::function<entry_settings()> reload)
    : m_context(context)
    , m_settings(settings)
    , m_reload(std::move(reload))
    , m_log(logOptionsFrom(settings))
    , m_calls(context, [this] { return now(); })
    , m_serving(context, platform::request_codec(), coreOptionsFrom(settings),
                {[this](const log_record &record) { carryOut(record); },
                 [this](const exchange_report &report) { m_metrics.requestFinished(report); },
                 [this](const entry_effect::list_held_parts &query) { listHeldParts(query); }, [this] { return now(); },
                 [this](const entry_effect::send_permit_message &sent) { sendPermitMessage(sent); },
                 [this](const entry_effect::write_rollout_status &write) { writeRolloutStatus(write); }})
    , m_followers {object_follower(followerOptionsFrom(objectKindNames[0], settings)),
                   object_follower(followerOptionsFrom(objectKindNames[1], settings)),
                   object_follower(followerOptionsFrom(objectKindNames[2], settings)),
                   object_follower(followerOptionsFrom(objectKindNames[3], settings))}
    , m_gossip(gossipOptionsFrom(settings))
    , m_election(settings.name, settings.domain)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(context)
    , m_heartbeatSocket(context)
    , m_heartbeatTimer(context)
    , m_lastTickAt(time_point(timeSinceBoot()))
    , m_startedAt(m_lastTickAt)
    , m_wantsPrompts(!settings.isFirstStart)
{
    log_line line;
    line.with("domain", settings.domain)
        .with("listen", settings.listen)
        .with("objects", settings.objectsAddress)
        .with("version", NUTMEGTALLY_VERSION);
    carryOut(log_record {log_event::daemonStarted, line.take()});
    if (!settings.disabledForMeasurement.empty()) {
        log_line disabled;
        disabled.with("disabled", settings.disabledForMeasurement);
        carryOut(log_record {log_event::mechanismsDisabled, disabled.take()});
    }
    const auto clock = [this] { return now(); };
    const std::size_t maxCallers = (settings.maxDescriptors - std::min(settings.maxDescriptors / 2, reservedDescriptors)) * 2 / 3;
    m_callerListener = std::make_unique<listener>(context, settings.listen, [this, maxCallers](boost::asio::ip::tcp::socket socket) {
        if (m_serving.callerConnections() >= maxCallers) {
            log_line refused;
            refused.with("callers", m_serving.callerConnections()).with("most", maxCallers);
            carryOut(log_record {log_event::connectionRefused, refused.take()});
            return; // closes the connection before any request is read from it
        }
        m_serving.accept(std::move(socket));
    });
    const auto serve = [&context, clock](const std::string &address, std::function<local_answer(const http_exchange &)> answer) {
        return std::make_unique<http_server>(
            context, address, server_limits(), clock,
            [answer = std::move(answer)](const http_exchange::pointer &exchange) { exchange->reply(answer(*exchange)); });
    };
    m_readyServer = serve(settings.readyListen, [this](const http_exchange &) { return answerReady(); });
    m_routerServer = serve(settings.routersListen, [this](const http_exchange &exchange) { return answerRouters(exchange); });
    if (!settings.metricsListen.empty()) {
        m_metricsServer = serve(settings.metricsListen, [this](const http_exchange &exchange) { return answerMetrics(exchange.target()); });
    }
    const auto heartbeatEndpoint = parseEndpoint(settings.loadListen);
    if (!heartbeatEndpoint) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, "listen address " + settings.loadListen);
    }
    m_heartbeatSocket.open(boost::asio::ip::udp::v4());
    m_heartbeatSocket.bind({heartbeatEndpoint->address(), heartbeatEndpoint->port()});
    m_heartbeatSocket.non_blocking(true);
    awaitSignals();
    receiveHeartbeats();
    tick();
    sendHeartbeats();
}

time_point entry_daemon::now() const
{
    // CLOCK_BOOTTIME also runs while the VM is suspended, unlike the steady clock; leases, timeouts and deadlines do not stop then.
    return time_point(timeSinceBoot());
}

object_follower &entry_daemon::follower(object_kind kind)
{
    return m_followers[static_cast<std::size_t>(kind)];
}

bool entry_daemon::run()
{
    m_context.run();
    return !m_hasCutRequests;
}

void entry_daemon::apply(object_kind kind, const object_follower::event &event)
{
    std::vector<object_follower::effect> effects;
    follower(kind).apply(now(), event, effects);
    const store_revision before = m_rolloutsVerifiedAt;
    forEach(effects, [this, kind](const auto &effect) { carryOut(kind, effect); });
    if (kind == object_kind::rollouts && follower(kind).isComplete() && follower(kind).asOf() > before) {
        m_rolloutsVerifiedAt = follower(kind).asOf();
        m_serving.post(entry_event::rollouts_verified {m_rolloutsVerifiedAt});
    }
}

template<typename Decode>
void entry_daemon::callObjects(object_kind kind, std::string target, duration timeout, Decode decode)
{
    call_request request;
    request.address = m_settings.objectsAddress;
    request.target = std::move(target);
    request.timeout = timeout;
    m_calls.call(request, [this, kind, decode](const call_result &result) {
        if (result.status == platform::historyExpiredStatus || result.status == 200) {
            m_apiAnsweredAt = now();
        }
        if (result.status == platform::historyExpiredStatus) {
            apply(kind, follower_event::history_expired {});
            return;
        }
        if (result.status != 200) {
            apply(kind, follower_event::call_failed {result.status == 0 ? result.failure : "status " + std::to_string(result.status)});
            return;
        }
        try {
            apply(kind, decode(result.body, platform::decodeEra(result.head)));
        } catch (const std::exception &fault) {
            apply(kind, follower_event::call_failed {fault.what()});
        }
    });
}

void entry_daemon::carryOut(object_kind kind, const follower_effect::read_page &page)
{
    callObjects(kind, platform::listTarget(objectKindNames[static_cast<std::size_t>(kind)], page), listTimeout, platform::decodePage);
}

void entry_daemon::carryOut(object_kind kind, const follower_effect::watch_changes &watch)
{
    const std::string target = platform::watchTarget(objectKindNames[static_cast<std::size_t>(kind)], watch);
    callObjects(kind, target, watch.watchTimeout + limits::watchTimeoutMargin, platform::decodeChanges);
}

void entry_daemon::carryOut(object_kind kind, const follower_effect::object_changed &changed)
{
    std::string reason;
    switch (kind) {
    case object_kind::rules:
        if (changed.object.name != platform::configurationName) {
            return;
        }
        try {
            m_serving.post(entry_event::rules_changed {platform::decodeRules(changed.object.text)});
            return;
        } catch (const std::exception &fault) {
            reason = fault.what();
        }
        break;
    case object_kind::upstreams:
        if (const auto record = platform::decodeUpstream(changed.object, reason)) {
            m_serving.post(entry_event::upstream_listed {*record});
            return;
        }
        m_serving.post(entry_event::upstream_unlisted {changed.object.name, duration(0)});
        break;
    case object_kind::rollouts:
        publishRollout(changed.object);
        return;
    default:
        publishClosures();
        return;
    }
    log_line line;
    line.with("kind", objectKindNames[static_cast<std::size_t>(kind)]).with("object", changed.object.name).with("why", reason);
    carryOut(log_record {log_event::entryUnreadable, line.take()});
}

void entry_daemon::carryOut(object_kind kind, const follower_effect::object_removed &removed)
{
    if (kind == object_kind::upstreams) {
        m_serving.post(entry_event::upstream_unlisted {removed.name, removed.grace});
    } else if (kind == object_kind::closures) {
        publishClosures();
    } else if (kind == object_kind::rollouts) {
        m_serving.post(entry_event::rollout_withdrawn {removed.name});
    }
}

void entry_daemon::publishRollout(const stored_object &object)
{
    std::string reason;
    if (const auto order = platform::decodeRollout(object, reason)) {
        m_serving.post(entry_event::rollout_ordered {*order});
        return;
    }
    log_line line;
    line.with("service", object.name).with("why", reason);
    carryOut(log_record {log_event::rolloutUnreadable, line.take()});
}

void entry_daemon::writeRolloutStatus(const entry_effect::write_rollout_status &write)
{
    call_request request;
    request.address = m_settings.objectsAddress;
    request.method = "PUT";
    request.target = platform::rolloutStatusTarget(write.order.service);
    request.body = platform::encodeRolloutStatus(write.order, write.status);
    request.timeout = statusWriteTimeout;
    m_calls.call(request, [this, service = write.order.service](const call_result &result) {
        m_serving.post(entry_event::rollout_status_answered {service, platform::rolloutWriteResult(result.status)});
    });
}

void entry_daemon::carryOut(object_kind, const log_record &record)
{
    carryOut(record);
}

void entry_daemon::publishClosures()
{
    std::vector<std::string> domains;
    for (const auto &[name, object] : follower(object_kind::closures).objects()) {
        domains.push_back(name);
    }
    m_serving.post(entry_event::closures_changed {std::move(domains)});
}

void entry_daemon::carryOut(const log_record &record)
{
    m_log.write(now(), record);
    if (record.event == log_event::attemptStarted) {
        m_metrics.attemptStarted();
    } else if (record.event == log_event::entryUnreadable) {
        m_metrics.objectUnreadable();
    }
}

void entry_daemon::listHeldParts(const entry_effect::list_held_parts &query)
{
    call_request request;
    request.address = query.address;
    request.target = std::string(platform::heldPartsTarget);
    m_calls.call(request, [this, instance = query.instance](const call_result &result) {
        if (result.status != 200) {
            log_line line;
            line.with("upstream", instance).with("status", result.status).with("why", result.failure);
            carryOut(log_record {log_event::heldPartsUnread, line.take()});
            m_serving.post(entry_event::held_parts_unread {instance});
            return;
        }
        try {
            m_serving.post(entry_event::held_parts_read {instance, platform::decodeHeldParts(result.body)});
        } catch (const std::exception &fault) {
            log_line line;
            line.with("upstream", instance).with("status", result.status).with("why", fault.what());
            carryOut(log_record {log_event::heldPartsUnread, line.take()});
            m_serving.post(entry_event::held_parts_unread {instance});
        }
    });
}

bool entry_daemon::isReady() const
{
    return !m_shutdownSince && m_serving.entryCore().hasRules()
           && m_followers[static_cast<std::size_t>(object_kind::upstreams)].isComplete()
           && (!m_settings.rollouts || m_followers[static_cast<std::size_t>(object_kind::rollouts)].isComplete());
}

local_answer entry_daemon::answerReady() const
{
    return isReady() ? plainAnswer(200, "ready\n") : plainAnswer(503, "not ready\n");
}

local_answer entry_daemon::answerMetrics(const std::string &target)
{
    if (target != "/metrics") {
        return plainAnswer(404, "this listener serves /metrics\n");
    }
    const entry_core &entryCore = m_serving.entryCore();
    entry_gauges now;
    now.callers = m_serving.callerConnections();
    now.openRequests = entryCore.openExchanges();
    now.connectionsOpened = m_serving.connectionsOpened();
    now.idleConnections = m_serving.idleUpstreamConnections();
    now.calls = m_calls.calls();
    now.routers = entryCore.upstreams().routers();
    now.upstreams = entryCore.upstreams().size();
    now.rulesVersion = entryCore.rules() ? entryCore.rules()->version : 0;
    now.droppedLines = m_log.dropped();
    now.quarantinedParts = entryCore.quarantinedParts(this->now());
    now.limitedServices = entryCore.limitedServices();
    now.backlogs = entryCore.admission().backlogs(this->now());
    now.rollouts = entryCore.rollouts().reports(this->now());
    now.unusualSpeeds = entryCore.upstreams().unusualSpeeds();
    return {200, {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}}, m_metrics.text(now)};
}

void entry_daemon::tick()
{
    const time_point tickTime(timeSinceBoot());
    if (tickTime - m_lastTickAt > minReportedTickGap) {
        log_line line;
        line.with("gap_ms", tickTime - m_lastTickAt);
        carryOut(log_record {log_event::clockGap, line.take()});
    }
    m_lastTickAt = tickTime;
    const bool servesOthers = m_apiAvailability.isSteady(now());
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        apply(static_cast<object_kind>(i), follower_event::availability_changed {servesOthers});
        apply(static_cast<object_kind>(i), follower_event::tick {});
    }
    apply(gossip_event::tick {isApiReachable()});
    updateRole();
    if (isReady() && !m_wasReady) {
        m_wasReady = true;
        carryOut(log_record {log_event::daemonReady, {}});
    }
    checkShutdown();
    m_log.flush(now());
    if (m_stopped) {
        return;
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &fault) {
        if (!fault) {
            tick();
        }
    });
}

void entry_daemon::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code &fault, int signal) {
        if (fault) {
            return;
        }
        if (signal == SIGHUP) {
            log_line line;
            try {
                const entry_settings fresh = m_reload();
                line.with("log_level", static_cast<int>(fresh.logLevel)).with("seeds", fresh.seeds.size());
                carryOut(log_record {log_event::settingsReloaded, line.take()});
                apply(gossip_event::seeds_changed {fresh.seeds});
            } catch (const std::exception &problem) {
                line.with("why", problem.what());
                carryOut(log_record {log_event::settingsRejected, line.take()});
            }
        } else {
            startShutdown();
        }
        awaitSignals();
    });
}

void entry_daemon::startShutdown()
{
    if (m_shutdownSince) {
        return;
    }
    m_shutdownSince = now();
    log_line line;
    line.with("open_requests", m_serving.entryCore().openExchanges()).with("limit_ms", m_settings.shutdownLimit);
    carryOut(log_record {log_event::daemonStopping, line.take()});
    m_serving.disableKeepAlive();
    m_serving.post(entry_event::drain_requested {});
}

void entry_daemon::checkShutdown()
{
    if (!m_shutdownSince) {
        return;
    }
    const duration elapsed = now() - *m_shutdownSince;
    const bool isAccepting = elapsed < limits::drainAcceptTime;
    if (!isAccepting) {
        m_callerListener->close();
    }
    m_serving.closeIdleCallers(isAccepting ? shutdownIdleTimeout : duration(0));
    const std::size_t open = m_serving.entryCore().openExchanges();
    const bool isDone = !isAccepting && open == 0 && m_serving.callerConnections() == 0;
    if (!isDone && elapsed < m_settings.shutdownLimit - shutdownMargin) {
        return;
    }
    m_hasCutRequests = open > 0;
    log_line line;
    line.with("cut_requests", open).with("after_ms", elapsed);
    carryOut(log_record {log_event::daemonStopped, line.take()});
    m_log.flush(now());
    m_stopped = true;
    m_context.stop();
}

} // namespace nutmegtally
