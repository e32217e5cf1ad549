// nutmegtally-router: accepts requests from callers, lets the router core choose an upstream and streams the answer back.
// Everything runs in one event loop, except the fleet driver.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_metrics.h"
#include "daemon/daemon_status.h"
#include "router/router_answer.h"
#include "router/router_attempt.h"
#include "router/router_request.h"
#include "router/router_settings.h"
#include "serving/connection_pool.h"
#include "serving/event_queue.h"
#include "serving/http_client.h"

#include <nutmegtally/router_core.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

using router_core = basic_router_core<affinity_policy>;

class router_daemon
{
public:
    /// Starts serving. @throws error settingsInvalid
    router_daemon(router_settings settings, std::unique_ptr<fleet_source> fleet);
    ~router_daemon();
    router_daemon(const router_daemon &) = delete;
    router_daemon &operator=(const router_daemon &) = delete;

    /// "host:port" of the listener for callers.
    std::string address() const;
    std::string statusAddress() const;

    /// Refuses new requests and waits at most @p limit for the running ones to end.
    /// @return False if a request was still running at the limit.
    bool drain(duration limit);

private:
    /// A configuration and the account index derived from it.
    struct fleet_snapshot {
        fleet_config_ptr config;
        account_index accounts;
    };

    /// A request that has not been answered completely.
    struct running_request {
        explicit running_request(boost::asio::io_context &context)
            : deadlineTimer(context)
            , delayTimer(context)
        {
        }

        caller_request request;
        std::shared_ptr<caller_answer> answer;
        attempt_runner::pointer runner; // null between attempts
        boost::asio::steady_timer deadlineTimer;
        boost::asio::steady_timer delayTimer; // before the next attempt
    };

    void handle(const http_exchange::pointer &exchange);
    void handlePeerRequest(const http_exchange::pointer &exchange);
    void serve(const http_exchange::pointer &exchange, request_id id);
    void startDeadlineTimer(request_id id, running_request &running);
    void callerDisconnected(request_id id);
    void outputDrained(request_id id);

    void carryOut(const router_effect::send_attempt &order);
    void carryOut(const router_effect::reply_error &reply);
    void carryOut(const router_effect::cancel_attempt &order);
    void carryOut(const log_record &record);
    void startAttempt(const router_effect::send_attempt &order);
    attempt_observer makeObserver(const router_effect::send_attempt &order, const caller_request &request);
    void attemptEnded(const router_effect::send_attempt &order, const attempt_result &result);
    void fail(request_id id, const error &fault);

    /// Stops the request's timers and attempt, and removes it.
    void finish(request_id id);
    running_request *find(request_id id);

    void post(const router_core::event &event);
    void configChanged(const fleet_config_ptr &config);
    void upstreamChanged(const upstream_info &info);
    void countOutcome(std::string_view code);
    void refreshMetrics();
    std::string notReadyReason() const;
    void tick();

    router_settings m_settings;
    std::unique_ptr<fleet_source> m_fleet;
    message_authenticator m_authenticator;
    daemon_metrics m_metrics;
    prometheus::Family<prometheus::Counter> &m_outcomes;
    prometheus::Counter &m_attempts;
    prometheus::Counter &m_attemptsRefused;
    prometheus::Counter &m_attemptsFailed;
    prometheus::Counter &m_callerDisconnects;
    prometheus::Counter &m_streamIdleTimeouts;
    prometheus::Counter &m_streamsResumed;
    prometheus::Counter &m_promptTokens;
    prometheus::Counter &m_cachedTokens;
    prometheus::Histogram &m_firstDataSeconds;
    prometheus::Gauge &m_connections;
    prometheus::Gauge &m_refusedConnections;
    prometheus::Gauge &m_runningRequests;
    prometheus::Gauge &m_configVersion;

    event_loop m_loop; // all members below are used only in this loop
    connection_pool m_pool;
    http_client m_client;
    router_core m_core;
    event_queue<router_core> m_events;
    std::optional<fleet_snapshot> m_snapshot; // current configuration; empty before the first one
    std::unordered_map<upstream_id, std::string> m_addresses; // host:port of each upstream's agent
    std::unordered_map<request_id, std::shared_ptr<running_request>> m_requests;
    bool m_draining = false;
    boost::asio::steady_timer m_tickTimer;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_peerServer; // null without settings.innerListen
    std::unique_ptr<http_server> m_statusServer;
    std::string m_address;
    std::string m_statusAddress;
};

} // namespace nutmegtally
