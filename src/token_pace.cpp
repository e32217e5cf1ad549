#include "limits.h"

#include <nutmegtally/token_pace.h>

#include <algorithm>

namespace nutmegtally
{

void token_pace::addSample(time_point now, duration between)
{
    m_lastTokenAt = now;
    const auto intervalMicros = static_cast<double>(between.count());
    if (m_samples >= limits::minPaceSamples && between > slowThreshold()) {
        m_slowSince = m_slowSince.value_or(now - between);
        return; // slow tokens do not change the mean until the slowdown is certain
    }
    m_slowSince.reset();
    m_meanInterval = m_samples == 0 ? intervalMicros : m_meanInterval + limits::paceWeight * (intervalMicros - m_meanInterval);
    ++m_samples;
}

void token_pace::restart()
{
    *this = token_pace();
}

duration token_pace::slowThreshold() const
{
    return std::max(limits::minSlowPace, duration(static_cast<duration::rep>(limits::slowPaceFactor * m_meanInterval)));
}

bool token_pace::isNormal(time_point now) const
{
    if (m_samples < limits::minPaceSamples || !m_lastTokenAt) {
        return true;
    }
    return !m_slowSince && now - *m_lastTokenAt <= slowThreshold();
}

bool token_pace::hasSlowedDown(time_point now) const
{
    return m_slowSince && now - *m_slowSince >= std::max(limits::slowPaceTime, 2 * slowThreshold());
}

} // namespace nutmegtally
