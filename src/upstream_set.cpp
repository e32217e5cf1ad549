#include "limits.h"

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

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double halved(duration age, duration halfLife)
{
    return std::exp2(-milliseconds(age) / milliseconds(halfLife));
}

duration scaled(duration span, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

/// The part of a hash that notices carry.
std::uint32_t keyOf(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash >> 32);
}

void append(std::vector<prompt_notice> &list, prompt_notice prompt)
{
    if (list.size() < limits::untoldPrompts) {
        list.push_back(std::move(prompt));
    }
}

std::vector<prompt_notice> takeFirst(std::vector<prompt_notice> &list)
{
    const auto end = list.begin() + static_cast<std::ptrdiff_t>(std::min(list.size(), limits::promptsPerNotice));
    std::vector<prompt_notice> taken(std::make_move_iterator(list.begin()), std::make_move_iterator(end));
    list.erase(list.begin(), end);
    return taken;
}

/// Rank of an upstream for a subject; the highest of all is the subject's home.
std::uint64_t rankOf(std::uint64_t subject, const upstream_entry &upstream)
{
    return mixHash(subject, upstream.hash);
}

} // namespace

upstream_set::upstream_set(std::string ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

bool upstream_set::list(const upstream_record &record, time_point now)
{
    const auto known = m_upstreams.find(record.instance);
    const time_point coldUntil = now + record.coldFor;
    if (known != m_upstreams.end() && known->second.record.incarnation == record.incarnation
        && known->second.record.address == record.address) {
        upstream_entry &state = known->second;
        upstream_record same = state.record;
        same.coldFor = record.coldFor;
        const bool changed = !(same == record) || state.missing;
        m_servicesChanged = m_servicesChanged || state.record.service != record.service;
        state.record = record;
        state.missing = false;
        state.coldUntil = coldUntil;
        return changed;
    }
    upstream_entry state;
    state.record = record;
    state.hash = hashText(record.instance);
    state.number = ++m_lastNumber;
    state.coldUntil = coldUntil;
    state.coldRefilledAt = now;
    state.coldTokens = 1;
    if (known != m_upstreams.end()) {
        m_instanceOf.erase(known->second.number);
    }
    m_instanceOf[state.number] = record.instance;
    m_numberOf[keyOf(state.hash)] = state.number;
    m_servicesChanged = true;
    m_upstreams[record.instance] = std::move(state);
    return true;
}

void upstream_set::unlist(const std::string &instance, time_point now, duration grace)
{
    const auto known = m_upstreams.find(instance);
    if (known == m_upstreams.end()) {
        return;
    }
    if (grace.count() > 0) {
        if (!known->second.missing) {
            known->second.missing = true;
            known->second.missingUntil = now + grace;
        }
        return;
    }
    m_instanceOf.erase(known->second.number);
    m_numberOf.erase(keyOf(known->second.hash));
    m_learnt.erase(known->second.number);
    m_servicesChanged = true;
    m_upstreams.erase(known);
}

std::vector<std::string> upstream_set::expire(time_point now)
{
    std::vector<std::string> removed;
    for (const auto &[instance, state] : m_upstreams) {
        if (state.missing && state.missingUntil <= now) {
            removed.push_back(instance);
        }
    }
    for (const std::string &instance : removed) {
        unlist(instance, now, duration(0));
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
    double told = 0;
    for (const told_share &share : upstream.told) {
        told += now - share.toldAt < limits::noticeLifetime ? share.inFlight : 0;
    }
    double stated = 0;
    if (upstream.hasReport && now - upstream.reportedAt < limits::reportLifetime) {
        const double total = upstream.reported.running + upstream.reported.waiting;
        stated = std::max(0.0, total - upstream.inFlightAtReport) * halved(now - upstream.reportedAt, limits::reportHalfLife);
    }
    return upstream.inFlight + std::max(told, stated);
}

std::uint64_t upstream_set::pendingTokens(const upstream_entry &upstream, time_point now) const
{
    std::uint64_t tokens = upstream.pendingTokens;
    for (const told_share &share : upstream.told) {
        tokens += now - share.toldAt < limits::noticeLifetime ? share.pendingTokens : 0;
    }
    return tokens;
}

void upstream_set::takeShares(const load_notice &notice, time_point now)
{
    const auto [known, isNew] = m_tellers.try_emplace(notice.teller, static_cast<std::uint32_t>(m_tellers.size()));
    const std::uint32_t teller = known->second;
    told_notice &told = m_toldBy[teller];
    if (told.at != time_point() && now - told.at < limits::noticeLifetime) {
        m_noticeInterval += scaled(now - told.at - m_noticeInterval, limits::noticeIntervalWeight);
    }
    told.at = now;
    told.scope = notice.scope;
    for (const upstream_number number : told.upstreams) {
        if (upstream_entry *state = mutableState(number)) {
            std::erase_if(state->told, [teller](const told_share &share) { return share.teller == teller; });
        }
    }
    told.upstreams.clear();
    for (const upstream_share &share : notice.shares) {
        if (const upstream_number *number = numberOf(share.upstream)) {
            mutableState(*number)->told.push_back({teller, notice.scope, share.inFlight, share.pendingTokens, now});
            told.upstreams.push_back(*number);
        }
    }
}

void upstream_set::hear(const load_notice &notice, bool isCounted, time_point now)
{
    if (isCounted) {
        takeShares(notice, now);
    }
    for (const leaving_notice &leaving : notice.leaving) {
        const upstream_number *number = numberOf(leaving.upstream);
        if (number != nullptr && mutableState(*number)->record.incarnation == leaving.incarnation) {
            noteLeaving(*number, now);
        }
    }
    std::vector<prompt_notice> *untold = nullptr;
    if (m_isLead && notice.scope != notice_scope::fleet) {
        untold = notice.scope == notice_scope::router ? &m_untold : &m_untoldHere;
    }
    notePrompts(notice.prompts, untold, now);
}

const upstream_number *upstream_set::numberOf(std::uint64_t hash) const
{
    const auto number = m_numberOf.find(keyOf(hash));
    return number == m_numberOf.end() ? nullptr : &number->second;
}

void upstream_set::notePrompts(const std::vector<prompt_notice> &prompts, std::vector<prompt_notice> *untold, time_point now)
{
    for (const prompt_notice &prompt : prompts) {
        if (const upstream_number *number = numberOf(prompt.upstream)) {
            std::vector<std::uint64_t> news = m_prefixes.note(prompt.parts, *number, now);
            if (!news.empty() && untold != nullptr) {
                append(*untold, {prompt.upstream, std::move(news)});
            }
        }
    }
}

void upstream_set::learnPrompts(const std::vector<prompt_notice> &prompts, time_point now)
{
    notePrompts(prompts, nullptr, now);
    for (const prompt_notice &prompt : prompts) {
        if (const upstream_number *number = numberOf(prompt.upstream)) {
            m_learnt.insert(*number);
        }
    }
}

void upstream_set::learnHeld(const std::string &instance, std::vector<std::uint64_t> parts, time_point now)
{
    const prompt_notice held {hashText(instance), std::move(parts)};
    learnPrompts({held}, now);
    append(m_untold, held);
}

void upstream_set::setLead(bool isLead)
{
    if (m_isLead == isLead) {
        return;
    }
    m_isLead = isLead;
    m_toldBy.clear();
    for (auto &[instance, state] : m_upstreams) {
        state.told.clear();
    }
    m_untoldHere.clear();
}

std::vector<prompt_notice> upstream_set::knownPrompts(time_point now) const
{
    std::vector<prompt_notice> prompts;
    for (const auto &[number, parts] : m_prefixes.heldParts(now)) {
        if (const auto instance = m_instanceOf.find(number); instance != m_instanceOf.end()) {
            prompts.push_back({m_upstreams.at(instance->second).hash, parts});
        }
    }
    return prompts;
}

std::vector<upstream_record> upstream_set::unknownEngines(const traffic_rules &rules) const
{
    std::vector<std::pair<std::uint64_t, const upstream_entry *>> own;
    for (const auto &[instance, state] : m_upstreams) {
        const service_rule *rule = rules.service(state.record.service);
        if (rule == nullptr || rule->engineSlots == 0 || m_learnt.contains(state.number) || !isOpen(state)) {
            continue;
        }
        if (isAmongFirst(m_selfHash, m_routerHashes, state.hash, 1)) {
            own.emplace_back(mixHash(m_selfHash, state.hash), &state);
        }
    }
    // A router that has not heard of the others yet would ask all engines, and so would they.
    std::sort(own.begin(), own.end());
    own.resize(std::min(own.size(), limits::learnsAtOnce));
    std::vector<upstream_record> engines;
    engines.reserve(own.size());
    for (const auto &[rank, state] : own) {
        engines.push_back(state->record);
    }
    return engines;
}

load_notice upstream_set::ownNotice(time_point now) const
{
    load_notice notice;
    notice.teller = m_self;
    for (const auto &[instance, state] : m_upstreams) {
        if (state.inFlight > 0) {
            notice.shares.push_back({state.hash, state.inFlight, static_cast<std::uint32_t>(state.pendingTokens)});
        }
    }
    addLeaving(notice, now);
    return notice;
}

void upstream_set::addLeaving(load_notice &notice, time_point now) const
{
    for (const auto &[instance, state] : m_upstreams) {
        if (state.saidLeaving && now - state.saidLeavingAt < limits::leavingToldFor) {
            notice.leaving.push_back({state.hash, state.record.incarnation});
        }
    }
}

load_notice upstream_set::sumOf(notice_scope scope, time_point now) const
{
    load_notice notice;
    notice.teller = scope == notice_scope::fleet ? std::string() : m_ownDomain;
    notice.scope = scope;
    for (const auto &[instance, state] : m_upstreams) {
        upstream_share sum {state.hash, state.inFlight, static_cast<std::uint32_t>(state.pendingTokens)};
        for (const told_share &share : state.told) {
            const bool counts = share.scope == notice_scope::router || scope == notice_scope::fleet;
            if (counts && now - share.toldAt < limits::noticeLifetime) {
                sum.inFlight += share.inFlight;
                sum.pendingTokens += share.pendingTokens;
            }
        }
        if (sum.inFlight > 0) {
            notice.shares.push_back(sum);
        }
    }
    addLeaving(notice, now);
    return notice;
}

load_notice upstream_set::domainNotice(time_point now) const
{
    return sumOf(notice_scope::domain, now);
}

load_notice upstream_set::fleetNotice(time_point now) const
{
    return sumOf(notice_scope::fleet, now);
}

load_notice upstream_set::withoutOwn(load_notice fleet, const std::string &router) const
{
    const auto known = m_tellers.find(router);
    const auto told = known == m_tellers.end() ? m_toldBy.end() : m_toldBy.find(known->second);
    if (told == m_toldBy.end()) {
        return fleet;
    }
    std::unordered_map<std::uint64_t, const told_share *> own; // by hash of the upstream
    for (const upstream_number number : told->second.upstreams) {
        if (const upstream_entry *state = find(number)) {
            const auto share = std::find_if(state->told.begin(), state->told.end(),
                                            [teller = known->second](const told_share &each) { return each.teller == teller; });
            if (share != state->told.end()) {
                own[state->hash] = &*share;
            }
        }
    }
    for (upstream_share &share : fleet.shares) {
        if (const auto each = own.find(share.upstream); each != own.end()) {
            share.inFlight -= std::min(share.inFlight, each->second->inFlight);
            share.pendingTokens -= std::min(share.pendingTokens, each->second->pendingTokens);
        }
    }
    std::erase_if(fleet.shares, [](const upstream_share &share) { return share.inFlight == 0; });
    return fleet;
}

std::size_t upstream_set::tellers(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_toldBy.begin(), m_toldBy.end(), [now](const auto &entry) {
        return now - entry.second.at < limits::noticeLifetime && entry.second.scope != notice_scope::fleet;
    }));
}

