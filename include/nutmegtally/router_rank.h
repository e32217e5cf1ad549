// Rank of routers for a shared duty, by rendezvous hashing: every router that knows the same ones agrees, and a change of
// routers moves few duties.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// True if a router is one of the first @p count for a duty.
/// @param self Hash of its name.
/// @param routers Hashes of the names of those that live; an empty list means that no other is known.
/// @param duty Hash of what the duty concerns.
bool isAmongFirst(std::uint64_t self, const std::vector<std::uint64_t> &routers, std::uint64_t duty, std::size_t count);

/// Hashes of names, as isAmongFirst() takes them.
std::vector<std::uint64_t> hashesOf(const std::vector<std::string> &names);

} // namespace nutmegtally
