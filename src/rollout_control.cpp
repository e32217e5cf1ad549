#include "decay.h"
#include "limits.h"
#include "update_key.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/rollout_control.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>
#include <cmath>

namespace nutmegtally
{

namespace
{

constexpr double maxDoublings = 10; // of the share in a shift; one that begins at nothing ends after these

std::uint32_t orderKey(const rollout_order &order)
{
    return updateKey(order.id);
}

log_line rolloutLine(const rollout_order &order)
{
    log_line line;
    line.with("service", order.service).with("target", order.target).with("order", toHex(order.id));
    return line;
}

version_counts &countsOf(route_counts &route, version_class version)
{
    return version == version_class::target ? route.target : route.base;
}

/// Adds another router's or domain's counts of the same order.
void add(rollout_counts &sum, const rollout_counts &more)
{
    sum.age = std::max(sum.age, more.age);
    sum.fault = sum.fault == rollout_fault::none ? more.fault : sum.fault;
    sum.longestBaseAnswer = std::max(sum.longestBaseAnswer, more.longestBaseAnswer);
    addRouteCounts(sum.routes, more.routes);
}

bool mayServe(const versioned_upstream &upstream, const std::string &service, const std::unordered_set<std::string> &closedDomains)
{
    return upstream.service == service && !upstream.isLeaving && !closedDomains.contains(upstream.domain);
}

bool isOpen(rollout_state state)
{
    return state == rollout_state::trial || state == rollout_state::suspected || state == rollout_state::shift;
}

version_filter only(const std::string &version)
{
    version_filter filter;
    filter.versions.push_back(version);
    return filter;
}

version_filter except(const std::string &version)
{
    version_filter filter = only(version);
    filter.excludes = true;
    return filter;
}

version_filter any()
{
    version_filter filter;
    filter.excludes = true;
    return filter;
}

} // namespace

rollout_control::rollout_control(std::optional<rollout_bounds> bounds, const std::string &self)
    : m_bounds(bounds)
    , m_selfHash(hashText(self))
{
}

void rollout_control::setRouters(const std::vector<std::string> &live)
{
    m_routerHashes = hashesOf(live);
}

std::size_t rollout_control::routers() const
{
    const bool isListed = std::find(m_routerHashes.begin(), m_routerHashes.end(), m_selfHash) != m_routerHashes.end();
    return m_routerHashes.size() + (isListed ? 0 : 1);
}

void rollout_control::setClosedDomains(std::unordered_set<std::string> domains)
{
    m_closedDomains = std::move(domains);
}

void rollout_control::listUpstream(versioned_upstream upstream, time_point now)
{
    if (!m_bounds) {
        return;
    }
    const auto known = m_upstreams.find(upstream.instance);
    const bool isSame = known != m_upstreams.end() && known->second.upstream.service == upstream.service
                        && known->second.upstream.version == upstream.version;
    const time_point seenAt = isSame ? known->second.seenAt : now;
    const store_revision listedAt = isSame ? known->second.upstream.listedAt : upstream.listedAt;
    unlistUpstream(upstream.instance);
    known_version &version = m_versions[upstream.service].try_emplace(upstream.version, known_version {0, seenAt, listedAt}).first->second;
    version.upstreams += upstream.isLeaving ? 0 : 1;
    const std::uint64_t hash = hashText(upstream.instance);
    std::string instance = upstream.instance;
    upstream.listedAt = listedAt;
    m_upstreams.insert_or_assign(std::move(instance), known_upstream {std::move(upstream), hash, seenAt});
}

void rollout_control::unlistUpstream(const std::string &instance)
{
    const auto known = m_upstreams.find(instance);
    if (known == m_upstreams.end()) {
        return;
    }
    const versioned_upstream &upstream = known->second.upstream;
    // The version stays known without upstreams: one that served before is not new when its upstreams come back.
    known_version &version = m_versions[upstream.service][upstream.version];
    version.upstreams -= upstream.isLeaving || version.upstreams == 0 ? 0 : 1;
    m_upstreams.erase(known);
}

const std::map<std::string, rollout_control::known_version> &rollout_control::versionsOf(const std::string &service) const
{
    static const std::map<std::string, known_version> none;
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? none : found->second;
}

std::string rollout_control::baseVersion(const service_rollout &rollout) const
{
    std::string base;
    std::size_t most = 0;
    for (const auto &[version, known] : versionsOf(rollout.order.service)) {
        if (version != rollout.order.target && known.upstreams > most) {
            most = known.upstreams;
            base = version;
        }
    }
    return base;
}

bool rollout_control::hasBase(const service_rollout &rollout) const
{
    const std::map<std::string, known_version> &versions = versionsOf(rollout.order.service);
    return std::any_of(versions.begin(), versions.end(),
                       [&](const auto &each) { return each.first != rollout.order.target && each.second.upstreams > 0; });
}

void rollout_control::takeOrder(const rollout_order &order, time_point now, std::vector<effect> &effects)
{
    if (!m_bounds) {
        return;
    }
    const auto [entry, isNew] = m_rollouts.try_emplace(order.service);
    service_rollout &rollout = entry->second;
    if (isNew || rollout.order.id != order.id) {
        rollout = service_rollout();
        rollout.order = order;
        rollout.orderedAt = now;
        rollout.longestSince = now;
        rollout.hasSlack = m_verifiedAt != store_revision();
        rollout.hadBase = hasBase(rollout);
        log_line line = rolloutLine(order);
        line.with("ramp_ms", order.ramp).with("status", nameOf(order.status)).with("has_slack", rollout.hasSlack);
        effects.push_back(log_record {log_event::rolloutOrdered, line.take()});
    } else {
        rollout.order = order; // a final state stays in force if the store lost it, and is written again
    }
    adoptStatus(rollout, now, effects);
}

void rollout_control::adoptStatus(service_rollout &rollout, time_point now, std::vector<effect> &effects)
{
    const bool isBad = rollout.fault != rollout_fault::none;
    switch (rollout.order.status) {
    case rollout_status::completed:
        setState(rollout, rollout_state::completed, effects);
        break;
    case rollout_status::rolledBack:
        setState(rollout, rollout_state::rolledBack, effects);
        break;
    case rollout_status::shift:
        if (isOpen(rollout.state) || rollout.state == rollout_state::withdrawn) {
            rollout.shiftingSince = rollout.shiftingSince.value_or(now);
            setState(rollout, isBad ? rollout_state::suspected : rollout_state::shift, effects);
        }
        break;
    default:
        if (rollout.state == rollout_state::withdrawn) {
            setState(rollout, isBad ? rollout_state::suspected : rollout_state::trial, effects);
        }
        break;
    }
}

void rollout_control::setState(service_rollout &rollout, rollout_state state, std::vector<effect> &effects)
{
    if (rollout.state == state) {
        return;
    }
    log_line line = rolloutLine(rollout.order);
    line.with("state", nameOf(state)).with("previous", nameOf(rollout.state)).with("fault", nameOf(rollout.fault));
    line.with("starts", rollout.starts).with("target_starts", rollout.targetStarts);
    rollout.state = state;
    effects.push_back(log_record {log_event::rolloutState, line.take()});
}

void rollout_control::withdraw(const std::string &service, std::vector<effect> &effects)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        return;
    }
    if (found->second.state == rollout_state::completed) {
        m_rollouts.erase(found); // the versions that are left may all serve
        return;
    }
    found->second.dueSince.reset();
    if (found->second.state != rollout_state::rolledBack) {
        setState(found->second, rollout_state::withdrawn, effects);
    }
}

