// Typed ids. An id is the 64-bit XXH3 hash of a name, so all processes derive the same id from the same configuration
// without a registry. The names themselves are in the configuration and in membership records.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace nutmegtally
{

/// Hash for ids and placement. Stable across processes and versions; never 0.
/// @param text Bytes to hash.
/// @param seed Gives independent hashes of the same text.
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

/// Combines two id values into one hash, for example of chat and engine for rendezvous hashing.
constexpr std::uint64_t mixHash(std::uint64_t first, std::uint64_t second)
{
    std::uint64_t x = first ^ (second + 0x9e3779b97f4a7c15ULL + (first << 6) + (first >> 2));
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    x ^= x >> 31;
    return x;
}

/// Id of an entity. @tparam Tag Distinguishes the types of ids; never instantiated.
template<typename Tag>
class basic_id
{
public:
    constexpr basic_id() = default;

    constexpr explicit basic_id(std::uint64_t value)
        : m_value(value)
    {
    }

    /// @param name Name as in the configuration. An empty name gives the invalid id.
    static basic_id fromName(std::string_view name)
    {
        return name.empty() ? basic_id() : basic_id(hashText(name));
    }

    constexpr bool isValid() const
    {
        return m_value != 0;
    }

    constexpr std::uint64_t value() const
    {
        return m_value;
    }

    constexpr auto operator<=>(const basic_id &) const = default;

private:
    std::uint64_t m_value = 0; // 0 is the invalid id
};

using upstream_id = basic_id<struct upstream_tag>;
using domain_id = basic_id<struct domain_tag>;
using region_id = basic_id<struct region_tag>;
using account_id = basic_id<struct account_tag>;
using class_id = basic_id<struct class_tag>;
using model_id = basic_id<struct model_tag>;
using service_id = basic_id<struct service_tag>;
using chat_id = basic_id<struct chat_tag>;
using vm_id = basic_id<struct vm_tag>;
using request_id = basic_id<struct request_tag>;

/// Formats as sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// @return The value, or 0 if @p text is not one to sixteen hexadecimal digits.
std::uint64_t fromHex(std::string_view text);

} // namespace nutmegtally

template<typename Tag>
struct std::hash<nutmegtally::basic_id<Tag>> {
    std::size_t operator()(nutmegtally::basic_id<Tag> id) const noexcept
    {
        return static_cast<std::size_t>(id.value());
    }
};
