// Settings that connect a daemon to the fleet, and creation of its fleet source: platform and peers, or a fixed
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
    std::string objectsAddress; // host:port of the object API; empty without a platform
    std::string vmListAddress; // host:port of the VM list; empty for none
    std::vector<std::string> seedAddresses; // inner listeners of peers to contact at startup
    std::string advertisedAddress; // address at which peers reach the inner listener of this process
    std::string configurationFile; // used without a platform
};

/// @param document Settings that have passed the program's schema.
/// @param innerListen Address of the inner listener; advertised if the settings name no other address.
/// @throws error settingsInvalid unless the settings name exactly one of platform and configurationFile
platform_settings readPlatformSettings(const nlohmann::json &document, const std::string &innerListen);

/// @param self This process's record; its address and incarnation are set here.
/// @param upstreams Used without a platform.
/// @throws error settingsInvalid, configurationInvalid
std::unique_ptr<fleet_source> makeFleetSource(const platform_settings &settings, member_record self,
                                              const std::vector<std::string> &innerKeys, std::vector<upstream_info> upstreams);

} // namespace nutmegtally
