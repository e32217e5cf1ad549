// Model of an inference engine in virtual time: continuous batching, chunked prefill in priority order, an LRU prefix
// cache, and a cold start with reduced speed and a lower concurrency limit.
#pragma once

#include "simulation/sim_queue.h"

#include <nutmegtally/work.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// LRU cache of prompt prefixes, keyed by chat. Sizes are in tokens.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// @return Cached tokens of the chat, 0 if there are none. Marks the entry as most recently used.
    std::uint32_t find(chat_id chat);

    void store(chat_id chat, std::uint32_t tokens);

    void erase(chat_id chat);

    void clear();

private:
    struct entry {
        chat_id chat;
        std::uint32_t tokens = 0;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_used = 0;
    std::list<entry> m_order; // most recently used first
    std::unordered_map<chat_id, std::list<entry>::iterator> m_entries;
};

struct sim_engine_options {
    duration stepBase = std::chrono::milliseconds(8);
    duration stepPerSequence = std::chrono::microseconds(250);
    double prefillTokensPerSecond = 20'000;
    std::uint32_t prefillChunk = 256; // tokens per step
    std::uint64_t cacheTokens = 1'250'000;
    duration coldStartDuration = std::chrono::seconds(20); // speed and concurrency limit grow linearly over it
    double coldSpeedFactor = 0.2; // speed at the beginning of a cold start, as a share of full speed
    std::uint32_t coldConcurrencyLimit = 4; // running requests allowed at the beginning of a cold start
    std::uint32_t warmConcurrencyLimit = 64; // running requests allowed at its end
};

class sim_engine
{
public:
    struct sequence {
        attempt_ref attempt;
        chat_id chat;
        std::uint32_t promptTokens = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t prefillLeft = 0;
        std::uint32_t outputTokens = 0;
        std::uint32_t generated = 0;
        unsigned priority = 0;
    };

    struct handlers {
        std::function<void(const sequence &)> firstToken;
        std::function<void(const sequence &)> token; // each token after the first
        std::function<void(const sequence &)> finished;
        std::function<void(const sequence &)> failed;
    };

    /// @param cache Own cache of this engine; several engines share one only to model an ideal placement.
    sim_engine(sim_queue &queue, sim_engine_options options, handlers callbacks, std::shared_ptr<prefix_cache> cache);

    void start(sequence work);
    void cancel(attempt_ref attempt);

    /// Fails all running requests and clears the cache unless it is shared. The engine is down until boot().
    void crash();

    /// Starts the engine with a cold start.
    void boot();

    const std::vector<sequence> &running() const
    {
        return m_running;
    }

    /// Requests that failed because they exceeded the concurrency limit of a cold start.
    std::uint64_t coldFailures() const
    {
        return m_coldFailures;
    }

    /// Begins a cold start without a new incarnation.
    void returnToColdStart()
    {
        m_bootedAt = m_queue.now();
    }

    void skipColdStart()
    {
        m_bootedAt = m_queue.now() - m_options.coldStartDuration;
    }

private:
    double warmUpProgress() const;
    void scheduleStep();
    void step(std::uint64_t epoch, std::uint32_t prefilled);
    std::uint32_t prefill(std::uint32_t budget, bool commit);

    sim_queue &m_queue;
    sim_engine_options m_options;
    handlers m_handlers;
    std::shared_ptr<prefix_cache> m_cache;
    std::vector<sequence> m_running; // ordered by priority, then by start
    time_point m_bootedAt;
    std::uint64_t m_epoch = 0; // incremented by crash(); steps scheduled in an earlier epoch are ignored
    std::uint64_t m_coldFailures = 0;
    bool m_isUp = true;
    bool m_isStepScheduled = false;
};

} // namespace nutmegtally
