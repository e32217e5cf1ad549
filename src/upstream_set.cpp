#include "decay.h"
#include "limits.h"
#include "placement_score.h"
#include "update_key.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/router_rank.h>
#include <nutmegtally/upstream_set.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <optional>

namespace nutmegtally
{

namespace
{

void append(std::vector<prompt_location> &list, prompt_location prompt)
{
    if (list.size() < limits::maxOutgoingPrompts) {
        list.push_back(std::move(prompt));
    }
}

/// Moves the first prompts of @p list to @p taken, which then has at most limits::partsPerUpdate parts, or a single prompt.
void takeFirst(std::vector<prompt_location> &list, std::vector<prompt_location> &taken)
{
    std::size_t parts = 0;
    for (const prompt_location &prompt : taken) {
        parts += prompt.parts.size();
    }
    auto end = list.begin();
    while (end != list.end() && ((taken.empty() && end == list.begin()) || parts + end->parts.size() <= limits::partsPerUpdate)) {
        parts += end->parts.size();
        ++end;
    }
    taken.insert(taken.end(), std::make_move_iterator(list.begin()), std::make_move_iterator(end));
    list.erase(list.begin(), end);
}

/// Rendezvous hash of an upstream for an affinity key; the upstreams with the highest ranks are preferred.
std::uint64_t rankOf(std::uint64_t affinityKey, const upstream_entry &upstream)
{
    return mixHash(affinityKey, upstream.hash);
}

} // namespace

upstream_set::upstream_set(std::string ownDomain, mechanism_set mechanisms)
    : m_ownDomain(std::move(ownDomain))
    , m_mechanisms(mechanisms)
{
}

bool upstream_set::upsert(upstream_record record, time_point now)
{
    if (record.isLeaving) {
        m_leaving.insert(record.instance, record.incarnation);
    }
    record.isLeaving = record.isLeaving || m_leaving.contains(record.instance, record.incarnation);
    const auto known = m_upstreams.find(record.instance);
    const time_point coldUntil = now + record.coldFor;
    if (known != m_upstreams.end() && known->second.record.incarnation == record.incarnation
        && known->second.record.address == record.address) {
        upstream_entry &state = known->second;
        upstream_record same = state.record;
        same.coldFor = record.coldFor;
        same.listedAt = record.listedAt;
        const bool changed = !(same == record) || state.isMissing;
        m_servicesChanged = m_servicesChanged || state.record.service != record.service;
        // An entry that is only listed again, for instance after the object API was restored, is no start.
        state.coldUntil = record.coldFor == state.record.coldFor ? state.coldUntil : coldUntil;
        state.record = record;
        state.isMissing = false;
        return changed;
    }
    upstream_entry state;
    state.record = record;
    state.hash = hashText(record.instance);
    state.number = ++m_lastNumber;
    state.coldUntil = coldUntil;
    state.coldBucketRefilledAt = now;
    state.coldBucket = 1;
    if (known != m_upstreams.end()) {
        m_instanceOf.erase(known->second.number);
    }
    m_instanceOf[state.number] = record.instance;
    m_numberOf[updateKey(state.hash)] = state.number;
    m_servicesChanged = true;
    m_upstreams[record.instance] = std::move(state);
    return true;
}

void upstream_set::remove(const std::string &instance, time_point now, duration grace)
{
    const auto known = m_upstreams.find(instance);
    if (known == m_upstreams.end()) {
        return;
    }
    if (grace.count() > 0) {
        if (!known->second.isMissing) {
            known->second.isMissing = true;
            known->second.missingUntil = now + grace;
        }
        return;
    }
    m_instanceOf.erase(known->second.number);
    m_numberOf.erase(updateKey(known->second.hash));
    m_cacheKnown.erase(known->second.number);
    m_servicesChanged = true;
    m_upstreams.erase(known);
}

std::vector<std::string> upstream_set::expire(time_point now)
{
    std::vector<std::string> removed;
    for (const auto &[instance, state] : m_upstreams) {
        if (state.isMissing && state.missingUntil <= now) {
            removed.push_back(instance);
        }
    }
    for (const std::string &instance : removed) {
        remove(instance, now, duration(0));
    }
    return removed;
}

void upstream_set::setClosedDomains(std::unordered_set<std::string> domains)
{
    m_closedDomains = std::move(domains);
}

void upstream_set::setRouters(std::string self, std::vector<std::string> live)
{
    m_self = std::move(self);
    m_routers = std::move(live);
    if (std::find(m_routers.begin(), m_routers.end(), m_self) == m_routers.end()) {
        m_routers.push_back(m_self);
    }
    m_selfHash = hashText(m_self);
    m_routerHashes = hashesOf(m_routers);
}

double upstream_set::estimatedLoad(const upstream_entry &upstream, time_point now) const
{
    double fromPeers = 0;
    for (const peer_usage &usage : upstream.fromPeers) {
        fromPeers += now - usage.receivedAt < limits::loadUpdateLifetime ? usage.inFlight : 0;
    }
    double stated = 0;
    if (m_mechanisms.has(mechanism::reportedLoad) && upstream.hasReport && now - upstream.reportedAt < limits::reportLifetime) {
        const double total = upstream.reported.running + upstream.reported.waiting;
        stated = std::max(0.0, total - upstream.inFlightAtReport) * halved(now - upstream.reportedAt, limits::reportHalfLife);
    }
    return upstream.inFlight + std::max(fromPeers, stated);
}

version_load upstream_set::loadOfVersions(std::string_view service, std::string_view target, time_point now) const
{
    version_load load;
    for (const auto &[instance, state] : m_upstreams) {
        if (state.record.service == service) {
            load.all += estimatedLoad(state, now);
            load.base += state.record.version == target ? 0 : state.inFlight;
        }
    }
    return load;
}

std::uint64_t upstream_set::pendingPrefillTokens(const upstream_entry &upstream, time_point now) const
{
    std::uint64_t tokens = upstream.pendingPrefillTokens;
    for (const peer_usage &usage : upstream.fromPeers) {
        tokens += now - usage.receivedAt < limits::loadUpdateLifetime ? usage.pendingPrefillTokens : 0;
    }
    return tokens;
}

void upstream_set::applyUpdate(const load_update &update, bool isCounted, time_point now)
{
    if (isCounted && m_mechanisms.has(mechanism::peerLoad)) {
        applyUsage(update, now);
    }
    for (const leaving_upstream &leaving : update.leaving) {
        const upstream_number *number = numberOf(leaving.upstream);
        if (number != nullptr && mutableState(*number)->record.incarnation == leaving.incarnation) {
            markLeaving(*number, now);
        }
    }
    std::vector<prompt_location> *outgoing = nullptr;
    if (m_isLeader && update.scope != load_scope::fleet) {
        outgoing = update.scope == load_scope::router ? &m_outgoingPrompts : &m_outgoingRemotePrompts;
    }
    recordPrompts(update.prompts, outgoing, now);
}

const upstream_number *upstream_set::numberOf(std::uint64_t hash) const
{
    const auto number = m_numberOf.find(updateKey(hash));
    return number == m_numberOf.end() ? nullptr : &number->second;
}

void upstream_set::recordPrompts(const std::vector<prompt_location> &prompts, std::vector<prompt_location> *outgoing, time_point now)
{
    for (const prompt_location &prompt : prompts) {
        if (const upstream_number *number = numberOf(prompt.upstream)) {
            std::vector<std::uint64_t> toAnnounce = m_prefixes.recordUse(prompt.parts, *number, now);
            if (!toAnnounce.empty() && outgoing != nullptr) {
                append(*outgoing, {prompt.upstream, std::move(toAnnounce)});
            }
        }
    }
}

void upstream_set::addPromptLocations(const std::vector<prompt_location> &prompts, time_point now)
{
    recordPrompts(prompts, nullptr, now);
    for (const prompt_location &prompt : prompts) {
        if (const upstream_number *number = numberOf(prompt.upstream)) {
            m_cacheKnown.insert(*number);
        }
    }
}

void upstream_set::addHeldParts(const std::string &instance, const prompt_parts &parts, bool announces, time_point now)
{
    prompt_location held {hashText(instance), {}};
    prompt_location announced = held;
    for (const prompt_part &part : parts) {
        if (part.tokens >= limits::minFetchTokens) {
            held.parts.push_back(part.id);
        }
        if (part.tokens >= limits::minAnnouncedListTokens) {
            announced.parts.push_back(part.id);
        }
    }
    addPromptLocations({held}, now);
    if (announces && !announced.parts.empty()) {
        append(m_outgoingLists, std::move(announced));
    }
}

bool upstream_set::setLeader(bool isLeader)
{
    if (m_isLeader == isLeader) {
        return false;
    }
    m_isLeader = isLeader;
    m_lastUpdates.clear();
    for (auto &[instance, state] : m_upstreams) {
        state.fromPeers.clear();
    }
    m_outgoingRemotePrompts.clear();
    return true;
}

std::vector<prompt_location> upstream_set::knownPrompts(time_point now) const
{
    std::vector<prompt_location> prompts;
    for (const auto &[number, parts] : m_prefixes.heldParts(now)) {
        if (const auto instance = m_instanceOf.find(number); instance != m_instanceOf.end()) {
            prompts.push_back({m_upstreams.at(instance->second).hash, parts});
        }
    }
    return prompts;
}

upstream_set::cache_query upstream_set::enginesToQuery(const traffic_rules &rules) const
{
    std::size_t engineCount = 0;
    std::vector<const upstream_entry *> unknown;
    for (const auto &[instance, state] : m_upstreams) {
        const service_rule *rule = rules.service(state.record.service);
        if (rule == nullptr || rule->engineSlots == 0) {
            continue;
        }
        ++engineCount;
        if (!m_cacheKnown.contains(state.number) && isEligible(state)) {
            unknown.push_back(&state);
        }
    }
    cache_query query;
    query.asksAll = engineCount <= limits::smallFleetEngines;
    if (!query.asksAll) {
        std::erase_if(unknown, [this](const upstream_entry *state) { return !isAmongFirst(m_selfHash, m_routerHashes, state->hash, 1); });
        // The bound matters for a router that does not know the others yet: it would query all engines, and so would they.
        std::sort(unknown.begin(), unknown.end(), [this](const upstream_entry *a, const upstream_entry *b) {
            return mixHash(m_selfHash, a->hash) < mixHash(m_selfHash, b->hash);
        });
        unknown.resize(std::min(unknown.size(), limits::maxCacheQueries));
    }
    for (const upstream_entry *state : unknown) {
        query.engines.push_back(state->record);
    }
    return query;
}

bool upstream_set::hasPromptsToAnnounce() const
{
    return !m_outgoingPrompts.empty() || !m_outgoingLists.empty() || !m_outgoingRemotePrompts.empty();
}

upstream_set::outgoing_prompts upstream_set::takePrompts()
{
    outgoing_prompts prompts;
    takeFirst(m_outgoingPrompts, prompts.fromOwnDomain);
    takeFirst(m_outgoingLists, prompts.fromOwnDomain);
    takeFirst(m_outgoingRemotePrompts, prompts.fromOtherDomains);
    return prompts;
}

bool upstream_set::isEligible(const upstream_entry &upstream) const
{
    return !upstream.record.isLeaving && !upstream.isLeavingAnnounced
           && (m_closedDomains.empty() || !m_closedDomains.contains(upstream.record.domain));
}

bool upstream_set::mayStartCold(upstream_entry &upstream, const service_rule &rule, time_point now) const
{
    if (now >= upstream.coldUntil || rule.coldRequestsPerSecond <= 0) {
        return true;
    }
    // Only a few routers use a cold upstream, each with an equal part of its rate; split among all, the parts would be too small.
    const std::size_t sharing = std::min(limits::routersPerColdUpstream, std::max<std::size_t>(1, m_routers.size()));
    if (!isAmongFirst(m_selfHash, m_routerHashes, upstream.hash, sharing)) {
        return false;
    }
    const double perSecond = limits::coldRateShare * rule.coldRequestsPerSecond / static_cast<double>(sharing);
    const double seconds = milliseconds(now - upstream.coldBucketRefilledAt) / 1000.0;
    upstream.coldBucket = std::min(1.0, upstream.coldBucket + seconds * perSecond);
    upstream.coldBucketRefilledAt = now;
    return upstream.coldBucket >= 1.0;
}

detail::score_terms upstream_set::scoreEngine(const candidate &option, const prompt_parts &parts, const service_rule &rule,
                                              const prompt_cache_view &prompt, placement &details, time_point now) const
{
    const upstream_entry &upstream = *option.state;
    const auto found = std::lower_bound(prompt.matches.begin(), prompt.matches.end(), upstream.number,
                                        [](const prefix_match &match, upstream_number number) { return match.upstream < number; });
    detail::engine_option engine;
    engine.promptTokens = totalTokens(parts);
    engine.sharedTokens = engine.promptTokens - (parts.empty() ? 0 : parts.back().tokens);
    engine.cachedTokens = found != prompt.matches.end() && found->upstream == upstream.number ? found->tokens : 0;
    engine.fetchableTokens = prompt.kvTokens;
    engine.pendingTokens = pendingPrefillTokens(upstream, now);
    engine.load = option.load;
    const auto preferred = std::find(prompt.preferred.begin(), prompt.preferred.end(), &upstream);
    engine.preference = static_cast<unsigned>(preferred - prompt.preferred.begin());
    if (const double occupied = occupiedTokens(upstream, option.load, now); rule.cacheTokens > 0 && occupied > 0) {
        engine.memoryUse = (occupied + static_cast<double>(engine.promptTokens)) / static_cast<double>(rule.cacheTokens);
    }
    details.cachedTokens = engine.cachedTokens;
    details.fetchTokens = prompt.kvTokens;
    details.prefillTokens = engine.promptTokens - std::min(engine.promptTokens, engine.cachedTokens);
    engine.usual = usualSpeedOf(upstream.record.service);
    return detail::scoreEngine(engine, m_mechanisms, option.speed, option.isHeldBack);
}

const std::vector<upstream_entry *> &upstream_set::ofService(std::string_view service)
{
    if (m_servicesChanged) {
        m_servicesChanged = false;
        m_byService.clear();
        for (auto &[instance, state] : m_upstreams) {
            m_byService[state.record.service].push_back(&state);
        }
    }
    return m_byService[std::string(service)];
}

std::vector<upstream_set::candidate> upstream_set::candidatesFor(const placement_query &request, placement &result, double &totalFailures,
                                                                 time_point now)
{
    std::vector<candidate> eligible;
    bool anyTried = false;
    for (upstream_entry *state : ofService(request.service)) {
        if (!isEligible(*state) || (request.versions != nullptr && !request.versions->allows(state->record.version, state->hash))) {
            continue;
        }
        if (request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(), state->number) != request.tried->end()) {
            anyTried = true;
            continue;
        }
        const std::optional<double> limit = request.limits != nullptr ? request.limits->limitOf(state->limitKey()) : std::nullopt;
        eligible.push_back({state, estimatedLoad(*state, now), limit.has_value()});
        eligible.back().speed = speedOf(*state);
        result.limitedPerSecond += limit.value_or(0);
        totalFailures += state->failureRate;
    }
    result.outcome
        = eligible.empty() ? (anyTried ? placement_outcome::allTried : placement_outcome::noneListed) : placement_outcome::allFull;
    result.candidates = static_cast<unsigned>(eligible.size());
    return eligible;
}

