#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/router_gossip.h>

#include <algorithm>
#include <unordered_map>

namespace nutmegtally
{

router_gossip::router_gossip(gossip_options options)
    : m_options(std::move(options))
    , m_counterBase(m_options.startedAtMs)
{
    addSeeds(m_options.seeds);
}

void router_gossip::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        if (seed != m_options.address) {
            m_targets[seed];
        }
    }
}

void router_gossip::on(time_point, const gossip_event::seeds_changed &input, std::vector<effect> &)
{
    addSeeds(input.seeds);
}

void router_gossip::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    std::visit([&](const auto &each) { on(now, each, effects); }, input);
}

std::vector<peer_info> router_gossip::knownPeers(time_point now) const
{
    std::vector<peer_info> peers;
    for (const auto &[name, other] : m_peers) {
        if (now - other.lastSeenAt < limits::routerLifetime) {
            peers.push_back({name, other.address, other.loadAddress, other.domain, now - other.lastSeenAt, other.counter});
        }
    }
    return peers;
}

std::uint32_t router_gossip::nameKey(std::string_view name)
{
    return static_cast<std::uint32_t>(hashText(name) >> 32);
}

std::uint64_t router_gossip::counter(time_point now) const
{
    return m_counterBase
           + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_options.startedAt).count());
}

void router_gossip::outrun(std::uint64_t known, time_point now)
{
    if (const std::uint64_t own = counter(now); known > own) {
        m_counterBase += known - own;
    }
}

std::vector<router_liveness> router_gossip::recentlySeen(std::string_view domain, time_point now) const
{
    std::vector<router_liveness> routers {{nameKey(m_options.name), counter(now), duration(0)}};
    for (const auto &[name, other] : m_peers) {
        const duration age = now - other.lastSeenAt;
        if (age < limits::recentlySeenTime && (domain.empty() || other.domain == domain)) {
            routers.push_back({nameKey(name), other.counter, age});
        }
    }
    return routers;
}

bool router_gossip::refresh(peer &known, std::uint64_t counter, time_point lastSeenAt)
{
    // Without counters only the age is left. It is short of the time on the way, so a report counts as newer than what it repeats.
    const bool isUncounted = counter == 0 && known.counter == 0;
    if (lastSeenAt <= known.lastSeenAt || !(counter > known.counter || isUncounted)) {
        return false;
    }
    known.counter = counter;
    known.lastSeenAt = lastSeenAt;
    return true;
}

void router_gossip::on(time_point now, const gossip_event::liveness_received &input, std::vector<effect> &)
{
    std::unordered_map<std::uint32_t, const router_liveness *> reports;
    for (const router_liveness &report : input.routers) {
        reports.emplace(report.router, &report);
    }
    for (auto &[name, other] : m_peers) {
        if (const auto report = reports.find(nameKey(name)); report != reports.end()) {
            refresh(other, report->second->counter, now - report->second->age);
        }
    }
    if (const auto own = reports.find(nameKey(m_options.name)); own != reports.end()) {
        outrun(own->second->counter, now);
    }
}

void router_gossip::recordMessage(const peer_info &sender, time_point now)
{
    if (sender.name == m_options.name || sender.name.empty()) {
        return;
    }
    peer &known = m_peers[sender.name];
    known.address = sender.address;
    known.loadAddress = sender.loadAddress;
    known.domain = sender.domain;
    known.lastSeenAt = now;
    known.counter = sender.counter; // may be lower than before: a new process whose clock was set back
    m_departed.erase(sender.name);
    m_targets[sender.address];
}

void router_gossip::recordReport(const peer_info &info, time_point now)
{
    if (info.name == m_options.name) {
        outrun(info.counter, now);
    }
    if (info.name == m_options.name || info.name.empty() || info.age >= limits::routerLifetime) {
        return;
    }
    const auto known = m_peers.find(info.name);
    if (known == m_peers.end()) {
        const auto departed = m_departed.find(info.name);
        if (departed != m_departed.end() && info.counter <= departed->second.counter) {
            return;
        }
        m_peers[info.name] = {info.address, info.loadAddress, info.domain, now - info.age, info.counter, std::nullopt};
        m_departed.erase(info.name);
        m_targets[info.address];
    } else if (refresh(known->second, info.counter, now - info.age)) {
        known->second.address = info.address;
        known->second.loadAddress = info.loadAddress;
        known->second.domain = info.domain;
        m_targets[info.address];
    }
}

void router_gossip::on(time_point now, const gossip_event::message_received &input, std::vector<effect> &effects)
{
    recordMessage({input.name, input.address, input.loadAddress, input.domain, duration(0), input.counter}, now);
    sync_target &sender = m_targets[input.address];
    sender.failures = 0;
    sender.retryAt = now;
    for (const peer_info &info : input.knownPeers) {
        recordReport(info, now);
    }
    publishLive(now, effects);
}

