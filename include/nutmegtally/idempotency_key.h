// Idempotency key of a booking: a UUID version 7. Its leading 48 bits are the time in milliseconds at which the caller
// created the key.
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

    /// Creates a key as callers do. Of the 128 random bits, 74 are used: the low 12 of @p randomHigh and the high 62 of
    /// @p randomLow.
    static idempotency_key make(wall_time created, std::uint64_t randomHigh, std::uint64_t randomLow);

    /// @return The key, or nothing if @p text is not a UUID version 7 in its canonical form with hyphens.
    static std::optional<idempotency_key> fromText(std::string_view text);

    /// Canonical form: lower-case with hyphens.
    std::string toText() const;

    /// Creation time by the caller's clock.
    wall_time created() const;

    /// Index of the key's ledger shard.
    /// @param shardCount Number of shards of the service, at least 1.
    std::uint32_t shard(std::uint32_t shardCount) const;

    constexpr auto operator<=>(const idempotency_key &) const = default;

private:
    constexpr idempotency_key(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    std::uint64_t m_high = 0; // 48 bits of time, 4 of version, 12 random
    std::uint64_t m_low = 0; // 2 bits of variant, 62 random
};

} // namespace nutmegtally