upstream_set::prompt_cache_view upstream_set::viewPromptCache(const std::vector<candidate> &eligible, const prompt_parts &parts,
                                                              time_point now) const
{
    prompt_cache_view view;
    if (m_mechanisms.has(mechanism::cachedPrefix)) {
        view.matches = m_prefixes.matches(parts, now);
    }
    for (const prefix_match &match : view.matches) {
        const upstream_entry *state = find(match.upstream);
        // A leaving engine still serves fetches; one that failed recently may not.
        const bool answers = state != nullptr && now >= state->ejectedUntil && !state->isMissing && state->consecutiveFailures == 0;
        if (answers && m_mechanisms.has(mechanism::prefixFetch) && match.tokens > view.kvTokens) {
            view.kvTokens = match.tokens;
            view.holder = state;
        }
    }
    const std::uint64_t affinityKey = affinityKeyOf(parts);
    std::array<std::uint64_t, 2> ranks {};
    for (const candidate &each : eligible) {
        if (now < each.state->ejectedUntil) {
            continue;
        }
        const std::uint64_t rank = rankOf(affinityKey, *each.state);
        if (view.preferred[0] == nullptr || rank > ranks[0]) {
            view.preferred[1] = view.preferred[0];
            ranks[1] = ranks[0];
            view.preferred[0] = each.state;
            ranks[0] = rank;
        } else if (view.preferred[1] == nullptr || rank > ranks[1]) {
            view.preferred[1] = each.state;
            ranks[1] = rank;
        }
    }
    return view;
}

