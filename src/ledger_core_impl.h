// Definitions of basic_ledger_core. Tests include this file to instantiate the core with other policies.
#pragma once

#include "ledger_shard.h"

#include <algorithm>

namespace nutmegtally
{

template<ledger_policy Policy>
basic_ledger_core<Policy>::basic_ledger_core(ledger_options options)
    : m_options(std::make_unique<ledger_options>(std::move(options)))
    , m_live(std::make_unique<std::vector<upstream_id>>())
{
    for (std::uint32_t shard = 0; shard < m_options->shards; ++shard) {
        m_shards.push_back(std::make_unique<detail::ledger_shard<Policy>>(*m_options, *m_live, shard));
    }
}

template<ledger_policy Policy>
basic_ledger_core<Policy>::basic_ledger_core(basic_ledger_core &&) noexcept = default;

template<ledger_policy Policy>
basic_ledger_core<Policy> &basic_ledger_core<Policy>::operator=(basic_ledger_core &&) noexcept = default;

template<ledger_policy Policy>
basic_ledger_core<Policy>::~basic_ledger_core() = default;

template<ledger_policy Policy>
wall_time basic_ledger_core<Policy>::wallTimeAt(time_point now) const
{
    return m_lastWallTime + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastWallTimeAt);
}

template<ledger_policy Policy>
void basic_ledger_core<Policy>::apply(time_point now, const ledger_event_type &posted, std::vector<effect> &effects)
{
    using namespace ledger_event;
    const auto setWallTime = [&](wall_time wall) {
        m_lastWallTime = wall;
        m_lastWallTimeAt = now;
    };
    const auto context = [&] { return detail::event_context {now, wallTimeAt(now), effects}; };
    const auto refuse = [&](attempt_ref attempt, error_code code) {
        effects.push_back(ledger_effect::reply_refusal {attempt, code, run_state::notRun, {}, {}, {}});
    };
    const auto shardAt
        = [&](std::uint32_t shard) -> detail::ledger_shard<Policy> * { return shard < m_shards.size() ? m_shards[shard].get() : nullptr; };
    std::visit(overloaded {
                   [&](const booking_requested &requested) {
                       setWallTime(requested.wallNow);
                       if (requested.key.empty()) {
                           refuse(requested.attempt, error_code::keyMissing);
                           return;
                       }
                       const auto key = idempotency_key::fromText(requested.key);
                       if (!key) {
                           refuse(requested.attempt, error_code::keyInvalid);
                           return;
                       }
                       m_shards[key->shard(m_options->shards)]->request(context(), requested, *key);
                   },
                   [&](const booking_cancelled &cancelled) {
                       for (const auto &shard : m_shards) {
                           shard->cancel(context(), cancelled.attempt);
                       }
                   },
                   [&](const object_read &result) {
                       if (auto *shard = shardAt(result.operation.shard)) {
                           shard->objectRead(context(), result);
                       }
                   },
                   [&](const object_written &result) {
                       if (auto *shard = shardAt(result.operation.shard)) {
                           shard->objectWritten(context(), result);
                       }
                   },
                   [&](const service_answered &answer) {
                       if (auto *shard = shardAt(answer.claim.shard)) {
                           shard->answered(context(), answer);
                       }
                   },
                   [&](const service_failed &failure) {
                       if (auto *shard = shardAt(failure.claim.shard)) {
                           shard->failed(context(), failure);
                       }
                   },
                   [&](const owner_view_changed &view) {
                       *m_live = view.live;
                       std::sort(m_live->begin(), m_live->end());
                   },
                   [&](const service_config_changed &changed) {
                       m_options->horizon = changed.config.horizon;
                       m_options->checksKeys = changed.config.checksKeys;
                   },
                   [&](const settlement_requested &request) { m_shards[request.key.shard(m_options->shards)]->settle(context(), request); },
                   [&](const forward_answered &answer) {
                       if (auto *shard = shardAt(answer.claim.shard)) {
                           shard->forwardAnswered(answer);
                       }
                   },
                   [&](const tick &tick) {
                       setWallTime(tick.wallNow);
                       for (const auto &shard : m_shards) {
                           shard->tick(context());
                       }
                   }},
               posted);
}

template<ledger_policy Policy>
std::optional<time_point> basic_ledger_core<Policy>::nextTick() const
{
    std::optional<time_point> next;
    for (const auto &shard : m_shards) {
        const std::optional<time_point> time = shard->nextTick();
        if (time && (!next || *time < *next)) {
            next = time;
        }
    }
    return next;
}

template<ledger_policy Policy>
std::vector<unknown_booking> basic_ledger_core<Policy>::unknownBookings() const
{
    std::vector<unknown_booking> list;
    for (const auto &shard : m_shards) {
        shard->listUnknown(list);
    }
    return list;
}

template<ledger_policy Policy>
bool basic_ledger_core<Policy>::contains(const std::string &key) const
{
    const auto parsed = idempotency_key::fromText(key);
    return parsed && m_shards[parsed->shard(m_options->shards)]->contains(*parsed);
}

template<ledger_policy Policy>
ledger_counts basic_ledger_core<Policy>::counts() const
{
    ledger_counts counts;
    for (const auto &shard : m_shards) {
        shard->addCounts(counts);
    }
    return counts;
}

} // namespace nutmegtally
