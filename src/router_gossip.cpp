#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/router_gossip.h>

#include <algorithm>
#include <unordered_set>

namespace nutmegtally
{

router_gossip::router_gossip(gossip_options options)
    : m_options(std::move(options))
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
            peers.push_back({name, other.address, other.loadAddress, other.domain, now - other.lastSeenAt});
        }
    }
    return peers;
}

std::uint32_t router_gossip::nameKey(std::string_view name)
{
    return static_cast<std::uint32_t>(hashText(name) >> 32);
}

std::vector<std::uint32_t> router_gossip::recentlySeen(std::string_view domain, time_point now) const
{
    std::vector<std::uint32_t> keys {nameKey(m_options.name)};
    for (const auto &[name, other] : m_peers) {
        if (now - other.lastSeenAt < limits::recentlySeenTime && (domain.empty() || other.domain == domain)) {
            keys.push_back(nameKey(name));
        }
    }
    return keys;
}

void router_gossip::on(time_point now, const gossip_event::liveness_received &input, std::vector<effect> &)
{
    const std::unordered_set<std::uint32_t> keys(input.routers.begin(), input.routers.end());
    for (auto &[name, other] : m_peers) {
        if (keys.contains(nameKey(name))) {
            other.lastSeenAt = std::max(other.lastSeenAt, now);
        }
    }
}

void router_gossip::updatePeer(const peer_info &info, time_point lastSeenAt)
{
    if (info.name == m_options.name || info.name.empty()) {
        return;
    }
    peer &known = m_peers[info.name];
    if (known.address.empty() || lastSeenAt > known.lastSeenAt) {
        known.address = info.address;
        known.loadAddress = info.loadAddress;
        known.domain = info.domain;
        known.lastSeenAt = lastSeenAt;
        m_targets[info.address];
    }
}

void router_gossip::on(time_point now, const gossip_event::message_received &input, std::vector<effect> &effects)
{
    updatePeer({input.name, input.address, input.loadAddress, input.domain, duration(0)}, now);
    sync_target &sender = m_targets[input.address];
    sender.failures = 0;
    sender.retryAt = now;
    for (const peer_info &info : input.knownPeers) {
        if (info.age < limits::routerLifetime) {
            updatePeer(info, now - info.age);
        }
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

void router_gossip::on(time_point now, const gossip_event::tick &input, std::vector<effect> &effects)
{
    std::erase_if(m_peers, [now](const auto &entry) { return now - entry.second.lastSeenAt > limits::routerLifetime; });
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
