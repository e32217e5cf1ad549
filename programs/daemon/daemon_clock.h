// The daemons' only sources of time. Reducers run on the steady clock, which no adjustment of the wall clock moves.
#pragma once

#include <nutmegtally/time.h>

#include <chrono>

namespace nutmegtally
{

inline time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Milliseconds since the epoch, for ages of idempotency keys.
inline wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace nutmegtally
