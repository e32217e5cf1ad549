// The part of entry_core that carries out rollouts: the versions that a request may use, the counts by which versions are judged, and
// the status of orders.
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

/// True if a placement found no upstream among those of a filter, so that the next filter applies.
bool hasNone(placement_outcome outcome, const version_filter *filter)
{
    const bool endsRetries = filter != nullptr && filter->endsRetries;
    return outcome == placement_outcome::noneListed || (outcome == placement_outcome::allTried && !endsRetries);
}

} // namespace

placement entry_core::chooseAllowed(time_point now, placement_query &wanted, const exchange &work)
{
    const version_filters filters = m_rollouts.filtersFor(work.service, now);
    placement choice;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, filters.size()); ++i) {
        wanted.versions = filters.empty() ? nullptr : &filters[i];
        choice = m_upstreams.choose(wanted, *work.rules, now);
        const bool isNextDue = hasNone(choice.outcome, wanted.versions)
                               || (choice.outcome != placement_outcome::chosen && !filters.empty() && filters[i].yieldsWhenFull);
        if (!isNextDue) {
            break;
        }
    }
    wanted.versions = nullptr;
    return choice;
}

bool entry_core::mayUseVersion(time_point now, const exchange &work, upstream_number upstream)
{
    const upstream_entry *state = m_upstreams.find(upstream);
    const version_filters filters = m_rollouts.filtersFor(work.service, now);
    if (state == nullptr || filters.empty()) {
        return state != nullptr;
    }
    for (const version_filter &each : filters) {
        if (each.allows(state->record.version, state->hash)) {
            return true;
        }
        placement_query preferred;
        preferred.service = work.service;
        preferred.tried = &work.tried;
        preferred.versions = &each;
        const placement_outcome outcome = m_upstreams.choose(preferred, *work.rules, now).outcome;
        if (!hasNone(outcome, &each) && !each.yieldsWhenFull) {
            return false; // the choice was made before an order, a status or an upstream came
        }
    }
    return false;
}

void entry_core::noteVersionStart(exchange &work, const upstream_entry &upstream, const placement &choice)
{
    work.isVersionCounted = false;
    work.isCountedGood = false;
    // Without the learned speed of this upstream: otherwise a slow version would be expected to be slow, and count as good.
    const std::chrono::duration<double, std::milli> predicted(limits::expectedTimeFloorMs + std::max(0.0, choice.score - choice.learnedMs));
    work.expectedTime = work.route->carriesPrompt ? std::chrono::duration_cast<duration>(predicted) : work.route->target;
    m_rollouts.recordStart(work.service, upstream.record.version, work.sentAt);
}

void entry_core::noteVersionUnreachable(const exchange &work, attempt_failure failure)
{
    const upstream_entry *upstream = m_upstreams.find(work.upstream);
    if (failure == attempt_failure::unreachable && upstream != nullptr) {
        m_rollouts.recordUnreachable(work.service, upstream->record.version);
    }
}

void entry_core::countVersionAnswer(time_point now, exchange &work, answer_quality quality)
{
    const upstream_entry *upstream = m_upstreams.find(work.upstream);
    const bool isLateBreak = work.isCountedGood && quality != answer_quality::good;
    if (upstream == nullptr || (work.isVersionCounted && !isLateBreak)) {
        return;
    }
    std::optional<double> slowness;
    if (now >= upstream->coldUntil && work.expectedTime.count() > 0 && m_rollouts.countsTimes(upstream->record.instance, now)) {
        slowness = static_cast<double>((now - work.sentAt).count()) / static_cast<double>(work.expectedTime.count());
    }
    m_rollouts.recordAnswer(work.service, upstream->record.version, upstream->hash, work.route->name, quality, slowness, isLateBreak, now);
    work.isVersionCounted = true;
    work.isCountedGood = quality == answer_quality::good;
}

void entry_core::append(const std::vector<rollout_control::effect> &decisions, std::vector<effect> &effects)
{
    for (const rollout_control::effect &decision : decisions) {
        if (const auto *write = std::get_if<rollout_effect::write_status>(&decision)) {
            effects.push_back(entry_effect::write_rollout_status {write->order, write->status});
        } else {
            effects.push_back(std::get<log_record>(decision));
        }
    }
}

void entry_core::updateRollouts(time_point now, std::vector<effect> &effects)
{
    std::map<std::string, version_load> loads;
    for (const auto &[service, target] : m_rollouts.targets()) {
        loads[service] = m_upstreams.loadOfVersions(service, target, now);
    }
    std::vector<rollout_control::effect> decisions;
    m_rollouts.tick(now, loads, decisions);
    append(decisions, effects);
}

void entry_core::on(time_point now, const entry_event::rollout_ordered &input, std::vector<effect> &effects)
{
    std::vector<rollout_control::effect> decisions;
    m_rollouts.takeOrder(input.order, now, decisions);
    append(decisions, effects);
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::rollout_withdrawn &input, std::vector<effect> &effects)
{
    std::vector<rollout_control::effect> decisions;
    m_rollouts.withdraw(input.service, decisions);
    append(decisions, effects);
    placeWaiting(now, effects);
}

void entry_core::on(time_point, const entry_event::rollouts_verified &input, std::vector<effect> &)
{
    m_rollouts.verify(input.asOf);
}

void entry_core::on(time_point now, const entry_event::rollout_status_answered &input, std::vector<effect> &effects)
{
    std::vector<rollout_control::effect> decisions;
    m_rollouts.takeWriteResult(input.service, input.result, now, decisions);
    append(decisions, effects);
}

} // namespace nutmegtally