upstream_set::untold_prompts upstream_set::takePrompts()
{
    untold_prompts prompts;
    prompts.ofDomain = takeFirst(m_untold);
    prompts.ofOthers = takeFirst(m_untoldHere);
    return prompts;
}

bool upstream_set::isOpen(const upstream_entry &upstream) const
{
    return !upstream.record.isLeaving && !upstream.saidLeaving
           && (m_closedDomains.empty() || !m_closedDomains.contains(upstream.record.domain));
}

bool upstream_set::mayStartCold(upstream_entry &upstream, const service_rule &rule, time_point now) const
{
    if (now >= upstream.coldUntil || rule.coldRequestsPerSecond <= 0) {
        return true;
    }
    // Only a few routers use a cold upstream, each with its part of the rate: many parts would be too small to use.
    const std::size_t sharing = std::min(limits::coldRouters, std::max<std::size_t>(1, m_routers.size()));
    if (!isAmongFirst(m_selfHash, m_routerHashes, upstream.hash, sharing)) {
        return false;
    }
    const double perSecond = limits::coldRateUsed * rule.coldRequestsPerSecond / static_cast<double>(sharing);
    const double seconds = milliseconds(now - upstream.coldRefilledAt) / 1000.0;
    upstream.coldTokens = std::min(1.0, upstream.coldTokens + seconds * perSecond);
    upstream.coldRefilledAt = now;
    return upstream.coldTokens >= 1.0;
}