double upstream_set::loadBound(const std::vector<candidate> &eligible) const
{
    double total = 0;
    double count = 0;
    for (const candidate &each : eligible) {
        total += each.isLimited ? 0 : each.load;
        count += each.isLimited ? 0 : 1;
    }
    return m_mechanisms.has(mechanism::loadBound) && count > 0 ? limits::loadOverMean * total / count + limits::loadOverMeanSlack
                                                               : std::numeric_limits<double>::infinity();
}

placement upstream_set::choose(const placement_query &request, const traffic_rules &rules, time_point now)
{
    placement best;
    const service_rule *rule = rules.service(request.service);
    if (rule == nullptr) {
        return best;
    }
    double totalFailures = 0;
    refreshSpeeds(request.service, now);
    std::vector<candidate> eligible = candidatesFor(request, best, totalFailures, now);
    if (eligible.empty()) {
        return best;
    }
    holdBackUnproven(eligible, now);
    const bool isEngine = request.parts != nullptr && rule->engineSlots > 0;
    const prompt_cache_view prompt = isEngine ? viewPromptCache(eligible, *request.parts, now) : prompt_cache_view {};
    const double count = static_cast<double>(eligible.size());
    const double mostLoad = loadBound(eligible);
    const bool anyUsable
        = std::any_of(eligible.begin(), eligible.end(), [now](const candidate &each) { return now >= each.state->ejectedUntil; });
    // Each request in flight uses a connection of its own; other routers and idle connections use the rest.
    const double connections = rule->maxConnections > 0
                                   ? std::max(1.0, limits::connectionShare * rule->maxConnections / static_cast<double>(routers()))
                                   : std::numeric_limits<double>::infinity();

    bool hasColdCandidate = false;
    bool anyFull = false;
    std::optional<time_point> pausedUntil;
    std::optional<time_point> limitedUntil;
    double bestTie = 0;
    // Routers with the same load updates would all choose the same best engine. A random part of the score spreads them, as large
    // as the load that they may have placed without reporting it yet.
    const bool spreads = isEngine && m_mechanisms.has(mechanism::randomSpread);
    const double spreadMs = spreads ? limits::unreportedPrefillSpread * unreportedPrefillMs(request.service, eligible.size(), now) : 0;
    const bool spreadsStarts = !isEngine && m_mechanisms.has(mechanism::randomSpread);
    detail::service_option service;
    service.unreported = spreadsStarts ? unreportedStarts(request.service, eligible.size(), now) : 0;
    if (!isEngine) {
        for (const candidate &each : eligible) {
            service.othersMean += (each.load - each.state->inFlight) / count;
        }
    }
    for (const candidate &each : eligible) {
        upstream_entry &state = *each.state;
        const double slots = std::max(1U, state.record.slots);
        const double maxEngineLoad = each.isLimited ? slots : std::min(slots, mostLoad);
        const double maxLoad = isEngine ? maxEngineLoad : slots * (1.0 + limits::serviceQueueShare);
        const bool isEjected = anyUsable && now < state.ejectedUntil;
        if (isEjected || each.load + 1 > maxLoad || state.inFlight + 1 > connections) {
            anyFull = anyFull || !isEjected;
            continue;
        }
        const time_point availableAt = each.isLimited ? request.limits->availableAt(state.limitKey(), request.claim) : now;
        if (each.isLimited && (request.avoidsLimits || now < availableAt)) {
            limitedUntil = std::min(limitedUntil.value_or(availableAt), availableAt);
            continue;
        }
        if (now < state.pausedUntil || (state.isHalfOpen && state.inFlight > 0)) {
            pausedUntil = std::min(pausedUntil.value_or(state.pausedUntil), state.pausedUntil);
            continue;
        }
        if (!mayStartCold(state, *rule, now)) {
            hasColdCandidate = true;
            continue;
        }
        placement option;
        option.upstream = state.number;
        const double tie = static_cast<double>(mixHash(request.tieBreak, state.number) >> 11) / static_cast<double>(1ULL << 53);
        service.own = state.inFlight;
        service.others = each.load - state.inFlight;
        detail::score_terms terms
            = isEngine ? scoreEngine(each, *request.parts, *rule, prompt, option, now)
                       : detail::scoreService(detail::expectedLoad(service, 1.0 - tie), state.record.slots, each.speed, each.isHeldBack);
        if (m_mechanisms.has(mechanism::crossDomainPenalty) && state.record.domain != m_ownDomain) {
            terms.crossDomain = limits::crossDomainMs;
        }
        if (m_mechanisms.has(mechanism::failurePenalty)) {
            terms.failures = limits::failurePenaltyMs * std::max(0.0, state.failureRate - totalFailures / count);
        }
        terms.limited = each.isLimited ? limits::limitedPenaltyMs : 0;
        if (isEngine && !each.isLimited && best.limitedPerSecond > 0 && terms.total() - terms.learned > milliseconds(request.target)) {
            anyFull = true;
            continue;
        }
        option.limitedPerSecond = best.limitedPerSecond;
        option.load = each.load;
        option.loadAge = state.hasReport ? now - state.reportedAt : duration(0);
        const double score = terms.total() - tie * spreadMs;
        option.score = score;
        option.learnedMs = terms.learned;
        option.slowness = each.speed.factor;
        const bool better
            = best.upstream == noUpstreamNumber || score < best.score - 0.001 || (score < best.score + 0.001 && tie > bestTie);
        if (better) {
            option.candidates = best.candidates;
            best = option;
            bestTie = tie;
        }
    }
    if (best.upstream == noUpstreamNumber) {
        best.outcome = hasColdCandidate           ? placement_outcome::allCold
                       : pausedUntil              ? placement_outcome::allPaused
                       : limitedUntil && !anyFull ? placement_outcome::allLimited
                                                  : placement_outcome::allFull;
        best.pausedUntil = pausedUntil.value_or(limitedUntil.value_or(now));
        return best;
    }
    best.outcome = placement_outcome::chosen;
    const bool fetches = prompt.holder != nullptr && prompt.holder->number != best.upstream
                         && best.fetchTokens >= best.cachedTokens + limits::minFetchTokens;
    best.fetchTokens = fetches ? best.fetchTokens - best.cachedTokens : 0;
    best.prefillTokens -= std::min(best.prefillTokens, best.fetchTokens);
    best.fetchFrom = fetches ? prompt.holder->record.address : std::string();
    return best;
}

