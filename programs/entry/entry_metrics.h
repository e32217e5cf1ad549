// Metrics of nutmegtally-entry. docs/metrics.md lists them.
#pragma once

#include "daemon/daemon_metrics.h"

#include <nutmegtally/entry_core.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// Values that are read at each scrape.
struct entry_gauges {
    std::uint64_t callers = 0;
    std::uint64_t openRequests = 0;
    std::uint64_t connectionsOpened = 0; // to upstreams, since the start of the process
    std::uint64_t idleConnections = 0; // to upstreams, open now
    std::uint64_t calls = 0; // to the object API and other routers, since the start of the process
    std::uint64_t routers = 0; // live ones, with this one
    std::uint64_t upstreams = 0; // listed ones
    std::uint64_t rulesVersion = 0;
    std::uint64_t droppedLines = 0; // of the log, since the start of the process
    std::uint64_t quarantinedParts = 0; // of prompts
    std::map<std::string, entry_core::limited_service> limitedServices; // by service
    std::map<std::pair<std::string, int>, admission_order::backlog> backlogs; // by service and priority
    std::vector<rollout_report> rollouts;
    std::vector<upstream_set::speed_change> unusualSpeeds; // of upstreams
};

class entry_metrics
{
public:
    entry_metrics();

    void attemptStarted();
    void objectUnreadable();
    void requestFinished(const exchange_report &report);

    /// Metrics in the Prometheus text format.
    std::string text(const entry_gauges &gauges);

private:
    void setRollouts(const std::vector<rollout_report> &rollouts);
    void setLimits(const std::map<std::string, entry_core::limited_service> &services);
    void setBacklogs(const std::map<std::pair<std::string, int>, admission_order::backlog> &backlogs);
    void setSlowness(const std::vector<upstream_set::speed_change> &speeds);

    daemon_metrics m_metrics;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Counter &m_attempts;
    prometheus::Counter &m_unreadableObjects;
    prometheus::Gauge &m_callers;
    prometheus::Gauge &m_openRequests;
    prometheus::Gauge &m_connectionsOpened;
    prometheus::Gauge &m_idleConnections;
    prometheus::Gauge &m_calls;
    prometheus::Gauge &m_routers;
    prometheus::Gauge &m_upstreams;
    prometheus::Gauge &m_rulesVersion;
    prometheus::Gauge &m_droppedLines;
    prometheus::Gauge &m_quarantinedParts;
    prometheus::Family<prometheus::Gauge> &m_slowness;
    std::vector<prometheus::Gauge *> m_slowUpstreams; // in m_slowness
    std::map<std::string, entry_core::limited_service> m_limitedServices; // with those that had limits before
    std::map<std::pair<std::string, int>, admission_order::backlog> m_backlogs; // with those where requests waited before
    std::set<std::string> m_rolloutServices; // that have or had a rollout
    std::array<prometheus::Histogram *, static_cast<std::size_t>(request_kind::count)> m_requestSeconds;
};

} // namespace nutmegtally
