#include "entry/entry_metrics.h"

namespace nutmegtally
{

entry_metrics::entry_metrics()
    : m_requests(m_metrics.counterFamily("nutmegtally_entry_requests_total", "Finished requests by outcome and reason"))
    , m_attempts(m_metrics.counter("nutmegtally_entry_attempts_total", "Requests sent to upstreams"))
    , m_unreadableObjects(m_metrics.counter("nutmegtally_entry_unreadable_objects_total", "Objects of the platform that could not be read"))
    , m_callers(m_metrics.gauge("nutmegtally_entry_callers", "Open connections of callers"))
    , m_openRequests(m_metrics.gauge("nutmegtally_entry_open_requests", "Requests without a final answer"))
    , m_connectionsOpened(m_metrics.gauge("nutmegtally_entry_upstream_connections", "Connections opened to upstreams since the start"))
    , m_idleConnections(m_metrics.gauge("nutmegtally_entry_idle_upstream_connections", "Open connections to upstreams without a request"))
    , m_calls(m_metrics.gauge("nutmegtally_entry_calls", "Calls to the object API and other routers since the start"))
    , m_routers(m_metrics.gauge("nutmegtally_entry_routers", "Routers that share limits"))
    , m_upstreams(m_metrics.gauge("nutmegtally_entry_upstreams", "Upstreams that are listed"))
    , m_rulesVersion(m_metrics.gauge("nutmegtally_entry_rules_version", "Version of the traffic rules in force"))
    , m_droppedLines(m_metrics.gauge("nutmegtally_entry_log_lines_dropped", "Log lines dropped since the start"))
    , m_quarantinedParts(
          m_metrics.gauge("nutmegtally_entry_quarantined_parts", "Prompt parts that are quarantined because they crash engines"))
    , m_slowness(m_metrics.gaugeFamily("nutmegtally_entry_upstream_slowness", "Learned time of an upstream's answers over the usual time"))
    , m_requestSeconds {
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

void entry_metrics::objectUnreadable()
{
    m_unreadableObjects.Increment();
}

void entry_metrics::requestFinished(const exchange_report &report)
{
    const metric_labels labels {{"outcome", std::string(report.outcome)}, {"reason", std::string(report.reason)}};
    m_requests.Add(labels).Increment();
    m_requestSeconds[static_cast<std::size_t>(report.kind)]->Observe(std::chrono::duration<double>(report.took).count());
}

void entry_metrics::setLimits(const std::map<std::string, entry_core::limited_service> &services)
{
    for (auto &[name, service] : m_limitedServices) {
        service = {};
    }
    for (const auto &[name, service] : services) {
        m_limitedServices[name] = service;
    }
    for (const auto &[name, service] : m_limitedServices) {
        const metric_labels labels {{"service", name}};
        m_metrics.gauge("nutmegtally_entry_limited_upstreams", "Upstreams that state a limit of requests", labels)
            .Set(static_cast<double>(service.upstreams));
        m_metrics.gauge("nutmegtally_entry_stated_requests_per_second", "Sum of the limits that upstreams state", labels)
            .Set(service.perSecond);
    }
}

void entry_metrics::setBacklogs(const std::map<std::pair<std::string, int>, admission_order::backlog> &backlogs)
{
    for (auto &[place, backlog] : m_backlogs) {
        backlog = {};
    }
    for (const auto &[place, backlog] : backlogs) {
        m_backlogs[place] = backlog;
    }
    for (const auto &[place, backlog] : m_backlogs) {
        const metric_labels labels {{"service", place.first}, {"priority", std::to_string(place.second)}};
        m_metrics.gauge("nutmegtally_entry_backlog_requests", "Requests that wait for capacity at this router", labels)
            .Set(static_cast<double>(backlog.waiting));
        m_metrics.gauge("nutmegtally_entry_backlog_elsewhere", "Requests that wait for capacity at other routers", labels)
            .Set(static_cast<double>(backlog.elsewhere));
        m_metrics.gauge("nutmegtally_entry_backlog_cost", "Tokens or requests that wait for capacity at this router", labels)
            .Set(backlog.cost);
        m_metrics.gauge("nutmegtally_entry_backlog_longest_wait_seconds", "Time that the oldest of them waits", labels)
            .Set(std::chrono::duration<double>(backlog.longestWait).count());
    }
}

void entry_metrics::setRollouts(const std::vector<rollout_report> &rollouts)
{
    const auto setState = [this](const std::string &service, std::optional<rollout_state> state) {
        for (std::size_t i = 0; i < rolloutStateNames.size(); ++i) {
            const metric_labels labels {{"service", service}, {"state", std::string(rolloutStateNames[i])}};
            m_metrics.gauge("nutmegtally_entry_rollout_state", "1 for the state of a service's rollout", labels)
                .Set(state == static_cast<rollout_state>(i) ? 1 : 0);
        }
    };
    for (const std::string &service : m_rolloutServices) {
        setState(service, std::nullopt);
    }
    for (const rollout_report &rollout : rollouts) {
        m_rolloutServices.insert(rollout.service);
        setState(rollout.service, rollout.state);
        const auto set = [&](const char *version, const char *result, std::uint32_t answers) {
            m_metrics
                .gauge("nutmegtally_entry_rollout_answers", "Answers since the order, over all routers",
                       {{"service", rollout.service}, {"version", version}, {"result", result}})
                .Set(static_cast<double>(answers));
        };
        set("base", "all", rollout.base.answers);
        set("base", "bad", rollout.base.bad);
        set("base", "slow", rollout.base.slow);
        set("target", "all", rollout.targetCounts.answers);
        set("target", "bad", rollout.targetCounts.bad);
        set("target", "slow", rollout.targetCounts.slow);
    }
}

void entry_metrics::setSlowness(const std::vector<upstream_set::speed_change> &speeds)
{
    for (prometheus::Gauge *gauge : m_slowUpstreams) {
        m_slowness.Remove(gauge);
    }
    m_slowUpstreams.clear();
    for (const upstream_set::speed_change &each : speeds) {
        m_slowUpstreams.push_back(&m_slowness.Add({{"upstream", each.instance}}, each.factor));
    }
}

std::string entry_metrics::text(const entry_gauges &gauges)
{
    m_callers.Set(static_cast<double>(gauges.callers));
    m_openRequests.Set(static_cast<double>(gauges.openRequests));
    m_connectionsOpened.Set(static_cast<double>(gauges.connectionsOpened));
    m_idleConnections.Set(static_cast<double>(gauges.idleConnections));
    m_calls.Set(static_cast<double>(gauges.calls));
    m_routers.Set(static_cast<double>(gauges.routers));
    m_upstreams.Set(static_cast<double>(gauges.upstreams));
    m_rulesVersion.Set(static_cast<double>(gauges.rulesVersion));
    m_droppedLines.Set(static_cast<double>(gauges.droppedLines));
    m_quarantinedParts.Set(static_cast<double>(gauges.quarantinedParts));
    setLimits(gauges.limitedServices);
    setBacklogs(gauges.backlogs);
    setRollouts(gauges.rollouts);
    setSlowness(gauges.unusualSpeeds);
    return m_metrics.text();
}

} // namespace nutmegtally
