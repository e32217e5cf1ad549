// Communication between entry routers: heartbeats with load updates over UDP several times a second, gossip syncs over HTTP.
#include "entry/entry_daemon.h"
#include "entry/message_compression.h"
#include "src/limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/reducer.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;

constexpr duration syncTimeout = 800ms; // longest wait for the answer of another router
constexpr duration minHeartbeatInterval = 100ms; // about as long as a request takes to its first event
// The same while new prompts wait to be announced: until then, other routers may have the same context prefilled elsewhere.
constexpr duration minAnnouncementInterval = 25ms;
constexpr duration maxHeartbeatInterval = 1s; // load that is a second old still shows which upstreams are busy
constexpr double heartbeatBytesPerSecond = 500'000; // budget of one leader; a fifth of a 20 Mbit/s link
constexpr unsigned roundsPerLivenessReport = 5; // only every fifth round of heartbeats lists the live routers

} // namespace

void entry_daemon::apply(const router_gossip::event &event)
{
    std::vector<router_gossip::effect> effects;
    m_gossip.apply(now(), event, effects);
    forEach(effects, [this](const auto &effect) { carryOut(effect); });
}

void entry_daemon::carryOut(const gossip_effect::routers_changed &changed)
{
    std::vector<router_endpoint> endpoints;
    m_datagramEndpoints.clear();
    for (const peer_info &router : m_gossip.knownPeers(now())) {
        if (const auto endpoint = parseEndpoint(router.loadAddress)) {
            m_datagramEndpoints.insert_or_assign(router.name, datagram_endpoint(endpoint->address(), endpoint->port()));
        }
        endpoints.push_back({router.name, router.domain, router.address, router.loadAddress});
    }
    m_election.setRouters(std::move(endpoints));
    m_serving.post(entry_event::routers_changed {changed.live});
    updateRole();
}

bool entry_daemon::isApiReachable() const
{
    return std::all_of(m_followers.begin(), m_followers.end(), [](const object_follower &each) { return each.isApiReachable(); });
}

void entry_daemon::updateRole()
{
    if (m_election.update(now())) {
        m_serving.post(entry_event::role_changed {m_election.isLeader()});
    }
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        apply(static_cast<object_kind>(i), follower_event::role_changed {m_election.isLeader()});
    }
    std::vector<std::string> addresses;
    for (const router_endpoint *leader : m_election.ownLeaders(now())) {
        addresses.push_back(leader->address);
    }
    if (m_election.isLeader()) {
        for (const router_endpoint *leader : m_election.remoteLeaders(now())) {
            addresses.push_back(leader->address);
        }
    }
    apply(gossip_event::leaders_changed {std::move(addresses)});
}

gossip_message entry_daemon::ownMessage() const
{
    gossip_message message;
    message.name = m_settings.name;
    message.address = m_settings.routersListen;
    message.loadAddress = m_settings.loadListen;
    message.domain = m_settings.domain;
    message.counter = m_gossip.counter(now());
    message.routers = m_gossip.knownPeers(now());
    message.digests = ownDigests();
    return message;
}

std::vector<kind_digest> entry_daemon::ownDigests() const
{
    std::vector<kind_digest> digests;
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        digests.push_back(
            {std::string(objectKindNames[i]), m_followers[i].asOf(), m_followers[i].contentHash(), m_followers[i].keepsLost()});
    }
    return digests;
}

void entry_daemon::compareCopies(const std::vector<kind_digest> &digests, const std::string &router)
{
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        for (const kind_digest &digest : digests) {
            if (digest.kind == objectKindNames[i] && m_followers[i].differsFrom(digest.asOf, digest.hash, digest.keepsLost)) {
                apply(static_cast<object_kind>(i), follower_event::copy_differs {router});
            }
        }
    }
}

