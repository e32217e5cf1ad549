// Event queue in virtual time. Events with equal times run in the order of insertion, so that a run depends only on its
// seed.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace nutmegtally
{

class sim_queue
{
public:
    using action = std::function<void()>;

    time_point now() const
    {
        return m_now;
    }

    void at(time_point time, action run)
    {
        m_entries.push({time < m_now ? m_now : time, m_sequence++, std::move(run)});
    }

    void after(duration delay, action run)
    {
        at(m_now + delay, std::move(run));
    }

    void runUntil(time_point end)
    {
        while (!m_entries.empty() && m_entries.top().time <= end) {
            // The entry is removed before its action runs, because the action may add entries.
            action run = std::move(const_cast<entry &>(m_entries.top()).run);
            m_now = m_entries.top().time;
            m_entries.pop();
            run();
        }
        m_now = end;
    }

private:
    struct entry {
        time_point time;
        std::uint64_t sequence;
        action run;

        bool operator<(const entry &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    std::priority_queue<entry> m_entries;
    time_point m_now;
    std::uint64_t m_sequence = 0;
};

} // namespace nutmegtally
