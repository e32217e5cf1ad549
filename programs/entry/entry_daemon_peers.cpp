// What entry routers tell each other: notices over UDP several times a second, questions and answers over TCP.
#include "entry/entry_daemon.h"
#include "entry/packing.h"
#include "src/limits.h"

#include <nutmegtally/log_line.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;

constexpr duration askTimeout = 800ms; // for another router's answer
constexpr duration tellInterval = 100ms; // between notices; a request's first event takes about as long
constexpr duration longestTellInterval = 1s; // news of a second ago still tell which upstreams are busy
constexpr double toldBytesPerSecond = 500'000; // by a lead; a fifth of a 20 Mbit/s link
constexpr unsigned heardOfRounds = 5; // rounds of notices between two that tell which routers live

} // namespace

void entry_daemon::apply(const router_gossip::event &event)
{
    std::vector<router_gossip::effect> effects;
    m_news.apply(now(), event, effects);
    forEach(effects, [this](const auto &effect) { carryOut(effect); });
}

void entry_daemon::carryOut(const gossip_effect::routers_changed &changed)
{
    std::vector<router_endpoint> places;
    for (const peer_info &router : m_news.knownPeers(now())) {
        places.push_back({router.name, router.domain, router.address, router.loadAddress});
    }
    m_leads.setRouters(std::move(places));
    m_serving.post(entry_event::routers_changed {changed.live});
    updateRole();
}

bool entry_daemon::isApiReachable() const
{
    return std::all_of(m_followers.begin(), m_followers.end(), [](const object_follower &each) { return each.isApiReachable(); });
}

void entry_daemon::updateRole()
{
    if (m_leads.update(now())) {
        m_serving.post(entry_event::role_changed {m_leads.isLeader()});
    }
    for (std::size_t i = 0; i < followedKinds; ++i) {
        apply(static_cast<followed>(i), follower_event::role_changed {m_leads.isLeader(), m_leads.usesShortWatches(followedNames[i])});
    }
    std::vector<std::string> addresses;
    for (const router_endpoint *lead : m_leads.ownLeaders(now())) {
        addresses.push_back(lead->address);
    }
    if (m_leads.isLeader()) {
        for (const router_endpoint *lead : m_leads.remoteLeaders(now())) {
            addresses.push_back(lead->address);
        }
    }
    apply(gossip_event::leaders_changed {std::move(addresses)});
}

news_message entry_daemon::ownNews() const
{
    news_message message;
    message.name = m_settings.name;
    message.address = m_settings.routersListen;
    message.loadAddress = m_settings.loadListen;
    message.domain = m_settings.domain;
    message.routers = m_news.knownPeers(now());
    message.digests = ownDigests();
    return message;
}

std::vector<kind_digest> entry_daemon::ownDigests() const
{
    std::vector<kind_digest> digests;
    for (std::size_t i = 0; i < followedKinds; ++i) {
        digests.push_back({std::string(followedNames[i]), m_followers[i].asOf(), m_followers[i].contentHash()});
    }
    return digests;
}

void entry_daemon::takeDatagram(const router_datagram &datagram)
{
    const time_point at = now();
    m_leads.recordHeartbeat(datagram.name, datagram.isLeader, datagram.isApiReachable, datagram.routersCovered, datagram.interval, at);
    bool isNewer = false;
    for (std::size_t i = 0; i < followedKinds; ++i) {
        for (const kind_digest &digest : datagram.digests) {
            isNewer = isNewer || (digest.kind == followedNames[i] && m_followers[i].isBehind(digest.asOf, digest.hash));
        }
    }
    apply(gossip_event::digest_compared {datagram.name, isNewer, datagram.isLeader && !m_leads.isLeader()});
    if (!isNewer && datagram.isLeader && datagram.isApiReachable) {
        m_serving.post(entry_event::state_verified {});
    }
    if (!datagram.heardOf.empty()) {
        apply(gossip_event::liveness_received {datagram.heardOf});
    }
    // Each request counts once: a lead adds up what routers and domains tell, the others take the sum of one lead.
    const bool isWanted = m_leads.isLeader() != (datagram.load.scope == load_scope::fleet);
    const bool isBest = datagram.load.scope == load_scope::router || m_leads.isPreferredLeader(datagram.name, at);
    m_serving.post(entry_event::load_update_received {datagram.load, isWanted && isBest});
}

