// Model of an engine in virtual time: continuous batching with chunked prefill by priority, a prefix cache with
// least-recently-used eviction, and a cold start during which it is slow and fails under load.
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

/// Prefixes by chat, least recently used first out.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Tokens held for the chat; marks it as used.
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
    std::list<entry> m_order; // newest first
    std::unordered_map<chat_id, std::list<entry>::iterator> m_entries;
};

struct sim_engine_options {
    duration stepBase = std::chrono::milliseconds(8);
    duration stepPerSequence = std::chrono::microseconds(250);
    double prefillTokensPerSecond = 20'000;
    std::uint32_t prefillChunk = 256; // tokens per step
    std::uint64_t cacheTokens = 1'250'000;
    duration coldStartDuration = std::chrono::seconds(20); // speed and bearable load grow linearly over this time
    double coldSpeedFactor = 0.2; // at the start, as a share of full speed
    std::uint32_t coldConcurrencyLimit = 4; // running requests that it bears at the start
    std::uint32_t warmConcurrencyLimit = 64; // and at the end of the cold time
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
        std::function<void(const sequence &)> token; // each later one
        std::function<void(const sequence &)> finished;
        std::function<void(const sequence &)> failed;
    };

    /// @param cache Shared by several engines only to model an ideal placement.
    sim_engine(sim_queue &queue, sim_engine_options options, handlers callbacks, std::shared_ptr<prefix_cache> cache);

    void start(sequence work);
    void cancel(attempt_ref attempt);

    /// Everything that runs fails and the cache is lost; down until boot().
    void crash();

    /// Starts cold.
    void boot();

    const std::vector<sequence> &running() const
    {
        return m_running;
    }

    /// Requests that failed because a cold engine had more than it bears.
    std::uint64_t coldFailures() const
    {
        return m_coldFailures;
    }

    /// Makes a warm engine slow again without a new incarnation.
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
    std::vector<sequence> m_running; // by priority, then by start
    time_point m_bootedAt;
    std::uint64_t m_epoch = 0; // a step of an earlier boot is void
    std::uint64_t m_coldFailures = 0;
    bool m_isUp = true;
    bool m_isStepScheduled = false;
};

} // namespace nutmegtally