void entry_daemon::handleHeartbeat(const router_heartbeat &heartbeat)
{
    const time_point at = now();
    compareCopies(heartbeat.digests, heartbeat.name);
    if (heartbeat.sinceApiAnswer) {
        m_apiAvailability.recordAnswer(heartbeat.name, at - *heartbeat.sinceApiAnswer);
    }
    m_election.recordHeartbeat(heartbeat.name, heartbeat.isLeader, heartbeat.isApiReachable, heartbeat.routersCovered, heartbeat.interval,
                               at);
    bool isNewer = false;
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        for (const kind_digest &digest : heartbeat.digests) {
            isNewer = isNewer || (digest.kind == objectKindNames[i] && m_followers[i].isBehind(digest.asOf, digest.hash, digest.keepsLost));
        }
    }
    apply(gossip_event::digest_compared {heartbeat.name, isNewer, heartbeat.isLeader && !m_election.isLeader(), heartbeat.counter});
    if (!isNewer && heartbeat.isLeader && heartbeat.isApiReachable) {
        m_serving.post(entry_event::state_verified {});
    }
    if (!heartbeat.recentRouters.empty()) {
        apply(gossip_event::liveness_received {heartbeat.recentRouters});
    }
    // Each request must be counted once: a leader adds up the loads of routers and domains, other routers use the fleet load of one
    // leader.
    const bool isRelevantScope = m_election.isLeader() != (heartbeat.load.scope == load_scope::fleet);
    const bool isPreferredSource = heartbeat.load.scope == load_scope::router || m_election.isPreferredLeader(heartbeat.name, at);
    std::string covers;
    if (heartbeat.load.scope != load_scope::router) {
        covers = heartbeat.load.scope == load_scope::fleet ? "fleet" : "domain/" + m_election.domainOf(heartbeat.name);
    }
    m_serving.post(entry_event::load_update_received {heartbeat.load, isRelevantScope && isPreferredSource, isRelevantScope, covers});
    if (!heartbeat.evidence.empty()) {
        m_serving.post(entry_event::part_evidence_received {heartbeat.evidence});
    }
    if (!heartbeat.limits.empty()) {
        m_serving.post(entry_event::limits_received {heartbeat.limits});
    }
}

void entry_daemon::handlePermitMessage(const permit_message &message)
{
    std::visit(overloaded {
                   [&](const permit_request &request) {
                       m_serving.post(entry_event::permit_requested {message.name, request});
                   },
                   [&](const permit_answer &answer) { m_serving.post(entry_event::permit_answered {answer}); },
               },
               message.content);
}

void entry_daemon::sendPermitMessage(const entry_effect::send_permit_message &sent)
{
    const auto peer = m_datagramEndpoints.find(sent.router);
    if (peer == m_datagramEndpoints.end()) {
        return; // the asking router takes the silence for that of a router that is gone
    }
    sendDatagram(peer->second, encodePermitMessage({m_settings.name, sent.message}));
}

void entry_daemon::carryOut(const gossip_effect::sync &syncRequest)
{
    call_request request;
    request.address = syncRequest.address;
    request.method = "POST";
    request.target = std::string(gossipPath);
    gossip_message message = ownMessage();
    message.wantsPrompts = m_wantsPrompts;
    request.body = compressMessage(encodeGossipMessage(message));
    request.timeout = syncTimeout;
    m_calls.call(request, [this, address = syncRequest.address](const call_result &result) {
        if (result.status != 200) {
            apply(gossip_event::sync_failed {address});
            return;
        }
        try {
            applySyncAnswer(splitMessageParts(result.body));
            m_serving.post(entry_event::state_verified {});
            apply(gossip_event::sync_completed {});
        } catch (const std::exception &) {
            apply(gossip_event::sync_failed {address});
        }
    });
}

