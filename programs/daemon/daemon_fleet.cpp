#include "daemon/daemon_fleet.h"

#include "daemon/daemon_settings.h"

#include <nutmegtally/errors.h>

namespace nutmegtally
{

std::string fleet_source::handleRpc(const std::string &, const std::string &)
{
    throw error(error_code::forbidden, "this process has a fixed configuration");
}

static_fleet_source::static_fleet_source(fleet_config_ptr config, std::vector<upstream_info> upstreams)
    : m_config(std::move(config))
    , m_upstreams(std::move(upstreams))
{
}

void static_fleet_source::start(fleet_listener listener)
{
    listener.configChanged(m_config);
    for (const upstream_info &info : m_upstreams) {
        listener.upstreamChanged(info);
    }
}

void static_fleet_source::stop() { }

void static_fleet_source::observeConfigVersion(std::uint64_t) { }

void static_fleet_source::announceLeaving() { }

fleet_config_ptr readFleetConfig(const std::string &path)
{
    return std::make_shared<const fleet_config>(parseFleetConfig(readSettingsFile(path)));
}

} // namespace nutmegtally
