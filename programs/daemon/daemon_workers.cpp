#include "daemon/daemon_workers.h"

namespace nutmegtally
{

worker_group::~worker_group()
{
    wait();
}

void worker_group::run(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_running;
    }
    std::thread([this, work = std::move(task)]() mutable {
        work();
        work = nullptr; // what the task owns is released before the group may be destroyed
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_changed.notify_all();
    }).detach();
}

void worker_group::wait()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_running == 0; });
}

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
