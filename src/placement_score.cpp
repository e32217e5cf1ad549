#include "placement_score.h"

#include <algorithm>
#include <cmath>

namespace nutmegtally::detail
{

double learnedTerm(const learned_speed &speed, double own, double queued, double load, bool isHeldBack)
{
    const double overUsual = std::max(0.0, load + 1 - speed.usualLoad) / speed.usualLoad;
    return std::max(0.0, speed.factor - 1) * own + (speed.factor - 1) * queued + limits::overUsualLoadMs * overUsual
           + (isHeldBack ? limits::unprovenPenaltyMs : 0);
}

score_terms scoreEngine(const engine_option &option, const mechanism_set &mechanisms, const learned_speed &speed, bool isHeldBack)
{
    const std::uint64_t fetched = option.fetchableTokens > option.cachedTokens ? option.fetchableTokens - option.cachedTokens : 0;
    const std::uint64_t known = std::max(option.cachedTokens, option.fetchableTokens);
    const std::uint64_t prefill = option.promptTokens - std::min(option.promptTokens, known);
    score_terms terms;
    terms.prefill = static_cast<double>(prefill + option.pendingTokens) / option.usual.prefillTokensPerMs;
    terms.fetch = static_cast<double>(std::min(fetched, option.sharedTokens)) * limits::fetchCostMsPerToken;
    // All routers compute the same preference, so they agree on where a new context goes before they know of each other's choice.
    // A cached start that all prompts share does not change that: the few engines that cache it first would get every new context.
    const bool isNewContext = option.fetchableTokens < option.sharedTokens;
    if (isNewContext && option.preference >= limits::preferredEngines && mechanisms.has(mechanism::preferredEngines)) {
        terms.notPreferred = limits::nonPreferredPenaltyMs;
    }
    terms.load = option.load * option.usual.stepMsPerRequest;
    terms.memory = 1000.0 * std::max(0.0, option.memoryUse - limits::engineFillLimit);
    const double own = static_cast<double>(prefill) / option.usual.prefillTokensPerMs;
    const double queued = static_cast<double>(option.pendingTokens) / option.usual.prefillTokensPerMs + terms.load;
    terms.learned = learnedTerm(speed, own, queued, option.load, isHeldBack);
    return terms;
}

double expectedLoad(const service_option &option, double random)
{
    // By Little's law requests last as long as it takes to start as many as run at a time.
    const double stillRunning = option.unreported <= 0 ? 1.0 : option.others > 0 ? std::exp(-option.unreported / option.others) : 0.0;
    return option.own + stillRunning * option.others + (1.0 - stillRunning) * 2.0 * random * option.othersMean;
}

score_terms scoreService(double load, unsigned slots, const learned_speed &speed, bool isHeldBack)
{
    const double capacity = std::max(1U, slots);
    // A request beyond the slots waits until another one ends.
    const double waiting = std::max(0.0, load + 1 - capacity);
    score_terms terms;
    terms.load = 10.0 * load / capacity + 60.0 * waiting / capacity;
    terms.learned = learnedTerm(speed, 10.0 / capacity, terms.load, load, isHeldBack);
    return terms;
}

} // namespace nutmegtally::detail
