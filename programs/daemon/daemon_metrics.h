// Metrics of a daemon.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace nutmegtally
{

using metric_labels = std::map<std::string, std::string>;

/// Registry of one daemon. docs/metrics.md lists every family.
class daemon_metrics
{
public:
    daemon_metrics();

    prometheus::Counter &counter(const std::string &name, const std::string &help, const metric_labels &labels = {});
    /// For counters whose labels are not known at startup.
    prometheus::Family<prometheus::Counter> &counterFamily(const std::string &name, const std::string &help);
    /// For gauges that come and go.
    prometheus::Family<prometheus::Gauge> &gaugeFamily(const std::string &name, const std::string &help);
    prometheus::Gauge &gauge(const std::string &name, const std::string &help, const metric_labels &labels = {});

    /// Histogram in seconds with buckets from 1 ms to 60 s.
    prometheus::Histogram &seconds(const std::string &name, const std::string &help, const metric_labels &labels = {});

    /// Prometheus text format, for a scrape.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace nutmegtally
