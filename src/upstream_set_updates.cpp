// The part of upstream_set that exchanges load updates with other routers, and that learns and shares the speed of upstreams.
#include "decay.h"
#include "limits.h"

#include <nutmegtally/upstream_set.h>

#include <algorithm>
#include <optional>

namespace nutmegtally
{

namespace
{

bool isWorthSending(const upstream_usage &usage)
{
    return usage.inFlight > 0 || usage.slowness.weight >= limits::minSentSpeedWeight;
}

} // namespace

void upstream_set::applyUsage(const load_update &update, time_point now)
{
    const auto [known, isNew] = m_sourceIndex.try_emplace(update.source, static_cast<std::uint32_t>(m_sourceIndex.size()));
    const std::uint32_t source = known->second;
    last_update &fromPeers = m_lastUpdates[source];
    if (fromPeers.at != time_point() && now - fromPeers.at < limits::loadUpdateLifetime) {
        m_updateInterval += scaled(now - fromPeers.at - m_updateInterval, limits::loadUpdateIntervalWeight);
    }
    fromPeers.at = now;
    fromPeers.scope = update.scope;
    for (const upstream_number number : fromPeers.upstreams) {
        if (upstream_entry *state = mutableState(number)) {
            std::erase_if(state->fromPeers, [source](const peer_usage &usage) { return usage.source == source; });
        }
    }
    fromPeers.upstreams.clear();
    for (const upstream_usage &usage : update.usage) {
        if (const upstream_number *number = numberOf(usage.upstream)) {
            mutableState(*number)->fromPeers.push_back(
                {source, update.scope, usage.inFlight, usage.pendingPrefillTokens, now, usage.slowness, usage.occupiedTokens});
            fromPeers.upstreams.push_back(*number);
        }
    }
}

upstream_usage upstream_set::ownUsage(const upstream_entry &state, time_point now) const
{
    upstream_usage usage {state.hash, state.inFlight, static_cast<std::uint32_t>(state.pendingPrefillTokens)};
    if (m_mechanisms.has(mechanism::learnedSpeed)) {
        usage.slowness = m_speeds.ownFigure(state.record.service, state.number, now);
        usage.occupiedTokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(state.kvTokens, UINT32_MAX));
    }
    return usage;
}

load_update upstream_set::ownLoad(time_point now) const
{
    load_update update;
    update.source = m_self;
    for (const auto &[instance, state] : m_upstreams) {
        const upstream_usage usage = ownUsage(state, now);
        if (isWorthSending(usage)) {
            update.usage.push_back(usage);
        }
    }
    addLeaving(update, now);
    return update;
}

void upstream_set::addLeaving(load_update &update, time_point now) const
{
    for (const auto &[instance, state] : m_upstreams) {
        if (state.isLeavingAnnounced && now - state.leavingAnnouncedAt < limits::leavingAnnounceTime) {
            update.leaving.push_back({state.hash, state.record.incarnation});
        }
    }
}

load_update upstream_set::sumOfLoads(load_scope scope, time_point now) const
{
    load_update update;
    update.source = scope == load_scope::fleet ? std::string() : m_ownDomain;
    update.scope = scope;
    for (const auto &[instance, state] : m_upstreams) {
        upstream_usage sum = ownUsage(state, now);
        bool isMemoryKnown = true; // a router of an earlier version does not state it
        for (const peer_usage &usage : state.fromPeers) {
            const bool counts = usage.scope == load_scope::router || scope == load_scope::fleet;
            if (counts && now - usage.receivedAt < limits::loadUpdateLifetime) {
                sum.inFlight += usage.inFlight;
                sum.pendingPrefillTokens += usage.pendingPrefillTokens;
                sum.slowness.add(usage.slowness);
                sum.occupiedTokens += usage.occupiedTokens;
                isMemoryKnown = isMemoryKnown && (usage.inFlight == 0 || usage.occupiedTokens > 0);
            }
        }
        sum.occupiedTokens = isMemoryKnown ? sum.occupiedTokens : 0;
        if (isWorthSending(sum)) {
            update.usage.push_back(sum);
        }
    }
    addLeaving(update, now);
    return update;
}

load_update upstream_set::domainLoad(time_point now) const
{
    return sumOfLoads(load_scope::domain, now);
}

load_update upstream_set::fleetLoad(time_point now) const
{
    return sumOfLoads(load_scope::fleet, now);
}

