#include "limits.h"

#include <nutmegtally/api_availability.h>

#include <algorithm>

namespace nutmegtally
{

void api_availability::recordAnswer(const std::string &router, time_point answeredAt)
{
    service &known = m_services.try_emplace(router, service {answeredAt, answeredAt}).first->second;
    if (answeredAt - known.lastAnswerAt > limits::maxServiceBreak) {
        known.since = answeredAt;
    }
    known.lastAnswerAt = std::max(known.lastAnswerAt, answeredAt);
    // Routers that are gone are forgotten with the next answer of another one.
    std::erase_if(m_services, [&](const auto &each) { return answeredAt - each.second.lastAnswerAt > limits::routerLifetime; });
}

bool api_availability::isSteady(time_point now) const
{
    return std::any_of(m_services.begin(), m_services.end(), [now](const auto &each) {
        return now - each.second.lastAnswerAt <= limits::maxServiceBreak && now - each.second.since >= limits::minSteadyService;
    });
}

} // namespace nutmegtally
