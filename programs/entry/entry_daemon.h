// nutmegtally-entry: a router on an entry VM that serves the platform's callers from its upstreams without agents.
// Joins the reducers: what followers read becomes events of the serving core, and what routers tell each other becomes
// snapshots for the followers.
#pragma once

#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/json_log.h"
#include "entry/news_codec.h"
#include "platform/names.h"
#include "platform/request_codec.h"
#include "serving/call_client.h"
#include "serving/exchange_server.h"
#include "serving/listener.h"
#include "serving/serving_core.h"

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

namespace nutmegtally
{

class entry_daemon
{
public:
    /// @param reload Reads the settings file again after SIGHUP; throws if it has faults.
    /// @throws std::exception if a listener cannot be bound.
    entry_daemon(boost::asio::io_context &context, const entry_settings &settings, std::function<entry_settings()> reload);

    /// Serves until SIGTERM and the graceful shutdown are over.
    /// @return False if the shutdown cut work.
    bool run();

private:
    /// Kinds of objects that are followed.
    enum class followed : std::uint8_t {
        rules,
        upstreams,
        closures,
        count
    };

    static constexpr std::size_t followedKinds = static_cast<std::size_t>(followed::count);
    static constexpr std::array<std::string_view, followedKinds> followedNames = {
        platform::kind::configuration,
        platform::kind::upstreams,
        platform::kind::closures,
    };

    template<typename Effects, typename Handler>
    static void forEach(const Effects &effects, Handler handle)
    {
        for (const auto &effect : effects) {
            std::visit(handle, effect);
        }
    }

    /// A snapshot that was packed for a router and serves others that lack the same.
    struct packed_snapshot {
        store_revision since = 0;
        store_revision asOf = 0;
        std::string bytes;
    };

    time_point now() const;
    object_follower &follower(followed kind);
    void apply(followed kind, const object_follower::event &event);
    /// Calls the object API; what comes back becomes an event of the kind's follower.
    template<typename Decode>
    void callObjects(followed kind, std::string target, duration timeout, Decode decode);
    void carryOut(followed kind, const follower_effect::read_page &page);
    void carryOut(followed kind, const follower_effect::watch_changes &wait);
    void carryOut(followed kind, const follower_effect::object_changed &changed);
    void carryOut(followed kind, const follower_effect::object_removed &removed);
    void carryOut(followed kind, const log_record &record);
    void tellClosures();

    void apply(const router_gossip::event &event);
    void carryOut(const gossip_effect::sync &question);
    void carryOut(const gossip_effect::routers_changed &changed);
    void carryOut(const log_record &record);
    news_message ownNews() const;
    std::vector<kind_digest> ownDigests() const;
    bool isApiReachable() const;
    void updateRole();
    void takeDatagram(const router_datagram &datagram);
    void takeNews(const std::vector<std::string> &parts);
    own_answer answerRouter(const http_exchange &asked);
    const std::string &packedSnapshot(followed kind, store_revision since);

    void listHeldParts(const entry_effect::list_held_parts &listed);
    void tellNotices();
    void hearNotices();
    void sendNotice(const router_endpoint &router, const router_datagram &datagram);
    void tellAsMember(router_datagram datagram);
    void tellAsLead(router_datagram datagram);

    own_answer answerReady() const;
    own_answer answerMetrics(const std::string &target);
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
    call_client m_calls;
    serving_core<platform::request_codec> m_serving;
    std::array<object_follower, followedKinds> m_followers;
    router_gossip m_news;
    leader_election m_leads;
    std::array<packed_snapshot, followedKinds> m_packed;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::ip::udp::socket m_loadSocket;
    boost::asio::steady_timer m_loadTimer;
    boost::asio::ip::udp::endpoint m_loadSender; // of the datagram that is received
    std::array<char, 65536> m_datagram;
    std::size_t m_bytesTold = 0; // in the notices of one round
    duration m_tellInterval {0};
    unsigned m_rounds = 0; // of notices
    std::unique_ptr<listener> m_callers;
    std::unique_ptr<exchange_server> m_readyServer;
    std::unique_ptr<exchange_server> m_routerServer;
    std::unique_ptr<exchange_server> m_metricsServer;
    std::optional<time_point> m_shutdownSince;
    time_point m_lastTick;
    bool m_wantsPrompts; // no router has told where prompts are cached
    bool m_wasReady = false;
    bool m_stopped = false;
    bool m_cutWork = false;
};

} // namespace nutmegtally
