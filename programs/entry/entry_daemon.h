// nutmegtally-entry: the router on an entry VM. It forwards callers' requests to upstreams that have no agent beside them.
// The daemon connects the reducers: objects that the followers read become events of the serving core, and gossip from other
// routers supplies the followers with snapshots and the serving core with load updates.
#pragma once

#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/gossip_codec.h"
#include "entry/json_log.h"
#include "platform/names.h"
#include "platform/request_codec.h"
#include "serving/http_client.h"
#include "serving/http_server.h"
#include "serving/listener.h"
#include "serving/serving_core.h"

#include <nutmegtally/api_availability.h>
#include <nutmegtally/leader_election.h>
#include <nutmegtally/object_follower.h>
#include <nutmegtally/router_gossip.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace nutmegtally
{

class entry_daemon
{
public:
    /// @param reload Reads the settings file again on SIGHUP; throws if it is invalid.
    /// @throws std::exception if a listener cannot be bound.
    entry_daemon(boost::asio::io_context &context, const entry_settings &settings, std::function<entry_settings()> reload);

    /// Serves until SIGTERM or SIGINT, then until the graceful shutdown ends.
    /// @return False if the shutdown ended with requests still open.
    bool run();

private:
    using datagram_endpoint = boost::asio::ip::udp::endpoint;

    /// Kinds of objects that the daemon follows. The order is that of objectKindNames and m_followers.
    enum class object_kind : std::uint8_t {
        rules,
        upstreams,
        closures,
        rollouts, // last: only followed if the settings have bounds for rollouts
        count
    };

    static constexpr std::size_t objectKindCount = static_cast<std::size_t>(object_kind::count);
    static constexpr std::array<std::string_view, objectKindCount> objectKindNames = {
        platform::kind::configuration,
        platform::kind::upstreams,
        platform::kind::closures,
        platform::kind::rollouts,
    };

    template<typename Effects, typename Handler>
    static void forEach(const Effects &effects, Handler handle)
    {
        for (const auto &effect : effects) {
            std::visit(handle, effect);
        }
    }

    /// The last compressed snapshot of a kind, reused for every router that asks for the same changes.
    struct compressed_snapshot {
        store_revision since;
        store_revision asOf;
        std::string bytes;
    };

    /// Number of kinds that are followed, of the first ones in object_kind.
    std::size_t followedKinds() const
    {
        return m_settings.rollouts ? objectKindCount : objectKindCount - 1;
    }

    time_point now() const;
    object_follower &follower(object_kind kind);
    void apply(object_kind kind, const object_follower::event &event);
    /// Calls the object API and passes the result to the follower of the kind as an event.
    /// @param decode Turns the body of a successful call into the event; throws if the body is invalid.
    template<typename Decode>
    void callObjects(object_kind kind, std::string target, duration timeout, Decode decode);
    void carryOut(object_kind kind, const follower_effect::read_page &page);
    void carryOut(object_kind kind, const follower_effect::watch_changes &watch);
    void carryOut(object_kind kind, const follower_effect::object_changed &changed);
    void carryOut(object_kind kind, const follower_effect::object_removed &removed);
    void carryOut(object_kind kind, const log_record &record);
    void publishClosures();
    void publishRollout(const stored_object &object);
    void writeRolloutStatus(const entry_effect::write_rollout_status &write);

    void apply(const router_gossip::event &event);
    void carryOut(const gossip_effect::sync &syncRequest);
    void carryOut(const gossip_effect::routers_changed &changed);
    void carryOut(const log_record &record);
    gossip_message ownMessage() const;
    std::vector<kind_digest> ownDigests() const;
    bool isApiReachable() const;
    void updateRole();
    /// Reads the objects again if another router's copy should be equal to this router's but is not.
    void compareCopies(const std::vector<kind_digest> &digests, const std::string &router);
    void handleHeartbeat(const router_heartbeat &heartbeat);
    void handlePermitMessage(const permit_message &message);
    /// @param bytes Size of the datagram in m_receiveBuffer. @throws std::exception with a reason if it is none of the routers'.
    void handleDatagram(std::size_t bytes);
    void sendPermitMessage(const entry_effect::send_permit_message &sent);
    void sendDatagram(const datagram_endpoint &peer, const std::string &bytes);
    void applySyncAnswer(const std::vector<std::string> &parts);
    local_answer answerRouters(const http_exchange &exchange);
    local_answer answerQuarantine(const http_exchange &exchange);
    local_answer answerSync(const http_exchange &exchange);
    const std::string &compressedSnapshot(object_kind kind, store_revision since);

    void listHeldParts(const entry_effect::list_held_parts &query);
    void sendHeartbeats();
    void awaitHeartbeat(duration wait);
    void receiveHeartbeats();
    void sendHeartbeat(const router_endpoint &router, const router_heartbeat &heartbeat);
    void sendMemberHeartbeats(router_heartbeat heartbeat);
    void sendLeaderHeartbeats(router_heartbeat heartbeat);

    local_answer answerReady() const;
    local_answer answerMetrics(const std::string &target);
    bool isReady() const;
    void tick();
    void awaitSignals();
    void startShutdown();
    void checkShutdown();

    boost::asio::io_context &m_context;
    entry_settings m_settings;
    std::function<entry_settings()> m_reload;
    json_log m_log;
    entry_metrics m_metrics;
    http_client m_calls;
    serving_core<platform::request_codec> m_serving;
    std::array<object_follower, objectKindCount> m_followers; // indexed by object_kind
    router_gossip m_gossip;
    leader_election m_election;
    api_availability m_apiAvailability;
    store_revision m_rolloutsVerifiedAt; // the orders up to this revision were posted
    std::optional<time_point> m_apiAnsweredAt; // last answer to a call of this router, of any kind of object
    std::array<compressed_snapshot, objectKindCount> m_compressedSnapshots; // indexed by object_kind
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::ip::udp::socket m_heartbeatSocket;
    std::unordered_map<std::string, datagram_endpoint> m_datagramEndpoints; // of the other live routers, by name
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::ip::udp::endpoint m_heartbeatSender; // of the datagram in m_receiveBuffer
    std::array<char, 65536> m_receiveBuffer;
    std::size_t m_roundBytes = 0; // sent in the current round of heartbeats
    duration m_heartbeatInterval {0};
    time_point m_nextHeartbeatAt; // at the latest; sooner if there are prompts to announce
    unsigned m_heartbeatRounds = 0; // rounds since the start of the process
    std::unique_ptr<listener> m_callerListener;
    std::unique_ptr<http_server> m_readyServer;
    std::unique_ptr<http_server> m_routerServer;
    std::unique_ptr<http_server> m_metricsServer;
    std::optional<time_point> m_shutdownSince;
    time_point m_lastTickAt;
    time_point m_startedAt;
    bool m_wantsPrompts; // no router that knows them all has sent its prompt locations yet
    bool m_wasReady = false;
    bool m_stopped = false;
    bool m_hasCutRequests = false;
};

} // namespace nutmegtally
