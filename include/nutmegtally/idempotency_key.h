// Idempotency keys of bookings: UUID version 7, whose leading 48 bits are the time at which the caller made the key.
#pragma once

#include <nutmegtally/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

class idempotency_key
{
public:
    constexpr idempotency_key() = default;

    /// Makes a key as callers do. @param random Only 74 of the 128 bits are used.
    static idempotency_key make(wall_time created, std::uint64_t randomHigh, std::uint64_t randomLow);

    /// @return The key, or nothing if @p text is not a UUID version 7 in its usual form with hyphens.
    static std::optional<idempotency_key> fromText(std::string_view text);

    /// Lower-case with hyphens.
    std::string toText() const;

    wall_time created() const;

    /// @param shards Number of shards of the service, at least 1.
    std::uint32_t shard(std::uint32_t shardCount) const;

    constexpr auto operator<=>(const idempotency_key &) const = default;

private:
    constexpr idempotency_key(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    std::uint64_t m_high = 0; // time, version, 12 random bits
    std::uint64_t m_low = 0; // variant, 62 random bits
};

} // namespace nutmegtally
