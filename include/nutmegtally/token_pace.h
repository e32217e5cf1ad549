// Pace at which an upstream goes on with its running answers. A change shows here within a few tokens, long before the
// next first token would be late.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <optional>

namespace nutmegtally
{

class token_pace
{
public:
    /// A running answer got its next token.
    /// @param between Time since its last one.
    void addSample(time_point now, duration between);

    /// No answer produces tokens now, so nothing is late.
    void pause()
    {
        m_lastTokenAt.reset();
        m_slowSince.reset();
    }

    /// Learns the usual pace anew, for example after a restart of the upstream.
    void restart();

    /// Tokens come as usual, as far as can be seen.
    bool isNormal(time_point now) const;

    /// Tokens have been slow for so long that it is not a hiccup.
    bool hasSlowedDown(time_point now) const;

private:
    duration slowThreshold() const;

    double m_meanInterval = 0; // microseconds between the tokens of an answer, moving average
    std::uint32_t m_samples = 0; // in m_meanInterval
    std::optional<time_point> m_lastTokenAt; // newest token of any answer
    std::optional<time_point> m_slowSince; // each token since then was slow
};

} // namespace nutmegtally