double upstream_set::scoreEngine(const candidate &option, const choice_request &request, const service_rule &rule,
                                 const prompt_view &prompt, placement &details, time_point now) const
{
    const upstream_entry &upstream = *option.state;
    const prompt_parts &parts = *request.parts;
    const std::uint64_t total = totalTokens(parts);
    const std::uint64_t own = parts.empty() ? 0 : parts.back().tokens;
    const auto held = std::lower_bound(prompt.holdings.begin(), prompt.holdings.end(), upstream.number,
                                       [](const prompt_holding &holding, upstream_number number) { return holding.upstream < number; });
    const std::uint64_t cached = held != prompt.holdings.end() && held->upstream == upstream.number ? held->tokens : 0;
    details.cachedTokens = cached;
    details.fetchTokens = prompt.heldTokens;
    details.unreadTokens = total - std::min(total, cached);
    // What some other engine keeps is fetched from there; the rest of the shared parts is read again.
    const std::uint64_t shared = total - std::min(total, own);
    const std::uint64_t fetched = prompt.heldTokens > cached ? prompt.heldTokens - cached : 0;
    const std::uint64_t known = std::max(cached, prompt.heldTokens);
    const std::uint64_t read = total - std::min(total, known);
    double score = static_cast<double>(read + pendingTokens(upstream, now)) / limits::assumedPrefillTokensPerMs;
    score += static_cast<double>(std::min(fetched, shared)) * limits::fetchCostMsPerToken;
    const bool isHome = std::find(prompt.ranked.begin(), prompt.ranked.end(), &upstream) != prompt.ranked.end();
    // Routers that do not know of each other's choice agree on the homes. The beginning that all prompts share is no reason to leave
    // them: the few engines that keep it first would get every new subject.
    if (prompt.heldTokens < shared && !isHome) {
        score += limits::awayFromHomeMs;
    }
    score += option.load * limits::engineStepMsPerRequest;
    if (rule.cacheTokens > 0 && upstream.inFlight > 0) {
        // Memory of all routers' requests, from this router's own and its part of the load.
        const double occupied = static_cast<double>(upstream.heldTokens) * std::max(1.0, option.load / upstream.inFlight);
        const double over = (occupied + static_cast<double>(total)) / static_cast<double>(rule.cacheTokens) - limits::engineFillLimit;
        score += over > 0 ? 1000.0 * over : 0;
    }
    return score;
}

