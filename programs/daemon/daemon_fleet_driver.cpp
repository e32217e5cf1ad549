#include "daemon/daemon_fleet_driver.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"

#include <nutmegtally/errors.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr unsigned peerCallThreads = 4; // concurrent calls: one digest exchange and a few pushes
constexpr std::size_t maxWaitingCalls = 64; // further calls would be out of date before they are sent
constexpr std::size_t maxWaitingNotifications = 100'000; // fits the first membership view of a fleet of the planned size
constexpr std::size_t maxClients = 64; // peers with open connections
constexpr std::uint64_t estimatedHttpHeadBytes = 200; // of a request or of an answer

int toMilliseconds(duration value)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

task_queue::task_queue(unsigned threads, std::size_t maxWaiting)
    : m_maxWaiting(maxWaiting)
{
    for (unsigned i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { run(); });
    }
}

task_queue::~task_queue()
{
    stop();
}

bool task_queue::post(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped || m_tasks.size() >= m_maxWaiting) {
        return false;
    }
    m_tasks.push_back(std::move(task));
    m_wake.notify_one();
    return true;
}

void task_queue::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        m_tasks.clear();
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void task_queue::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wake.wait(lock, [this] { return m_isStopped || !m_tasks.empty(); });
        if (m_isStopped) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        try {
            task();
        } catch (const std::exception &fault) {
            logEvent(log_event::internalFault, std::string("part=fleet fault=") + fault.what());
        }
        lock.lock();
    }
}

fleet_driver::fleet_driver(fleet_driver_options options)
    : m_options(std::move(options))
    , m_authenticator(m_options.innerKeys)
    , m_objects(m_options.objectsAddress, m_options.platformTimeout)
    , m_core(m_options.fleet)
    , m_platformTasks(1, maxWaitingCalls)
    , m_vmListTasks(1, maxWaitingCalls)
    , m_callTasks(peerCallThreads, maxWaitingCalls)
    , m_notificationTasks(1, maxWaitingNotifications)
{
    if (!m_options.vmListAddress.empty()) {
        m_vmListClient = std::make_unique<vm_list_client>(m_options.vmListAddress, m_options.platformTimeout);
    }
    for (std::size_t i = 0; i < messageMethods.size(); ++i) {
        const auto kind = static_cast<message_kind>(i);
        m_rpc.add(std::string(messageMethods[i]), [this, kind](const std::string &params) { return answer(kind, params); });
    }
    m_rpc.add("status.read", [this](const std::string &) {
        const fleet_status now = status();
        return nlohmann::json({{"configVersion", now.configVersion},
                               {"isReady", now.isReady},
                               {"isStale", now.isStale},
                               {"isWatcher", now.isWatcher},
                               {"confirmAgeMs", toMilliseconds(now.confirmationAge)},
                               {"members", now.members},
                               {"membershipDigest", toHex(now.membershipDigest)}})
            .dump();
    });
}

fleet_driver::~fleet_driver()
{
    stop();
}

void fleet_driver::start(fleet_listener listener)
{
    m_listener = std::move(listener);
    m_timer = std::thread([this] { runTimer(); });
}

void fleet_driver::stop()
{
    if (m_isStopping.exchange(true)) {
        return;
    }
    {
        const std::lock_guard lock(m_timerMutex);
        m_timerWake.notify_all();
    }
    m_objects.close();
    if (m_vmListClient) {
        m_vmListClient->close();
    }
    {
        const std::lock_guard lock(m_clientsMutex);
        for (const auto &[address, client] : m_clients) {
            client->close();
        }
    }
    if (m_timer.joinable()) {
        m_timer.join();
    }
    for (task_queue *queue : {&m_platformTasks, &m_vmListTasks, &m_callTasks, &m_notificationTasks}) {
        queue->stop();
    }
}

