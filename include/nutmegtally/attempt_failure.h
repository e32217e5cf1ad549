// Ways in which a request on a connection ends without a complete answer.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace nutmegtally
{

enum class attempt_failure : std::uint8_t {
    unreachable, // no byte of the request was sent
    lost, // the upstream ended the connection before the answer was complete
    silent, // the upstream no longer acknowledges what it is sent
    damaged, // the bytes are no valid answer, or the answer belongs to another request
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(attempt_failure::count)> attemptFailureNames = {
    "unreachable",
    "lost",
    "silent",
    "damaged",
};

constexpr std::string_view nameOf(attempt_failure failure)
{
    return attemptFailureNames[static_cast<std::size_t>(failure)];
}

} // namespace nutmegtally