double upstream_set::unreportedByOthers(const recent_sum &own, std::size_t upstreams, time_point now) const
{
    // Assumes that each other router places as much as this one and reports it loadUpdateHops updates later.
    const double perMs
        = own.amount * halved(now - own.at, limits::recentSumHalfLife) * std::log(2.0) / milliseconds(limits::recentSumHalfLife);
    const double others = static_cast<double>(routers() - 1);
    return perMs * others * limits::loadUpdateHops * milliseconds(m_updateInterval) / static_cast<double>(upstreams);
}

double upstream_set::unreportedPrefillMs(std::string_view service, std::size_t engines, time_point now) const
{
    return unreportedByOthers(m_recentPrefillTokens, engines, now) / usualSpeedOf(service).prefillTokensPerMs;
}

double upstream_set::unreportedStarts(std::string_view service, std::size_t upstreams, time_point now) const
{
    const auto own = m_recentStarts.find(std::string(service));
    return own == m_recentStarts.end() ? 0 : unreportedByOthers(own->second, upstreams, now);
}

void upstream_set::addRecent(recent_sum &sum, double amount, time_point now)
{
    sum.amount = sum.amount * halved(now - sum.at, limits::recentSumHalfLife) + amount;
    sum.at = now;
}

attempt_size upstream_set::start(upstream_number number, const prompt_parts &parts, std::uint64_t prefillTokens, std::uint64_t kvTokens,
                                 time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return {};
    }
    const attempt_size size {static_cast<double>(pendingPrefillTokens(*state, now) + prefillTokens), estimatedLoad(*state, now),
                             now >= state->coldUntil};
    ++state->inFlight;
    addRecent(m_recentStarts[state->record.service], 1, now);
    addRecent(m_recentPrefillTokens, static_cast<double>(prefillTokens), now);
    state->pendingPrefillTokens += prefillTokens;
    state->kvTokens += kvTokens;
    if (now < state->coldUntil) {
        state->coldBucket -= 1.0;
    }
    if (parts.empty()) {
        return size;
    }
    std::vector<std::uint64_t> toAnnounce = m_prefixes.recordUse(sharedPartsOf(parts), number, now);
    if (!toAnnounce.empty() && m_mechanisms.has(mechanism::promptAnnouncements)) {
        append(m_outgoingPrompts, {state->hash, std::move(toAnnounce)});
    }
    return size;
}

