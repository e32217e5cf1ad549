// What this router knows of the prompt parts that engines keep: parts of prompts that it sent and got answers for.
// Engines evict without telling it, so an entry only lasts for a time.
#pragma once

#include <nutmegtally/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

/// One part of a prompt. Requests share parts; the last one belongs to the request itself or its chat.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

using prompt_parts = std::vector<prompt_part>;

std::uint64_t totalTokens(const prompt_parts &parts);

/// The part that requests about the same subject share: the last but one, or the only one.
/// @return 0 if there are no parts.
std::uint64_t affinityKeyOf(const prompt_parts &parts);

/// How much of a prompt an upstream keeps.
struct prefix_match {
    std::uint32_t upstream = 0;
    std::uint64_t tokens = 0;
};

class prefix_map
{
public:
    /// Records that an upstream reads a prompt.
    /// @return The parts of which other routers should be told: new ones, and those that they were told of long ago.
    std::vector<std::uint64_t> recordUse(const std::vector<std::uint64_t> &parts, std::uint32_t upstream, time_point now);

    /// Upstreams that probably keep the start of a prompt, in the order of their numbers, and how many tokens of it.
    std::vector<prefix_match> matches(const prompt_parts &parts, time_point now) const;

    /// Ids of the parts that each upstream probably keeps.
    std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> heldParts(time_point now) const;

    std::size_t size() const
    {
        return m_holders.size();
    }

private:
    struct holder {
        std::uint32_t upstream = 0;
        time_point usedAt;
        time_point announcedAt; // when note() last returned it; whoever calls note() tells the others
    };

    static bool isFresh(const holder &entry, time_point now);
    void evict(time_point now);

    std::unordered_map<std::uint64_t, std::vector<holder>> m_holders; // at most limits::maxPrefixParts parts
};

} // namespace nutmegtally