void router_gossip::on(time_point now, const gossip_event::digest_compared &input, std::vector<effect> &effects)
{
    const auto sender = m_peers.find(input.name);
    if (sender == m_peers.end()) {
        return;
    }
    peer &known = sender->second;
    known.lastSeenAt = std::max(known.lastSeenAt, now);
    known.counter = input.counter;
    if (!input.isNewer) {
        // A change reaches routers at different times: only state that stays newer shows that this router missed something.
        known.aheadSince.reset();
        return;
    }
    known.aheadSince = known.aheadSince.value_or(now);
    if (input.isWatching || now - *known.aheadSince >= limits::minLagBeforeSync) {
        known.aheadSince = now;
        sync(now, known.address, effects);
    }
}

void router_gossip::sync(time_point now, const std::string &address, std::vector<effect> &effects)
{
    if (m_isSyncing) {
        return;
    }
    m_isSyncing = true;
    m_targets[address].lastSyncAt = now;
    effects.emplace_back(gossip_effect::sync {address});
}

void router_gossip::on(time_point, const gossip_event::sync_completed &, std::vector<effect> &)
{
    m_isSyncing = false;
}

void router_gossip::on(time_point now, const gossip_event::sync_failed &input, std::vector<effect> &effects)
{
    m_isSyncing = false;
    sync_target &failed = m_targets[input.address];
    const unsigned doublings = std::min(failed.failures, 4U);
    ++failed.failures;
    // When all routers start together, the seeds may become available a moment later.
    const duration first = m_peers.empty() ? limits::isolatedSyncInterval : limits::minSyncBackoff;
    failed.retryAt = now + std::min(limits::maxSyncBackoff, first * (1U << doublings));
    if (failed.failures == 1) {
        log_line line;
        line.with("address", input.address);
        effects.emplace_back(log_record {log_event::peerUnreachable, line.take()});
    }
}

void router_gossip::dropSilentPeers(time_point now, std::vector<effect> &effects)
{
    std::erase_if(m_departed, [now](const auto &entry) { return now >= entry.second.keptUntil; });
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        if (now - each->second.lastSeenAt <= limits::routerLifetime) {
            ++each;
            continue;
        }
        log_line line;
        line.with("router", each->first).with("domain", each->second.domain).with("counter", each->second.counter);
        effects.emplace_back(log_record {log_event::routerDeparted, line.take()});
        m_departed[each->first] = {each->second.counter, now + limits::routerLifetime};
        each = m_peers.erase(each);
    }
}

void router_gossip::on(time_point now, const gossip_event::tick &input, std::vector<effect> &effects)
{
    dropSilentPeers(now, effects);
    publishLive(now, effects);
    if (now < m_nextSyncAt) {
        return;
    }
    m_startedAt = m_startedAt.value_or(now);
    const bool isDiscoveryOver = now - *m_startedAt >= limits::discoveryTime && !m_leaders.empty();
    const duration interval = isDiscoveryOver ? limits::steadySyncInterval : limits::syncInterval;
    const bool isJoining = m_options.joinsRunningSystem && now - *m_startedAt < limits::joinTime;
    const bool isJoined = !isJoining && !m_peers.empty();
    m_nextSyncAt = now + (input.isApiReachable && isJoined ? interval : limits::isolatedSyncInterval);
    if (const std::string *next = nextTarget(now)) {
        ++m_syncCount;
        sync(now, *next, effects);
    }
}

const std::string *router_gossip::nextTarget(time_point now) const
{
    // The target of the least recent sync. Addresses of routers that are gone are skipped by their backoff. Every few syncs go to
    // any router, so that partitions of the fleet that do not know each other merge.
    const bool isAny = m_leaders.empty() || m_syncCount % limits::anyRouterSyncEvery == 0;
    const std::string *next = nullptr;
    time_point lastSyncAt;
    for (const auto &[address, known] : m_targets) {
        const bool isWanted = isAny || std::find(m_leaders.begin(), m_leaders.end(), address) != m_leaders.end();
        if (isWanted && address != m_options.address && now >= known.retryAt && (next == nullptr || known.lastSyncAt < lastSyncAt)) {
            next = &address;
            lastSyncAt = known.lastSyncAt;
        }
    }
    return next;
}

void router_gossip::on(time_point, const gossip_event::leaders_changed &input, std::vector<effect> &)
{
    m_leaders = input.addresses;
}

void router_gossip::publishLive(time_point now, std::vector<effect> &effects)
{
    // A silent router stays in the count for routerLifetime: a router that is cut off from the others must not use their part of a
    // shared limit.
    std::vector<std::string> live {m_options.name};
    for (const auto &[name, other] : m_peers) {
        if (now - other.lastSeenAt < limits::routerLifetime) {
            live.push_back(name);
        }
    }
    std::sort(live.begin(), live.end());
    if (live == m_live && m_hasPublished) {
        return;
    }
    m_live = live;
    m_hasPublished = true;
    effects.push_back(gossip_effect::routers_changed {std::move(live)});
}

} // namespace nutmegtally
