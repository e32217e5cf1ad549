// Detects a slowdown of an upstream from the time between tokens of its running answers. This takes only a few tokens,
// long before the next first token would be late.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <optional>

namespace nutmegtally
{

class token_pace
{
public:
    /// Adds the time between two tokens of a running answer.
    /// @param between Time since the answer's previous token.
    void addSample(time_point now, duration between);

    /// No answer is producing tokens, so that no token is overdue.
    void pause()
    {
        m_lastTokenAt.reset();
        m_slowSince.reset();
    }

    /// Discards the learned mean, for example after a restart of the upstream.
    void restart();

    /// Whether the newest token was not slow and none is overdue. True while there are too few samples.
    bool isNormal(time_point now) const;

    /// Whether tokens have been slow for too long to be a short stall.
    bool hasSlowedDown(time_point now) const;

private:
    duration slowThreshold() const;

    double m_meanInterval = 0; // microseconds between the tokens of an answer, moving average
    std::uint32_t m_samples = 0; // in m_meanInterval
    std::optional<time_point> m_lastTokenAt; // newest token of any answer
    std::optional<time_point> m_slowSince; // every token since then was slow
};

} // namespace nutmegtally
