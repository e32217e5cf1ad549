// Retry budget of one service at one router. In any window the whole fleet may retry a fraction of its requests plus a fixed
// slack. Each router applies the fraction to its own requests and takes an equal part of the slack, so the bound holds for
// the fleet without coordination.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>

namespace nutmegtally
{

struct retry_bounds {
    double ratio = 0.2; // retries per request
    double slack = 50; // retries of the whole fleet beyond the ratio
    duration window = std::chrono::seconds(10);
};

class retry_budget
{
public:
    /// Counts a request that was received.
    void addRequest(time_point now);

    /// Counts a retry.
    void addRetry(time_point now);

    /// True if one more retry stays within this router's part of the budget.
    /// @param routers Routers that share the slack, at least 1.
    bool allows(time_point now, const retry_bounds &bounds, std::size_t routers);

private:
    static constexpr std::size_t slots = 16; // of 1/14 of the window each; retries count in two slots more than requests

    struct slot {
        std::int64_t number = -1; // of the time slice that is counted here; -1 for none
        unsigned requests = 0;
        unsigned retries = 0;
    };

    slot &slotFor(time_point now);

    duration m_slice {std::chrono::milliseconds(715)};
    std::array<slot, slots> m_slots;
};

} // namespace nutmegtally
