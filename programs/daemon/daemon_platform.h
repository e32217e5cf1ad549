// Settings of a daemon's part in the fleet, and the choice of its fleet source: the platform and peers, or a fixed
// configuration file.
#pragma once

#include "daemon/daemon_fleet.h"

#include <nutmegtally/membership.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace nutmegtally
{

struct platform_settings {
    std::string objectsAddress; // host:port of the object API; empty: no platform
    std::string vmListAddress; // host:port of the VM list; empty for none
    std::vector<std::string> seedAddresses; // inner listeners of peers
    std::string advertisedAddress; // inner listener of this process as peers reach it
    std::string configurationFile; // used without a platform
};

/// @param document Passed the program's schema.
/// @param innerListen Advertised if the settings name no other address.
/// @throws error settingsInvalid unless the settings name exactly one of platform and configurationFile
platform_settings readPlatformSettings(const nlohmann::json &document, const std::string &innerListen);

/// @param self This process's record; its address and incarnation are set here.
/// @param upstreams Used without a platform.
/// @throws error settingsInvalid, configurationInvalid
std::unique_ptr<fleet_source> makeFleetSource(const platform_settings &settings, member_record self,
                                              const std::vector<std::string> &innerKeys, std::vector<upstream_info> upstreams);

} // namespace nutmegtally
