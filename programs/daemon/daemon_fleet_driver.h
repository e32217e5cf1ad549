// Runs fleet_core in a daemon: sends it ticks, performs its effects on the platform and on peers, and answers the
// JSON-RPC calls of peers.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_objects.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/fleet_core.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nutmegtally
{

/// Bounded queue whose threads start tasks in the order of arrival.
class task_queue
{
public:
    explicit task_queue(unsigned threads, std::size_t maxWaiting);
    ~task_queue();
    task_queue(const task_queue &) = delete;
    task_queue &operator=(const task_queue &) = delete;

    /// @return False if the queue is full or stopped; then the task is dropped.
    bool post(std::function<void()> task);

    /// Drops waiting tasks and waits for running ones.
    void stop();

private:
    void run();

    std::size_t m_maxWaiting;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopped = false;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
};

struct fleet_driver_options {
    fleet_options fleet;
    std::string objectsAddress; // host:port of the object API
    std::string vmListAddress; // host:port of the VM list; empty for none
    std::vector<std::string> innerKeys; // the first signs
    duration platformTimeout = std::chrono::milliseconds(500);
    duration callTimeout = std::chrono::milliseconds(500);
    std::function<void(const std::vector<class_load_estimate> &)> loadEstimatesReceived; // called with peers' estimates; may be empty
};

/// Bytes on the wire between processes, by the side that started the call, and of the object API.
struct fleet_byte_counts {
    byte_counts outgoingCalls;
    byte_counts incomingCalls; // with estimated HTTP heads
    byte_counts platform;
};

/// Fleet source that runs fleet_core against the platform and peers.
class fleet_driver : public fleet_source
{
public:
    explicit fleet_driver(fleet_driver_options options);
    ~fleet_driver() override;

    void start(fleet_listener listener) override;
    void stop() override;
    void observeConfigVersion(std::uint64_t version) override;
    void announceLeaving() override;

    /// Handles the body of POST rpcPath after it has verified the authentication tag.
    /// @param authorization Value of rpcAuthHeader.
    /// @return JSON-RPC answer.
    /// @throws error authenticationFailed
    std::string handleRpc(const std::string &authorization, const std::string &body) override;

    /// Registers a further method for handleRpc(), for example ledger.settle. Call it before start().
    void addMethod(const std::string &method, rpc_server::method_function function);

    /// Calls a method of a peer and blocks until its answer or the timeout. A failure is reported in the reply.
    /// @param params JSON text.
    rpc_reply call(const std::string &address, const std::string &method, const std::string &params, duration timeout);

    fleet_status status() const;
    fleet_byte_counts bytes() const;

private:
    void post(const fleet_core::event &event);
    std::string answer(message_kind kind, const std::string &params);
    void execute(const fleet_core::effect &effect);
    void runTimer();
    void readHead(std::uint64_t operation);
    void watchHead(const fleet_effect::watch_head &watch);
    void readBase(const fleet_effect::read_base &read);
    void readVmList();
    void callPeer(const fleet_effect::call_peer &call);
    std::shared_ptr<rpc_client> clientFor(const std::string &address);

    fleet_driver_options m_options;
    message_authenticator m_authenticator;
    object_client m_objects;
    std::unique_ptr<vm_list_client> m_vmListClient;
    rpc_server m_rpc;
    fleet_listener m_listener;

    mutable std::mutex m_mutex; // guards the two members below; effects are queued while it is held, which keeps their order
    fleet_core m_core;
    std::uint64_t m_nextIncomingOperation = 1;

    mutable std::mutex m_clientsMutex;
    std::map<std::string, std::shared_ptr<rpc_client>> m_clients;
    byte_counts m_closedClientBytes; // of clients that were removed from m_clients
    std::atomic<std::uint64_t> m_incomingCallBytesReceived {0};
    std::atomic<std::uint64_t> m_incomingCallBytesSent {0};

    std::atomic<bool> m_isStopping {false};
    std::mutex m_timerMutex;
    std::condition_variable m_timerWake;
    std::thread m_timer;
    task_queue m_platformTasks; // one thread: the reducer has at most one call for the head open
    task_queue m_vmListTasks;
    task_queue m_callTasks;
    task_queue m_notificationTasks; // one thread, so that listeners are called in order
};

} // namespace nutmegtally