void fleet_driver::runTimer()
{
    std::unique_lock lock(m_timerMutex);
    while (!m_isStopping) {
        lock.unlock();
        post(fleet_event::tick {});
        lock.lock();
        m_timerWake.wait_for(lock, tickInterval, [this] { return m_isStopping.load(); });
    }
}

void fleet_driver::post(const fleet_core::event &event)
{
    const std::lock_guard lock(m_mutex);
    std::vector<fleet_core::effect> effects;
    m_core.apply(steadyNow(), event, effects);
    for (const fleet_core::effect &effect : effects) {
        execute(effect);
    }
}

std::string fleet_driver::answer(message_kind kind, const std::string &params)
{
    fleet_event::message_received received;
    received.message = parseFleetMessage(kind, nlohmann::json::parse(params));
    const std::lock_guard lock(m_mutex);
    received.operation = m_nextIncomingOperation++;
    std::vector<fleet_core::effect> effects;
    m_core.apply(steadyNow(), received, effects);
    std::string text;
    for (const fleet_core::effect &effect : effects) {
        if (const auto *reply = std::get_if<fleet_effect::answer_peer>(&effect)) {
            text = toJson(reply->message).dump();
        } else {
            execute(effect);
        }
    }
    return text;
}

/// Called with m_mutex held, so it only queues work.
void fleet_driver::execute(const fleet_core::effect &effect)
{
    const auto handler = overloaded {
        [this](const fleet_effect::watch_head &watch) { m_platformTasks.post([this, watch] { watchHead(watch); }); },
        [this](const fleet_effect::read_head &read) { m_platformTasks.post([this, read] { readHead(read.operation); }); },
        [this](const fleet_effect::read_base &read) { m_platformTasks.post([this, read] { readBase(read); }); },
        [this](const fleet_effect::read_vm_list &) { m_vmListTasks.post([this] { readVmList(); }); },
        [this](const fleet_effect::call_peer &call) {
            if (!m_callTasks.post([this, call] { callPeer(call); })) {
                // The reducer waits for a result. The notification thread posts it, because m_mutex is held here.
                m_notificationTasks.post([this, operation = call.operation] { post(fleet_event::call_failed {operation}); });
            }
        },
        [this](const fleet_effect::config_applied &applied) {
            m_notificationTasks.post([this, applied] { m_listener.configChanged(applied.config); });
        },
        [this](const fleet_effect::member_changed &changed) {
            if (!changed.record.upstream.empty()) {
                m_notificationTasks.post([this, changed] { m_listener.upstreamChanged(toUpstream(changed.record)); });
            }
        },
        [this](const fleet_effect::load_estimates_received &received) {
            if (m_options.loadEstimatesReceived) {
                m_notificationTasks.post([this, received] { m_options.loadEstimatesReceived(received.estimates); });
            }
        },
        [](const log_record &record) { logEvent(record); },
        [](const auto &) {},
    };
    std::visit(handler, effect);
}

void fleet_driver::readHead(std::uint64_t operation)
{
    object_reply reply = m_objects.read(configHeadName);
    post(fleet_event::head_read {operation, reply.status, reply.version, true, std::move(reply.value)});
}

void fleet_driver::watchHead(const fleet_effect::watch_head &watch)
{
    object_reply reply = m_objects.watch(configHeadName, watch.knownVersion, watch.wait);
    post(fleet_event::head_read {watch.operation, reply.status, reply.version, reply.changed, std::move(reply.value)});
}

void fleet_driver::readBase(const fleet_effect::read_base &read)
{
    object_reply reply = m_objects.read(configBaseName(read.version));
    post(fleet_event::base_read {read.operation, reply.status, read.version, reply.version != 0, std::move(reply.value)});
}

void fleet_driver::readVmList()
{
    fleet_event::vm_list_read result;
    if (m_vmListClient) {
        const vm_list_reply reply = m_vmListClient->read();
        result.available = reply.available;
        result.changed = reply.changed;
        for (const vm_entry &entry : reply.vms) {
            result.vms.push_back({entry.name, entry.address, entry.leaving});
        }
    }
    post(result);
}

