// Exchange of load updates between the upstream sets of several routers, for tests without a network.
#pragma once

#include <nutmegtally/upstream_set.h>

#include <cstddef>
#include <vector>

namespace nutmegtally
{

/// Each router takes the own load of every other one, as of before the exchange.
inline void exchangeOwnLoads(std::vector<upstream_set> &routers, time_point now)
{
    std::vector<load_update> updates;
    for (const upstream_set &router : routers) {
        updates.push_back(router.ownLoad(now));
    }
    for (std::size_t i = 0; i < routers.size(); ++i) {
        for (std::size_t j = 0; j < updates.size(); ++j) {
            if (i != j) {
                routers[i].applyUpdate(updates[j], true, now);
            }
        }
    }
}

} // namespace nutmegtally
