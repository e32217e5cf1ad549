// Adaptive concurrency limit of an upstream: starts small, grows while latency is good and the window is in use, and
// is cut sharply after latency jumps or failures.
#pragma once

#include <nutmegtally/first_token_model.h>
#include <nutmegtally/time.h>

#include <cstdint>

namespace nutmegtally
{

struct window_options {
    std::uint32_t initial = 2; // requests
    std::uint32_t max = 256; // requests
    double growth = 1.5; // factor per interval with good latency
    duration interval = std::chrono::seconds(1);
    double latencyJump = 3.0;
};

class concurrency_window
{
public:
    explicit concurrency_window(window_options options);

    /// Returns to the initial size, for example for a new incarnation of the upstream.
    void restart(time_point now);

    /// Records a first token.
    /// @param priority Engine priority of the work. The engine lets low priorities wait, so each has its own mean
    /// latency.
    /// @param load Prompt tokens that the upstream had to prefill before the first token, those of the request
    /// included.
    void recordFirstToken(unsigned priority, double load, duration latency);

    /// Records the time between tokens of a running answer, for a class with a target for it.
    void recordBetweenTokens(duration between, duration target);

    void recordFailure();

    /// Cuts the window, because the upstream has become too slow for it.
    void collapse(time_point now);

    /// Collapses the window after too many jumps or failures, and ends the interval when it is over.
    /// @param running Highest number of running requests since the last call.
    /// @return Whether the window collapsed.
    bool advance(time_point now, std::uint32_t running);

    /// Current concurrency limit, in requests.
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_size);
    }

    /// Whether the window is still growing after a start or a collapse.
    bool isCold() const
    {
        return m_cold;
    }

    /// Latency model that jumps are detected with.
    const first_token_model &firstTokens() const
    {
        return m_firstTokens;
    }

private:
    void endInterval();

    window_options m_options;
    double m_size;
    bool m_cold = true;
    time_point m_intervalEnd;
    std::uint32_t m_peakRunning = 0; // highest number of running requests in the interval
    std::uint32_t m_samples = 0;
    std::uint32_t m_jumps = 0;
    std::uint32_t m_failures = 0;
    double m_betweenRatio = 0; // time between tokens as a share of the target, moving average; 0 if not known
    std::uint32_t m_betweenSamples = 0;
    first_token_model m_firstTokens;
};

} // namespace nutmegtally
