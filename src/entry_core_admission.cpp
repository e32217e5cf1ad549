// The part of entry_core that decides on the admission of requests: which request may be tried now, which one waits, and which one is
// refused, with the time at which its caller should come back.
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

constexpr std::uint64_t returnSpreadSeed = 2; // so that the spread does not depend on the choice of the service

refusal_reason reasonFor(placement_outcome outcome)
{
    switch (outcome) {
    case placement_outcome::noneListed:
        return refusal_reason::noUpstream;
    case placement_outcome::quarantined:
    case placement_outcome::onTrial:
        return refusal_reason::quarantined;
    default:
        return refusal_reason::noRoom;
    }
}

std::optional<duration> usualRetryAfter(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::noRules:
    case refusal_reason::noUpstream:
        return limits::retryAfterNoUpstream;
    case refusal_reason::noRoom:
        return limits::retryAfterNoRoom;
    case refusal_reason::upstreamRefused:
        return limits::retryAfterRefused;
    case refusal_reason::draining:
        return limits::retryAfterDraining;
    default:
        return std::nullopt;
    }
}

bool isWantOfCapacity(placement_outcome outcome)
{
    return outcome == placement_outcome::allFull || outcome == placement_outcome::allCold || outcome == placement_outcome::awaitsTurn;
}

} // namespace

admission_order::scheme entry_core::schemeFor(const mechanism_set &mechanisms)
{
    if (!mechanisms.has(mechanism::queueOrder)) {
        return admission_order::scheme::arrival;
    }
    const bool isByShare = mechanisms.has(mechanism::queueing) && mechanisms.has(mechanism::admissionOrder);
    return isByShare ? admission_order::scheme::share : admission_order::scheme::priority;
}

admission_request entry_core::admissionOf(exchange_id id, const exchange &work)
{
    const bool hasPrompt = work.route->carriesPrompt;
    admission_request request;
    request.id = id;
    request.service = work.service;
    request.account = work.account;
    request.priority = work.priority;
    const std::uint64_t lastPart = hasPrompt && !work.request.parts.empty() ? work.request.parts.back().id : 0;
    request.caller = mixHash(hashText(work.route->name), lastPart);
    request.cost = hasPrompt ? static_cast<double>(work.request.promptTokens + work.request.outputTokens) : 1;
    request.isReturned = work.isReturned;
    request.heldUntil = work.heldUntil;
    request.waitsUntil = work.queueUntil;
    return request;
}

void entry_core::noteArrival(time_point now, exchange_id id, exchange &work)
{
    const auto share = std::chrono::duration<double, duration::period>(work.queueUntil - now) * limits::holdBackWaitShare;
    work.heldUntil = now + std::min(limits::maxHoldBack, std::chrono::duration_cast<duration>(share));
    work.isReturned = m_order.isByShare() && m_order.takeReturn(admissionOf(id, work), now);
}

void entry_core::noteAdmission(time_point now, exchange_id id, const exchange &work)
{
    m_order.remove(id);
    const double tokens = static_cast<double>(work.prefillTokens + work.request.outputTokens);
    m_order.recordStart(admissionOf(id, work), work.route->carriesPrompt ? tokens : 1, now - work.arrivedAt, now);
}

bool entry_core::isTurnOf(time_point now, exchange_id id, exchange &work) const
{
    const admission_turn turn = work.sends == 0 ? m_order.turnOf(admissionOf(id, work), now) : admission_turn::now;
    if (turn != admission_turn::now) {
        work.lastPlacement = placement_outcome::awaitsTurn;
    }
    work.isHeldBack = turn == admission_turn::heldBack;
    return turn == admission_turn::now;
}

void entry_core::reportAdmission(time_point now, std::vector<effect> &effects)
{
    for (log_record &line : m_order.tick(now)) {
        effects.push_back(std::move(line));
    }
}

