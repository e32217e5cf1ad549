// What routers tell each other several times a second: requests at each upstream, where prompts were sent, which upstreams
// leave. A router tells its own to the leads of its failure domain; they tell sums. A lost notice is replaced by the next one.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Whose requests a notice counts.
enum class load_scope : std::uint8_t {
    router, // the teller's own
    domain, // those of all routers of the teller's failure domain
    fleet, // those of all routers but the one that is told
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
    std::uint64_t upstream = 0; // hash of the instance's name; only its upper half is told
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillTokens = 0; // to be read for requests that have no first event
};

/// A prompt that was sent to an upstream.
struct prompt_location {
    std::uint64_t upstream = 0; // hash of the instance's name; only its upper half is told
    std::vector<std::uint64_t> parts; // ids of shared parts; an engine that keeps one has read all before it
};

/// An incarnation of an upstream that said in an answer that it leaves.
struct leaving_upstream {
    std::uint64_t upstream = 0; // hash of the instance's name
    std::uint64_t incarnation = 0;

    bool operator==(const leaving_upstream &) const = default;
};

struct load_update {
    std::string source; // what this notice replaces: the last one of the same teller; a router's name, or a domain's
    std::vector<upstream_usage> usage; // of upstreams with requests; the others have none
    std::vector<prompt_location> prompts {}; // since the notice before
    std::vector<leaving_upstream> leaving {}; // told for some seconds, so that a lost notice does not matter
    load_scope scope = load_scope::router;
};

} // namespace nutmegtally