void entry_daemon::carryOut(const gossip_effect::sync &question)
{
    call_request request;
    request.address = question.address;
    request.method = "POST";
    request.target = std::string(routersPath);
    news_message news = ownNews();
    news.wantsPrompts = m_wantsPrompts;
    request.body = pack(encodeNews(news));
    request.timeout = askTimeout;
    m_calls.call(request, [this, address = question.address](const call_result &result) {
        if (result.status != 200) {
            apply(gossip_event::sync_failed {address});
            return;
        }
        try {
            takeNews(splitParts(result.body));
            m_serving.post(entry_event::state_verified {});
            apply(gossip_event::sync_completed {});
        } catch (const std::exception &) {
            apply(gossip_event::sync_failed {address});
        }
    });
}

void entry_daemon::takeNews(const std::vector<std::string> &parts)
{
    if (parts.empty()) {
        throw std::runtime_error("an answer without a message");
    }
    const news_message message = decodeNews(unpack(parts.front()));
    apply(gossip_event::message_received {message.name, message.address, message.loadAddress, message.domain, message.routers});
    if (!message.prompts.empty()) {
        m_wantsPrompts = false;
    }
    for (std::size_t part = 1; part < parts.size(); ++part) {
        const kind_snapshot snapshot = decodeSnapshot(unpack(parts[part]));
        for (std::size_t i = 0; i < followedKinds; ++i) {
            if (followedNames[i] == snapshot.kind) {
                apply(static_cast<followed>(i), follower_event::snapshot_received {snapshot.state, message.name});
            }
        }
    }
    // After the snapshots: prompts at upstreams that are not listed yet would be lost.
    m_serving.post(entry_event::prompt_locations_received {message.prompts});
}

const std::string &entry_daemon::packedSnapshot(followed kind, store_revision since)
{
    packed_snapshot &packed = m_packed[static_cast<std::size_t>(kind)];
    const object_follower &own = follower(kind);
    // While an outage is not over, what a snapshot says of missing objects changes with time.
    kind_snapshot snapshot {std::string(followedNames[static_cast<std::size_t>(kind)]), own.snapshotSince(since, now())};
    const bool isKnown = !packed.bytes.empty() && packed.since == snapshot.state.since && packed.asOf == snapshot.state.asOf
                         && snapshot.state.missingGrace.count() == 0;
    if (!isKnown) {
        const bool isLasting = snapshot.state.missingGrace.count() == 0;
        packed = {snapshot.state.since, isLasting ? snapshot.state.asOf : 0, pack(encodeSnapshot(snapshot))};
    }
    return packed.bytes;
}

own_answer entry_daemon::answerRouter(const http_exchange &asked)
{
    if (asked.target() != routersPath) {
        return exchange_server::plainFault({404, "this listener serves other routers"});
    }
    news_message question;
    try {
        question = decodeNews(unpack(asked.body()));
    } catch (const std::exception &fault) {
        return exchange_server::plainFault({400, fault.what()});
    }
    apply(gossip_event::message_received {question.name, question.address, question.loadAddress, question.domain, question.routers});
    news_message answer = ownNews();
    // A router that has just started as well would tell of its last second only.
    if (question.wantsPrompts && m_serving.decisions().hasCacheState()) {
        answer.prompts = m_serving.decisions().upstreams().knownPrompts(now());
    }
    std::vector<std::string> parts {pack(encodeNews(answer))};
    for (std::size_t i = 0; i < followedKinds; ++i) {
        const object_follower &own = m_followers[i];
        for (const kind_digest &digest : question.digests) {
            const bool isNewer = digest.kind == followedNames[i] && own.isComplete() && own.asOf() > digest.asOf;
            // An empty set also has to be told once: the asker does not know yet that there is nothing.
            if (isNewer && (digest.asOf == 0 || own.contentHash() != digest.hash)) {
                parts.push_back(packedSnapshot(static_cast<followed>(i), digest.asOf));
            }
        }
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, joinParts(parts)};
}

void entry_daemon::sendNotice(const router_endpoint &router, const router_datagram &datagram)
{
    const auto peer = parseEndpoint(router.loadAddress);
    if (!peer) {
        return; // its settings were checked; a name that is no address was never told
    }
    const std::string bytes = encodeDatagram(datagram);
    m_bytesTold += bytes.size();
    boost::system::error_code ignored; // the next notice replaces one that was not sent
    m_loadSocket.send_to(boost::asio::buffer(bytes), {peer->address(), peer->port()}, 0, ignored);
}

