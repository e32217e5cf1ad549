// Source of a daemon's view of the fleet: the configuration in force and the upstreams. static_fleet_source reads both
// from settings; fleet_driver obtains them by dissemination and membership.
#pragma once

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/work.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Callbacks for changes of the view. They are called from any thread, but never concurrently.
struct fleet_listener {
    std::function<void(fleet_config_ptr)> configChanged;
    std::function<void(const upstream_info &)> upstreamChanged;
};

class fleet_source
{
public:
    virtual ~fleet_source() = default;

    /// Reports the current state through the listener before it returns, and each change later.
    virtual void start(fleet_listener listener) = 0;

    /// No call to the listener is made after it returns.
    virtual void stop() = 0;

    /// Reports the configuration version that a peer's message carried; a newer one is then fetched.
    virtual void observeConfigVersion(std::uint64_t version) = 0;

    /// Announces to the fleet that this process accepts no new work.
    virtual void announceLeaving() = 0;

    /// Handles a JSON-RPC call of a peer.
    /// @param authorization Value of rpcAuthHeader.
    /// @return JSON-RPC answer.
    /// @throws error authenticationFailed; forbidden if this source takes no calls.
    virtual std::string handleRpc(const std::string &authorization, const std::string &body);
};

/// Fixed configuration and upstreams; refuses calls of peers.
class static_fleet_source : public fleet_source
{
public:
    static_fleet_source(fleet_config_ptr config, std::vector<upstream_info> upstreams);

    void start(fleet_listener listener) override;
    void stop() override;
    void observeConfigVersion(std::uint64_t version) override;
    void announceLeaving() override;

private:
    fleet_config_ptr m_config;
    std::vector<upstream_info> m_upstreams;
};

/// @throws error settingsInvalid if the file cannot be read, configurationInvalid if it has faults.
fleet_config_ptr readFleetConfig(const std::string &path);

} // namespace nutmegtally