double upstream_set::scoreService(const candidate &option)
{
    const double slots = std::max(1U, option.state->record.slots);
    // Beyond its slots a request waits for another one to end.
    const double waiting = std::max(0.0, option.load + 1 - slots);
    return 10.0 * option.load / slots + 60.0 * waiting / slots;
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

std::vector<upstream_set::candidate> upstream_set::candidatesFor(const choice_request &request, placement &result, double &totalLoad,
                                                                 double &totalFailures, time_point now)
{
    std::vector<candidate> open;
    bool anyTried = false;
    for (upstream_entry *state : ofService(request.service)) {
        if (!isOpen(*state)) {
            continue;
        }
        if (request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(), state->number) != request.tried->end()) {
            anyTried = true;
            continue;
        }
        open.push_back({state, estimatedLoad(*state, now)});
        totalLoad += open.back().load;
        totalFailures += state->failureRate;
    }
    result.outcome = open.empty() ? (anyTried ? placement_outcome::allTried : placement_outcome::noneListed) : placement_outcome::allFull;
    result.candidates = static_cast<unsigned>(open.size());
    return open;
}

upstream_set::prompt_view upstream_set::viewPrompt(const std::vector<candidate> &open, const prompt_parts &parts, time_point now) const
{
    prompt_view view;
    view.holdings = m_prefixes.holdings(parts, now);
    for (const prompt_holding &holding : view.holdings) {
        const upstream_entry *state = find(holding.upstream);
        // One that leaves still answers; one that failed lately may not.
        const bool answers = state != nullptr && now >= state->avoidedUntil && !state->missing && state->failuresInRow == 0;
        if (answers && holding.tokens > view.heldTokens) {
            view.heldTokens = holding.tokens;
            view.holder = state;
        }
    }
    const std::uint64_t subject = subjectOf(parts);
    std::array<std::uint64_t, homes> ranks {};
    for (const candidate &each : open) {
        if (now < each.state->avoidedUntil) {
            continue;
        }
        const std::uint64_t rank = rankOf(subject, *each.state);
        if (view.ranked[0] == nullptr || rank > ranks[0]) {
            view.ranked[1] = view.ranked[0];
            ranks[1] = ranks[0];
            view.ranked[0] = each.state;
            ranks[0] = rank;
        } else if (view.ranked[1] == nullptr || rank > ranks[1]) {
            view.ranked[1] = each.state;
            ranks[1] = rank;
        }
    }
    return view;
}