void entry_daemon::applySyncAnswer(const std::vector<std::string> &parts)
{
    if (parts.empty()) {
        throw std::runtime_error("sync answer contains no message");
    }
    const gossip_message message = decodeGossipMessage(decompressMessage(parts.front()));
    apply(gossip_event::message_received {message.name, message.address, message.loadAddress, message.domain, message.routers,
                                          message.counter});
    if (!message.prompts.empty() && now() - m_startedAt >= limits::joinTime) {
        m_wantsPrompts = false;
    }
    for (std::size_t part = 1; part < parts.size(); ++part) {
        const kind_snapshot snapshot = decodeSnapshot(decompressMessage(parts[part]));
        for (std::size_t i = 0; i < followedKinds(); ++i) {
            if (objectKindNames[i] == snapshot.kind) {
                apply(static_cast<object_kind>(i), follower_event::snapshot_received {snapshot.state, message.name});
            }
        }
    }
    compareCopies(message.digests, message.name);
    // Applied after the snapshots, because prompt locations at upstreams that are not listed yet are dropped.
    m_serving.post(entry_event::prompt_locations_received {message.prompts});
}

const std::string &entry_daemon::compressedSnapshot(object_kind kind, store_revision since)
{
    compressed_snapshot &cached = m_compressedSnapshots[static_cast<std::size_t>(kind)];
    const object_follower &own = follower(kind);
    // During an outage of the object API the grace of missing objects depends on the time, and so does what is kept after a restore:
    // the snapshot is not reused.
    kind_snapshot snapshot {std::string(objectKindNames[static_cast<std::size_t>(kind)]), own.snapshotSince(since, now())};
    const bool isCached = !cached.bytes.empty() && cached.since == snapshot.state.since && cached.asOf == snapshot.state.asOf
                          && snapshot.state.missingGrace.count() == 0 && !own.keepsLost();
    if (!isCached) {
        const bool isCacheable = snapshot.state.missingGrace.count() == 0 && !own.keepsLost();
        cached = {snapshot.state.since, isCacheable ? snapshot.state.asOf : store_revision(), compressMessage(encodeSnapshot(snapshot))};
    }
    return cached.bytes;
}

local_answer entry_daemon::answerRouters(const http_exchange &exchange)
{
    if (exchange.target() == gossipPath) {
        return answerSync(exchange);
    }
    if (exchange.target().starts_with(quarantinePath)) {
        return answerQuarantine(exchange);
    }
    return http_server::plainFault({404, "this listener serves other routers, and operators under " + std::string(quarantinePath)});
}

local_answer entry_daemon::answerQuarantine(const http_exchange &exchange)
{
    const std::string name = exchange.target().substr(quarantinePath.size());
    if (exchange.method() == "GET" && name.empty()) {
        const std::vector<part_verdict> verdicts = m_serving.entryCore().quarantine().verdicts(now());
        return {200, {{"Content-Type", "application/json"}}, encodeQuarantine(verdicts)};
    }
    const std::uint64_t part = name.starts_with('/') ? fromHex(std::string_view(name).substr(1)) : 0;
    if (exchange.method() != "DELETE" || part == 0) {
        return http_server::plainFault({400, "GET lists the parts; DELETE of PATH/PART, in hexadecimal, releases one"});
    }
    m_serving.post(entry_event::part_released {part});
    return {200, {{"Content-Type", "text/plain"}}, "released\n"};
}

local_answer entry_daemon::answerSync(const http_exchange &exchange)
{
    gossip_message syncRequest;
    try {
        syncRequest = decodeGossipMessage(decompressMessage(exchange.body()));
    } catch (const std::exception &fault) {
        return http_server::plainFault({400, fault.what()});
    }
    apply(gossip_event::message_received {syncRequest.name, syncRequest.address, syncRequest.loadAddress, syncRequest.domain,
                                          syncRequest.routers, syncRequest.counter});
    gossip_message answer = ownMessage();
    // A router that has just started itself knows only the prompts of its last seconds, so it sends none.
    if (syncRequest.wantsPrompts && m_serving.entryCore().hasCacheState(now())) {
        answer.prompts = m_serving.entryCore().upstreams().knownPrompts(now());
    }
    std::vector<std::string> parts {compressMessage(encodeGossipMessage(answer))};
    for (std::size_t i = 0; i < followedKinds(); ++i) {
        const object_follower &own = m_followers[i];
        for (const kind_digest &digest : syncRequest.digests) {
            const bool isNewer = own.asOf() > digest.asOf || (own.keepsLost() && own.asOf().era == digest.asOf.era);
            // An empty set is also sent once: a router without any state cannot know that there are no objects.
            const bool isDifferent = digest.asOf == store_revision() || own.contentHash() != digest.hash;
            if (digest.kind == objectKindNames[i] && own.isComplete() && isNewer && isDifferent) {
                parts.push_back(compressedSnapshot(static_cast<object_kind>(i), digest.asOf));
            }
        }
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, joinMessageParts(parts)};
}

