// Exponential decay and spans of time as numbers.
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

} // namespace nutmegtally