placement upstream_set::choose(const choice_request &request, const traffic_rules &rules, time_point now)
{
    placement best;
    const service_rule *rule = rules.service(request.service);
    if (rule == nullptr) {
        return best;
    }
    double totalLoad = 0;
    double totalFailures = 0;
    const std::vector<candidate> open = candidatesFor(request, best, totalLoad, totalFailures, now);
    if (open.empty()) {
        return best;
    }
    const bool isEngine = request.parts != nullptr && rule->engineSlots > 0;
    const prompt_view prompt = isEngine ? viewPrompt(open, *request.parts, now) : prompt_view {};
    const double count = static_cast<double>(open.size());
    const double loadBound = limits::loadOverMean * totalLoad / count + limits::loadOverMeanSlack;
    const bool anyUsable = std::any_of(open.begin(), open.end(), [now](const candidate &each) { return now >= each.state->avoidedUntil; });
    // Each request in flight has a connection of its own; other routers and idle connections take the rest.
    const double connections = rule->maxConnections > 0
                                   ? std::max(1.0, limits::connectionShare * rule->maxConnections / static_cast<double>(routers()))
                                   : std::numeric_limits<double>::infinity();

    bool sawCold = false;
    std::optional<time_point> pausedUntil;
    double bestTie = 0;
    // Routers with the same news would all choose the engine that looks best; what they have not told yet spreads them.
    const double spreadMs = isEngine ? limits::unseenSpread * unseenReadingMs(open.size(), now) : 0;
    for (const candidate &each : open) {
        upstream_entry &state = *each.state;
        const double slots = std::max(1U, state.record.slots);
        const double most = isEngine ? std::min(slots, loadBound) : slots * (1.0 + limits::serviceQueueShare);
        const bool isAvoided = anyUsable && now < state.avoidedUntil;
        if (isAvoided || each.load + 1 > most || state.inFlight + 1 > connections) {
            continue;
        }
        if (now < state.pausedUntil || (state.isProbed && state.inFlight > 0)) {
            pausedUntil = std::min(pausedUntil.value_or(state.pausedUntil), state.pausedUntil);
            continue;
        }
        if (!mayStartCold(state, *rule, now)) {
            sawCold = true;
            continue;
        }
        placement option;
        option.upstream = state.number;
        double score = isEngine ? scoreEngine(each, request, *rule, prompt, option, now) : scoreService(each);
        score += state.record.domain == m_ownDomain ? 0 : limits::otherDomainMs;
        score += limits::failurePenaltyMs * std::max(0.0, state.failureRate - totalFailures / count);
        option.load = each.load;
        option.loadAge = state.hasReport ? now - state.reportedAt : duration(0);
        const double tie = static_cast<double>(mixHash(request.tieBreak, state.number) >> 11) / static_cast<double>(1ULL << 53);
        score -= tie * spreadMs;
        option.score = score;
        const bool better
            = best.upstream == noUpstreamNumber || score < best.score - 0.001 || (score < best.score + 0.001 && tie > bestTie);
        if (better) {
            option.candidates = best.candidates;
            best = option;
            bestTie = tie;
        }
    }
    if (best.upstream == noUpstreamNumber) {
        best.outcome = sawCold ? placement_outcome::allCold : pausedUntil ? placement_outcome::allPaused : placement_outcome::allFull;
        best.pausedUntil = pausedUntil.value_or(now);
        return best;
    }
    best.outcome = placement_outcome::chosen;
    const bool fetches = prompt.holder != nullptr && prompt.holder->number != best.upstream
                         && best.fetchTokens >= best.cachedTokens + limits::leastFetchTokens;
    best.fetchTokens = fetches ? best.fetchTokens - best.cachedTokens : 0;
    best.unreadTokens -= std::min(best.unreadTokens, best.fetchTokens);
    best.fetchFrom = fetches ? prompt.holder->record.address : std::string();
    return best;
}

