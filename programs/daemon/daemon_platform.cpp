#include "daemon/daemon_platform.h"

#include "daemon/daemon_access.h"
#include "daemon/daemon_fleet_driver.h"
#include "daemon/daemon_options.h"

#include <nutmegtally/errors.h>

#include <chrono>

namespace nutmegtally
{

platform_settings readPlatformSettings(const nlohmann::json &document, const std::string &innerListen)
{
    platform_settings settings;
    readMember(document, "configurationFile", settings.configurationFile);
    const nlohmann::json platform = section(document, "platform");
    readMember(platform, "objects", settings.objectsAddress);
    readMember(platform, "vms", settings.vmListAddress);
    readMember(platform, "seeds", settings.seedAddresses);
    settings.advertisedAddress = platform.value("advertise", innerListen);
    if (settings.objectsAddress.empty() == settings.configurationFile.empty()) {
        throw error(error_code::settingsInvalid, "set exactly one of /platform and /configurationFile");
    }
    const bool hasPort
        = !settings.advertisedAddress.empty() && settings.advertisedAddress.substr(settings.advertisedAddress.rfind(':') + 1) != "0";
    if (!settings.objectsAddress.empty() && !hasPort) {
        throw error(error_code::settingsInvalid, "/platform/advertise or a fixed port of the inner listener is needed");
    }
    return settings;
}

std::unique_ptr<fleet_source> makeFleetSource(const platform_settings &settings, member_record self,
                                              const std::vector<std::string> &innerKeys, std::vector<upstream_info> upstreams)
{
    if (settings.objectsAddress.empty()) {
        return std::make_unique<static_fleet_source>(readFleetConfig(settings.configurationFile), std::move(upstreams));
    }
    // The incarnation must grow over restarts. It is the wall time, because a VM has no disk to keep a counter on.
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    self.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    self.vm = vm_id::fromName(self.name);
    self.address = settings.advertisedAddress;
    fleet_driver_options options;
    options.fleet.seed = randomId();
    options.fleet.self = std::move(self);
    options.fleet.seedAddresses = settings.seedAddresses;
    options.objectsAddress = settings.objectsAddress;
    options.vmListAddress = settings.vmListAddress;
    options.innerKeys = innerKeys;
    return std::make_unique<fleet_driver>(std::move(options));
}

} // namespace nutmegtally
