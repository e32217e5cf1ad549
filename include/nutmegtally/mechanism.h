// Mechanisms of the routers' decisions that can be switched off to measure what each of them is worth. Bounds that protect
// upstreams (cold request rate, retry budget, drains, pauses that an upstream asked for) have no switch.
#pragma once

#include <algorithm>
#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

enum class mechanism : std::uint8_t {
    cachedPrefix, // placement prefers engines that have the start of a prompt cached
    preferredEngines, // a context that nobody has cached goes to engines chosen by hash
    prefixFetch, // an engine fetches cached parts from another one
    promptAnnouncements, // routers tell each other which engine caches a prompt
    cacheQueries, // a router that has just started asks engines for their cached parts
    peerLoad, // load updates of other routers
    reportedLoad, // load that upstreams report in answers
    loadBound, // no engine above a multiple of the mean load
    randomSpread, // routers with the same load updates spread over nearly equal engines
    crossDomainPenalty, // upstreams of the own failure domain are preferred
    failurePenalty, // upstreams that fail more often than others are avoided
    ejection, // an upstream without answers is not chosen for some time
    queueing, // a request without room waits before it is refused
    queueOrder, // waiting requests are served by priority
    overdueResend, // an idempotent request without an answer is sent to another upstream
    streamResumption, // a broken stream goes on at another engine
    requestPriority, // engines are told the priority of requests
    promptQuarantine, // prompt parts that crash engines are held back
    admissionOrder, // arrivals wait behind more urgent requests, accounts get fair shares, and refusals state the expected wait
    learnedSpeed, // placement uses the speed of upstreams that was learned from their answers, and the memory that routers report
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(mechanism::count)> mechanismNames = {
    "cached_prefix",     "preferred_engines", "prefix_fetch",      "prompt_announcements", "cache_queries",
    "peer_load",         "reported_load",     "load_bound",        "random_spread",        "cross_domain_penalty",
    "failure_penalty",   "ejection",          "queueing",          "queue_order",          "overdue_resend",
    "stream_resumption", "request_priority",  "prompt_quarantine", "admission_order",      "learned_speed",
};

constexpr std::string_view nameOf(mechanism each)
{
    return mechanismNames[static_cast<std::size_t>(each)];
}

/// @return Nothing if no mechanism has this name.
constexpr std::optional<mechanism> mechanismFromName(std::string_view name)
{
    const auto *const found = std::find(mechanismNames.begin(), mechanismNames.end(), name);
    if (found == mechanismNames.end()) {
        return std::nullopt;
    }
    return static_cast<mechanism>(found - mechanismNames.begin());
}

/// The mechanisms in use; all of them by default.
class mechanism_set
{
public:
    bool has(mechanism each) const
    {
        return !m_disabled[static_cast<std::size_t>(each)];
    }

    void disable(mechanism each)
    {
        m_disabled.set(static_cast<std::size_t>(each));
    }

private:
    std::bitset<static_cast<std::size_t>(mechanism::count)> m_disabled;
};

/// Names of the mechanisms that are not in use, separated by commas.
inline std::string disabledNames(const mechanism_set &mechanisms)
{
    std::string names;
    for (std::size_t i = 0; i < mechanismNames.size(); ++i) {
        if (!mechanisms.has(static_cast<mechanism>(i))) {
            names.append(names.empty() ? "" : ",").append(mechanismNames[i]);
        }
    }
    return names;
}

} // namespace nutmegtally