double upstream_set::unseenReadingMs(std::size_t engines, time_point now) const
{
    // The other routers place about as much as this one, and tell it a notice later.
    const double perMs
        = m_startedTokens * halved(now - m_startedAt, limits::readingHalfLife) * std::log(2.0) / milliseconds(limits::readingHalfLife);
    const double others = static_cast<double>(routers() - 1);
    return perMs * others * limits::noticeHops * milliseconds(m_noticeInterval) / static_cast<double>(engines)
           / limits::assumedPrefillTokensPerMs;
}

void upstream_set::start(upstream_number number, const prompt_parts &parts, std::uint64_t unreadTokens, std::uint64_t heldTokens,
                         time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    ++state->inFlight;
    m_startedTokens = m_startedTokens * halved(now - m_startedAt, limits::readingHalfLife) + static_cast<double>(unreadTokens);
    m_startedAt = now;
    state->pendingTokens += unreadTokens;
    state->heldTokens += heldTokens;
    if (now < state->coldUntil) {
        state->coldTokens -= 1.0;
    }
    if (parts.empty()) {
        return;
    }
    // The last part is the request's own: no other request will ask for it.
    std::vector<std::uint64_t> shared;
    shared.reserve(parts.size() - 1);
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        shared.push_back(parts[i].id);
    }
    if (std::vector<std::uint64_t> news = m_prefixes.note(shared, number, now); !news.empty()) {
        append(m_untold, {state->hash, std::move(news)});
    }
}

void upstream_set::firstAnswer(upstream_number number, std::uint64_t unreadTokens)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->pendingTokens -= std::min(state->pendingTokens, unreadTokens);
}

void upstream_set::reportLoad(upstream_number number, const upstream_load &load, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->reported = load;
    state->reportedAt = now;
    state->inFlightAtReport = state->inFlight;
    state->hasReport = true;
}

void upstream_set::finish(upstream_number number, std::uint64_t unreadTokens, std::uint64_t heldTokens, bool awaitsFirst)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr) {
        return;
    }
    state->inFlight -= state->inFlight > 0 ? 1U : 0U;
    state->heldTokens -= std::min(state->heldTokens, heldTokens);
    if (awaitsFirst) {
        state->pendingTokens -= std::min(state->pendingTokens, unreadTokens);
    }
}

bool upstream_set::noteLeaving(upstream_number number, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr || state->saidLeaving) {
        return false;
    }
    state->saidLeaving = true;
    state->saidLeavingAt = now;
    return true;
}

void upstream_set::pause(upstream_number number, duration span, time_point now)
{
    if (upstream_entry *state = mutableState(number)) {
        state->pausedUntil = std::max(state->pausedUntil, now + span);
        state->isProbed = true;
    }
}

void upstream_set::judge(upstream_number number, upstream_verdict verdict, time_point now)
{
    upstream_entry *state = mutableState(number);
    if (state == nullptr || verdict == upstream_verdict::unknown) {
        return;
    }
    state->isProbed = state->isProbed && verdict != upstream_verdict::good;
    const bool failed = verdict != upstream_verdict::good && verdict != upstream_verdict::refused;
    state->failureRate += limits::failureWeight * ((failed ? 1.0 : 0.0) - state->failureRate);
    switch (verdict) {
    case upstream_verdict::unreachable:
    case upstream_verdict::lost:
    case upstream_verdict::overdue: {
        const bool repeated = ++state->failuresInRow > 1;
        if (verdict == upstream_verdict::unreachable || repeated) {
            const unsigned doublings = std::min(state->failuresInRow - 1, 6U);
            state->avoidedUntil = now + std::min(limits::longestAvoidance, limits::firstAvoidance * (1U << doublings));
        }
        break;
    }
    default:
        state->failuresInRow = 0;
        state->avoidedUntil = now;
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

bool upstream_set::mayUse(upstream_number number) const
{
    const upstream_entry *state = find(number);
    return state != nullptr && isOpen(*state);
}

} // namespace nutmegtally
