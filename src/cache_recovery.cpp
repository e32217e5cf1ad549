#include "limits.h"

#include <nutmegtally/cache_recovery.h>

namespace nutmegtally
{

cache_recovery::cache_recovery(bool isNeeded)
    : m_phase(isNeeded ? phase::unstarted : phase::over)
{
}

void cache_recovery::begin(time_point now)
{
    if (m_phase == phase::unstarted) {
        m_phase = phase::waitingForRouters;
        m_phaseEndsAt = now + limits::cacheQueryDelay;
    }
}

bool cache_recovery::isQueryDue(time_point now) const
{
    return m_phase == phase::waitingForRouters && now >= m_phaseEndsAt;
}

void cache_recovery::setQueried(const std::vector<std::string> &instances, bool asksAll, time_point now)
{
    m_asksAll = asksAll;
    m_phase = phase::waitingForEngines;
    m_phaseEndsAt = now + limits::cacheAnswerTimeout;
    m_unanswered = {instances.begin(), instances.end()};
    endWaitForEngines(now);
}

void cache_recovery::setAnswered(const std::string &instance, time_point now)
{
    m_unanswered.erase(instance);
    endWaitForEngines(now);
}

void cache_recovery::endWaitForEngines(time_point now)
{
    if (m_phase != phase::waitingForEngines || !m_unanswered.empty()) {
        return;
    }
    m_phase = m_asksAll ? phase::over : phase::waitingForAnnouncements;
    m_phaseEndsAt = now + limits::cacheAnnouncementTime;
}

bool cache_recovery::isOver(time_point now) const
{
    const bool isLastWait = m_phase == phase::waitingForEngines || m_phase == phase::waitingForAnnouncements;
    return m_phase == phase::over || (isLastWait && now >= m_phaseEndsAt);
}

} // namespace nutmegtally