void rollout_control::verify(store_revision asOf)
{
    m_verifiedAt = std::max(m_verifiedAt, asOf);
}

void rollout_control::takeWriteResult(const std::string &service, rollout_write_result result, time_point now, std::vector<effect> &effects)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        return;
    }
    service_rollout &rollout = found->second;
    log_line line = rolloutLine(rollout.order);
    line.with("status", nameOf(rollout.nextStatus)).with("result", nameOf(result));
    effects.push_back(log_record {log_event::rolloutStatusWritten, line.take()});
    // The new state comes with the object, from a watch or another router.
    rollout.nextWriteAt = now + limits::rolloutRewriteDelay;
}

bool rollout_control::hasQuota(const service_rollout &rollout) const
{
    const double share = limits::trialQuotaShare * m_bounds->trialShare;
    const double slack = rollout.hasSlack ? limits::trialSlackShare * m_bounds->trialSlack / static_cast<double>(routers()) : 0;
    return static_cast<double>(rollout.targetStarts + 1) <= share * static_cast<double>(rollout.starts + 1) + slack;
}

double rollout_control::shiftShare(const service_rollout &rollout, time_point now) const
{
    if (!rollout.shiftingSince) {
        return 1;
    }
    const double doublings
        = std::chrono::duration<double>(now - *rollout.shiftingSince) / std::chrono::duration<double>(limits::shiftDoublingTime);
    return std::min(1.0, limits::trialQuotaShare * m_bounds->trialShare * std::exp2(std::min(doublings, maxDoublings)));
}

