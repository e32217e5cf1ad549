// Score of an upstream for a request: the delay until the first event that is expected there, with penalties, as a sum of
// named terms in milliseconds. Pure functions; upstream_set collects what they need.
#pragma once

#include "limits.h"

#include <nutmegtally/mechanism.h>
#include <nutmegtally/upstream_speed.h>

#include <cstdint>

namespace nutmegtally::detail
{

/// An engine and a prompt, as far as the score depends on them.
struct engine_option {
    std::uint64_t promptTokens = 0;
    std::uint64_t sharedTokens = 0; // of the prompt, in parts that other requests share
    std::uint64_t cachedTokens = 0; // of the prompt, that this engine has cached
    std::uint64_t fetchableTokens = 0; // of the prompt, that the best engine to fetch from has cached
    std::uint64_t pendingTokens = 0; // that the engine has to prefill for other requests
    double load = 0; // requests at the engine
    double memoryUse = 0; // expected occupied share of its token memory with this request
    unsigned preference = 0; // 0 for the first engine by the hash of the prompt's context, and so on
    engine_speed usual {limits::assumedPrefillTokensPerMs, limits::engineStepMsPerRequest}; // of the service
};

/// Terms of a score, in milliseconds of expected delay.
struct score_terms {
    double prefill = 0; // of this prompt, after what is already waiting
    double fetch = 0; // of cached parts from another engine
    double notPreferred = 0;
    double load = 0;
    double memory = 0;
    double crossDomain = 0;
    double failures = 0;
    double limited = 0;
    double learned = 0; // difference that the learned speed of this upstream makes; 0 where it is usual

    double total() const
    {
        return prefill + fetch + notPreferred + load + memory + crossDomain + failures + limited + learned;
    }
};

/// Terms that depend on the engine and the prompt.
score_terms scoreEngine(const engine_option &option, const mechanism_set &mechanisms, const learned_speed &speed = {},
                        bool isHeldBack = false);

/// An upstream that is not an engine, as far as the score depends on it.
struct service_option {
    double own = 0; // requests of this router there
    double others = 0; // requests of other routers there, by their last reports
    double othersMean = 0; // the same, mean over the upstreams of the service
    double unreported = 0; // requests that other routers have started there since those reports
};

/// Requests to expect at an upstream that is not an engine. What other routers reported counts as far as it is still running.
/// @param random From 0 to 1. Spreads what is not reported around its mean, so that routers with the same reports choose differently.
double expectedLoad(const service_option &option, double random);

/// Load term of an upstream that is not an engine.
/// @param load Requests there.
score_terms scoreService(double load, unsigned slots, const learned_speed &speed = {}, bool isHeldBack = false);

/// Learned term of an upstream, from its other terms. The work that waits or runs there takes longer by its factor. A new request is
/// charged for a slow upstream only: if all routers gained from a fast one while it is idle, they would all choose it at once.
/// @param own Terms of the new request itself: the prefill of its prompt, or one request of load.
/// @param queued Terms of what is there already.
double learnedTerm(const learned_speed &speed, double own, double queued, double load, bool isHeldBack);

} // namespace nutmegtally::detail
