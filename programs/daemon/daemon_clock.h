// Clocks of the daemons. Reducers use the steady clock, because adjustments of the wall clock do not affect it.
#pragma once

#include <nutmegtally/time.h>

#include <chrono>

namespace nutmegtally
{

inline time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Wall time in milliseconds since the Unix epoch, for the age of idempotency keys.
inline wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace nutmegtally