std::vector<std::uint64_t> rollout_control::trialUpstreams(const service_rollout &rollout, const std::string &base) const
{
    struct ranked {
        std::uint64_t rank;
        std::uint64_t hash;
    };
    std::vector<ranked> targets;
    std::size_t bases = 0;
    for (const auto &[instance, known] : m_upstreams) {
        const versioned_upstream &upstream = known.upstream;
        if (!mayServe(upstream, rollout.order.service, m_closedDomains)) {
            continue;
        }
        if (upstream.version == rollout.order.target) {
            targets.push_back({mixHash(rollout.order.id, known.hash), known.hash});
        } else if (upstream.version == base) {
            ++bases;
        }
    }
    std::sort(targets.begin(), targets.end(), [](const ranked &a, const ranked &b) { return a.rank < b.rank; });
    const auto count = static_cast<std::size_t>(std::lround(m_bounds->trialShare * static_cast<double>(bases)));
    targets.resize(std::min(targets.size(), std::max<std::size_t>(1, count)));
    std::vector<std::uint64_t> hashes;
    std::transform(targets.begin(), targets.end(), std::back_inserter(hashes), [](const ranked &each) { return each.hash; });
    return hashes;
}

version_filters rollout_control::filtersFor(const std::string &service, time_point now) const
{
    version_filters filters;
    if (!m_bounds) {
        return filters;
    }
    const std::map<std::string, known_version> &versions = versionsOf(service);
    if (versions.empty()) {
        return filters;
    }
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        // An order may exist that this router does not know yet. Where no version is familiar, that of most upstreams serves.
        version_filter familiar;
        std::string most;
        std::size_t count = 0;
        for (const auto &[version, known] : versions) {
            if (known.upstreams > count) {
                count = known.upstreams;
                most = version;
            }
            const bool isVerified = m_verifiedAt != store_revision() && m_verifiedAt >= known.listedAt;
            if (isVerified || now - known.seenAt >= limits::unknownVersionHold) {
                familiar.versions.push_back(version);
            }
        }
        if (familiar.versions.size() < versions.size()) {
            if (familiar.versions.empty()) {
                familiar.versions.push_back(most);
            }
            filters.push_back(std::move(familiar));
            filters.push_back(any());
        }
        return filters;
    }
    const service_rollout &rollout = found->second;
    const std::string &target = rollout.order.target;
    const std::string base = baseVersion(rollout);
    switch (rollout.state) {
    case rollout_state::trial:
        if (!rollout.hadBase && !hasBase(rollout)) {
            filters.push_back(any());
            break;
        }
        if (hasQuota(rollout)) {
            version_filter trial = only(target);
            trial.instances = trialUpstreams(rollout, base);
            trial.yieldsWhenFull = true;
            if (!trial.instances.empty()) {
                filters.push_back(std::move(trial));
            }
        }
        filters.push_back(only(base));
        filters.push_back(except(target));
        break;
    case rollout_state::shift:
        if (shiftShare(rollout, now) < 1 && rollout.shiftCredit < 1) {
            filters.push_back(only(base));
            filters.push_back(only(target));
        } else {
            filters.push_back(only(target));
            // Once all requests have moved, the base version's upstreams may be stopped at any time.
            filters.back().endsRetries = shiftShare(rollout, now) >= 1;
            filters.push_back(only(base));
        }
        break;
    case rollout_state::completed:
        filters.push_back(only(target));
        break;
    case rollout_state::withdrawn:
        filters.push_back(only(base));
        filters.push_back(except(target));
        filters.push_back(only(target));
        break;
    default:
        filters.push_back(only(base));
        filters.push_back(except(target));
        break;
    }
    return filters;
}

