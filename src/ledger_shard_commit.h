// Part of ledger_shard.h: group commit, lost responses, sealing of segments and retention.
#pragma once

#include "ledger_shard.h"
#include "limits.h"

#include <algorithm>

namespace nutmegtally::detail
{

template<ledger_policy Policy>
std::uint64_t ledger_shard<Policy>::nextNonce()
{
    return mixHash(mixHash(m_options.nonceSeed, m_shard + 1), ++m_nonceCounter);
}

template<ledger_policy Policy>
object_operation ledger_shard<Policy>::nextOperation()
{
    return {m_shard, ++m_operationCounter};
}

template<ledger_policy Policy>
void ledger_shard<Policy>::platformFailed(const event_context &context)
{
    if (!m_platformDownUntil) {
        context.effects.push_back(log_record {log_event::platformUnreachable, "shard=" + std::to_string(m_shard)});
    }
    m_platformDownUntil = context.now + m_options.platformRetryDelay;
}

template<ledger_policy Policy>
void ledger_shard<Policy>::platformAnswered(const event_context &context)
{
    if (m_platformDownUntil) {
        context.effects.push_back(log_record {log_event::platformReachable, "shard=" + std::to_string(m_shard)});
    }
    m_platformDownUntil.reset();
}

template<ledger_policy Policy>
bool ledger_shard<Policy>::isDirty() const
{
    if (m_segmentsChanged) {
        return true;
    }
    return std::any_of(m_unsealed.begin(), m_unsealed.end(), [&](const idempotency_key &key) {
        const record_step step = m_records.at(key).step;
        return step == record_step::claimPending || step == record_step::outcomePending || step == record_step::releasePending;
    });
}

template<ledger_policy Policy>
void ledger_shard<Policy>::commitIfDue(const event_context &context)
{
    const duration burst = m_options.commitInterval * (m_options.commitBurst - 1);
    const bool isDue = context.now + burst >= m_nextCommit && (!m_platformDownUntil || context.now >= *m_platformDownUntil);
    if (m_phase == shard_phase::owned && !m_commit && isDue && isDirty()) {
        m_nextCommit = std::max(m_nextCommit, context.now) + m_options.commitInterval;
        commit(context);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::commit(const event_context &context)
{
    ledger_commit commit;
    commit.nonce = nextNonce();
    commit.ifVersion = m_version;
    commit.issuedAt = context.now;
    commit.keptSince = m_keptSince;
    dropExpiredSegments(context, commit);
    ledger_head head;
    collectEntries(context, commit, head);
    head.owner = m_options.self;
    head.epoch = m_epoch;
    head.nonce = commit.nonce;
    head.segments = m_segments;
    head.keptSince = commit.keptSince;
    m_segmentsChanged = false;
    commit.value = encode(head);
    m_headBytes = commit.value.size();
    m_commit = std::move(commit);
    sendCommit(context);
}

/// Adds every unsealed entry to the head, except those that are released or expired.
template<ledger_policy Policy>
void ledger_shard<Policy>::collectEntries(const event_context &context, ledger_commit &commit, ledger_head &head)
{
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.horizon + limits::keyClockTolerance);
    const auto retentionOfUnknown = retention + std::chrono::duration_cast<std::chrono::milliseconds>(limits::unknownRetention);
    for (const idempotency_key &key : m_unsealed) {
        ledger_record &record = m_records.at(key);
        switch (record.step) {
        case record_step::claimPending:
            record.step = record_step::claimInFlight;
            commit.claims.push_back(key);
            break;
        case record_step::outcomePending:
            record.step = record_step::outcomeInFlight;
            commit.outcomes.push_back(key);
            break;
        case record_step::releasePending:
            record.step = record_step::releaseInFlight;
            commit.releases.push_back(key);
            continue;
        case record_step::stored:
            if (key.created() + (record.entry.state == entry_state::unknown ? retentionOfUnknown : retention) < context.wall) {
                commit.expired.push_back(key);
                commit.keptSince = std::max(commit.keptSince, context.wall - retention);
                continue;
            }
            break;
        default:
            break;
        }
        head.entries.push_back(record.entry);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::dropExpiredSegments(const event_context &context, ledger_commit &commit)
{
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.horizon + limits::keyClockTolerance);
    const auto isExpired = [&](const segment_ref &segment) { return segment.newestKey + retention < context.wall; };
    std::copy_if(m_segments.begin(), m_segments.end(), std::back_inserter(commit.dropped), isExpired);
    std::erase_if(m_segments, isExpired);
    if (!commit.dropped.empty()) {
        commit.keptSince = std::max(commit.keptSince, context.wall - retention);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::sendCommit(const event_context &context)
{
    const object_operation operation = nextOperation();
    m_commit->operation = operation.number;
    m_commit->readBackAt.reset();
    ++m_counts.commits;
    context.effects.push_back(
        ledger_effect::write_object {operation, ledgerHeadName(m_options.service, m_shard), m_commit->ifVersion, m_commit->value});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::sendReadBack(const event_context &context)
{
    const object_operation operation = nextOperation();
    m_commit->operation = operation.number;
    m_commit->readBackAt.reset();
    ++m_counts.reads;
    context.effects.push_back(ledger_effect::read_object {operation, ledgerHeadName(m_options.service, m_shard)});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::commitWriteDone(const event_context &context, const ledger_event::object_written &result)
{
    switch (result.status) {
    case object_status::ok:
        platformAnswered(context);
        commitStored(context, result.version);
        return;
    case object_status::conflict:
        if constexpr (!Policy::fenceOnConflict) {
            commitStored(context, m_version);
            return;
        }
        sendReadBack(context); // the conflict may come from an earlier copy of this write
        return;
    case object_status::unavailable:
        platformFailed(context);
        if (!m_commit->uncertain) {
            commitFailed(context);
            return;
        }
        m_commit->readBackAt = *m_platformDownUntil;
        return;
    default:
        m_commit->uncertain = true;
        context.effects.push_back(log_record {log_event::commitUncertain, "shard=" + std::to_string(m_shard)});
        sendReadBack(context);
        return;
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::commitReadBackDone(const event_context &context, const ledger_event::object_read &result)
{
    if (result.status == object_status::missing && m_commit->ifVersion.empty()) {
        sendCommit(context);
        return;
    }
    if (result.status == object_status::ok && result.version == m_commit->ifVersion) {
        // The write has not taken effect, but a delayed copy still may, so the same write is repeated.
        sendCommit(context);
        return;
    }
    if (result.status != object_status::ok && result.status != object_status::missing) {
        platformFailed(context);
        m_commit->readBackAt = *m_platformDownUntil;
        return;
    }
    platformAnswered(context);
    ledger_head head = result.status == object_status::ok ? decodeHead(result.value) : ledger_head();
    if (head.nonce == m_commit->nonce) {
        commitStored(context, result.version);
        return;
    }
    // Whoever takes a shard over raises its epoch. An older head comes from an older copy of the objects.
    const bool isOwn = head.owner == m_options.self || head.owner.empty();
    if (!m_commit->takeOver && isOwn && head.epoch <= m_epoch) {
        writeAgain(context, head, result.status == object_status::ok ? result.version : std::string());
        return;
    }
    becomeFenced(context, std::move(head), result.version);
}

/// Stores again what this owner knows and the object API has lost.
template<ledger_policy Policy>
void ledger_shard<Policy>::writeAgain(const event_context &context, const ledger_head &head, const std::string &version)
{
    context.effects.push_back(log_record {log_event::ledgerRestored, "shard=" + std::to_string(m_shard)
                                                                         + " epoch=" + std::to_string(m_epoch)
                                                                         + " entries=" + std::to_string(m_records.size())});
    commitFailed(context);
    m_version = version;
    m_segmentWrite.reset();
    const auto isStored = [&head](const std::string &segment) {
        return std::any_of(head.segments.begin(), head.segments.end(), [&](const segment_ref &each) { return each.name == segment; });
    };
    for (auto &[key, record] : m_records) {
        if (!record.segment.empty() && !isStored(record.segment)) {
            record.segment.clear();
            m_unsealed.insert(key);
        }
    }
    m_segments = head.segments;
    m_keptSince = std::max(m_keptSince, head.keptSince);
    m_segmentsChanged = true;
    commitIfDue(context);
}

/// The write took effect.
template<ledger_policy Policy>
void ledger_shard<Policy>::commitStored(const event_context &context, const std::string &version)
{
    const ledger_commit stored = std::move(*m_commit);
    m_commit.reset();
    m_version = version;
    m_keptSince = stored.keptSince;
    if (stored.takeOver) {
        becomeOwner(context);
        return;
    }
    for (const idempotency_key &key : stored.releases) {
        ledger_record &record = m_records.at(key);
        for (const std::uint64_t settlementId : record.settlementIds) {
            replySettlement(context, settlementId, settle_result::stored);
        }
        m_unsealed.erase(key);
        m_records.erase(key);
    }
    for (const idempotency_key &key : stored.expired) {
        m_unsealed.erase(key);
        m_records.erase(key);
    }
    for (const idempotency_key &key : stored.outcomes) {
        entryStored(context, m_records.at(key));
    }
    for (const idempotency_key &key : stored.claims) {
        ledger_record &record = m_records.at(key);
        if (record.step == record_step::claimInFlight) {
            start(context, record, stored.issuedAt);
        }
    }
    for (const segment_ref &segment : stored.dropped) {
        std::erase_if(m_records, [&](const auto &item) { return item.second.segment == segment.name; });
        ++m_counts.deletes;
        context.effects.push_back(ledger_effect::delete_object {nextOperation(), segment.name});
    }
    sealIfLarge(context);
    commitIfDue(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::entryStored(const event_context &context, ledger_record &record)
{
    if (record.step != record_step::outcomeInFlight) {
        return; // the entry changed again while the commit was in flight
    }
    record.step = record_step::stored;
    if (record.entry.state == entry_state::finished) {
        replyFinished(context, record);
    }
    for (const std::uint64_t settlementId : record.settlementIds) {
        replySettlement(context, settlementId, settle_result::stored);
    }
    record.settlementIds.clear();
}

/// The write had no effect and no copy of it is in flight.
template<ledger_policy Policy>
void ledger_shard<Policy>::commitFailed(const event_context &context)
{
    const ledger_commit failed = std::move(*m_commit);
    m_commit.reset();
    if (failed.takeOver) {
        abandonAcquire(context);
        return;
    }
    for (const idempotency_key &key : failed.claims) {
        ledger_record &record = m_records.at(key);
        if (record.step != record_step::claimInFlight) {
            continue;
        }
        refuseAll(context, record, error_code::platformUnavailable, record.mayHaveRun ? run_state::unknown : run_state::notRun,
                  m_options.platformRetryDelay);
        if (record.mayHaveRun) {
            record.entry.state = entry_state::unknown;
            record.step = record_step::stored;
            continue;
        }
        m_unsealed.erase(key);
        m_records.erase(key);
    }
    for (const idempotency_key &key : failed.outcomes) {
        ledger_record &record = m_records.at(key);
        if (record.step == record_step::outcomeInFlight) {
            record.step = record_step::outcomePending;
        }
    }
    for (const idempotency_key &key : failed.releases) {
        m_records.at(key).step = record_step::releasePending;
    }
    m_segments.insert(m_segments.end(), failed.dropped.begin(), failed.dropped.end());
    m_segmentsChanged = true; // the failed write may have been the first with a newly sealed segment
}

template<ledger_policy Policy>
void ledger_shard<Policy>::sealIfLarge(const event_context &context)
{
    if (m_segmentWrite || m_headBytes < m_options.sealThresholdBytes) {
        return;
    }
    segment_write segment;
    std::vector<ledger_entry> entries;
    for (const idempotency_key &key : m_unsealed) {
        const ledger_record &record = m_records.at(key);
        const bool isFinal = record.entry.state == entry_state::finished || record.entry.state == entry_state::notRun;
        if (record.step == record_step::stored && isFinal) {
            entries.push_back(record.entry);
            segment.keys.push_back(key);
            segment.newestKey = std::max(segment.newestKey, key.created());
        }
    }
    segment.value = encodeSegment(entries);
    // Unknown entries stay in the head. If they fill it, sealing the few others would write many small segments.
    if (segment.value.size() < m_options.sealThresholdBytes / 2) {
        return;
    }
    segment.name = ledgerSegmentName(m_options.service, m_shard, m_epoch, nextNonce());
    m_segmentWrite = std::move(segment);
    ++m_counts.segments;
    sendSegmentWrite(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::sendSegmentWrite(const event_context &context)
{
    const object_operation operation = nextOperation();
    m_segmentWrite->operation = operation.number;
    m_segmentWrite->retryAt.reset();
    context.effects.push_back(ledger_effect::write_object {operation, m_segmentWrite->name, {}, m_segmentWrite->value});
}

template<ledger_policy Policy>
void ledger_shard<Policy>::segmentWriteDone(const event_context &context, const ledger_event::object_written &result)
{
    // The name is unique, so a conflict means that an earlier copy of this write was stored.
    if (result.status != object_status::ok && result.status != object_status::conflict) {
        m_segmentWrite->retryAt = context.now + m_options.platformRetryDelay;
        return;
    }
    const segment_write segment = std::move(*m_segmentWrite);
    m_segmentWrite.reset();
    for (const idempotency_key &key : segment.keys) {
        const auto found = m_records.find(key);
        if (found != m_records.end()) {
            found->second.segment = segment.name;
            m_unsealed.erase(key);
        }
    }
    m_segments.push_back({segment.name, segment.newestKey});
    m_segmentsChanged = true;
    commitIfDue(context);
}

template<ledger_policy Policy>
void ledger_shard<Policy>::objectRead(const event_context &context, const ledger_event::object_read &result)
{
    try {
        dispatchRead(context, result);
    } catch (const error &fault) {
        // The object is not a valid head or segment. It is not overwritten, and callers are refused as during an outage.
        context.effects.push_back(log_record {log_event::internalFault, fault.what()});
        if (m_commit) {
            platformFailed(context);
            m_commit->readBackAt = *m_platformDownUntil;
        } else {
            abandonAcquire(context);
        }
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::dispatchRead(const event_context &context, const ledger_event::object_read &result)
{
    const std::uint64_t number = result.operation.number;
    if (m_commit && m_commit->operation == number) {
        m_commit->operation = 0;
        commitReadBackDone(context, result);
    } else if (m_phase == shard_phase::loading && m_readOperation == number) {
        m_readOperation = 0;
        headRead(context, result);
    } else if (m_segmentReadsInFlight.contains(number)) {
        segmentRead(context, result);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::objectWritten(const event_context &context, const ledger_event::object_written &result)
{
    const std::uint64_t number = result.operation.number;
    if (m_commit && m_commit->operation == number) {
        m_commit->operation = 0;
        commitWriteDone(context, result);
    } else if (m_segmentWrite && m_segmentWrite->operation == number) {
        m_segmentWrite->operation = 0;
        segmentWriteDone(context, result);
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::tick(const event_context &context)
{
    expireQueued(context);
    expireWaiters(context);
    if (m_commit && m_commit->readBackAt && *m_commit->readBackAt <= context.now) {
        sendReadBack(context);
    }
    if (m_segmentWrite && m_segmentWrite->retryAt && *m_segmentWrite->retryAt <= context.now) {
        sendSegmentWrite(context);
    }
    retryForwards(context);
    commitIfDue(context);
}

template<ledger_policy Policy>
std::optional<time_point> ledger_shard<Policy>::nextTick() const
{
    std::optional<time_point> next;
    const auto consider = [&](std::optional<time_point> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    for (const booking_request &request : m_queuedRequests) {
        consider(std::min(request.deadline, request.receivedAt + m_options.commitTimeout));
    }
    for (const queued_settlement &queued : m_queuedSettlements) {
        consider(queued.receivedAt + m_options.commitTimeout);
    }
    for (const idempotency_key &key : m_unsealed) {
        const ledger_record &record = m_records.at(key);
        for (const ledger_waiter &waiter : record.waiters) {
            consider(replyDeadline(record, waiter));
        }
    }
    for (const auto &[nonce, record] : m_orphans) {
        for (const ledger_waiter &waiter : record.waiters) {
            consider(waiter.deadline);
        }
    }
    for (const auto &[nonce, forward] : m_forwards) {
        consider(forward.retryAt);
    }
    if (m_commit) {
        consider(m_commit->readBackAt);
    } else if (m_phase == shard_phase::owned && isDirty()) {
        const time_point due = m_nextCommit - m_options.commitInterval * (m_options.commitBurst - 1);
        consider(m_platformDownUntil ? std::max(due, *m_platformDownUntil) : due);
    }
    if (m_segmentWrite) {
        consider(m_segmentWrite->retryAt);
    }
    return next;
}

template<ledger_policy Policy>
void ledger_shard<Policy>::listUnknown(std::vector<unknown_booking> &list) const
{
    for (const idempotency_key &key : m_unsealed) {
        const ledger_entry &entry = m_records.at(key).entry;
        if (m_phase == shard_phase::owned && entry.state == entry_state::unknown) {
            list.push_back({m_shard, entry});
        }
    }
}

template<ledger_policy Policy>
void ledger_shard<Policy>::addCounts(ledger_counts &counts) const
{
    counts.commits += m_counts.commits;
    counts.segments += m_counts.segments;
    counts.reads += m_counts.reads;
    counts.deletes += m_counts.deletes;
    counts.ownedShards += m_phase == shard_phase::owned ? 1 : 0;
    counts.entries += m_records.size();
    std::vector<unknown_booking> unknown;
    listUnknown(unknown);
    counts.unknown += unknown.size();
}

} // namespace nutmegtally::detail
