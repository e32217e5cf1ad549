#include "entry/message_compression.h"

#include <zlib.h>

#include <cstdint>
#include <stdexcept>

namespace nutmegtally
{

namespace
{

constexpr char uncompressedTag = 'p';
constexpr char deflatedTag = 'z';
constexpr std::size_t minCompressedBytes = 2048; // shorter texts fit into one or two packets anyway
constexpr std::size_t maxMessageBytes = 16'000'000; // decompressed; all lists of a large fleet are smaller, and a VM has 160 MB
constexpr std::size_t lengthFieldBytes = 8; // decompressed size before the compressed bytes, little-endian

} // namespace

std::string compressMessage(const std::string &text)
{
    if (text.size() < minCompressedBytes) {
        return uncompressedTag + text;
    }
    uLongf compressedSize = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(1 + lengthFieldBytes + compressedSize, deflatedTag);
    for (std::size_t i = 0; i < lengthFieldBytes; ++i) {
        bytes[1 + i] = static_cast<char>((text.size() >> (8 * i)) & 0xff);
    }
    auto *target = reinterpret_cast<Bytef *>(bytes.data() + 1 + lengthFieldBytes);
    const auto *source = reinterpret_cast<const Bytef *>(text.data());
    if (compress2(target, &compressedSize, source, static_cast<uLong>(text.size()), Z_BEST_SPEED) != Z_OK) {
        return uncompressedTag + text;
    }
    bytes.resize(1 + lengthFieldBytes + compressedSize);
    return bytes;
}

std::string decompressMessage(const std::string &bytes)
{
    if (!bytes.empty() && bytes.front() == uncompressedTag) {
        return bytes.substr(1);
    }
    if (bytes.size() < 1 + lengthFieldBytes || bytes.front() != deflatedTag) {
        throw std::runtime_error("not a packed message");
    }
    std::uint64_t size = 0;
    for (std::size_t i = 0; i < lengthFieldBytes; ++i) {
        size |= std::uint64_t(static_cast<unsigned char>(bytes[1 + i])) << (8 * i);
    }
    if (size > maxMessageBytes) {
        throw std::runtime_error("a packed message is longer than allowed");
    }
    std::string text(size, '\0');
    uLongf decompressedSize = static_cast<uLongf>(size);
    const auto *source = reinterpret_cast<const Bytef *>(bytes.data() + 1 + lengthFieldBytes);
    const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &decompressedSize, source,
                                  static_cast<uLong>(bytes.size() - 1 - lengthFieldBytes));
    if (status != Z_OK || decompressedSize != size) {
        throw std::runtime_error("a packed message is damaged");
    }
    return text;
}

} // namespace nutmegtally
