// nutmegtally-agent: takes work from routers, admits it, runs it on its upstream and streams the answer back.
#pragma once

#include "agent/agent_ledger.h"
#include "agent/agent_settings.h"
#include "agent/agent_stream.h"
#include "agent/agent_upstream.h"
#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_metrics.h"
#include "daemon/daemon_status.h"
#include "daemon/daemon_workers.h"

#include <nutmegtally/admission.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

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

    /// Refuses new work and waits until all running work has ended, at most for @p limit.
    /// @return False if work was cut.
    bool drain(duration limit);

private:
    using stream_ptr = std::shared_ptr<agent_stream>;

    /// Ends a connection's claim on a stream.
    class attachment;

    void handle(http_exchange &exchange);
    void handleWork(http_exchange &exchange);
    void handleCancel(http_exchange &exchange);
    work_header readHeader(http_exchange &exchange, const std::string &body);
    stream_ptr findOrStart(const work_header &header, std::string body);
    void offer(const stream_ptr &stream);
    void send(http_exchange &exchange, agent_stream &stream, std::uint64_t generation);
    bool sendRecord(http_exchange &exchange, agent_stream &stream, stream_record &record, stream_checksum &checksum);

    void configChanged(const fleet_config_ptr &config);
    void upstreamChanged(const upstream_info &info);

    void postOwners();

    /// @return Null until the first configuration, without a platform, and beside an engine.
    std::shared_ptr<agent_ledger> ledger();
    ledger_callbacks ledgerCallbacks();
    void book(const ledger_effect::run_request &order);
    void replyOutcome(const ledger_effect::reply_outcome &reply);
    void replyRefusal(const ledger_effect::reply_refusal &reply);

    void post(const admission_core::event &event);
    void execute(const admission_core::effect &effect);
    void start(const stream_ptr &stream, unsigned priority);
    void cancelAtUpstream(const stream_ptr &stream);
    stream_ptr find(attempt_ref attempt);
    load_report report();
    void onTick();
    void pollLoad();
    void refreshMetrics();
    std::string notReady();

    agent_settings m_settings;
    std::unique_ptr<fleet_source> m_fleet;
    message_authenticator m_authenticator;
    upstream_caller m_upstream;
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

    std::mutex m_coreMutex;
    admission_core m_core; // under m_coreMutex
    std::atomic<std::uint64_t> m_configVersion = 0;
    std::atomic<std::uint64_t> m_incarnation = 0; // of the upstream; 0 until it reported its load
    std::atomic<bool> m_draining = false;

    std::mutex m_ledgerMutex;
    std::shared_ptr<agent_ledger> m_ledger; // under m_ledgerMutex
    std::map<upstream_id, bool> m_owners; // agents of this service, true if live; under m_ledgerMutex

    std::mutex m_streamsMutex;
    std::condition_variable m_streamsChanged;
    std::map<attempt_ref, stream_ptr> m_streams; // under m_streamsMutex
    bool m_drained = false; // under m_streamsMutex
    unsigned m_senders = 0; // exchanges that send a stream; under m_streamsMutex

    worker_group m_workers;
    std::unique_ptr<http_server> m_status;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<periodic_timer> m_tick;
    std::unique_ptr<periodic_timer> m_loadPoll;
};

} // namespace nutmegtally