version_class rollout_control::classOf(const std::string &service, std::string_view version) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        return version_class::other;
    }
    if (version == found->second.order.target) {
        return version_class::target;
    }
    return version == baseVersion(found->second) ? version_class::base : version_class::other;
}

void rollout_control::recordStart(const std::string &service, std::string_view version, time_point now)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        return;
    }
    ++found->second.starts;
    const bool isTarget = version == found->second.order.target;
    found->second.targetStarts += isTarget ? 1 : 0;
    if (found->second.state == rollout_state::shift) {
        found->second.shiftCredit += shiftShare(found->second, now) - (isTarget ? 1 : 0);
    }
}

void rollout_control::recordUnreachable(const std::string &service, std::string_view version)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || version == found->second.order.target) {
        return; // an attempt at the target version stays counted: it may have got there
    }
    found->second.starts -= found->second.starts > 0 ? 1 : 0;
}

void rollout_control::recordAnswer(const std::string &service, std::string_view version, std::uint64_t upstream, std::string_view route,
                                   answer_quality quality, std::optional<double> slowness, bool wasGood, time_point now)
{
    const auto found = m_rollouts.find(service);
    const version_class which = classOf(service, version);
    if (found == m_rollouts.end() || which == version_class::other || !isOpen(found->second.state)) {
        return;
    }
    service_rollout &rollout = found->second;
    const std::uint32_t key = updateKey(route);
    if (quality == answer_quality::broken) {
        broken_answers &broken = rollout.broken[upstream];
        if (broken.answers.empty() || now - broken.since > limits::brokenAnswerLifetime) {
            broken = {now, {}};
        }
        broken.answers.push_back({key, wasGood});
        return;
    }
    addBroken(rollout, which, upstream, now);
    version_counts &counts = countsOf(countsOfRoute(rollout.counts, key), which);
    counts.answers += wasGood ? 0 : 1;
    if (quality != answer_quality::good) {
        ++counts.bad;
        return;
    }
    if (!slowness || *slowness <= 0) {
        return;
    }
    // The usual time is that of the base version on this route, over all routers.
    version_counts usual;
    const auto addUsual = [&usual, key](const std::vector<route_counts> &routes) {
        for (const route_counts &each : routes) {
            usual.timed += each.route == key ? each.base.timed : 0;
            usual.logSlowness += each.route == key ? each.base.logSlowness : 0;
        }
    };
    addUsual(rollout.counts);
    for (const auto &[covers, peer] : rollout.fromPeers) {
        addUsual(peer.counts.routes);
    }
    const double logSlowness = std::log(*slowness);
    const bool hasUsual = usual.timed >= limits::minUsualTimeAnswers;
    if (which == version_class::target && !hasUsual) {
        return;
    }
    ++counts.timed;
    counts.logSlowness += logSlowness;
    counts.slow += hasUsual && logSlowness > usual.logSlowness / usual.timed + std::log(limits::slowAnswerFactor) ? 1 : 0;
}

