#include "limits.h"

#include <nutmegtally/concurrency_window.h>

#include <algorithm>

namespace nutmegtally
{

concurrency_window::concurrency_window(window_options options)
    : m_options(options)
    , m_size(options.initial)
{
}

void concurrency_window::restart(time_point now)
{
    m_size = m_options.initial;
    m_cold = true;
    m_intervalEnd = now + m_options.interval;
    m_samples = m_jumps = m_failures = m_betweenSamples = 0;
    m_betweenRatio = 0;
}

void concurrency_window::recordFirstToken(unsigned priority, double load, duration latency)
{
    ++m_samples;
    // The threshold includes the expected latency, because work behind a long prompt is late without any change of the
    // upstream.
    const duration meanLatency = m_firstTokens.meanLatency(priority);
    const duration threshold = std::chrono::duration_cast<duration>(
        m_options.latencyJump * std::max({meanLatency, m_firstTokens.expected(priority, load), limits::minLatencyJump}));
    const bool isJump = meanLatency > duration(0) && latency > threshold;
    m_jumps += isJump ? 1 : 0;
    // A jump is clamped to the threshold before it enters the model, so that it does not become the usual latency at
    // once.
    m_firstTokens.add(priority, load, isJump ? threshold : latency);
}

void concurrency_window::recordBetweenTokens(duration between, duration target)
{
    const double ratio = std::chrono::duration<double>(between) / target;
    m_betweenRatio = m_betweenRatio > 0 ? m_betweenRatio + limits::latencyModelWeight * (ratio - m_betweenRatio) : ratio;
    ++m_betweenSamples;
}

void concurrency_window::recordFailure()
{
    ++m_samples;
    ++m_failures;
}

void concurrency_window::collapse(time_point now)
{
    m_size = std::max<double>(m_options.initial, m_size * limits::windowCollapseFactor);
    m_cold = true;
    m_intervalEnd = now + m_options.interval;
    m_samples = m_jumps = m_failures = m_betweenSamples = 0;
    m_betweenRatio = 0;
}

bool concurrency_window::advance(time_point now, std::uint32_t running)
{
    m_peakRunning = std::max(m_peakRunning, running);
    // A few jumps may come from prefixes that were evicted from the cache. Jumps or failures in a large part of the
    // window and in most samples come from the upstream.
    const std::uint32_t badSamples = m_jumps + m_failures;
    const auto collapseThreshold = std::max(limits::minLatencyJumps, static_cast<std::uint32_t>(m_size * limits::jumpWindowShare));
    if (badSamples >= collapseThreshold && 2 * badSamples > m_samples) {
        collapse(now);
        m_peakRunning = running;
        return true;
    }
    if (now >= m_intervalEnd) {
        endInterval();
        m_intervalEnd = now + m_options.interval;
        m_peakRunning = running;
    }
    return false;
}

void concurrency_window::endInterval()
{
    const bool isSlow = m_betweenSamples >= limits::minBetweenTokensSamples && m_betweenRatio > 1.0;
    const bool isNearTarget = m_betweenRatio > limits::betweenTokensGrowthRatio;
    const std::uint32_t badSamples = m_jumps + m_failures;
    const bool isInUse = m_peakRunning >= m_size * limits::windowUseToGrow;
    if (isSlow) {
        m_size = std::max<double>(m_options.initial, m_size * limits::windowShrinkFactor);
        m_cold = false;
        m_betweenSamples = 0;
    } else if (isNearTarget) {
        m_cold = false;
    } else if (isInUse && m_samples > 0 && limits::goodSamplesPerBad * badSamples <= m_samples) {
        m_size = std::min<double>(m_options.max, m_size * m_options.growth);
        m_betweenSamples = 0;
        if (m_size >= m_options.max) {
            m_cold = false;
        }
    }
    m_samples = m_jumps = m_failures = 0;
}

} // namespace nutmegtally
