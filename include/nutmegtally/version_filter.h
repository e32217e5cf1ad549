// Which upstreams of a service a request may use, by the version of their software.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

struct version_filter {
    std::vector<std::string> versions; // allowed, or excluded
    bool excludes = false; // the versions are those that are not allowed
    std::vector<std::uint64_t> instances; // hashes of the only instances that are allowed; empty for no such restriction
    bool endsRetries = false; // the next filter does not apply because all these upstreams were tried, only if none is eligible
    bool yieldsWhenFull = false; // the next filter also applies if these upstreams have no room, not only if none is eligible

    /// @param instance Hash of the instance's name.
    bool allows(std::string_view version, std::uint64_t instance) const
    {
        const bool isNamed = std::find(versions.begin(), versions.end(), version) != versions.end();
        return isNamed != excludes && (instances.empty() || std::find(instances.begin(), instances.end(), instance) != instances.end());
    }
};

/// Filters in order of preference. Without any, all upstreams are allowed.
using version_filters = std::vector<version_filter>;

} // namespace nutmegtally
