#include "serving/connection_pool.h"

#include "serving/serving_limits.h"

#include <algorithm>

namespace nutmegtally
{

upstream_connection::pointer connection_pool::acquire(const std::string &upstream, time_point now)
{
    const auto found = m_idle->find(upstream);
    if (found == m_idle->end()) {
        return nullptr;
    }
    entries &idle = found->second;
    upstream_connection::pointer taken;
    while (!idle.empty() && !taken) {
        entry last = std::move(idle.back());
        idle.pop_back();
        if (last.connection->isOpen() && now < last.expiresAt) {
            taken = last.connection;
        } else {
            last.connection->close();
        }
    }
    if (idle.empty()) {
        m_idle->erase(found);
    }
    return taken;
}

void connection_pool::release(const std::string &upstream, const upstream_connection::pointer &connection, time_point now)
{
    const duration upstreamTimeout = connection->keepAliveTimeout();
    const duration idleTimeout = upstreamTimeout.count() > 0
                                     ? upstreamTimeout - std::min(serving_limits::idleCloseMargin, upstreamTimeout / 2)
                                     : serving_limits::defaultIdleTimeout;
    (*m_idle)[upstream].push_back({connection, now + idleTimeout});
    const std::weak_ptr<std::unordered_map<std::string, entries>> idle = m_idle;
    connection->watchIdle([idle, upstream, raw = connection.get()] {
        const auto table = idle.lock();
        if (!table) {
            return;
        }
        const auto found = table->find(upstream);
        if (found == table->end()) {
            return;
        }
        std::erase_if(found->second, [raw](const entry &each) { return each.connection.get() == raw; });
        if (found->second.empty()) {
            table->erase(found);
        }
    });
}

void connection_pool::closeIdle(const std::string &upstream)
{
    const auto found = m_idle->find(upstream);
    if (found == m_idle->end()) {
        return;
    }
    for (const entry &each : found->second) {
        each.connection->close();
    }
    m_idle->erase(found);
}

void connection_pool::closeExpired(time_point now)
{
    for (auto it = m_idle->begin(); it != m_idle->end();) {
        std::erase_if(it->second, [now](const entry &each) {
            if (now < each.expiresAt) {
                return false;
            }
            each.connection->close();
            return true;
        });
        it = it->second.empty() ? m_idle->erase(it) : std::next(it);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t count = 0;
    for (const auto &[upstream, idle] : *m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace nutmegtally