void rollout_control::addBroken(service_rollout &rollout, version_class which, std::uint64_t upstream, time_point now)
{
    const auto found = rollout.broken.find(upstream);
    if (found == rollout.broken.end() || now - found->second.since < limits::brokenAnswerDelay) {
        return;
    }
    if (now - found->second.since <= limits::brokenAnswerLifetime) {
        for (const broken_answers::answer &each : found->second.answers) {
            version_counts &counts = countsOf(countsOfRoute(rollout.counts, each.route), which);
            counts.answers += each.wasGood ? 0 : 1;
            ++counts.bad;
        }
    }
    rollout.broken.erase(found);
}

void rollout_control::recordEnd(const std::string &service, std::string_view version, duration took, time_point now)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || version == found->second.order.target) {
        return;
    }
    service_rollout &rollout = found->second;
    if (now - rollout.longestSince >= limits::longestAnswerTime) {
        rollout.longestBaseAnswers = {duration(0), rollout.longestBaseAnswers[0]};
        rollout.longestSince = now;
    }
    rollout.longestBaseAnswers[0] = std::max(rollout.longestBaseAnswers[0], took);
}

bool rollout_control::countsTimes(const std::string &instance, time_point now) const
{
    const auto known = m_upstreams.find(instance);
    return known != m_upstreams.end() && now - known->second.seenAt >= limits::startSlowTime;
}

duration rollout_control::ageOf(const service_rollout &rollout, time_point now)
{
    return now - rollout.orderedAt;
}

duration rollout_control::longestBaseAnswer(const service_rollout &rollout)
{
    return std::max(rollout.longestBaseAnswers[0], rollout.longestBaseAnswers[1]);
}

rollout_counts rollout_control::own(const service_rollout &rollout, time_point now) const
{
    rollout_counts counts;
    counts.service = updateKey(rollout.order.service);
    counts.order = orderKey(rollout.order);
    counts.age = ageOf(rollout, now);
    counts.fault = rollout.fault;
    counts.routersShifted = rollout.state == rollout_state::shift && shiftShare(rollout, now) >= 1 ? 1 : 0;
    counts.baseInFlight = rollout.baseInFlight;
    counts.longestBaseAnswer = longestBaseAnswer(rollout);
    counts.routes = rollout.counts;
    return counts;
}

rollout_counts rollout_control::sumOf(const service_rollout &rollout, load_scope scope, time_point now) const
{
    rollout_counts sum = own(rollout, now);
    for (const auto &[source, peer] : rollout.fromPeers) {
        if (peer.scope != load_scope::router && scope != load_scope::fleet) {
            continue;
        }
        add(sum, peer.counts);
        // Routers that have ended are not waited for, and have no requests.
        if (now - peer.receivedAt < limits::loadUpdateLifetime) {
            sum.routersShifted += peer.counts.routersShifted;
            sum.baseInFlight += peer.counts.baseInFlight;
        }
    }
    return sum;
}

duration rollout_control::shiftAge(const service_rollout &rollout, const rollout_counts &sums) const
{
    const double doublings = -std::log2(std::max(limits::trialQuotaShare * m_bounds->trialShare, std::exp2(-maxDoublings)));
    const duration latest
        = rollout.order.ramp - sums.longestBaseAnswer - limits::completionMargin - scaled(limits::shiftDoublingTime, doublings);
    return std::max(latest, scaled(rollout.order.ramp, limits::minTrialTime));
}

