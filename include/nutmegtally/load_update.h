// Load updates, which routers send each other several times a second: requests in flight at each upstream, its speed, where prompts
// were sent, and which upstreams are leaving. A router sends its own load to the leaders of its failure domain; leaders send
// sums. A lost update is replaced by the next one.
#pragma once

#include <nutmegtally/admission_counts.h>
#include <nutmegtally/rollout.h>
#include <nutmegtally/time.h>
#include <nutmegtally/upstream_speed.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Whose requests a load update counts.
enum class load_scope : std::uint8_t {
    router, // the sender's own
    domain, // those of all routers of the sender's failure domain
    fleet, // those of all routers except the receiver
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(load_scope::count)> loadScopeNames = {
    "router",
    "domain",
    "fleet",
};

constexpr std::string_view nameOf(load_scope scope)
{
    return loadScopeNames[static_cast<std::size_t>(scope)];
}

/// Requests at one upstream.
struct upstream_usage {
    std::uint64_t upstream = 0; // hash of the instance's name; only its upper half is sent
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillTokens = 0; // of requests that have no first event yet
    slowness_figure slowness {}; // relative to the median of the service; its weight is 0 if it is not known
    std::uint32_t occupiedTokens = 0; // of its memory, by the requests; 0 if it is not known
};

/// Shared parts of a prompt that was sent to an upstream, which probably caches them.
struct prompt_location {
    std::uint64_t upstream = 0; // hash of the instance's name; only its upper half is sent
    std::vector<std::uint64_t> parts; // ids; an engine that caches a part has prefilled all parts before it
};

/// An incarnation of an upstream that announced in an answer that it is leaving.
struct leaving_upstream {
    std::uint64_t upstream = 0; // hash of the instance's name
    std::uint64_t incarnation = 0;

    bool operator==(const leaving_upstream &) const = default;
};

struct load_update {
    std::string source; // name of a router or a domain; an update replaces the last one of the same source
    std::vector<upstream_usage> usage; // upstreams that are not listed have no requests; some have only a speed
    std::vector<prompt_location> prompts {}; // since the last update
    std::vector<leaving_upstream> leaving {}; // repeated for some seconds, so that a lost update does not matter
    load_scope scope = load_scope::router;
    std::vector<rollout_counts> rollouts {}; // of each order in force
    admission_counts admission {}; // empty if no request waits and none was started lately
};

} // namespace nutmegtally
