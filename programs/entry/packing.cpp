#include "entry/packing.h"

#include <zlib.h>

#include <cstdint>
#include <stdexcept>

namespace nutmegtally
{

namespace
{

constexpr char plainMark = 'p';
constexpr char deflatedMark = 'z';
constexpr std::size_t worthPacking = 2048; // bytes; shorter texts fit one or two packets anyway
constexpr std::size_t mostBytes = 16'000'000; // of an unpacked message; all lists of a large fleet are less, and VMs have 160 MB
constexpr std::size_t sizeBytes = 8; // of the length in front of the compressed bytes

} // namespace

std::string pack(const std::string &text)
{
    if (text.size() < worthPacking) {
        return plainMark + text;
    }
    uLongf packed = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(1 + sizeBytes + packed, deflatedMark);
    for (std::size_t i = 0; i < sizeBytes; ++i) {
        bytes[1 + i] = static_cast<char>((text.size() >> (8 * i)) & 0xff);
    }
    auto *target = reinterpret_cast<Bytef *>(bytes.data() + 1 + sizeBytes);
    const auto *source = reinterpret_cast<const Bytef *>(text.data());
    if (compress2(target, &packed, source, static_cast<uLong>(text.size()), Z_BEST_SPEED) != Z_OK) {
        return plainMark + text;
    }
    bytes.resize(1 + sizeBytes + packed);
    return bytes;
}

std::string unpack(const std::string &bytes)
{
    if (!bytes.empty() && bytes.front() == plainMark) {
        return bytes.substr(1);
    }
    if (bytes.size() < 1 + sizeBytes || bytes.front() != deflatedMark) {
        throw std::runtime_error("not a packed message");
    }
    std::uint64_t size = 0;
    for (std::size_t i = 0; i < sizeBytes; ++i) {
        size |= std::uint64_t(static_cast<unsigned char>(bytes[1 + i])) << (8 * i);
    }
    if (size > mostBytes) {
        throw std::runtime_error("a packed message is longer than allowed");
    }
    std::string text(size, '\0');
    uLongf unpacked = static_cast<uLongf>(size);
    const auto *source = reinterpret_cast<const Bytef *>(bytes.data() + 1 + sizeBytes);
    const int outcome
        = uncompress(reinterpret_cast<Bytef *>(text.data()), &unpacked, source, static_cast<uLong>(bytes.size() - 1 - sizeBytes));
    if (outcome != Z_OK || unpacked != size) {
        throw std::runtime_error("a packed message is damaged");
    }
    return text;
}

} // namespace nutmegtally
