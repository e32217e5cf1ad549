// Timing and cache model of the stand-in engine: continuous batching, an LRU prefix cache and cold starts.
#pragma once

#include "standin/standin_http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace nutmegtally::standin
{

struct engine_options {
    double prefillTokensPerSecond = 8000;
    double tokenMs = 10; // between two tokens of a stream
    unsigned concurrency = 32; // running streams; further ones wait
    double coldStartMs = 0; // duration of the cold start after a start or restart; 0 for none
    unsigned coldConcurrency = 2; // further requests are refused during a cold start
    double coldSlowdown = 4; // factor on prefill and token times during a cold start
    std::uint64_t cacheTokens = 200000;
    double loadLagMs = 500;
    double cacheEventDelayMs = 1000;
    unsigned cacheEventGap = 10; // every n-th cache event is not published; 0 for no gap
    bool checksFencing = false;
    double orderMs = 50;
};

/// A request at the engine. Its handler thread shares it with threads that cancel it or restart the engine.
struct engine_request {
    std::string id;
    std::string chat; // empty for no chat
    std::uint32_t priority = 1; // lower values first
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t firstToken = 0; // tokens already received by the client, for a resumed stream
    std::uint32_t cachedTokens = 0; // prompt tokens found in the cache, set at the start
    std::atomic<bool> stopped {false}; // cancelled, replaced or cut by a restart
    std::atomic<bool> isStalled {false}; // sends nothing more, with the connection left open
};

using engine_request_ptr = std::shared_ptr<engine_request>;

enum class start_result : std::uint8_t {
    started,
    refused, // over coldConcurrency during a cold start
    stopped,
    count
};

/// Thread-safe. A handler thread blocks in these functions while its request waits, is prefilled or decodes.
class engine_model
{
public:
    explicit engine_model(const engine_options &options);

    /// Waits for a slot in the batch and for the prefill. The request holds a slot only if the result is `started`.
    /// @param timeFactor Factor on all times.
    start_result start(const engine_request_ptr &request, double timeFactor);

    /// Waits until the next token of the request is due. @return false if the request was stopped.
    bool waitForToken(const engine_request_ptr &request, double timeFactor);

    /// Ends a request and stores its context in the cache.
    /// @param generated Tokens that were generated, also for a stopped request.
    void finish(const engine_request_ptr &request, std::uint32_t generated, bool complete);

    /// @return Whether the request was known.
    bool cancel(const std::string &id);

    /// Begins a new incarnation: stops all requests, clears the cache and begins a cold start.
    void restart();

    /// Begins a cold start without a new incarnation.
    void beginColdStart();

    /// Stalls all current requests: they send nothing more, with the connection left open. Later ones are not affected.
    void stallRunning();

    /// @return Cached tokens, 0 for an unknown chat.
    std::uint32_t cachedTokens(const std::string &chat) const;
    void importCache(const std::string &chat, std::uint32_t tokens);

    nlohmann::json load() const; // delayed by loadLagMs
    nlohmann::json cacheEvents(std::uint64_t since) const; // delayed by cacheEventDelayMs, with gaps as set by cacheEventGap
    nlohmann::json counters() const;

private:
    struct load_sample {
        clock::time_point at;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    struct cache_event {
        std::uint64_t number = 0;
        clock::time_point at;
        std::string chat;
        std::uint32_t tokens = 0;
    };

    struct cache_entry {
        std::string chat;
        std::uint32_t tokens = 0;
    };

    using lock_type = std::unique_lock<std::mutex>;
    using queue_position = std::pair<std::uint32_t, std::uint64_t>; // priority and arrival number

    bool isCold(clock::time_point now) const;
    double slowdown(clock::time_point now) const;
    void sampleLoad();
    void store(const std::string &chat, std::uint32_t tokens);
    void publish(const std::string &chat, std::uint32_t tokens);
    void stopAll();
    bool waitUntil(lock_type &lock, const engine_request_ptr &request, clock::time_point end);

    engine_options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_incarnation;
    clock::time_point m_coldUntil;
    clock::time_point m_prefillFreeAt; // prefills run one after the other
    std::set<queue_position> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::size_t m_running = 0;
    std::size_t m_peakRunning = 0;
    std::map<std::string, engine_request_ptr> m_requests; // by id, waiting and running
    std::list<cache_entry> m_cache; // most recently used first
    std::unordered_map<std::string, std::list<cache_entry>::iterator> m_cacheIndex;
    std::uint64_t m_cacheTokens = 0; // sum over m_cache
    std::deque<cache_event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::deque<load_sample> m_load;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace nutmegtally::standin
