// What a daemon knows of the fleet: the configuration in force and the upstreams. The static source reads both from
// settings; fleet_core replaces it with dissemination and membership.
#pragma once

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/work.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Receives changes. Called from any thread, one call at a time.
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

    /// Called with the version that a peer's message carried.
    virtual void observeConfigVersion(std::uint64_t version) = 0;

    /// Announces that this process takes no new work.
    virtual void announceLeaving() = 0;

    /// Answers an inner call of a peer.
    /// @param authorization Value of the inner call's authentication header.
    /// @throws error authenticationFailed; forbidden if this source takes no calls.
    virtual std::string handleRpc(const std::string &authorization, const std::string &body);
};

/// Fixed configuration and upstreams.
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
