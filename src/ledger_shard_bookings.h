// Part of ledger_shard.h: bookings requested by callers, calls to the service, and settlements.
#pragma once

#include "ledger_shard.h"
#include "limits.h"

#include <algorithm>

namespace nutmegtally::detail
{

template<ledger_policy Policy>
void ledger_shard<Policy>::request(const event_context &context, const ledger_event::booking_requested &requested, idempotency_key key)
{
    const booking_request request {requested.attempt, key, requested.requestHash, requested.deadline, context.now};
    if (m_phase == shard_phase::owned) {
        handleAsOwner(context, request);
        commitIfDue(context);
        return;
    }
    if (refuseByAge(context, request)) {
        return;
    }
    if (m_phase == shard_phase::remote && isLive(m_remoteOwner) && context.now < m_remoteOwnerReadAt + limits::ownerCacheTime) {
        refuseNotOwner(context, request.attempt);
        return;
    }
    enqueue(context, request);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::enqueue(const event_context &context, const booking_request &request)
{
    if (m_platformDownUntil && context.now < *m_platformDownUntil) {
        refuse(context, request.attempt, error_code::platformUnavailable, run_state::notRun, m_options.platformRetryDelay);
        return;
    }
    if (m_queuedRequests.size() >= limits::maxParkedOffers) {
        refuse(context, request.attempt, error_code::overloaded, run_state::notRun, m_options.platformRetryDelay);
        return;
    }
    m_queuedRequests.push_back(request);
    if (m_phase == shard_phase::ownerUnknown || m_phase == shard_phase::remote) {
        acquire(context);
    }
}

template<ledger_policy Policy>
bool ledger_shard<Policy>::refuseByAge(const event_context &context, const booking_request &request)
{
    const wall_time created = request.key.created();
    if (created > context.wall + std::chrono::duration_cast<std::chrono::milliseconds>(limits::keyClockTolerance)) {
        refuse(context, request.attempt, error_code::keyInvalid, run_state::notRun);
        return true;
    }
    const auto horizon = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.horizon);
    const bool wasDropped = m_phase == shard_phase::owned && created < m_keptSince;
    if (created < context.wall - horizon || wasDropped) {
        refuse(context, request.attempt, error_code::keyExpired, run_state::unknown);
        return true;
    }
    return false;
}

template<ledger_policy Policy>
void ledger_shard<Policy>::handleAsOwner(const event_context &context, const booking_request &request)
{
    const auto found = m_records.find(request.key);
    if (found != m_records.end()) {
        handleRepeat(context, found->second, request);
        return;
    }
    if (refuseByAge(context, request)) {
        return;
    }
    if (m_platformDownUntil && context.now < *m_platformDownUntil) {
        refuse(context, request.attempt, error_code::platformUnavailable, run_state::notRun, m_options.platformRetryDelay);
        return;
    }
    if (m_headBytes > limits::maxLedgerHeadBytes) {
        refuse(context, request.attempt, error_code::overloaded, run_state::notRun, m_options.platformRetryDelay);
        return;
    }
    claim(context, request);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::handleRepeat(const event_context &context, ledger_record &record, const booking_request &request)
{
    if (Policy::checkRequestHash && record.entry.requestHash != request.requestHash) {
        refuse(context, request.attempt, error_code::keyReused, run_state::notRun);
        return;
    }
    switch (record.step) {
    case record_step::claimPending:
    case record_step::claimInFlight:
    case record_step::running:
        attach(context, record, request);
        return;
    case record_step::outcomePending:
    case record_step::outcomeInFlight:
        if (record.entry.state == entry_state::finished) {
            attach(context, record, request);
        } else {
            refuse(context, request.attempt, error_code::outcomeUnknown, run_state::unknown, limits::unknownRetryAfter);
        }
        return;
    case record_step::releasePending:
    case record_step::releaseInFlight:
        refuse(context, request.attempt, error_code::keyInProgress, run_state::notRun, m_options.commitInterval);
        return;
    case record_step::stored:
        handleStored(context, record, request);
        return;
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::handleStored(const event_context &context, ledger_record &record, const booking_request &request)
{
    switch (record.entry.state) {
    case entry_state::finished:
        context.effects.push_back(ledger_effect::reply_outcome {request.attempt, record.entry.outcome, true});
        return;
    case entry_state::notRun:
        refuse(context, request.attempt, error_code::keyClosed, run_state::notRun);
        return;
    case entry_state::claimed:
    case entry_state::unknown:
    case entry_state::count:
        if (m_options.checksKeys) {
            reclaim(context, record, request);
        } else {
            refuse(context, request.attempt, error_code::outcomeUnknown, run_state::unknown, limits::unknownRetryAfter);
        }
        return;
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::attach(const event_context &context, ledger_record &record, const booking_request &request)
{
    const auto isSame = [&](const ledger_waiter &waiter) { return waiter.attempt == request.attempt; };
    if (std::any_of(record.waiters.begin(), record.waiters.end(), isSame)) {
        return; // duplicate message
    }
    if (record.waiters.size() >= limits::maxWaitersPerKey) {
        refuse(context, request.attempt, error_code::keyInProgress, run_state::unknown, m_options.commitTimeout);
        return;
    }
    record.waiters.push_back({request.attempt, request.deadline, request.receivedAt});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::claim(const event_context &context, const booking_request &request)
{
    ledger_record &record = m_records[request.key];
    record.entry.key = request.key;
    record.entry.requestHash = request.requestHash;
    record.entry.claimNonce = nextNonce();
    m_unsealed.insert(request.key);
    attach(context, record, request);
    if constexpr (!Policy::storeClaimBeforeSend) {
        send(context, record, record.waiters.front());
        record.step = record_step::claimPending;
    }
}

/// The service itself executes a key at most once, so a request with an unknown outcome may be sent again.
template<ledger_policy Policy>
void ledger_shard<Policy>::reclaim(const event_context &context, ledger_record &record, const booking_request &request)
{
    if (m_platformDownUntil && context.now < *m_platformDownUntil) {
        refuse(context, request.attempt, error_code::outcomeUnknown, run_state::unknown, limits::unknownRetryAfter);
        return;
    }
    m_sentClaims.erase(record.entry.claimNonce);
    record.mayHaveRun = true;
    record.entry.state = entry_state::claimed;
    record.entry.claimNonce = nextNonce();
    record.step = record_step::claimPending;
    attach(context, record, request);
}

/// Sends the request of a claim that has been stored, unless it is too late for that.
template<ledger_policy Policy>
void ledger_shard<Policy>::start(const event_context &context, ledger_record &record, time_point issuedAt)
{
    // If this process was suspended, a new owner may already have accepted a settlement as not run, assuming that this
    // claim is never sent after commitTimeout (see limits::notRunWait).
    if (context.now >= issuedAt + m_options.commitTimeout) {
        refuseAll(context, record, error_code::platformUnavailable, record.mayHaveRun ? run_state::unknown : run_state::notRun,
                  m_options.platformRetryDelay);
        release(context, record);
        return;
    }
    for (const ledger_waiter &waiter : record.waiters) {
        if (waiter.deadline > context.now) {
            send(context, record, waiter);
            return;
        }
    }
    refuseAll(context, record, error_code::deadlineExceeded, record.mayHaveRun ? run_state::unknown : run_state::notRun);
    release(context, record);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::send(const event_context &context, ledger_record &record, const ledger_waiter &waiter)
{
    record.step = record_step::running;
    m_sentClaims[record.entry.claimNonce] = record.entry.key;
    context.effects.push_back(
        ledger_effect::run_request {{m_shard, record.entry.claimNonce}, waiter.attempt, record.entry.key, m_epoch, waiter.deadline});
}

/// The claim is stored but the request was not sent: restores the state before the claim.
template<ledger_policy Policy>
void ledger_shard<Policy>::release(const event_context &context, ledger_record &record)
{
    m_sentClaims.erase(record.entry.claimNonce);
    if (record.mayHaveRun) {
        record.entry.state = entry_state::unknown;
        record.step = record_step::outcomePending;
        record.finalStateAt = context.now;
        return;
    }
    record.step = record_step::releasePending;
}

template<ledger_policy Policy>
ledger_record *ledger_shard<Policy>::findClaim(std::uint64_t nonce)
{
    const auto claim = m_sentClaims.find(nonce);
    if (claim == m_sentClaims.end()) {
        return nullptr;
    }
    const auto found = m_records.find(claim->second);
    return found != m_records.end() && found->second.entry.claimNonce == nonce ? &found->second : nullptr;
}

template<ledger_policy Policy>
void ledger_shard<Policy>::finish(const event_context &context, ledger_record &record, const ledger_event::service_answered &answer)
{
    booking_outcome outcome;
    outcome.status = answer.status;
    outcome.contentType = isStorableText(answer.contentType) ? answer.contentType : std::string();
    outcome.bodyHash = hashText(answer.body);
    outcome.bodyKept = answer.body.size() <= limits::maxStoredBodyBytes && isStorableText(answer.body);
    if (outcome.bodyKept) {
        outcome.body = answer.body;
    }
    record.entry.state = entry_state::finished;
    record.entry.outcome = std::move(outcome);
    record.wholeBody = answer.body;
    record.finalStateAt = context.now;
}

template<ledger_policy Policy>
void ledger_shard<Policy>::answered(const event_context &context, const ledger_event::service_answered &answer)
{
    if (ledger_record *record = findClaim(answer.claim.nonce)) {
        m_sentClaims.erase(answer.claim.nonce);
        finish(context, *record, answer);
        record->step = record_step::outcomePending;
        commitIfDue(context);
        return;
    }
    const auto orphan = m_orphans.find(answer.claim.nonce);
    if (orphan == m_orphans.end()) {
        return;
    }
    // This process stored the claim and knows its outcome, so the callers get it although another agent now owns the
    // shard.
    ledger_record record = std::move(orphan->second);
    m_orphans.erase(orphan);
    finish(context, record, answer);
    replyFinished(context, record);
    queueForward(context, record.entry, run_state::ran);
    retryForwards(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::failed(const event_context &context, const ledger_event::service_failed &failure)
{
    const bool countsAsNotRun = failure.state == run_state::notRun || !Policy::timeoutIsUnknown;
    const auto orphan = m_orphans.find(failure.claim.nonce);
    if (orphan != m_orphans.end()) {
        ledger_record record = std::move(orphan->second);
        m_orphans.erase(orphan);
        const bool isNotRun = countsAsNotRun && !record.mayHaveRun;
        refuseAll(context, record, isNotRun ? error_code::upstreamFailed : error_code::outcomeUnknown,
                  isNotRun ? run_state::notRun : run_state::unknown, limits::unknownRetryAfter);
        if (isNotRun) {
            queueForward(context, record.entry, run_state::notRun);
            retryForwards(context);
        }
        return;
    }
    ledger_record *record = findClaim(failure.claim.nonce);
    if (!record) {
        return;
    }
    if (countsAsNotRun) {
        const bool isNotRun = !record->mayHaveRun;
        refuseAll(context, *record, isNotRun ? error_code::upstreamFailed : error_code::outcomeUnknown,
                  isNotRun ? run_state::notRun : run_state::unknown, m_options.platformRetryDelay);
        release(context, *record);
    } else {
        refuseAll(context, *record, error_code::outcomeUnknown, run_state::unknown, limits::unknownRetryAfter);
        record->entry.state = entry_state::unknown;
        record->step = record_step::outcomePending;
        record->finalStateAt = context.now;
        context.effects.push_back(log_record {log_event::outcomeUnknown, "key=" + record->entry.key.toText()});
    }
    commitIfDue(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::replyFinished(const event_context &context, ledger_record &record)
{
    for (const ledger_waiter &waiter : record.waiters) {
        booking_outcome outcome = record.entry.outcome;
        if (!record.wholeBody.empty()) {
            outcome.body = record.wholeBody;
            outcome.bodyKept = true;
        }
        context.effects.push_back(ledger_effect::reply_outcome {waiter.attempt, std::move(outcome), false});
    }
    record.waiters.clear();
    record.wholeBody.clear();
}

template<ledger_policy Policy>
void ledger_shard<Policy>::settle(const event_context &context, const ledger_event::settlement_requested &request)
{
    if (m_phase == shard_phase::owned) {
        settleRecord(context, request);
        return;
    }
    if (m_phase == shard_phase::remote && isLive(m_remoteOwner) && context.now < m_remoteOwnerReadAt + limits::ownerCacheTime) {
        replySettlement(context, request.settlementId, settle_result::notOwner);
        return;
    }
    if (m_queuedSettlements.size() >= limits::maxParkedOffers) {
        replySettlement(context, request.settlementId, settle_result::unavailable);
        return;
    }
    m_queuedSettlements.push_back({request, context.now});
    if (m_phase == shard_phase::ownerUnknown || m_phase == shard_phase::remote) {
        acquire(context);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::settleRecord(const event_context &context, const ledger_event::settlement_requested &request)
{
    const auto found = m_records.find(request.key);
    if (found == m_records.end() || found->second.entry.claimNonce != request.claimNonce) {
        replySettlement(context, request.settlementId, settle_result::notFound);
        return;
    }
    ledger_record &record = found->second;
    if (record.entry.state == entry_state::finished || record.entry.state == entry_state::notRun) {
        replySettlement(context, request.settlementId, settle_result::alreadySettled);
        return;
    }
    const bool isReleasing = record.step == record_step::releasePending || record.step == record_step::releaseInFlight;
    if (isReleasing) {
        replySettlement(context, request.settlementId, settle_result::unavailable);
        return;
    }
    // The booking is running here or about to be sent, so its outcome will become known.
    if (record.entry.state == entry_state::claimed) {
        replySettlement(context, request.settlementId, settle_result::notFound);
        return;
    }
    if (request.state == run_state::notRun && request.audit && context.now < record.finalStateAt + limits::notRunWait) {
        replySettlement(context, request.settlementId, settle_result::tooEarly);
        return;
    }
    record.entry.audit = request.audit;
    if (record.entry.audit && !(isStorableText(record.entry.audit->who) && isStorableText(record.entry.audit->why))) {
        record.entry.audit = settle_audit {"not UTF-8", request.audit->when, "not UTF-8"};
    }
    m_sentClaims.erase(request.claimNonce);
    record.settlementIds.push_back(request.settlementId);
    record.finalStateAt = context.now;
    if (request.state == run_state::ran) {
        record.entry.state = entry_state::finished;
        record.entry.outcome = request.outcome;
        record.entry.outcome.bodyKept
            = request.outcome.bodyKept && request.outcome.body.size() <= limits::maxStoredBodyBytes && isStorableText(request.outcome.body);
        if (!record.entry.outcome.bodyKept) {
            record.entry.outcome.body.clear();
        }
        record.step = record_step::outcomePending;
    } else if (request.audit) {
        record.entry.state = entry_state::notRun;
        record.step = record_step::outcomePending;
    } else {
        record.step = record_step::releasePending;
    }
    context.effects.push_back(log_record {log_event::outcomeSettled, "key=" + request.key.toText()});
    commitIfDue(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::cancel(const event_context &context, attempt_ref attempt)
{
    const auto isSame = [&](const auto &waiter) { return waiter.attempt == attempt; };
    std::erase_if(m_queuedRequests, isSame);
    for (const idempotency_key key : std::vector<idempotency_key>(m_unsealed.begin(), m_unsealed.end())) {
        ledger_record &record = m_records.at(key);
        if (std::erase_if(record.waiters, isSame) > 0) {
            expireRecordWaiters(context, record);
        }
    }
    for (auto &[nonce, record] : m_orphans) {
        std::erase_if(record.waiters, isSame);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::refuse(const event_context &context, attempt_ref attempt, error_code code, run_state state,
                                  std::optional<duration> retryAfter)
{
    context.effects.push_back(ledger_effect::reply_refusal {attempt, code, state, retryAfter, {}, {}});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::refuseAll(const event_context &context, ledger_record &record, error_code code, run_state state,
                                     std::optional<duration> retryAfter)
{
    for (const ledger_waiter &waiter : record.waiters) {
        refuse(context, waiter.attempt, code, state, retryAfter);
    }
    record.waiters.clear();
}

template<ledger_policy Policy>
void ledger_shard<Policy>::refuseNotOwner(const event_context &context, attempt_ref attempt)
{
    context.effects.push_back(ledger_effect::reply_refusal {
        attempt, error_code::notOwner, run_state::notRun, {}, upstream_id::fromName(m_remoteOwner), m_remoteOwner});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::replySettlement(const event_context &context, std::uint64_t settlementId, settle_result result)
{
    if (settlementId == 0) {
        return;
    }
    context.effects.push_back(
        ledger_effect::reply_settlement {settlementId, result, result == settle_result::notOwner ? m_remoteOwner : std::string()});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::refuseQueued(const event_context &context, error_code code)
{
    for (const booking_request &request : m_queuedRequests) {
        refuse(context, request.attempt, code, run_state::notRun, m_options.platformRetryDelay);
    }
    m_queuedRequests.clear();
    for (const queued_settlement &queued : m_queuedSettlements) {
        replySettlement(context, queued.request.settlementId, settle_result::unavailable);
    }
    m_queuedSettlements.clear();
}

/// Latest time at which the waiter gets an answer.
template<ledger_policy Policy>
std::optional<time_point> ledger_shard<Policy>::replyDeadline(const ledger_record &record, const ledger_waiter &waiter) const
{
    switch (record.step) {
    case record_step::claimPending:
        return std::min(waiter.deadline, waiter.receivedAt + m_options.commitTimeout);
    case record_step::claimInFlight:
        return std::min(waiter.deadline, (m_commit ? m_commit->issuedAt : waiter.receivedAt) + m_options.commitTimeout);
    case record_step::running:
        return waiter.deadline;
    default:
        return std::min(waiter.deadline, record.finalStateAt + m_options.commitTimeout);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::expireWaiters(const event_context &context)
{
    for (const idempotency_key key : std::vector<idempotency_key>(m_unsealed.begin(), m_unsealed.end())) {
        ledger_record &record = m_records.at(key);
        if (!record.waiters.empty() || record.step == record_step::claimPending) {
            expireRecordWaiters(context, record);
        }
    }
    for (auto &[nonce, record] : m_orphans) {
        const auto hasTimedOut = [&](const ledger_waiter &waiter) {
            const bool timedOut = waiter.deadline <= context.now;
            if (timedOut) {
                refuse(context, waiter.attempt, error_code::deadlineExceeded, run_state::unknown, limits::unknownRetryAfter);
            }
            return timedOut;
        };
        std::erase_if(record.waiters, hasTimedOut);
    }
}

/// Answers the waiters whose time is over. Erases the record if its claim is pending and no waiter is left.
template<ledger_policy Policy>
void ledger_shard<Policy>::expireRecordWaiters(const event_context &context, ledger_record &record)
{
    const auto hasTimedOut = [&](const ledger_waiter &waiter) { return *replyDeadline(record, waiter) <= context.now; };
    const auto firstTimedOut
        = std::stable_partition(record.waiters.begin(), record.waiters.end(), [&](const auto &w) { return !hasTimedOut(w); });
    const std::vector<ledger_waiter> timedOut(firstTimedOut, record.waiters.end());
    record.waiters.erase(firstTimedOut, record.waiters.end());
    for (const ledger_waiter &waiter : timedOut) {
        const bool isPastDeadline = waiter.deadline <= context.now;
        switch (record.step) {
        case record_step::claimPending:
            refuse(context, waiter.attempt, isPastDeadline ? error_code::deadlineExceeded : error_code::platformUnavailable,
                   record.mayHaveRun ? run_state::unknown : run_state::notRun, m_options.platformRetryDelay);
            break;
        case record_step::claimInFlight:
        case record_step::running:
            refuse(context, waiter.attempt, isPastDeadline ? error_code::deadlineExceeded : error_code::keyInProgress, run_state::unknown,
                   m_options.commitTimeout);
            break;
        default:
            // The outcome is known and only its commit is delayed, so the caller gets it.
            ledger_record reply;
            reply.entry = record.entry;
            reply.wholeBody = record.wholeBody;
            reply.waiters = {waiter};
            replyFinished(context, reply);
            break;
        }
    }
    if (record.step != record_step::claimPending || !record.waiters.empty()) {
        return;
    }
    if (record.mayHaveRun) {
        record.entry.state = entry_state::unknown;
        record.step = record_step::outcomePending;
        return;
    }
    const idempotency_key key = record.entry.key;
    m_unsealed.erase(key);
    m_records.erase(key);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::expireQueued(const event_context &context)
{
    std::erase_if(m_queuedRequests, [&](const booking_request &request) {
        const bool isPastDeadline = request.deadline <= context.now;
        const bool hasTimedOut = isPastDeadline || request.receivedAt + m_options.commitTimeout <= context.now;
        if (hasTimedOut) {
            refuse(context, request.attempt, isPastDeadline ? error_code::deadlineExceeded : error_code::platformUnavailable,
                   run_state::notRun, m_options.platformRetryDelay);
        }
        return hasTimedOut;
    });
    std::erase_if(m_queuedSettlements, [&](const queued_settlement &queued) {
        const bool hasTimedOut = queued.receivedAt + m_options.commitTimeout <= context.now;
        if (hasTimedOut) {
            replySettlement(context, queued.request.settlementId, settle_result::unavailable);
        }
        return hasTimedOut;
    });
}

} // namespace nutmegtally::detail
