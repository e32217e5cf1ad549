// Tells an outage of the object API from a refusal of this router alone, by when the API last answered the other routers.
#pragma once

#include <nutmegtally/time.h>

#include <map>
#include <string>

namespace nutmegtally
{

class api_availability
{
public:
    /// Records when the API last answered a call of another router.
    void recordAnswer(const std::string &router, time_point answeredAt);

    /// True if the API has served one other router without a break for limits::minSteadyService: entries that vanished meanwhile
    /// were removed, and did not expire because their writers could not reach it.
    bool isSteady(time_point now) const;

private:
    struct service {
        time_point since; // no break since then
        time_point lastAnswerAt;
    };

    std::map<std::string, service> m_services; // by router
};

} // namespace nutmegtally