void entry_daemon::sendHeartbeat(const router_endpoint &router, const router_heartbeat &heartbeat)
{
    const auto peer = parseEndpoint(router.loadAddress);
    if (!peer) {
        return; // cannot happen: settings are checked to hold an address before it is announced
    }
    const std::string bytes = encodeHeartbeat(heartbeat);
    m_roundBytes += bytes.size();
    sendDatagram({peer->address(), peer->port()}, bytes);
}

void entry_daemon::sendDatagram(const datagram_endpoint &peer, const std::string &bytes)
{
    boost::system::error_code ignored; // datagrams may be lost anyway: heartbeats are repeated, permits are asked for elsewhere
    m_heartbeatSocket.send_to(boost::asio::buffer(bytes), peer, 0, ignored);
}

void entry_daemon::sendMemberHeartbeats(router_heartbeat heartbeat)
{
    const time_point at = now();
    heartbeat.load = m_serving.entryCore().upstreams().ownLoad(at);
    heartbeat.load.rollouts = m_serving.entryCore().rollouts().ownCounts(at);
    heartbeat.load.admission = m_serving.entryCore().admission().ownCounts(at);
    const std::vector<prompt_location> prompts = m_serving.takePrompts().fromOwnDomain;
    const std::vector<const router_endpoint *> leaders = m_election.ownLeaders(at);
    // Only one leader receives the prompts and forwards them; any leader will do.
    const auto preferred = std::find_if(leaders.begin(), leaders.end(),
                                        [&](const router_endpoint *leader) { return m_election.isPreferredLeader(leader->name, at); });
    const router_endpoint *relay = preferred != leaders.end() ? *preferred : leaders.empty() ? nullptr : leaders.front();
    for (const router_endpoint *leader : leaders) {
        heartbeat.load.prompts = leader == relay ? prompts : std::vector<prompt_location>();
        sendHeartbeat(*leader, heartbeat);
    }
}

void entry_daemon::sendLeaderHeartbeats(router_heartbeat heartbeat)
{
    const time_point at = now();
    const upstream_set &upstreams = m_serving.entryCore().upstreams();
    const rollout_control &rollouts = m_serving.entryCore().rollouts();
    const admission_order &admission = m_serving.entryCore().admission();
    const upstream_set::outgoing_prompts prompts = m_serving.takePrompts();
    const bool includesLiveness = m_heartbeatRounds % roundsPerLivenessReport == 0;

    heartbeat.load = upstreams.ownLoad(at); // without prompts: domainLoad and fleetLoad below carry them
    heartbeat.load.rollouts = rollouts.ownCounts(at);
    heartbeat.load.admission = admission.ownCounts(at);
    for (const router_endpoint *leader : m_election.ownLeaders(at)) {
        sendHeartbeat(*leader, heartbeat);
    }

    heartbeat.load = upstreams.domainLoad(at);
    heartbeat.load.rollouts = rollouts.sumOfCounts(load_scope::domain, at);
    heartbeat.load.admission = admission.sumOfCounts(load_scope::domain, at);
    heartbeat.load.prompts = prompts.fromOwnDomain;
    heartbeat.recentRouters = includesLiveness ? m_gossip.recentlySeen(m_settings.domain, at) : std::vector<router_liveness>();
    for (const router_endpoint *leader : m_election.remoteLeaders(at)) {
        sendHeartbeat(*leader, heartbeat);
    }

    load_update fleet = upstreams.fleetLoad(at);
    const std::vector<rollout_counts> rolloutSums = rollouts.sumOfCounts(load_scope::fleet, at);
    const admission_counts admissionSums = admission.sumOfCounts(load_scope::fleet, at);
    fleet.prompts = prompts.fromOwnDomain;
    fleet.prompts.insert(fleet.prompts.end(), prompts.fromOtherDomains.begin(), prompts.fromOtherDomains.end());
    heartbeat.recentRouters = includesLiveness ? m_gossip.recentlySeen({}, at) : std::vector<router_liveness>();
    for (const router_endpoint *peer : m_election.domainPeers()) {
        heartbeat.load = upstreams.excludingRouter(fleet, peer->name);
        heartbeat.load.rollouts = rollouts.excludingRouter(rolloutSums, peer->name, at);
        heartbeat.load.admission = admission.excludingRouter(admissionSums, peer->name, at);
        sendHeartbeat(*peer, heartbeat);
    }
}

