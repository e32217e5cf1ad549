#include "daemon/daemon_workers.h"

namespace nutmegtally
{

periodic_timer::periodic_timer(duration interval, std::function<void()> task)
    : m_thread([this, interval, work = std::move(task)] {
        std::unique_lock lock(m_mutex);
        while (!m_changed.wait_for(lock, interval, [this] { return m_stopping; })) {
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
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

} // namespace nutmegtally
