// Deflate compression of messages between routers. A configuration of a thousand routes shrinks to a tenth, which even a link of low
// bandwidth carries in time.
#pragma once

#include <string>

namespace nutmegtally
{

/// Compresses a text. A short text is stored uncompressed. The first byte of the result says which.
std::string compressMessage(const std::string &text);

/// Reverses compressMessage().
/// @throws std::runtime_error if the bytes are invalid or the decompressed text would exceed 16 MB.
std::string decompressMessage(const std::string &bytes);

} // namespace nutmegtally