rollout_status rollout_control::nextStatus(service_rollout &rollout, const rollout_counts &sums, time_point now) const
{
    if (rollout.state == rollout_state::withdrawn) {
        return rollout_status::none;
    }
    if (rollout.state == rollout_state::completed) {
        return rollout_status::completed; // as long as the object does not say so
    }
    if (rollout.fault != rollout_fault::none || rollout.state == rollout_state::rolledBack) {
        return rollout_status::rolledBack;
    }
    if (rollout.order.status == rollout_status::none) {
        return rollout_status::trial;
    }
    unsigned slots = 0;
    for (const auto &[instance, known] : m_upstreams) {
        const versioned_upstream &upstream = known.upstream;
        const bool counts = upstream.version == rollout.order.target && mayServe(upstream, rollout.order.service, m_closedDomains);
        slots += counts ? upstream.slots : 0;
    }
    if (rollout.state == rollout_state::trial) {
        const bool isFaultless = totalOf(sums.routes).target.bad == 0;
        const bool isFound = rollout.verdict.isGood || (isFaultless && !rollout.verdict.isSuspicious && !rollout.verdict.lacksAnswers);
        const bool isDue = ageOf(rollout, now) >= shiftAge(rollout, sums);
        const bool hasRoom = slots > 0 && slots >= rollout.inFlight;
        return isFound && isDue && hasRoom ? rollout_status::shift : rollout_status::none;
    }
    const bool isIdle = rollout.state == rollout_state::shift && slots > 0 && sums.routersShifted >= routers() && sums.baseInFlight == 0;
    if (!isIdle) {
        rollout.idleSince.reset();
        return rollout_status::none;
    }
    rollout.idleSince = rollout.idleSince.value_or(now);
    return now - *rollout.idleSince >= limits::completionHold ? rollout_status::completed : rollout_status::none;
}

void rollout_control::writeWhenDue(service_rollout &rollout, time_point now, std::vector<effect> &effects)
{
    if (rollout.nextStatus == rollout_status::none) {
        rollout.dueSince.reset();
        return;
    }
    rollout.dueSince = rollout.dueSince.value_or(now);
    const std::size_t turn = std::min(rankAmong(m_selfHash, m_routerHashes, mixHash(rollout.order.id, 1)), limits::maxRolloutTurns);
    const duration delay = limits::rolloutTurnDelay * static_cast<duration::rep>(turn);
    if (now < *rollout.dueSince + delay || now < rollout.nextWriteAt) {
        return;
    }
    rollout.nextWriteAt = now + limits::rolloutRewriteDelay;
    effects.push_back(rollout_effect::write_status {rollout.order, rollout.nextStatus});
}

void rollout_control::logVerdict(const service_rollout &rollout, std::vector<effect> &effects) const
{
    const rollout_verdict &verdict = rollout.verdict;
    log_line line = rolloutLine(rollout.order);
    line.with("fault", nameOf(rollout.fault))
        .with("by_other_router", verdict.fault == rollout_fault::none)
        .with("route", toHex(verdict.route))
        .with("target_answers", verdict.target.answers)
        .with("target_bad", verdict.target.bad)
        .with("target_slow", verdict.target.slow)
        .with("base_answers", verdict.base.answers)
        .with("base_bad", verdict.base.bad)
        .with("base_slow", verdict.base.slow);
    effects.push_back(log_record {log_event::rolloutVerdict, line.take()});
}

void rollout_control::tick(time_point now, const std::map<std::string, version_load> &loads, std::vector<effect> &effects)
{
    for (auto &[service, rollout] : m_rollouts) {
        if (const auto load = loads.find(service); load != loads.end()) {
            rollout.baseInFlight = load->second.base;
            rollout.inFlight = load->second.all;
        }
        const rollout_counts sums = sumOf(rollout, load_scope::fleet, now);
        if (isOpen(rollout.state)) {
            rollout.judge.record(now, sums.routes);
            rollout.verdict = rollout.judge.verdict();
            const rollout_fault found = rollout.verdict.fault != rollout_fault::none ? rollout.verdict.fault : sums.fault;
            if (rollout.fault == rollout_fault::none && found != rollout_fault::none) {
                rollout.fault = found;
                logVerdict(rollout, effects);
            }
            if (rollout.fault != rollout_fault::none) {
                setState(rollout, rollout_state::suspected, effects);
            }
            rollout.hadBase = rollout.hadBase || hasBase(rollout);
            const auto &versions = versionsOf(service);
            const auto target = versions.find(rollout.order.target);
            const bool isServed = target != versions.end() && target->second.upstreams > 0;
            if (!isServed && !rollout.isUnservedLogged && ageOf(rollout, now) >= limits::unlistedTargetDelay) {
                rollout.isUnservedLogged = true;
                log_line line = rolloutLine(rollout.order);
                effects.push_back(log_record {log_event::rolloutUnserved, line.take()});
            }
        }
        const rollout_status next = nextStatus(rollout, sums, now);
        const bool isWritten = next == rollout.order.status;
        if (next != rollout.nextStatus) {
            rollout.dueSince.reset();
        }
        rollout.nextStatus = isWritten ? rollout_status::none : next;
        writeWhenDue(rollout, now, effects);
    }
}

