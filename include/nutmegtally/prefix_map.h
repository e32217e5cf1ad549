// Index of the prompt parts that engines probably have in their prefix caches: parts of prompts that this or another router
// sent there. Engines evict parts without notice, so an entry expires.
#pragma once

#include <nutmegtally/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

/// One part of a prompt, the unit of prefix caching. Requests share parts; the last one belongs to the request or its chat.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

using prompt_parts = std::vector<prompt_part>;

std::uint64_t totalTokens(const prompt_parts &parts);

/// Ids of the parts that other prompts share: all but the last, which belongs to its request alone.
std::vector<std::uint64_t> sharedPartsOf(const prompt_parts &parts);

/// Key by which requests with the same shared context go to the same upstreams: the id of the last part but one, which is the
/// longest shared prefix, or of the only part.
/// @return 0 if there are no parts.
std::uint64_t affinityKeyOf(const prompt_parts &parts);

/// How many tokens at the start of a prompt an upstream has cached.
struct prefix_match {
    std::uint32_t upstream = 0;
    std::uint64_t tokens = 0;
};

class prefix_map
{
public:
    /// Records that a prompt with these parts was sent to an upstream.
    /// @return The parts to announce to other routers: new ones, and those last announced limits::prefixAnnounceInterval ago.
    std::vector<std::uint64_t> recordUse(const std::vector<std::uint64_t> &parts, std::uint32_t upstream, time_point now);

    /// Upstreams that probably have the start of a prompt cached, sorted by their numbers, with the longest match of each.
    std::vector<prefix_match> matches(const prompt_parts &parts, time_point now) const;

    /// Ids of the parts that each upstream probably has cached.
    std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> heldParts(time_point now) const;

    std::size_t size() const
    {
        return m_holders.size();
    }

private:
    struct holder {
        std::uint32_t upstream = 0;
        time_point usedAt;
        time_point announcedAt; // when recordUse() last returned it; its caller announces it to other routers
    };

    static bool isFresh(const holder &entry, time_point now);
    void evict(time_point now);

    std::unordered_map<std::uint64_t, std::vector<holder>> m_holders; // at most limits::maxPrefixParts parts
};

} // namespace nutmegtally
