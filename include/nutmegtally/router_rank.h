// Assignment of duties to routers by rendezvous hashing: routers that know the same set of routers agree without
// coordination, and a change of the set moves few duties.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Number of routers that come before a router in the ranking for a duty; parameters as for isAmongFirst().
std::size_t rankAmong(std::uint64_t self, const std::vector<std::uint64_t> &routers, std::uint64_t duty);

/// True if a router is one of the first @p count in the ranking for a duty.
/// @param self Hash of the router's name.
/// @param routers Hashes of the names of the live routers; empty if no other is known.
/// @param duty Hash that identifies the duty, such as the hash of an upstream's name.
bool isAmongFirst(std::uint64_t self, const std::vector<std::uint64_t> &routers, std::uint64_t duty, std::size_t count);

/// Hashes of names, as isAmongFirst() takes them.
std::vector<std::uint64_t> hashesOf(const std::vector<std::string> &names);

} // namespace nutmegtally
