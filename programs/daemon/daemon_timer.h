// Periodic timer thread.
#pragma once

#include <nutmegtally/time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace nutmegtally
{

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
    std::condition_variable m_wake;
    bool m_isStopped = false;
    std::thread m_thread; // last member, because the thread uses the others
};

} // namespace nutmegtally
