// nutmegtally-router: takes callers' requests, lets the router core choose an upstream, and streams the answer back.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_metrics.h"
#include "daemon/daemon_status.h"
#include "daemon/daemon_workers.h"
#include "router/router_answer.h"
#include "router/router_attempt.h"
#include "router/router_request.h"
#include "router/router_settings.h"

#include <nutmegtally/router_core.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

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

    /// Refuses new requests and waits until all running ones have ended, at most for @p limit.
    /// @return False if a request was cut.
    bool drain(duration limit);

private:
    /// Effects of the core for one request.
    class mailbox
    {
    public:
        void put(router_core::effect effect);

        /// @return Nothing if no effect came within the time.
        std::optional<router_core::effect> take(duration wait);

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::deque<router_core::effect> m_effects;
    };

    /// A configuration and what is derived from it.
    struct fleet_snapshot {
        fleet_config_ptr config;
        account_index accounts;
    };

    /// Registration of a request for the time of its life.
    class active_request;

    void handle(http_exchange &exchange);
    void handleInner(http_exchange &exchange);
    void serve(http_exchange &exchange, request_id id);
    void route(const caller_request &request, mailbox &box, caller_answer &answer);

    /// @return True if the request has its final answer.
    bool execute(const caller_request &request, const router_core::effect &effect, caller_answer &answer);
    bool attempt(const caller_request &request, const router_effect::send_attempt &order, caller_answer &answer);
    bool settle(const caller_request &request, attempt_ref attempt, const attempt_result &result, caller_answer &answer);
    bool pause(duration delay, caller_answer &answer) const;
    void giveUp(const caller_request &request, caller_answer &answer, error_code code);
    void fail(const caller_request &request, caller_answer &answer, const error &fault);

    void post(const router_core::event &event);
    void dispatch(const router_core::effect &effect);
    void deliver(request_id id, const router_core::effect &effect);
    std::shared_ptr<const fleet_snapshot> snapshot() const;
    std::string addressOf(upstream_id upstream) const;
    void configChanged(const fleet_config_ptr &config);
    void upstreamChanged(const upstream_info &info);
    void countOutcome(std::string_view code);
    void refreshMetrics();
    std::string notReady() const;

    router_settings m_settings;
    std::unique_ptr<fleet_source> m_fleet;
    message_authenticator m_authenticator;
    session_pool m_pool;
    daemon_metrics m_metrics;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Counter &m_attempts;
    prometheus::Counter &m_attemptsRefused;
    prometheus::Counter &m_attemptsFailed;
    prometheus::Counter &m_callersGone;
    prometheus::Counter &m_streamsSilent;
    prometheus::Counter &m_streamsResumed;
    prometheus::Counter &m_promptTokens;
    prometheus::Counter &m_cachedTokens;
    prometheus::Histogram &m_firstByte;
    prometheus::Gauge &m_connections;
    prometheus::Gauge &m_refusedConnections;
    prometheus::Gauge &m_active;
    prometheus::Gauge &m_configVersion;

    std::mutex m_coreMutex;
    router_core m_core; // under m_coreMutex

    mutable std::mutex m_fleetMutex;
    std::shared_ptr<const fleet_snapshot> m_snapshot; // under m_fleetMutex
    std::unordered_map<upstream_id, std::string> m_addresses; // of agents; under m_fleetMutex

    std::mutex m_requestsMutex;
    std::condition_variable m_requestsChanged;
    std::unordered_map<request_id, std::shared_ptr<mailbox>> m_mailboxes; // under m_requestsMutex
    unsigned m_running = 0; // exchanges; under m_requestsMutex
    std::atomic<bool> m_draining = false;

    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_inner; // null without settings.innerListen
    std::unique_ptr<http_server> m_status;
    std::unique_ptr<periodic_timer> m_tick;
};

} // namespace nutmegtally
