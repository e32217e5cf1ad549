// Part of ledger_shard.h: take-over of a shard, and the hand-over of open requests when this agent is fenced.
#pragma once

#include "ledger_shard.h"
#include "limits.h"

#include <algorithm>

namespace nutmegtally::detail
{

template<ledger_policy Policy>
ledger_shard<Policy>::ledger_shard(const ledger_options &options, const std::vector<upstream_id> &live, std::uint32_t shard)
    : m_options(options)
    , m_live(live)
    , m_shard(shard)
{
}

template<ledger_policy Policy>
bool ledger_shard<Policy>::isLive(const std::string &owner) const
{
    return std::binary_search(m_live.begin(), m_live.end(), upstream_id::fromName(owner));
}

template<ledger_policy Policy>
void ledger_shard<Policy>::acquire(const event_context &context)
{
    m_phase = shard_phase::loading;
    m_segmentReadsInFlight.clear();
    const object_operation operation = nextOperation();
    m_readOperation = operation.number;
    ++m_counts.reads;
    context.effects.push_back(ledger_effect::read_object {operation, ledgerHeadName(m_options.service, m_shard)});
}

/// The platform does not respond: refuses all queued requests. The next request tries again.
template<ledger_policy Policy>
void ledger_shard<Policy>::abandonAcquire(const event_context &context)
{
    platformFailed(context);
    m_phase = shard_phase::ownerUnknown;
    m_segmentReadsInFlight.clear();
    refuseQueued(context, error_code::platformUnavailable);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::headRead(const event_context &context, const ledger_event::object_read &result)
{
    if (result.status != object_status::ok && result.status != object_status::missing) {
        abandonAcquire(context);
        return;
    }
    platformAnswered(context);
    const bool exists = result.status == object_status::ok;
    evaluateHead(context, exists ? decodeHead(result.value) : ledger_head(), exists ? result.version : std::string());
}

/// Follows another live owner, or else starts to take the shard over.
template<ledger_policy Policy>
void ledger_shard<Policy>::evaluateHead(const event_context &context, ledger_head head, const std::string &version)
{
    if (!head.owner.empty() && head.owner != m_options.self && isLive(head.owner)) {
        becomeRemote(context, head.owner);
        return;
    }
    m_phase = shard_phase::loading;
    m_loadedHead = std::move(head);
    m_version = version;
    m_loadedSegments.clear();
    m_segmentReadsInFlight.clear();
    m_nextSegment = 0;
    readSegments(context);
}

/// Reads the segments, several at a time, and takes the shard over when all have been read.
template<ledger_policy Policy>
void ledger_shard<Policy>::readSegments(const event_context &context)
{
    while (m_nextSegment < m_loadedHead.segments.size() && m_segmentReadsInFlight.size() < limits::parallelSegmentReads) {
        const std::string &name = m_loadedHead.segments[m_nextSegment].name;
        const object_operation operation = nextOperation();
        m_segmentReadsInFlight[operation.number] = m_nextSegment;
        ++m_nextSegment;
        ++m_counts.reads;
        m_loadedSegments.emplace_back(name, std::vector<ledger_entry>());
        context.effects.push_back(ledger_effect::read_object {operation, name});
    }
    if (m_segmentReadsInFlight.empty()) {
        takeOver(context);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::segmentRead(const event_context &context, const ledger_event::object_read &result)
{
    const auto read = m_segmentReadsInFlight.find(result.operation.number);
    const std::size_t index = read->second;
    m_segmentReadsInFlight.erase(read);
    if (result.status == object_status::missing) {
        acquire(context); // deleted by an owner that is still alive; the head has changed
        return;
    }
    if (result.status != object_status::ok) {
        abandonAcquire(context);
        return;
    }
    m_loadedSegments[index].second = decodeSegment(result.value);
    readSegments(context);
}

/// Adds a stored entry to the records. A claim without an outcome becomes unknown, since it may have been sent.
template<ledger_policy Policy>
void ledger_shard<Policy>::loadEntry(const event_context &context, const ledger_entry &entry, const std::string &segment,
                                     std::vector<idempotency_key> &unknown)
{
    ledger_record &record = m_records[entry.key];
    record = ledger_record();
    record.entry = entry;
    record.step = record_step::stored;
    record.segment = segment;
    record.finalStateAt = context.now;
    if (record.entry.state == entry_state::claimed) {
        record.entry.state = entry_state::unknown;
        unknown.push_back(entry.key);
    }
    if (segment.empty()) {
        m_unsealed.insert(entry.key);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::takeOver(const event_context &context)
{
    m_phase = shard_phase::takingOver;
    m_records.clear();
    m_unsealed.clear();
    m_sentClaims.clear();
    std::vector<idempotency_key> unknown;
    for (const ledger_entry &entry : m_loadedHead.entries) {
        loadEntry(context, entry, {}, unknown);
    }
    for (const auto &[name, entries] : m_loadedSegments) {
        for (const ledger_entry &entry : entries) {
            loadEntry(context, entry, name, unknown);
        }
    }
    m_segments = m_loadedHead.segments;
    m_epoch = m_loadedHead.epoch + 1;
    m_keptSince = m_loadedHead.keptSince;
    m_loadedSegments.clear();
    for (const idempotency_key &key : unknown) {
        context.effects.push_back(log_record {log_event::outcomeUnknown, "key=" + key.toText()});
    }

    ledger_commit commit;
    commit.nonce = nextNonce();
    commit.ifVersion = m_version;
    commit.takeOver = true;
    commit.issuedAt = context.now;
    commit.keptSince = m_keptSince;
    ledger_head head = std::move(m_loadedHead);
    m_loadedHead = ledger_head();
    head.owner = m_options.self;
    head.epoch = m_epoch;
    head.nonce = commit.nonce;
    head.entries.clear();
    for (const idempotency_key &key : m_unsealed) {
        head.entries.push_back(m_records.at(key).entry);
    }
    commit.value = encode(head);
    m_headBytes = commit.value.size();
    m_commit = std::move(commit);
    sendCommit(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::becomeOwner(const event_context &context)
{
    m_phase = shard_phase::owned;
    m_segmentWrite.reset();
    m_segmentsChanged = false;
    context.effects.push_back(log_record {log_event::shardTaken, "shard=" + std::to_string(m_shard) + " epoch=" + std::to_string(m_epoch)});
    retryForwards(context);
    const std::vector<queued_settlement> settlements = std::move(m_queuedSettlements);
    m_queuedSettlements.clear();
    for (const queued_settlement &queued : settlements) {
        settleRecord(context, queued.request);
    }
    const std::vector<booking_request> queued = std::move(m_queuedRequests);
    m_queuedRequests.clear();
    for (const booking_request &request : queued) {
        handleAsOwner(context, request);
    }
    commitIfDue(context);
    sealIfLarge(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::becomeRemote(const event_context &context, const std::string &owner)
{
    m_phase = shard_phase::remote;
    m_remoteOwner = owner;
    m_remoteOwnerReadAt = context.now;
    for (const booking_request &request : m_queuedRequests) {
        refuseNotOwner(context, request.attempt);
    }
    m_queuedRequests.clear();
    for (const queued_settlement &queued : m_queuedSettlements) {
        replySettlement(context, queued.request.settlementId, settle_result::notOwner);
    }
    m_queuedSettlements.clear();
    retryForwards(context);
}

/// Another process has written the head: this agent no longer owns the shard and never sends its pending claims.
template<ledger_policy Policy>
void ledger_shard<Policy>::becomeFenced(const event_context &context, ledger_head head, const std::string &version)
{
    const bool wasOwner = !m_commit->takeOver;
    m_commit.reset();
    m_segmentWrite.reset();
    m_remoteOwner = head.owner;
    if (wasOwner) {
        context.effects.push_back(log_record {log_event::shardLost, "shard=" + std::to_string(m_shard) + " owner=" + head.owner});
        for (const idempotency_key &key : m_unsealed) {
            handOverRecord(context, m_records.at(key));
        }
    }
    m_records.clear();
    m_unsealed.clear();
    m_sentClaims.clear();
    m_segments.clear();
    if (isLive(head.owner) && head.owner != m_options.self) {
        becomeRemote(context, head.owner);
    } else if (!m_queuedRequests.empty() || !m_queuedSettlements.empty()) {
        evaluateHead(context, std::move(head), version);
    } else {
        m_phase = shard_phase::ownerUnknown;
    }
}

/// Answers the waiters of a record of a lost shard and queues what the new owner has to know about it.
template<ledger_policy Policy>
void ledger_shard<Policy>::handOverRecord(const event_context &context, ledger_record &record)
{
    for (const std::uint64_t settlementId : record.settlementIds) {
        replySettlement(context, settlementId, settle_result::notOwner);
    }
    switch (record.step) {
    case record_step::claimPending:
    case record_step::claimInFlight:
        if (record.mayHaveRun) {
            refuseAll(context, record, error_code::outcomeUnknown, run_state::unknown, limits::unknownRetryAfter);
            return;
        }
        for (const ledger_waiter &waiter : record.waiters) {
            refuseNotOwner(context, waiter.attempt);
        }
        if (record.step == record_step::claimInFlight) {
            queueForward(context, record.entry, run_state::notRun); // the claim may have been stored before the take-over
        }
        return;
    case record_step::running:
        m_orphans[record.entry.claimNonce] = std::move(record);
        return;
    case record_step::outcomePending:
    case record_step::outcomeInFlight:
        if (record.entry.state == entry_state::finished) {
            replyFinished(context, record);
            queueForward(context, record.entry, run_state::ran);
        }
        return;
    case record_step::releasePending:
    case record_step::releaseInFlight:
        queueForward(context, record.entry, run_state::notRun);
        return;
    case record_step::stored:
        return;
    }
}

/// Queues the outcome until the shard's new owner has accepted it.
template<ledger_policy Policy>
void ledger_shard<Policy>::queueForward(const event_context &context, const ledger_entry &entry, run_state state)
{
    forwarded_settlement forward;
    forward.request = {entry.claimNonce, entry.key, entry.claimNonce, state, entry.outcome, entry.audit};
    forward.retryAt = context.now;
    m_forwards[entry.claimNonce] = std::move(forward);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::retryForwards(const event_context &context)
{
    for (auto item = m_forwards.begin(); item != m_forwards.end();) {
        forwarded_settlement &forward = item->second;
        if (m_phase == shard_phase::owned) {
            // This agent owns the shard again.
            ledger_event::settlement_requested request = forward.request;
            request.settlementId = 0; // no reply is needed
            item = m_forwards.erase(item);
            settleRecord(context, request);
            continue;
        }
        if (forward.retryAt > context.now) {
            ++item;
            continue;
        }
        if (forward.tries >= limits::maxSettleTries) {
            item = m_forwards.erase(item);
            continue;
        }
        sendForward(context, forward);
        ++item;
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::sendForward(const event_context &context, forwarded_settlement &forward)
{
    ++forward.tries;
    forward.retryAt = context.now + limits::settleRetryInterval;
    if (m_phase == shard_phase::remote) {
        context.effects.push_back(
            ledger_effect::forward_settlement {{m_shard, forward.request.claimNonce}, m_remoteOwner, forward.request});
    } else if (m_phase == shard_phase::ownerUnknown && (!m_platformDownUntil || context.now >= *m_platformDownUntil)) {
        acquire(context);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::forwardAnswered(const ledger_event::forward_answered &answer)
{
    const auto forward = m_forwards.find(answer.claim.nonce);
    if (forward == m_forwards.end()) {
        return;
    }
    switch (answer.result) {
    case settle_result::stored:
    case settle_result::alreadySettled:
    case settle_result::notFound:
        m_forwards.erase(forward);
        return;
    case settle_result::notOwner:
        if (m_phase == shard_phase::remote) {
            m_phase = shard_phase::ownerUnknown; // the next retry reads the owner from the head
        }
        return;
    case settle_result::tooEarly:
    case settle_result::unavailable:
    case settle_result::count:
        return;
    }
}

} // namespace nutmegtally::detail
