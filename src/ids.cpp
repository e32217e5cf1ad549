// Hash and hexadecimal form of ids.
#include <nutmegtally/ids.h>

#include <xxhash.h>

#include <charconv>

namespace nutmegtally
{

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(text.data(), text.size(), seed);
    return hash != 0 ? hash : 1;
}

std::string toHex(std::uint64_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = text.size(); i-- > 0; value >>= 4) {
        text[i] = digits[value & 0xf];
    }
    return text;
}

std::uint64_t fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    const bool complete = status == std::errc() && end == text.data() + text.size() && text.size() <= 16;
    return complete ? value : 0;
}

} // namespace nutmegtally
