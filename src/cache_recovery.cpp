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

void cache_recovery::setQueried(const std::vector<std::string> &instances, time_point now)
{
    m_phase = instances.empty() ? phase::over : phase::waitingForEngines;
    m_phaseEndsAt = now + limits::cacheAnswerTimeout;
    m_unanswered = {instances.begin(), instances.end()};
}

void cache_recovery::setAnswered(const std::string &instance)
{
    m_unanswered.erase(instance);
    if (m_phase == phase::waitingForEngines && m_unanswered.empty()) {
        m_phase = phase::over;
    }
}

bool cache_recovery::isOver(time_point now) const
{
    return m_phase == phase::over || (m_phase == phase::waitingForEngines && now >= m_phaseEndsAt);
}

} // namespace nutmegtally