void rollout_control::applyUpdate(const load_update &update, bool isCounted, bool isSubstitute, const std::string &covers, time_point now)
{
    for (auto &[service, rollout] : m_rollouts) {
        const std::uint32_t key = updateKey(service);
        const std::uint32_t order = orderKey(rollout.order);
        const auto found = std::find_if(update.rollouts.begin(), update.rollouts.end(),
                                        [key, order](const rollout_counts &each) { return each.service == key && each.order == order; });
        if (found == update.rollouts.end()) {
            continue;
        }
        rollout.orderedAt = std::min(rollout.orderedAt, now - found->age);
        if (rollout.fault == rollout_fault::none && isOpen(rollout.state)) {
            rollout.fault = found->fault;
        }
        const auto known = rollout.fromPeers.find(covers);
        // A substitute neither replaces a counted update nor alternates with another substitute.
        const bool isCovered = known != rollout.fromPeers.end() && now - known->second.receivedAt < limits::loadUpdateLifetime
                               && !(known->second.isSubstitute && known->second.source == update.source);
        if (isCounted || (isSubstitute && !isCovered)) {
            rollout.fromPeers[covers] = {update.scope, *found, now, update.source, !isCounted};
        }
    }
}

void rollout_control::forgetUpdates()
{
    for (auto &[service, rollout] : m_rollouts) {
        rollout.fromPeers.clear();
    }
}

std::vector<rollout_counts> rollout_control::ownCounts(time_point now) const
{
    std::vector<rollout_counts> counts;
    for (const auto &[service, rollout] : m_rollouts) {
        counts.push_back(own(rollout, now));
    }
    return counts;
}

std::vector<rollout_counts> rollout_control::sumOfCounts(load_scope scope, time_point now) const
{
    std::vector<rollout_counts> counts;
    for (const auto &[service, rollout] : m_rollouts) {
        counts.push_back(sumOf(rollout, scope, now));
    }
    return counts;
}

std::vector<rollout_counts> rollout_control::excludingRouter(std::vector<rollout_counts> sums, const std::string &router,
                                                             time_point now) const
{
    for (rollout_counts &sum : sums) {
        for (const auto &[service, rollout] : m_rollouts) {
            const auto peer = rollout.fromPeers.find(router);
            if (updateKey(service) != sum.service || peer == rollout.fromPeers.end()) {
                continue;
            }
            const rollout_counts &counts = peer->second.counts;
            subtractRouteCounts(sum.routes, counts.routes);
            if (now - peer->second.receivedAt < limits::loadUpdateLifetime) {
                sum.routersShifted -= std::min(sum.routersShifted, counts.routersShifted);
                sum.baseInFlight -= std::min(sum.baseInFlight, counts.baseInFlight);
            }
        }
    }
    return sums;
}

std::map<std::string, std::string> rollout_control::targets() const
{
    std::map<std::string, std::string> targets;
    for (const auto &[service, rollout] : m_rollouts) {
        targets.emplace(service, rollout.order.target);
    }
    return targets;
}

std::vector<rollout_report> rollout_control::reports(time_point now) const
{
    std::vector<rollout_report> reports;
    for (const auto &[service, rollout] : m_rollouts) {
        rollout_report report {service, rollout.order.target, rollout.state, rollout.fault, ageOf(rollout, now), {}, {}};
        const route_counts total = totalOf(sumOf(rollout, load_scope::fleet, now).routes);
        report.base = total.base;
        report.targetCounts = total.target;
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace nutmegtally
