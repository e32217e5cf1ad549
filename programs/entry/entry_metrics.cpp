#include "entry/entry_metrics.h"

namespace nutmegtally
{

entry_metrics::entry_metrics()
    : m_requests(m_metrics.counterFamily("nutmegtally_entry_requests_total", "Finished requests by outcome and reason"))
    , m_attempts(m_metrics.counter("nutmegtally_entry_attempts_total", "Requests sent to upstreams"))
    , m_callers(m_metrics.gauge("nutmegtally_entry_callers", "Open connections of callers"))
    , m_openRequests(m_metrics.gauge("nutmegtally_entry_open_requests", "Requests without a final answer"))
    , m_connections(m_metrics.gauge("nutmegtally_entry_upstream_connections", "Connections opened to upstreams since the start"))
    , m_idleConnections(m_metrics.gauge("nutmegtally_entry_idle_upstream_connections", "Open connections to upstreams without a request"))
    , m_calls(m_metrics.gauge("nutmegtally_entry_calls", "Calls to the object API and other routers since the start"))
    , m_routers(m_metrics.gauge("nutmegtally_entry_routers", "Routers that share limits"))
    , m_upstreams(m_metrics.gauge("nutmegtally_entry_upstreams", "Upstreams that are listed"))
    , m_version(m_metrics.gauge("nutmegtally_entry_rules_version", "Version of the traffic rules in force"))
    , m_droppedLines(m_metrics.gauge("nutmegtally_entry_log_lines_dropped", "Log lines dropped since the start"))
    , m_seconds {
          &m_metrics.seconds("nutmegtally_entry_request_seconds", "Time to the final answer", {{"kind", "idempotent"}}),
          &m_metrics.seconds("nutmegtally_entry_request_seconds", "Time to the final answer", {{"kind", "non_idempotent"}}),
          &m_metrics.seconds("nutmegtally_entry_request_seconds", "Time to the final answer", {{"kind", "streaming"}}),
      }
{
}

void entry_metrics::attemptStarted()
{
    m_attempts.Increment();
}

void entry_metrics::finished(const exchange_report &report)
{
    const metric_labels labels {{"outcome", std::string(report.outcome)}, {"reason", std::string(report.reason)}};
    m_requests.Add(labels).Increment();
    m_seconds[static_cast<std::size_t>(report.kind)]->Observe(std::chrono::duration<double>(report.took).count());
}

std::string entry_metrics::text(const entry_gauges &now)
{
    m_callers.Set(static_cast<double>(now.callers));
    m_openRequests.Set(static_cast<double>(now.openRequests));
    m_connections.Set(static_cast<double>(now.connections));
    m_idleConnections.Set(static_cast<double>(now.idleConnections));
    m_calls.Set(static_cast<double>(now.calls));
    m_routers.Set(static_cast<double>(now.routers));
    m_upstreams.Set(static_cast<double>(now.upstreams));
    m_version.Set(static_cast<double>(now.version));
    m_droppedLines.Set(static_cast<double>(now.droppedLines));
    return m_metrics.text();
}

} // namespace nutmegtally