load_update upstream_set::excludingRouter(load_update fleet, const std::string &router) const
{
    const auto known = m_sourceIndex.find(router);
    const auto fromPeers = known == m_sourceIndex.end() ? m_lastUpdates.end() : m_lastUpdates.find(known->second);
    if (fromPeers == m_lastUpdates.end()) {
        return fleet;
    }
    std::unordered_map<std::uint64_t, const peer_usage *> own; // by hash of the upstream
    for (const upstream_number number : fromPeers->second.upstreams) {
        if (const upstream_entry *state = find(number)) {
            const auto usage = std::find_if(state->fromPeers.begin(), state->fromPeers.end(),
                                            [source = known->second](const peer_usage &each) { return each.source == source; });
            if (usage != state->fromPeers.end()) {
                own[state->hash] = &*usage;
            }
        }
    }
    for (upstream_usage &usage : fleet.usage) {
        if (const auto each = own.find(usage.upstream); each != own.end()) {
            usage.inFlight -= std::min(usage.inFlight, each->second->inFlight);
            usage.pendingPrefillTokens -= std::min(usage.pendingPrefillTokens, each->second->pendingPrefillTokens);
            usage.slowness.subtract(each->second->slowness);
            usage.occupiedTokens -= std::min(usage.occupiedTokens, each->second->occupiedTokens);
        }
    }
    std::erase_if(fleet.usage, [](const upstream_usage &usage) { return !isWorthSending(usage); });
    return fleet;
}

std::size_t upstream_set::activeSources(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_lastUpdates.begin(), m_lastUpdates.end(), [now](const auto &entry) {
        return now - entry.second.at < limits::loadUpdateLifetime && entry.second.scope != load_scope::fleet;
    }));
}

double upstream_set::occupiedTokens(const upstream_entry &upstream, double load, time_point now) const
{
    auto occupied = static_cast<double>(upstream.kvTokens);
    double requests = upstream.inFlight;
    for (const peer_usage &usage : upstream.fromPeers) {
        const bool isStated = usage.occupiedTokens > 0 && now - usage.receivedAt < limits::loadUpdateLifetime;
        if (isStated && m_mechanisms.has(mechanism::learnedSpeed)) {
            occupied += usage.occupiedTokens;
            requests += usage.inFlight;
        }
    }
    // The rest of the load is requests that no router has stated yet, and those of routers of an earlier version.
    return requests > 0 ? occupied * std::max(1.0, load / requests) : 0;
}

void upstream_set::recordSpeed(upstream_number number, const speed_sample &sample, time_point now)
{
    const upstream_entry *state = find(number);
    if (state != nullptr && m_mechanisms.has(mechanism::learnedSpeed) && now >= state->coldUntil) {
        m_speeds.record(state->record.service, sample, now);
    }
}

void upstream_set::refreshSpeeds(std::string_view service, time_point now)
{
    if (!m_mechanisms.has(mechanism::learnedSpeed) || !m_speeds.isDue(service, now)) {
        return;
    }
    std::vector<std::pair<upstream_number, slowness_figure>> others;
    for (const upstream_entry *state : ofService(service)) {
        others.emplace_back(state->number, peerSlowness(*state, now));
    }
    m_speeds.refresh(std::string(service), others, now);
}

slowness_figure upstream_set::peerSlowness(const upstream_entry &upstream, time_point now)
{
    slowness_figure sum;
    for (const peer_usage &usage : upstream.fromPeers) {
        if (now - usage.receivedAt < limits::loadUpdateLifetime) {
            sum.add(usage.slowness);
        }
    }
    return sum;
}

learned_speed upstream_set::speedOf(const upstream_entry &upstream) const
{
    return m_mechanisms.has(mechanism::learnedSpeed) ? m_speeds.of(upstream.record.service, upstream.number) : learned_speed();
}

engine_speed upstream_set::usualSpeedOf(std::string_view service) const
{
    return m_speeds.engines(service);
}

void upstream_set::holdBackUnproven(std::vector<candidate> &eligible, time_point now) const
{
    if (!m_mechanisms.has(mechanism::learnedSpeed)) {
        return;
    }
    std::vector<trial_candidate> candidates;
    candidates.reserve(eligible.size());
    // What an upstream with a limit gets is bounded by its limit, and learning of the limit's end takes requests.
    for (const candidate &each : eligible) {
        candidates.push_back({each.state->hash, each.load, each.state->inFlight, each.speed.isProven || each.isLimited});
    }
    // A router that hears nothing from others would not learn of their answers, so it tries upstreams itself.
    static const std::vector<std::uint64_t> alone;
    const bool hearsOthers = std::any_of(m_lastUpdates.begin(), m_lastUpdates.end(),
                                         [now](const auto &entry) { return now - entry.second.at < limits::loadUpdateLifetime; });
    const std::vector<bool> held = upstream_speed::heldBack(candidates, m_selfHash, hearsOthers ? m_routerHashes : alone);
    for (std::size_t i = 0; i < held.size(); ++i) {
        eligible[i].isHeldBack = held[i];
    }
}

std::vector<upstream_set::speed_change> upstream_set::takeSpeedChanges()
{
    return named(m_speeds.takeChanges());
}

std::vector<upstream_set::speed_change> upstream_set::unusualSpeeds() const
{
    return named(m_speeds.unusual());
}

std::vector<upstream_set::speed_change> upstream_set::named(const std::vector<upstream_speed::change> &changes) const
{
    std::vector<speed_change> list;
    for (const upstream_speed::change &each : changes) {
        if (const upstream_entry *state = find(each.upstream)) {
            list.push_back({state->record.instance, each.factor, state->inFlight});
        }
    }
    return list;
}

} // namespace nutmegtally
