// Retry budget of one service at one router. The fleet as a whole may send a fraction of its requests once more plus a
// fixed slack in any window; each router uses its own requests for the fraction and an equal part of the slack, so the
// sum holds without coordination.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>

namespace nutmegtally
{

struct retry_bounds {
    double ratio = 0.2; // repeats per request of the whole fleet
    double slack = 50; // repeats of the whole fleet beyond the ratio
    duration window = std::chrono::seconds(10);
};

class retry_budget
{
public:
    /// Counts a request's first send.
    void addRequest(time_point now);

    /// Counts one more send of a request.
    void addRetry(time_point now);

    /// True if one more repeat stays within this router's part.
    /// @param routers Routers that share the slack, at least 1.
    bool allows(time_point now, const retry_bounds &bounds, std::size_t routers);

private:
    static constexpr std::size_t slots = 16; // of one fourteenth of the window each; one holds the newest, partly filled time

    struct slot {
        std::int64_t number = -1; // of the time slice counted here
        unsigned requests = 0;
        unsigned retries = 0;
    };

    slot &slotFor(time_point now);

    duration m_slice {std::chrono::milliseconds(715)};
    std::array<slot, slots> m_slots;
};

} // namespace nutmegtally
