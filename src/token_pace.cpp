#include "limits.h"

#include <nutmegtally/token_pace.h>

#include <algorithm>

namespace nutmegtally
{

void token_pace::note(time_point now, duration between)
{
    m_lastAt = now;
    const auto micros = static_cast<double>(between.count());
    if (m_samples >= limits::minPaceSamples && between > slowFrom()) {
        m_slowSince = m_slowSince.value_or(now - between);
        return; // the usual pace stays what it was until the change is certain
    }
    m_slowSince.reset();
    m_usual = m_samples == 0 ? micros : m_usual + limits::paceWeight * (micros - m_usual);
    ++m_samples;
}

void token_pace::restart()
{
    *this = token_pace();
}

duration token_pace::slowFrom() const
{
    return std::max(limits::minSlowPace, duration(static_cast<duration::rep>(limits::slowPaceFactor * m_usual)));
}

bool token_pace::isUsual(time_point now) const
{
    if (m_samples < limits::minPaceSamples || !m_lastAt) {
        return true;
    }
    return !m_slowSince && now - *m_lastAt <= slowFrom();
}

bool token_pace::hasSlowedDown(time_point now) const
{
    return m_slowSince && now - *m_slowSince >= std::max(limits::slowPaceTime, 2 * slowFrom());
}

} // namespace nutmegtally
