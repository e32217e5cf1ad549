// Concurrency window of an upstream: starts small, grows while latency is good and the window is in use, shrinks
// sharply on a latency jump.
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

    /// Starts small again, for example with a new incarnation of the upstream.
    void restart(time_point now);

    /// A first token came.
    /// @param priority Of the work: the engine lets low priorities wait, so each has its own usual latency.
    /// @param load Prompt tokens that the upstream was expected to prefill before it, its own included.
    void recordFirstToken(unsigned priority, double load, duration latency);

    /// Time between tokens of a running answer, and the target of its class if it has one.
    void recordBetweenTokens(duration between, duration target);

    void recordFailure();

    /// The upstream has become slower than this window allows for.
    void collapse(time_point now);

    /// Ends intervals. @param running Highest number of running requests since the last call.
    /// @return Whether the window collapsed.
    bool advance(time_point now, std::uint32_t running);

    /// Requests that the upstream bears at once.
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_size);
    }

    /// Still growing after a start or a collapse.
    bool isCold() const
    {
        return m_cold;
    }

    /// Model that jumps are judged by.
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
    std::uint32_t m_peakRunning = 0; // running requests in the interval
    std::uint32_t m_samples = 0;
    std::uint32_t m_jumps = 0;
    std::uint32_t m_failures = 0;
    double m_betweenRatio = 0; // time between tokens as a share of the target, moving average; 0 if not known
    std::uint32_t m_betweenSamples = 0;
    first_token_model m_firstTokens;
};

} // namespace nutmegtally
