// Exponential decay, and arithmetic on spans of time.
#pragma once

#include <nutmegtally/time.h>

#include <chrono>
#include <cmath>

namespace nutmegtally
{

inline double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// What is left of 1 after @p age.
inline double halved(duration age, duration halfLife)
{
    return std::exp2(-milliseconds(age) / milliseconds(halfLife));
}

inline duration scaled(duration span, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

} // namespace nutmegtally
