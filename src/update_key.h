// Keys by which messages between routers name services, routes, accounts and upstreams: the upper half of the hash of the name.
#pragma once

#include <nutmegtally/ids.h>

#include <cstdint>
#include <string_view>

namespace nutmegtally
{

constexpr std::uint32_t updateKey(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash >> 32);
}

inline std::uint32_t updateKey(std::string_view name)
{
    return updateKey(hashText(name));
}

} // namespace nutmegtally