void entry_daemon::tellAsMember(router_datagram datagram)
{
    const time_point at = now();
    datagram.load = m_serving.decisions().upstreams().ownLoad(at);
    const std::vector<prompt_location> prompts = m_serving.takePrompts().fromOwnDomain;
    const std::vector<const router_endpoint *> leads = m_leads.ownLeaders(at);
    // One lead passes the prompts on; which one does not matter.
    const auto best
        = std::find_if(leads.begin(), leads.end(), [&](const router_endpoint *lead) { return m_leads.isPreferredLeader(lead->name, at); });
    const router_endpoint *relay = best != leads.end() ? *best : leads.empty() ? nullptr : leads.front();
    for (const router_endpoint *lead : leads) {
        datagram.load.prompts = lead == relay ? prompts : std::vector<prompt_location>();
        sendNotice(*lead, datagram);
    }
}

void entry_daemon::tellAsLead(router_datagram datagram)
{
    const time_point at = now();
    const upstream_set &upstreams = m_serving.decisions().upstreams();
    const upstream_set::outgoing_prompts prompts = m_serving.takePrompts();
    const bool tellsLive = m_rounds % heardOfRounds == 0;

    datagram.load = upstreams.ownLoad(at); // its prompts are in the sums
    for (const router_endpoint *lead : m_leads.ownLeaders(at)) {
        sendNotice(*lead, datagram);
    }

    datagram.load = upstreams.domainLoad(at);
    datagram.load.prompts = prompts.fromOwnDomain;
    datagram.heardOf = tellsLive ? m_news.recentlySeen(m_settings.domain, at) : std::vector<std::uint32_t>();
    for (const router_endpoint *lead : m_leads.remoteLeaders(at)) {
        sendNotice(*lead, datagram);
    }

    load_update fleet = upstreams.fleetLoad(at);
    fleet.prompts = prompts.fromOwnDomain;
    fleet.prompts.insert(fleet.prompts.end(), prompts.fromOtherDomains.begin(), prompts.fromOtherDomains.end());
    datagram.heardOf = tellsLive ? m_news.recentlySeen({}, at) : std::vector<std::uint32_t>();
    for (const router_endpoint *neighbour : m_leads.domainPeers()) {
        datagram.load = upstreams.excludingRouter(fleet, neighbour->name);
        sendNotice(*neighbour, datagram);
    }
}

void entry_daemon::tellNotices()
{
    router_datagram datagram;
    datagram.name = m_settings.name;
    datagram.isLeader = m_leads.isLeader();
    datagram.isApiReachable = isApiReachable();
    datagram.routersCovered = static_cast<std::uint32_t>(m_serving.decisions().upstreams().activeSources(now()));
    datagram.interval = m_tellInterval;
    datagram.digests = ownDigests();
    m_bytesTold = 0;
    ++m_rounds;
    if (m_leads.isLeader()) {
        tellAsLead(std::move(datagram));
    } else {
        tellAsMember(std::move(datagram));
    }
    const auto paced
        = std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(m_bytesTold) / toldBytesPerSecond));
    m_tellInterval = std::clamp(paced, tellInterval, longestTellInterval);
    m_loadTimer.expires_after(m_tellInterval);
    m_loadTimer.async_wait([this](const boost::system::error_code &fault) {
        if (!fault && !m_stopped) {
            tellNotices();
        }
    });
}

void entry_daemon::hearNotices()
{
    m_loadSocket.async_receive_from(boost::asio::buffer(m_datagram), m_loadSender,
                                    [this](const boost::system::error_code &fault, std::size_t bytes) {
                                        if (fault == boost::asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!fault) {
                                            try {
                                                takeDatagram(decodeDatagram(m_datagram.data(), bytes));
                                            } catch (const std::exception &problem) {
                                                log_line line;
                                                line.with("from", m_loadSender.address().to_string()).with("why", problem.what());
                                                carryOut(log_record {log_event::noticeUnreadable, line.take()});
                                            }
                                        }
                                        hearNotices();
                                    });
}

} // namespace nutmegtally