void upstream_set::markFirstEvent(upstream_number number, std::uint64_t prefillTokens)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->pendingPrefillTokens -= std::min(state->pendingPrefillTokens, prefillTokens);
}

void upstream_set::recordReport(upstream_number number, const upstream_load &load, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->reported = load;
    state->reportedAt = now;
    state->inFlightAtReport = state->inFlight;
    state->hasReport = true;
    if (load.timePercent && m_mechanisms.has(mechanism::learnedSpeed) && now >= state->coldUntil) {
        m_speeds.recordStated(state->record.service, number, *load.timePercent, now);
    }
}

void upstream_set::finish(upstream_number number, std::uint64_t prefillTokens, std::uint64_t kvTokens, bool awaitsFirstEvent)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->inFlight -= state->inFlight > 0 ? 1U : 0U;
    state->kvTokens -= std::min(state->kvTokens, kvTokens);
    if (awaitsFirstEvent) {
        state->pendingPrefillTokens -= std::min(state->pendingPrefillTokens, prefillTokens);
    }
}

bool upstream_set::markLeaving(upstream_number number, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr || state->isLeavingAnnounced) {
        return false;
    }
    state->isLeavingAnnounced = true;
    state->leavingAnnouncedAt = now;
    m_leaving.insert(state->record.instance, state->record.incarnation);
    return true;
}

