// Rank of routers for a shared duty, by rendezvous hashing: every router that knows the same ones agrees, and a change of
// routers moves few duties.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// True if @p self is one of the first @p count routers for a duty.
/// @param routers Those that live; an empty list means that no other is known.
/// @param duty Hash of what the duty concerns.
bool isAmongFirst(const std::string &self, const std::vector<std::string> &routers, std::uint64_t duty, std::size_t count);

} // namespace nutmegtally