std::optional<wait_reason> entry_core::waitReason(time_point now, const exchange &work) const
{
    const auto otherIf = [](bool waits) { return waits ? std::optional(wait_reason::other) : std::nullopt; };
    switch (work.lastPlacement) {
    case placement_outcome::allFull:
    case placement_outcome::allCold:
        return wait_reason::capacity;
    case placement_outcome::awaitsTurn:
        return work.isHeldBack ? wait_reason::elsewhere : wait_reason::capacity;
    case placement_outcome::unverified:
    case placement_outcome::cachesUnknown:
        return wait_reason::other;
    case placement_outcome::allPaused:
        return otherIf(work.pausedUntil < work.queueUntil);
    case placement_outcome::allLimited:
        return isPermitLikely(now, work) ? std::optional(wait_reason::limited) : std::nullopt;
    case placement_outcome::onTrial:
        return otherIf(now + work.heldFor < work.queueUntil);
    default:
        return std::nullopt;
    }
}

void entry_core::placeOrWait(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects)
{
    if (work.timeoutAt - now < limits::minAttemptTime) {
        refuse(now, id, work, work.sends > 0 ? work.lastFailure : refusal_reason::timeoutNotRun, effects);
        return;
    }
    if (place(now, id, work, effects)) {
        return;
    }
    if (work.sends > 0 && work.lastPlacement != placement_outcome::quarantined) {
        refuse(now, id, work, work.lastFailure, effects);
        return;
    }
    const std::optional<wait_reason> reason = waitReason(now, work);
    const admission_request request = admissionOf(id, work);
    const bool isHopeless = isWantOfCapacity(work.lastPlacement) && m_order.isHopeless(request, now);
    if (reason && !isHopeless && m_options.mechanisms.has(mechanism::queueing) && m_order.size() < limits::queueLimit
        && now < work.queueUntil) {
        work.state = phase::waiting;
        work.permitDenials = 0;
        m_order.wait(request, *reason, now);
        return;
    }
    refuseUnplaced(now, id, work, effects);
}

void entry_core::placeWaiting(time_point now, std::vector<effect> &effects)
{
    if (m_order.size() == 0) {
        return;
    }
    for (const exchange_id id : m_order.beginPass(now)) {
        exchange &work = m_exchanges.at(id);
        if (place(now, id, work, effects)) {
            m_order.remove(id); // also if it only asked for a permit
        } else if (work.lastPlacement == placement_outcome::quarantined) {
            refuseUnplaced(now, id, work, effects);
        } else {
            const bool isLimited = work.lastPlacement == placement_outcome::allLimited;
            const wait_reason reason = isLimited ? wait_reason::limited : waitReason(now, work).value_or(wait_reason::other);
            m_order.wait(admissionOf(id, work), reason, now);
        }
    }
    m_order.endPass();
}

void entry_core::refuseUnplaced(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects)
{
    refuse(now, id, work, reasonFor(work.lastPlacement), effects);
}

std::optional<duration> entry_core::retryAfter(time_point now, exchange_id id, const exchange &work, refusal_reason reason)
{
    if (reason == refusal_reason::quarantined) {
        return std::max(limits::retryAfterSuspicion, work.heldFor);
    }
    const std::optional<duration> usual = usualRetryAfter(reason);
    if (usual && work.lastPlacement == placement_outcome::allPaused) {
        return std::max(*usual, work.pausedUntil - now);
    }
    if (usual && work.lastPlacement == placement_outcome::allLimited && work.sends == 0) {
        return m_limits.nextReturn(work.pausedUntil, work.limitedPerSecond, now);
    }
    // An upstream that refuses while requests wait has no capacity either.
    if ((reason == refusal_reason::noRoom && isWantOfCapacity(work.lastPlacement)) || reason == refusal_reason::upstreamRefused) {
        const auto left = std::chrono::duration<double, duration::period>(work.deadlineAt - now) * limits::returnLeftShare;
        const std::uint64_t seed = hashText(work.request.requestId, returnSpreadSeed);
        const auto expected = m_order.refuse(admissionOf(id, work), seed, std::chrono::duration_cast<duration>(left), now);
        return expected ? expected : usual;
    }
    return usual;
}

} // namespace nutmegtally
