// Deflate for messages between routers: a configuration of a thousand routes shrinks to a tenth, which a narrow link
// carries in time.
#pragma once

#include <string>

namespace nutmegtally
{

/// Compresses long texts; short ones stay as they are behind a mark.
std::string compressMessage(const std::string &text);

/// @throws std::runtime_error if the bytes were not made by pack(), or stand for more than the limit.
std::string decompressMessage(const std::string &bytes);

} // namespace nutmegtally
