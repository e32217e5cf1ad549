// How the end of an HTTP answer's body is marked.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace nutmegtally
{

enum class answer_framing : std::uint8_t {
    length, // Content-Length, or a status or method without a body
    chunked, // a last chunk
    connection, // nothing but the end of the connection, which an upstream that crashes causes as well
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(answer_framing::count)> answerFramingNames = {
    "length",
    "chunked",
    "connection",
};

constexpr std::string_view nameOf(answer_framing framing)
{
    return answerFramingNames[static_cast<std::size_t>(framing)];
}

} // namespace nutmegtally
