#include "limits.h"

#include <nutmegtally/retry_budget.h>

namespace nutmegtally
{

retry_budget::slot &retry_budget::slotFor(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / m_slice;
    slot &current = m_slots[static_cast<std::size_t>(number) % slots];
    if (current.number != number) {
        current = slot {number, 0, 0};
    }
    return current;
}

void retry_budget::addRequest(time_point now)
{
    ++slotFor(now).requests;
}

void retry_budget::addRetry(time_point now)
{
    ++slotFor(now).retries;
}

bool retry_budget::allows(time_point now, const retry_bounds &bounds, std::size_t routers)
{
    m_slice = bounds.window / static_cast<std::int64_t>(slots - 2);
    const std::int64_t newest = now.time_since_epoch() / m_slice;
    double requests = 0;
    double retries = 0;
    for (const slot &each : m_slots) {
        if (each.number < 0 || each.number <= newest - static_cast<std::int64_t>(slots)) {
            continue;
        }
        retries += each.retries;
        if (each.number > newest - static_cast<std::int64_t>(slots - 2)) {
            requests += each.requests;
        }
    }
    const double allowed = limits::retryRatioShare * bounds.ratio * requests
                           + limits::retrySlackShare * bounds.slack / static_cast<double>(routers > 0 ? routers : 1);
    return retries + 1 <= allowed;
}

} // namespace nutmegtally
