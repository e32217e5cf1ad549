#include "limits.h"

#include <nutmegtally/retry_allowance.h>

namespace nutmegtally
{

retry_allowance::slot &retry_allowance::slotFor(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / m_slice;
    slot &current = m_slots[static_cast<std::size_t>(number) % slots];
    if (current.number != number) {
        current = slot {number, 0, 0};
    }
    return current;
}

void retry_allowance::addRequest(time_point now)
{
    ++slotFor(now).requests;
}

void retry_allowance::addRepeat(time_point now)
{
    ++slotFor(now).repeats;
}

bool retry_allowance::allows(time_point now, const retry_terms &terms, std::size_t routers)
{
    m_slice = terms.window / static_cast<std::int64_t>(slots - 2);
    const std::int64_t newest = now.time_since_epoch() / m_slice;
    double requests = 0;
    double repeats = 0;
    for (const slot &each : m_slots) {
        if (each.number < 0 || each.number <= newest - static_cast<std::int64_t>(slots)) {
            continue;
        }
        repeats += each.repeats;
        if (each.number > newest - static_cast<std::int64_t>(slots - 2)) {
            requests += each.requests;
        }
    }
    const double allowed = limits::retryRatioUsed * terms.ratio * requests
                           + limits::retrySlackUsed * terms.slack / static_cast<double>(routers > 0 ? routers : 1);
    return repeats + 1 <= allowed;
}

} // namespace nutmegtally
