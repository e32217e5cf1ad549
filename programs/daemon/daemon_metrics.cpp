#include "daemon/daemon_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace nutmegtally
{

namespace
{

const prometheus::Histogram::BucketBoundaries secondsBuckets
    = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.57, 1, 2.5, 5, 10, 30, 60};

} // namespace

daemon_metrics::daemon_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter &daemon_metrics::counter(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Family<prometheus::Counter> &daemon_metrics::counterFamily(const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry);
}

prometheus::Family<prometheus::Gauge> &daemon_metrics::gaugeFamily(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
}

prometheus::Gauge &daemon_metrics::gauge(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram &daemon_metrics::seconds(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add(labels, secondsBuckets);
}

std::string daemon_metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_registry->Collect());
    return out.str();
}

} // namespace nutmegtally