std::shared_ptr<rpc_client> fleet_driver::clientFor(const std::string &address)
{
    const std::lock_guard lock(m_clientsMutex);
    const auto found = m_clients.find(address);
    if (found != m_clients.end()) {
        return found->second;
    }
    if (m_clients.size() >= maxClients) {
        std::erase_if(m_clients, [this](const auto &entry) {
            if (entry.second.use_count() > 1) {
                return false;
            }
            m_closedClientBytes.sent += entry.second->bytes().sent;
            m_closedClientBytes.received += entry.second->bytes().received;
            return true;
        });
    }
    const auto sign = [this](const std::string &body) {
        nlohmann::json fields = nlohmann::json::object();
        m_authenticator.sign("POST", rpcPath, fields, body);
        return fields.dump();
    };
    return m_clients.emplace(address, std::make_shared<rpc_client>(address, sign)).first->second;
}

rpc_reply fleet_driver::call(const std::string &address, const std::string &method, const std::string &params, duration timeout)
{
    try {
        return clientFor(address)->call(method, params, toMilliseconds(timeout));
    } catch (const std::exception &fault) {
        rpc_reply reply;
        reply.fault = fault.what(); // for example a malformed address
        return reply;
    }
}

void fleet_driver::callPeer(const fleet_effect::call_peer &request)
{
    const std::string_view method = messageMethods[static_cast<std::size_t>(request.message.kind)];
    const rpc_reply reply = call(request.address, std::string(method), toJson(request.message).dump(), m_options.callTimeout);
    if (!reply.isAnswered) {
        post(fleet_event::call_failed {request.operation});
        return;
    }
    try {
        post(fleet_event::call_answered {request.operation, parseFleetMessage(request.message.kind, nlohmann::json::parse(reply.result))});
    } catch (const std::exception &) {
        post(fleet_event::call_failed {request.operation});
    }
}

std::string fleet_driver::handleRpc(const std::string &authorization, const std::string &body)
{
    nlohmann::json fields = nlohmann::json::parse(authorization, nullptr, false);
    if (!fields.is_object()) {
        logEvent(log_event::messageForged, "reason=header");
        throw error(error_code::authenticationFailed);
    }
    m_authenticator.verify("POST", rpcPath, fields, body);
    m_incomingCallBytesReceived += body.size() + estimatedHttpHeadBytes;
    std::string reply = m_rpc.handle(body);
    m_incomingCallBytesSent += reply.size() + estimatedHttpHeadBytes;
    return reply;
}

void fleet_driver::addMethod(const std::string &method, rpc_server::method_function function)
{
    m_rpc.add(method, std::move(function));
}

// Callers may hold locks of their own, so these functions only queue the event instead of taking m_mutex.

void fleet_driver::observeConfigVersion(std::uint64_t version)
{
    m_notificationTasks.post([this, version] { post(fleet_event::config_version_observed {version}); });
}

void fleet_driver::announceLeaving()
{
    m_notificationTasks.post([this] { post(fleet_event::leave_requested {}); });
}

fleet_status fleet_driver::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_core.status(steadyNow());
}

fleet_byte_counts fleet_driver::bytes() const
{
    fleet_byte_counts counts;
    counts.platform = m_objects.bytes();
    counts.incomingCalls.sent = m_incomingCallBytesSent;
    counts.incomingCalls.received = m_incomingCallBytesReceived;
    const std::lock_guard lock(m_clientsMutex);
    counts.outgoingCalls = m_closedClientBytes;
    for (const auto &[address, client] : m_clients) {
        counts.outgoingCalls.sent += client->bytes().sent;
        counts.outgoingCalls.received += client->bytes().received;
    }
    return counts;
}

} // namespace nutmegtally
