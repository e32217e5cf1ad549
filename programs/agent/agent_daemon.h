// nutmegtally-agent: accepts work from routers, applies admission control, runs it on its upstream and streams the answer
// back. Everything runs in one event loop, except the fleet driver and the ledger's calls to the object API.
#pragma once

#include "agent/agent_ledger.h"
#include "agent/agent_sender.h"
#include "agent/agent_settings.h"
#include "agent/agent_stream.h"
#include "agent/agent_upstream.h"
#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_metrics.h"
#include "daemon/daemon_status.h"
#include "serving/event_queue.h"

#include <nutmegtally/admission.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegtally
{

class agent_daemon
{
public:
    /// Starts serving. @throws error settingsInvalid
    agent_daemon(agent_settings settings, std::unique_ptr<fleet_source> fleet);
    ~agent_daemon();
    agent_daemon(const agent_daemon &) = delete;
    agent_daemon &operator=(const agent_daemon &) = delete;

    /// "host:port" of the listener for routers.
    std::string address() const;
    std::string statusAddress() const;

    /// Refuses new work and waits at most @p limit for the running work to end.
    /// @return False if work was still running at the limit.
    bool drain(duration limit);

private:
    using stream_ptr = std::shared_ptr<agent_stream>;

    void handle(const http_exchange::pointer &exchange);
    void handleWork(const http_exchange::pointer &exchange);
    void handleCancel(http_exchange &exchange);

    /// Parses the work header and verifies its authentication tag. @throws error malformedRequest, authenticationFailed
    nlohmann::json readVerifiedFields(const http_exchange &exchange);
    stream_ptr findOrStart(const work_header &header, const std::string &body);
    void offer(const stream_ptr &stream);
    void offerToLedger(const stream_ptr &stream);
    void senderEnded(const stream_ptr &stream);

    void configChanged(const fleet_config_ptr &config);
    void upstreamChanged(const upstream_info &info);
    void postOwnerView();
    ledger_callbacks ledgerCallbacks();
    void runBooking(const ledger_effect::run_request &order);
    void replyOutcome(const ledger_effect::reply_outcome &reply);
    void replyRefusal(const ledger_effect::reply_refusal &reply);

    void post(const admission_core::event &event);
    void carryOut(const admission_effect::start_work &order);
    void carryOut(const admission_effect::refuse_work &refused);
    void carryOut(const admission_effect::cancel_work &cancelled);
    void carryOut(const admission_effect::drained &drained);
    void carryOut(const log_record &record);
    void cancelAtUpstream(const stream_ptr &stream);
    stream_ptr find(attempt_ref attempt) const;
    load_report report() const;
    void tick();
    void pollLoad();
    void refreshMetrics();
    std::string notReadyReason() const;

    agent_settings m_settings;
    std::unique_ptr<fleet_source> m_fleet;
    message_authenticator m_authenticator;
    daemon_metrics m_metrics;
    prometheus::Counter &m_offered;
    prometheus::Counter &m_refused;
    prometheus::Counter &m_started;
    prometheus::Counter &m_cancelled;
    prometheus::Counter &m_resumed;
    prometheus::Counter &m_failed;
    prometheus::Gauge &m_connections;
    prometheus::Gauge &m_running;
    prometheus::Gauge &m_queued;
    prometheus::Gauge &m_window;

    event_loop m_loop; // all members below are used only in this loop
    upstream_caller m_upstream;
    admission_core m_core;
    event_queue<admission_core> m_events;
    std::uint64_t m_configVersion = 0;
    bool m_isFirstLoadPollDone = false; // the first load poll was answered or failed
    std::uint64_t m_incarnation = 0; // of the upstream; 0 until its first load report
    std::shared_ptr<agent_ledger> m_ledger; // null before the first configuration, without a platform, and for an engine
    std::map<upstream_id, bool> m_serviceAgents; // known upstreams of this service; true if live
    std::map<attempt_ref, stream_ptr> m_streams;
    unsigned m_senders = 0; // number of connections that are sending a stream
    bool m_draining = false;
    bool m_drained = false;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_loadTimer;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_statusServer;
    std::string m_address;
    std::string m_statusAddress;
};

} // namespace nutmegtally
