#include "simulation/sim_engine.h"

#include <algorithm>

namespace nutmegtally
{

std::uint32_t prefix_cache::find(chat_id chat)
{
    const auto found = m_entries.find(chat);
    if (!chat.isValid() || found == m_entries.end()) {
        return 0;
    }
    m_order.splice(m_order.begin(), m_order, found->second);
    return found->second->tokens;
}

void prefix_cache::store(chat_id chat, std::uint32_t tokens)
{
    if (!chat.isValid()) {
        return;
    }
    erase(chat);
    m_order.push_front({chat, tokens});
    m_entries[chat] = m_order.begin();
    m_used += tokens;
    while (m_used > m_capacity && !m_order.empty()) {
        erase(chat_id(m_order.back().chat));
    }
}

void prefix_cache::erase(chat_id chat)
{
    const auto found = m_entries.find(chat);
    if (found == m_entries.end()) {
        return;
    }
    m_used -= found->second->tokens;
    m_order.erase(found->second);
    m_entries.erase(found);
}

void prefix_cache::clear()
{
    m_order.clear();
    m_entries.clear();
    m_used = 0;
}

sim_engine::sim_engine(sim_queue &queue, sim_engine_options options, handlers callbacks, std::shared_ptr<prefix_cache> cache)
    : m_queue(queue)
    , m_options(options)
    , m_handlers(std::move(callbacks))
    , m_cache(std::move(cache))
    , m_bootedAt(queue.now())
{
}

double sim_engine::warmUpProgress() const
{
    return std::min(1.0, std::chrono::duration<double>(m_queue.now() - m_bootedAt) / m_options.coldStartDuration);
}

void sim_engine::start(sequence work)
{
    const double limit
        = m_options.coldConcurrencyLimit + warmUpProgress() * (m_options.warmConcurrencyLimit - m_options.coldConcurrencyLimit);
    const bool isOverloaded = warmUpProgress() < 1.0 && static_cast<double>(m_running.size()) + 1 > limit;
    if (!m_isUp || isOverloaded) {
        m_coldFailures += m_isUp ? 1 : 0;
        m_queue.after(std::chrono::milliseconds(1), [this, work] { m_handlers.failed(work); });
        return;
    }
    work.cachedTokens = std::min(m_cache->find(work.chat), work.promptTokens - 1);
    work.prefillLeft = work.promptTokens - work.cachedTokens;
    const auto place = std::upper_bound(m_running.begin(), m_running.end(), work.priority,
                                        [](unsigned priority, const sequence &other) { return priority < other.priority; });
    m_running.insert(place, work);
    scheduleStep();
}

void sim_engine::cancel(attempt_ref attempt)
{
    std::erase_if(m_running, [&](const sequence &entry) { return entry.attempt == attempt; });
}

void sim_engine::crash()
{
    m_isUp = false;
    m_isStepScheduled = false;
    ++m_epoch;
    if (m_cache.use_count() == 1) {
        m_cache->clear();
    }
    const std::vector<sequence> lost = std::exchange(m_running, {});
    for (const sequence &work : lost) {
        m_handlers.failed(work);
    }
}

void sim_engine::boot()
{
    m_isUp = true;
    m_bootedAt = m_queue.now();
}

std::uint32_t sim_engine::prefill(std::uint32_t budget, bool commit)
{
    std::uint32_t used = 0;
    for (sequence &work : m_running) {
        const std::uint32_t part = std::min(work.prefillLeft, budget - used);
        used += part;
        work.prefillLeft -= commit ? part : 0;
        if (used == budget) {
            break;
        }
    }
    return used;
}

void sim_engine::scheduleStep()
{
    if (m_isStepScheduled || m_running.empty()) {
        return;
    }
    m_isStepScheduled = true;
    const std::uint32_t tokens = prefill(m_options.prefillChunk, false);
    const auto decoding = std::count_if(m_running.begin(), m_running.end(), [](const sequence &work) { return work.prefillLeft == 0; });
    const double speed = m_options.coldSpeedFactor + (1.0 - m_options.coldSpeedFactor) * warmUpProgress();
    const double micros = static_cast<double>(m_options.stepBase.count() + decoding * m_options.stepPerSequence.count())
                          + tokens / m_options.prefillTokensPerSecond * 1e6;
    m_queue.after(duration(static_cast<std::int64_t>(micros / speed)), [this, epoch = m_epoch, tokens] { step(epoch, tokens); });
}

void sim_engine::step(std::uint64_t epoch, std::uint32_t prefilled)
{
    if (epoch != m_epoch) {
        return;
    }
    m_isStepScheduled = false;
    std::vector<sequence> first;
    std::vector<sequence> later;
    std::vector<sequence> done;
    for (sequence &work : m_running) {
        if (work.prefillLeft == 0) {
            ++work.generated;
            later.push_back(work);
        }
    }
    prefill(prefilled, true);
    for (sequence &work : m_running) {
        if (work.prefillLeft == 0 && work.generated == 0) {
            work.generated = 1; // the step that completes the prefill yields the first token
            first.push_back(work);
        }
        if (work.generated >= work.outputTokens && work.generated > 0) {
            done.push_back(work);
        }
    }
    std::erase_if(m_running, [](const sequence &work) { return work.generated > 0 && work.generated >= work.outputTokens; });
    for (const sequence &work : first) {
        m_handlers.firstToken(work);
    }
    for (const sequence &work : later) {
        m_handlers.token(work);
    }
    for (const sequence &work : done) {
        m_cache->store(work.chat, work.promptTokens + work.generated);
        m_handlers.finished(work);
    }
    scheduleStep();
}

} // namespace nutmegtally
