#include "limits.h"

#include <nutmegtally/prefix_map.h>

#include <algorithm>

namespace nutmegtally
{

std::uint64_t totalTokens(const prompt_parts &parts)
{
    std::uint64_t sum = 0;
    for (const prompt_part &part : parts) {
        sum += part.tokens;
    }
    return sum;
}

std::vector<std::uint64_t> sharedPartsOf(const prompt_parts &parts)
{
    std::vector<std::uint64_t> shared;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        shared.push_back(parts[i].id);
    }
    return shared;
}

std::uint64_t affinityKeyOf(const prompt_parts &parts)
{
    if (parts.empty()) {
        return 0;
    }
    return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

bool prefix_map::isFresh(const holder &entry, time_point now)
{
    return now - entry.usedAt < limits::prefixLifetime;
}

std::vector<std::uint64_t> prefix_map::recordUse(const std::vector<std::uint64_t> &parts, std::uint32_t upstream, time_point now)
{
    std::vector<std::uint64_t> toAnnounce;
    if (m_holders.size() + parts.size() > limits::maxPrefixParts) {
        evict(now);
    }
    for (const std::uint64_t part : parts) {
        std::vector<holder> &holders = m_holders[part];
        const auto known = std::find_if(holders.begin(), holders.end(), [upstream](const holder &h) { return h.upstream == upstream; });
        if (known != holders.end()) {
            known->usedAt = now;
            if (now - known->announcedAt >= limits::prefixAnnounceInterval) {
                known->announcedAt = now;
                toAnnounce.push_back(part);
            }
            continue;
        }
        toAnnounce.push_back(part);
        std::erase_if(holders, [now](const holder &h) { return !isFresh(h, now); });
        if (holders.size() >= limits::maxHoldersPerPart) {
            // A part at this many engines is the start of all prompts; it does not matter which of them are stored.
            *std::min_element(holders.begin(), holders.end(), [](const holder &a, const holder &b) { return a.usedAt < b.usedAt; })
                = {upstream, now, now};
            continue;
        }
        holders.push_back({upstream, now, now});
    }
    return toAnnounce;
}

std::vector<prefix_match> prefix_map::matches(const prompt_parts &parts, time_point now) const
{
    std::vector<prefix_match> matches;
    std::uint64_t prefixTokens = 0;
    for (const prompt_part &part : parts) {
        prefixTokens += part.tokens;
        const auto found = m_holders.find(part.id);
        if (found == m_holders.end()) {
            continue;
        }
        for (const holder &each : found->second) {
            if (isFresh(each, now)) {
                matches.push_back({each.upstream, prefixTokens}); // an engine that caches a part has prefilled all parts before it
            }
        }
    }
    // Keeps the longest match of each upstream.
    std::sort(matches.begin(), matches.end(), [](const prefix_match &a, const prefix_match &b) {
        return a.upstream != b.upstream ? a.upstream < b.upstream : a.tokens > b.tokens;
    });
    const auto end = std::unique(matches.begin(), matches.end(),
                                 [](const prefix_match &a, const prefix_match &b) { return a.upstream == b.upstream; });
    matches.erase(end, matches.end());
    return matches;
}

std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> prefix_map::heldParts(time_point now) const
{
    std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> parts;
    for (const auto &[id, holders] : m_holders) {
        for (const holder &each : holders) {
            if (isFresh(each, now)) {
                parts[each.upstream].push_back(id);
            }
        }
    }
    return parts;
}

void prefix_map::evict(time_point now)
{
    // Halves the lifetime until half of the map is free, which evicts the oldest entries first without a sorted index.
    for (duration lifetime = limits::prefixLifetime; m_holders.size() * 2 > limits::maxPrefixParts && lifetime.count() > 0; lifetime /= 2) {
        for (auto it = m_holders.begin(); it != m_holders.end();) {
            std::erase_if(it->second, [now, lifetime](const holder &h) { return now - h.usedAt >= lifetime; });
            it = it->second.empty() ? m_holders.erase(it) : std::next(it);
        }
    }
}

} // namespace nutmegtally
