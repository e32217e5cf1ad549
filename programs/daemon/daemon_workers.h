// Threads that a daemon starts for one task each and waits for before it ends, and a periodic timer thread.
#pragma once

#include <nutmegtally/time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace nutmegtally
{

/// Runs tasks on threads of their own.
class worker_group
{
public:
    worker_group() = default;
    ~worker_group();
    worker_group(const worker_group &) = delete;
    worker_group &operator=(const worker_group &) = delete;

    /// @param task Must not throw; what it refers to must outlive the group.
    void run(std::function<void()> task);

    /// Waits until no task runs.
    void wait();

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    unsigned m_running = 0;
};

/// Calls a function periodically until destruction.
class periodic_timer
{
public:
    /// @param task Must not throw.
    periodic_timer(duration interval, std::function<void()> task);
    ~periodic_timer();
    periodic_timer(const periodic_timer &) = delete;
    periodic_timer &operator=(const periodic_timer &) = delete;

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread; // last: starts when the other members exist
};

} // namespace nutmegtally
