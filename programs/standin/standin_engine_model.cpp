#include "standin/standin_engine_model.h"

#include <algorithm>

namespace nutmegtally::standin
{

namespace
{

constexpr std::size_t maxEvents = 4096;
constexpr std::size_t maxLoadSamples = 4096;

clock::duration milli(double value)
{
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(value));
}

std::int64_t newIncarnation()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

engine_model::engine_model(const engine_options &options)
    : m_options(options)
    , m_incarnation(newIncarnation())
    , m_coldUntil(clock::now() + milli(options.coldStartMs))
    , m_prefillFreeAt(clock::now())
{
    m_load.push_back({clock::now(), 0, 0});
}

bool engine_model::isCold(clock::time_point now) const
{
    return now < m_coldUntil;
}

double engine_model::slowdown(clock::time_point now) const
{
    return isCold(now) ? m_options.coldSlowdown : 1;
}

void engine_model::sampleLoad()
{
    m_load.push_back({clock::now(), m_running, m_waiting.size()});
    if (m_load.size() > maxLoadSamples) {
        m_load.pop_front();
    }
    m_peakRunning = std::max(m_peakRunning, m_running);
}

bool engine_model::waitUntil(lock_type &lock, const engine_request_ptr &request, clock::time_point end)
{
    m_changed.wait_until(lock, end, [&] { return request->stopped || request->isStalled; });
    return !request->stopped;
}

start_result engine_model::start(const engine_request_ptr &request, double timeFactor)
{
    lock_type lock(m_mutex);
    ++m_counts["requests"];
    if (isCold(clock::now()) && m_running + m_waiting.size() >= m_options.coldConcurrency) {
        ++m_counts["refused_cold"];
        return start_result::refused;
    }
    engine_request_ptr &known = m_requests[request->id];
    if (known) {
        // A resumed stream replaces the stream whose connection was lost.
        known->stopped = true;
        ++m_counts["replaced"];
    }
    known = request;
    const queue_position position {request->priority, ++m_arrivals};
    m_waiting.insert(position);
    sampleLoad();
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return request->stopped || (m_running < m_options.concurrency && *m_waiting.begin() == position); });
    m_waiting.erase(position);
    if (request->stopped) {
        m_changed.notify_all();
        return start_result::stopped;
    }
    ++m_running;
    sampleLoad();
    m_changed.notify_all();

    const auto found = m_cacheIndex.find(request->chat);
    const std::uint32_t cached = found == m_cacheIndex.end() ? 0 : found->second->tokens;
    // The last prompt token is always computed, because its result is the first answer token.
    request->cachedTokens = std::min(cached, request->promptTokens - 1);
    m_counts["prompt_tokens"] += request->promptTokens;
    m_counts["reused_tokens"] += request->cachedTokens;
    const clock::time_point now = clock::now();
    const double seconds = (request->promptTokens - request->cachedTokens) / m_options.prefillTokensPerSecond;
    m_prefillFreeAt = std::max(m_prefillFreeAt, now) + milli(seconds * 1000 * timeFactor * slowdown(now));
    const clock::time_point prefilled = m_prefillFreeAt;
    if (!waitUntil(lock, request, prefilled)) {
        --m_running;
        sampleLoad();
        m_changed.notify_all();
        return start_result::stopped;
    }
    return start_result::started;
}

bool engine_model::waitForToken(const engine_request_ptr &request, double timeFactor)
{
    lock_type lock(m_mutex);
    const clock::time_point now = clock::now();
    if (!waitUntil(lock, request, now + milli(m_options.tokenMs * timeFactor * slowdown(now)))) {
        return false;
    }
    ++m_counts["generated_tokens"];
    return true;
}

void engine_model::finish(const engine_request_ptr &request, std::uint32_t generated, bool complete)
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    ++m_counts[complete ? "finished" : "cut"];
    const auto known = m_requests.find(request->id);
    if (known != m_requests.end() && known->second == request) {
        m_requests.erase(known);
    }
    if (!request->chat.empty() && !request->stopped) {
        store(request->chat, request->promptTokens + generated);
    }
    sampleLoad();
    m_changed.notify_all();
}

bool engine_model::cancel(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_requests.find(id);
    if (known == m_requests.end()) {
        return false;
    }
    known->second->stopped = true;
    m_requests.erase(known);
    ++m_counts["cancelled"];
    m_changed.notify_all();
    return true;
}

