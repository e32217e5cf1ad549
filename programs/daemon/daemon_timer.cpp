#include "daemon/daemon_timer.h"

namespace nutmegtally
{

periodic_timer::periodic_timer(duration interval, std::function<void()> task)
    : m_thread([this, interval, work = std::move(task)] {
        std::unique_lock lock(m_mutex);
        while (!m_wake.wait_for(lock, interval, [this] { return m_isStopped; })) {
            lock.unlock();
            work();
            lock.lock();
        }
    })
{
}

periodic_timer::~periodic_timer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

} // namespace nutmegtally
