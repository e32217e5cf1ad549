#include "serving/connection_pool.h"

#include "serving/serving_limits.h"

#include <algorithm>

namespace nutmegtally
{

upstream_connection::pointer connection_pool::take(const std::string &upstream, time_point now)
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
        if (last.connection->isOpen() && now < last.goodUntil) {
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

void connection_pool::give(const std::string &upstream, const upstream_connection::pointer &connection, time_point now)
{
    const duration stated = connection->statedIdle();
    const duration usable = stated.count() > 0 ? stated - std::min(serving_limits::idleMargin, stated / 2) : serving_limits::idleDefault;
    (*m_idle)[upstream].push_back({connection, now + usable});
    const std::weak_ptr<std::unordered_map<std::string, entries>> idle = m_idle;
    connection->idle([idle, upstream, raw = connection.get()] {
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

void connection_pool::drop(const std::string &upstream)
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

void connection_pool::checkTime(time_point now)
{
    for (auto it = m_idle->begin(); it != m_idle->end();) {
        std::erase_if(it->second, [now](const entry &each) {
            if (now < each.goodUntil) {
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
