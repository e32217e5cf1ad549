// Recovery of the knowledge of engines' caches by a router that starts while engines have prompts cached from before. Other routers
// that are alive send what they know; if all were lost at once, each router asks some engines for their cached parts. Until the
// answers are in, a prompt would probably be placed at an engine that has to prefill it again.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace nutmegtally
{

class cache_recovery
{
public:
    /// @param isNeeded False on the first start of a system, when no engine has prompts cached.
    explicit cache_recovery(bool isNeeded);

    /// Starts the wait for other routers. Has no effect after the first call.
    void begin(time_point now);

    /// True after the wait for other routers, until setQueried() is called.
    bool isQueryDue(time_point now) const;

    /// Records which engines were asked.
    /// @param asksAll False if other routers ask the rest of the engines and announce the answers.
    void setQueried(const std::vector<std::string> &instances, bool asksAll, time_point now);

    /// Records that an engine answered, or that it will not.
    void setAnswered(const std::string &instance, time_point now);

    /// True once all engines that were asked have answered and other routers' announcements had time to arrive, or some time
    /// after the question.
    bool isOver(time_point now) const;

private:
    enum class phase : std::uint8_t {
        unstarted, // rules or upstreams are not known yet
        waitingForRouters,
        waitingForEngines,
        waitingForAnnouncements,
        over,
    };

    void endWaitForEngines(time_point now);

    phase m_phase;
    time_point m_phaseEndsAt; // of the three waits
    bool m_asksAll = false;
    std::unordered_set<std::string> m_unanswered; // engines that were asked
};

} // namespace nutmegtally