void engine_model::stopAll()
{
    for (const auto &[id, request] : m_requests) {
        request->stopped = true;
    }
    m_requests.clear();
    m_changed.notify_all();
}

void engine_model::restart()
{
    const std::lock_guard lock(m_mutex);
    stopAll();
    m_cache.clear();
    m_cacheIndex.clear();
    m_cacheTokens = 0;
    m_events.clear();
    m_incarnation = std::max(m_incarnation + 1, newIncarnation());
    m_coldUntil = clock::now() + milli(m_options.coldStartMs);
    m_prefillFreeAt = clock::now();
    ++m_counts["restarts"];
}

void engine_model::beginColdStart()
{
    const std::lock_guard lock(m_mutex);
    m_coldUntil = clock::now() + milli(m_options.coldStartMs);
}

void engine_model::stallRunning()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, request] : m_requests) {
        request->isStalled = true;
    }
    m_changed.notify_all();
}

std::uint32_t engine_model::cachedTokens(const std::string &chat) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_cacheIndex.find(chat);
    return found == m_cacheIndex.end() ? 0 : found->second->tokens;
}

void engine_model::importCache(const std::string &chat, std::uint32_t tokens)
{
    const std::lock_guard lock(m_mutex);
    store(chat, tokens);
}

void engine_model::store(const std::string &chat, std::uint32_t tokens)
{
    const auto found = m_cacheIndex.find(chat);
    if (found != m_cacheIndex.end()) {
        m_cacheTokens -= found->second->tokens;
        m_cache.erase(found->second);
    }
    m_cache.push_front({chat, tokens});
    m_cacheIndex[chat] = m_cache.begin();
    m_cacheTokens += tokens;
    publish(chat, tokens);
    while (m_cacheTokens > m_options.cacheTokens && m_cache.size() > 1) {
        const cache_entry &last = m_cache.back();
        m_cacheTokens -= last.tokens;
        publish(last.chat, 0);
        m_cacheIndex.erase(last.chat);
        m_cache.pop_back();
        ++m_counts["evictions"];
    }
}

void engine_model::publish(const std::string &chat, std::uint32_t tokens)
{
    ++m_eventNumber;
    if (m_options.cacheEventGap != 0 && m_eventNumber % m_options.cacheEventGap == 0) {
        return;
    }
    m_events.push_back({m_eventNumber, clock::now(), chat, tokens});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

nlohmann::json engine_model::load() const
{
    const std::lock_guard lock(m_mutex);
    const clock::time_point visibleUntil = clock::now() - milli(m_options.loadLagMs);
    load_sample sample = m_load.front();
    for (auto i = m_load.rbegin(); i != m_load.rend(); ++i) {
        if (i->at <= visibleUntil) {
            sample = *i;
            break;
        }
    }
    return {{"incarnation", m_incarnation},
            {"running", sample.running},
            {"waiting", sample.waiting},
            {"prefill_tokens_per_second", m_options.prefillTokensPerSecond}};
}

nlohmann::json engine_model::cacheEvents(std::uint64_t since) const
{
    const std::lock_guard lock(m_mutex);
    const clock::time_point visibleUntil = clock::now() - milli(m_options.cacheEventDelayMs);
    std::uint64_t next = since;
    nlohmann::json events = nlohmann::json::array();
    for (const cache_event &event : m_events) {
        if (event.at > visibleUntil) {
            break;
        }
        if (event.number > since) {
            events.push_back({{"chat", event.chat}, {"cached_tokens", event.tokens}});
            next = event.number;
        }
    }
    return {{"next", next}, {"events", events}};
}

nlohmann::json engine_model::counters() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json counters = {{"incarnation", m_incarnation},  {"running", m_running},         {"waiting", m_waiting.size()},
                               {"peak_running", m_peakRunning}, {"cold", isCold(clock::now())}, {"cached_chats", m_cache.size()}};
    for (const char *name : {"requests", "finished", "cut", "cancelled", "replaced", "refused_cold", "restarts", "prompt_tokens",
                             "reused_tokens", "generated_tokens", "evictions"}) {
        const auto found = m_counts.find(name);
        counters[name] = found == m_counts.end() ? 0 : found->second;
    }
    return counters;
}

} // namespace nutmegtally::standin
