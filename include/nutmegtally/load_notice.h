// What routers tell each other several times a second: their requests at each upstream and where they sent prompts.
// A lost notice is replaced by the next one.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// One router's requests at one upstream.
struct upstream_share {
    std::uint64_t upstream = 0; // hash of the instance's name
    std::uint32_t inFlight = 0;
    std::uint32_t pendingTokens = 0; // prompt tokens of requests that have no first event
};

/// A prompt that was sent to an upstream.
struct prompt_notice {
    std::uint64_t upstream = 0; // hash of the instance's name
    std::vector<std::uint64_t> parts; // ids of the shared parts, in order
};

struct load_notice {
    std::string router;
    std::vector<upstream_share> shares; // of upstreams with requests; the others have none
    std::vector<prompt_notice> prompts; // since the notice before
};

} // namespace nutmegtally
