#include "limits.h"

#include <nutmegtally/first_token_model.h>

#include <algorithm>

namespace nutmegtally
{

void first_token_model::linear_fit::add(double tokens, double seconds)
{
    constexpr double decay = 1.0 - limits::firstTokenModelWeight;
    weight = weight * decay + 1;
    x = x * decay + tokens;
    y = y * decay + seconds;
    xx = xx * decay + tokens * tokens;
    xy = xy * decay + tokens * seconds;
}

double first_token_model::linear_fit::slope() const
{
    const double variance = weight > 0 ? xx / weight - (x / weight) * (x / weight) : 0;
    const double minSlope = 1.0 / limits::maxPrefillTokensPerSecond;
    if (weight < limits::minModelSamples || variance < 1) {
        return 1.0 / limits::assumedPrefillTokensPerSecond;
    }
    return std::max(minSlope, (xy / weight - (x / weight) * (y / weight)) / variance);
}

double first_token_model::linear_fit::at(double tokens) const
{
    if (weight == 0) {
        return tokens * slope();
    }
    return std::max(0.0, y / weight + slope() * (tokens - x / weight));
}

std::size_t first_token_model::indexOf(unsigned priority)
{
    return std::min<std::size_t>(priority, priorities - 1);
}

void first_token_model::add(unsigned priority, double tokens, duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    m_fits[indexOf(priority)].add(tokens, seconds);
    m_overallFit.add(tokens, seconds);
}

duration first_token_model::expected(unsigned priority, double tokens) const
{
    const linear_fit &fit = m_fits[indexOf(priority)];
    const double seconds = fit.weight >= limits::minModelSamples ? fit.at(tokens) : m_overallFit.at(tokens);
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

duration first_token_model::meanLatency(unsigned priority) const
{
    const linear_fit &fit = m_fits[indexOf(priority)];
    return fit.weight > 0 ? duration(static_cast<std::int64_t>(fit.y / fit.weight * 1e6)) : duration(0);
}

double first_token_model::tokensPerSecond() const
{
    return m_overallFit.weight >= limits::minModelSamples ? 1.0 / m_overallFit.slope() : 0;
}

} // namespace nutmegtally
