// Time types of the reducers. A reducer never reads a clock; the time comes with each event.
#pragma once

#include <chrono>
#include <cstdint>

namespace nutmegtally
{

using duration = std::chrono::microseconds;

/// Clock type for the events of one process or one virtual-time run. It has no now(): daemons derive its time points
/// from the steady clock, tests and benchmarks from their event queue.
struct timeline {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<timeline>;
};

using time_point = timeline::time_point;

/// Milliseconds since the Unix epoch. Used only for the age of keys that callers generate and for audit times.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace nutmegtally
