// Parsing and formatting of UUID version 7 keys.
#include <nutmegtally/idempotency_key.h>
#include <nutmegtally/ids.h>

#include <cstddef>

namespace nutmegtally
{

namespace
{

constexpr std::size_t textLength = 36;
constexpr std::uint64_t versionSeven = 7;
constexpr std::uint64_t variantTwo = 2;

bool isHyphenPosition(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

/// @return Value of the digit, or 16 if @p c is not a hexadecimal digit.
unsigned hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    const char lower = static_cast<char>(c | 0x20);
    if (lower >= 'a' && lower <= 'f') {
        return static_cast<unsigned>(lower - 'a') + 10;
    }
    return 16;
}

} // namespace

idempotency_key idempotency_key::make(wall_time created, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    const auto milliseconds = static_cast<std::uint64_t>(created.time_since_epoch().count());
    return {milliseconds << 16 | versionSeven << 12 | (randomHigh & 0xfff), variantTwo << 62 | randomLow >> 2};
}

std::optional<idempotency_key> idempotency_key::fromText(std::string_view text)
{
    if (text.size() != textLength) {
        return {};
    }
    std::uint64_t halves[2] = {0, 0};
    std::size_t digits = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPosition(i)) {
            if (text[i] != '-') {
                return {};
            }
            continue;
        }
        const unsigned digit = hexDigit(text[i]);
        if (digit > 15) {
            return {};
        }
        std::uint64_t &half = halves[digits / 16];
        half = half << 4 | digit;
        ++digits;
    }
    const bool isVersionSeven = (halves[0] >> 12 & 0xf) == versionSeven && halves[1] >> 62 == variantTwo;
    if (!isVersionSeven) {
        return {};
    }
    return idempotency_key(halves[0], halves[1]);
}

std::string idempotency_key::toText() const
{
    const std::string digits = toHex(m_high) + toHex(m_low);
    return digits.substr(0, 8) + '-' + digits.substr(8, 4) + '-' + digits.substr(12, 4) + '-' + digits.substr(16, 4) + '-'
           + digits.substr(20);
}

wall_time idempotency_key::created() const
{
    return wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(m_high >> 16)));
}

std::uint32_t idempotency_key::shard(std::uint32_t shardCount) const
{
    return static_cast<std::uint32_t>(mixHash(m_high, m_low) % shardCount);
}

} // namespace nutmegtally