void upstream_set::pause(upstream_number number, duration span, time_point now)
{
    if (upstream_entry *state = mutableState(number)) {
        state->pausedUntil = std::max(state->pausedUntil, now + span);
        state->isHalfOpen = true;
    }
}

void upstream_set::recordResult(upstream_number number, attempt_result result, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr || result == attempt_result::unknown) {
        return;
    }
    state->isHalfOpen = state->isHalfOpen && result != attempt_result::succeeded;
    const bool failed = result != attempt_result::succeeded && result != attempt_result::refused;
    state->failureRate += limits::failureWeight * ((failed ? 1.0 : 0.0) - state->failureRate);
    switch (result) {
    case attempt_result::unreachable:
    case attempt_result::lost:
    case attempt_result::overdue: {
        if (!m_mechanisms.has(mechanism::ejection)) {
            break;
        }
        const bool repeated = ++state->consecutiveFailures > 1;
        if (result == attempt_result::unreachable || repeated) {
            const unsigned doublings = std::min(state->consecutiveFailures - 1, 6U);
            state->ejectedUntil = now + std::min(limits::maxEjectionTime, limits::minEjectionTime * (1U << doublings));
        }
        break;
    }
    default:
        state->consecutiveFailures = 0;
        state->ejectedUntil = now;
        break;
    }
}

upstream_entry *upstream_set::mutableState(upstream_number number)
{
    const auto instance = m_instanceOf.find(number);
    return instance == m_instanceOf.end() ? nullptr : &m_upstreams.at(instance->second);
}

const upstream_entry *upstream_set::find(upstream_number number) const
{
    const auto instance = m_instanceOf.find(number);
    return instance == m_instanceOf.end() ? nullptr : &m_upstreams.at(instance->second);
}

const upstream_entry *upstream_set::find(const std::string &instance) const
{
    const auto known = m_upstreams.find(instance);
    return known == m_upstreams.end() ? nullptr : &known->second;
}

const upstream_entry *upstream_set::find(limited_upstream upstream) const
{
    const upstream_number *number = numberOf(std::uint64_t(upstream.key) << 32);
    const upstream_entry *state = number != nullptr ? find(*number) : nullptr;
    return state != nullptr && state->limitKey() == upstream ? state : nullptr;
}

bool upstream_set::mayReceive(upstream_number number, time_point now) const
{
    const upstream_entry *state = find(number);
    return state != nullptr && isEligible(*state) && now >= state->ejectedUntil && now >= state->pausedUntil;
}

} // namespace nutmegtally