void entry_daemon::sendHeartbeats()
{
    router_heartbeat heartbeat;
    heartbeat.name = m_settings.name;
    heartbeat.counter = m_gossip.counter(now());
    heartbeat.isLeader = m_election.isLeader();
    heartbeat.isApiReachable = isApiReachable();
    heartbeat.routersCovered = static_cast<std::uint32_t>(m_serving.entryCore().upstreams().activeSources(now()));
    heartbeat.interval = m_heartbeatInterval;
    if (m_apiAnsweredAt) {
        heartbeat.sinceApiAnswer = now() - *m_apiAnsweredAt;
    }
    heartbeat.digests = ownDigests();
    heartbeat.evidence = m_serving.takeEvidence();
    heartbeat.limits = m_serving.takeLimits();
    m_roundBytes = 0;
    ++m_heartbeatRounds;
    if (m_election.isLeader()) {
        sendLeaderHeartbeats(std::move(heartbeat));
    } else {
        sendMemberHeartbeats(std::move(heartbeat));
    }
    const auto pacedInterval
        = std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(m_roundBytes) / heartbeatBytesPerSecond));
    m_heartbeatInterval = std::clamp(pacedInterval, minHeartbeatInterval, maxHeartbeatInterval);
    m_nextHeartbeatAt = now() + m_heartbeatInterval;
    awaitHeartbeat(std::clamp(pacedInterval, minAnnouncementInterval, maxHeartbeatInterval));
}

void entry_daemon::awaitHeartbeat(duration wait)
{
    m_heartbeatTimer.expires_after(wait);
    m_heartbeatTimer.async_wait([this](const boost::system::error_code &fault) {
        if (fault || m_stopped) {
            return;
        }
        if (now() >= m_nextHeartbeatAt || m_serving.entryCore().hasAnnouncements()) {
            sendHeartbeats();
            return;
        }
        awaitHeartbeat(std::min(minAnnouncementInterval, m_nextHeartbeatAt - now()));
    });
}

void entry_daemon::handleDatagram(std::size_t bytes)
{
    std::visit(overloaded {
                   [this](const router_heartbeat &heartbeat) { handleHeartbeat(heartbeat); },
                   [this](const permit_message &message) { handlePermitMessage(message); },
               },
               decodeDatagram(m_receiveBuffer.data(), bytes));
}

void entry_daemon::receiveHeartbeats()
{
    m_heartbeatSocket.async_receive_from(boost::asio::buffer(m_receiveBuffer), m_heartbeatSender,
                                         [this](const boost::system::error_code &fault, std::size_t bytes) {
                                             if (fault == boost::asio::error::operation_aborted) {
                                                 return;
                                             }
                                             if (!fault) {
                                                 try {
                                                     handleDatagram(bytes);
                                                 } catch (const std::exception &problem) {
                                                     log_line line;
                                                     line.with("from", m_heartbeatSender.address().to_string()).with("why", problem.what());
                                                     carryOut(log_record {log_event::noticeUnreadable, line.take()});
                                                 }
                                             }
                                             receiveHeartbeats();
                                         });
}

} // namespace nutmegtally
