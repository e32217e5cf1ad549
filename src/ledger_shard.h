// One shard of the ledger: its ownership, its entries and the commit in flight. basic_ledger_core passes each event to
// the shard it concerns. The definitions are in ledger_shard_bookings.h (callers, the service and settlements),
// ledger_shard_commit.h (head writes and lost responses) and ledger_shard_owner.h (take-over and fencing).
//
// Invariants:
// - At most one conditional write of the head is in flight. While its result is not known, only the same write with the
//   same condition is repeated, so that a delayed first copy cannot take effect with other content.
// - run_request is only emitted for an entry whose claim was stored by a commit of this owner in this epoch.
// - A claim of an earlier epoch that has no outcome becomes unknown in the same head write that changes the owner.
#pragma once

#include "ledger_state.h"

#include <nutmegtally/ledger.h>

#include <map>
#include <set>

namespace nutmegtally::detail
{

template<ledger_policy Policy>
class ledger_shard
{
public:
    /// @param options Must outlive the shard.
    /// @param live Live agents, sorted. Must outlive the shard.
    ledger_shard(const ledger_options &options, const std::vector<upstream_id> &live, std::uint32_t shard);

    void request(const event_context &context, const ledger_event::booking_requested &requested, idempotency_key key);
    void cancel(const event_context &context, attempt_ref attempt);
    void answered(const event_context &context, const ledger_event::service_answered &answer);
    void failed(const event_context &context, const ledger_event::service_failed &failure);
    void settle(const event_context &context, const ledger_event::settlement_requested &request);
    void forwardAnswered(const ledger_event::forward_answered &answer);
    void objectRead(const event_context &context, const ledger_event::object_read &result);
    void objectWritten(const event_context &context, const ledger_event::object_written &result);
    void tick(const event_context &context);

    std::optional<time_point> nextTick() const;
    void listUnknown(std::vector<unknown_booking> &list) const;
    void addCounts(ledger_counts &counts) const;

    /// Whether this agent owns the shard and has an entry for the key.
    bool contains(idempotency_key key) const
    {
        return m_phase == shard_phase::owned && m_records.contains(key);
    }

private:
    // Callers, the service and settlements.
    void handleAsOwner(const event_context &context, const booking_request &request);
    void handleRepeat(const event_context &context, ledger_record &record, const booking_request &request);
    void handleStored(const event_context &context, ledger_record &record, const booking_request &request);
    void attach(const event_context &context, ledger_record &record, const booking_request &request);
    void claim(const event_context &context, const booking_request &request);
    void reclaim(const event_context &context, ledger_record &record, const booking_request &request);
    bool refuseByAge(const event_context &context, const booking_request &request);
    void enqueue(const event_context &context, const booking_request &request);
    void start(const event_context &context, ledger_record &record, time_point issuedAt);
    void send(const event_context &context, ledger_record &record, const ledger_waiter &waiter);
    void release(const event_context &context, ledger_record &record);
    void finish(const event_context &context, ledger_record &record, const ledger_event::service_answered &answer);
    void replyFinished(const event_context &context, ledger_record &record);
    void settleRecord(const event_context &context, const ledger_event::settlement_requested &request);
    void refuse(const event_context &context, attempt_ref attempt, error_code code, run_state state,
                std::optional<duration> retryAfter = {});
    void refuseAll(const event_context &context, ledger_record &record, error_code code, run_state state,
                   std::optional<duration> retryAfter = {});
    void refuseNotOwner(const event_context &context, attempt_ref attempt);
    void refuseQueued(const event_context &context, error_code code);
    void replySettlement(const event_context &context, std::uint64_t settlementId, settle_result result);
    void expireWaiters(const event_context &context);
    void expireRecordWaiters(const event_context &context, ledger_record &record);
    void expireQueued(const event_context &context);
    std::optional<time_point> replyDeadline(const ledger_record &record, const ledger_waiter &waiter) const;

    // Head writes, segments and reads.
    bool isDirty() const;
    void commitIfDue(const event_context &context);
    void commit(const event_context &context);
    void collectEntries(const event_context &context, ledger_commit &commit, ledger_head &head);
    void dropExpiredSegments(const event_context &context, ledger_commit &commit);
    void sendCommit(const event_context &context);
    void sendReadBack(const event_context &context);
    void dispatchRead(const event_context &context, const ledger_event::object_read &result);
    void commitWriteDone(const event_context &context, const ledger_event::object_written &result);
    void commitReadBackDone(const event_context &context, const ledger_event::object_read &result);
    void writeAgain(const event_context &context, const ledger_head &head, const std::string &version);
    void commitStored(const event_context &context, const std::string &version);
    void commitFailed(const event_context &context);
    void entryStored(const event_context &context, ledger_record &record);
    void sealIfLarge(const event_context &context);
    void sendSegmentWrite(const event_context &context);
    void segmentWriteDone(const event_context &context, const ledger_event::object_written &result);
    void platformFailed(const event_context &context);
    void platformAnswered(const event_context &context);

    // Ownership.
    bool isLive(const std::string &owner) const;
    void acquire(const event_context &context);
    void abandonAcquire(const event_context &context);
    void headRead(const event_context &context, const ledger_event::object_read &result);
    void evaluateHead(const event_context &context, ledger_head head, const std::string &version);
    void readSegments(const event_context &context);
    void segmentRead(const event_context &context, const ledger_event::object_read &result);
    void takeOver(const event_context &context);
    void loadEntry(const event_context &context, const ledger_entry &entry, const std::string &segment,
                   std::vector<idempotency_key> &unknown);
    void becomeOwner(const event_context &context);
    void becomeRemote(const event_context &context, const std::string &owner);
    void becomeFenced(const event_context &context, ledger_head head, const std::string &version);
    void handOverRecord(const event_context &context, ledger_record &record);
    void queueForward(const event_context &context, const ledger_entry &entry, run_state state);
    void sendForward(const event_context &context, forwarded_settlement &forward);
    void retryForwards(const event_context &context);

    std::uint64_t nextNonce();
    object_operation nextOperation();
    ledger_record *findClaim(std::uint64_t nonce);

    const ledger_options &m_options;
    const std::vector<upstream_id> &m_live;
    std::uint32_t m_shard;
    std::uint64_t m_nonceCounter = 0;
    std::uint64_t m_operationCounter = 0;

    shard_phase m_phase = shard_phase::ownerUnknown;
    std::string m_remoteOwner; // upstream name of the other agent that owns the shard, when last known
    time_point m_remoteOwnerReadAt; // when m_remoteOwner was read from the head
    std::optional<time_point> m_platformDownUntil; // set after a failed call; no new calls before this time

    // State of an owned shard.
    std::string m_version; // of the head object; empty before its first write
    std::uint64_t m_epoch = 0;
    wall_time m_keptSince {}; // as in ledger_head
    std::map<idempotency_key, ledger_record> m_records;
    std::set<idempotency_key> m_unsealed; // keys whose entries are in the head or will be added to it
    std::map<std::uint64_t, idempotency_key> m_sentClaims; // by claim nonce; sent requests whose answer is still accepted
    std::vector<segment_ref> m_segments;
    bool m_segmentsChanged = false; // since the last commit
    std::size_t m_headBytes = 0; // of the last encoded head
    time_point m_nextCommit; // earliest time of the next commit if there is no burst
    std::optional<ledger_commit> m_commit;
    std::optional<segment_write> m_segmentWrite;

    // State of a take-over.
    std::uint64_t m_readOperation = 0; // read of the head in flight; 0 for none
    ledger_head m_loadedHead;
    std::vector<std::pair<std::string, std::vector<ledger_entry>>> m_loadedSegments;
    std::map<std::uint64_t, std::size_t> m_segmentReadsInFlight; // operation to index in m_loadedSegments
    std::size_t m_nextSegment = 0; // index of the next segment to read
    std::vector<booking_request> m_queuedRequests;
    std::vector<queued_settlement> m_queuedSettlements;

    // State that remains after the shard was lost to another owner.
    std::map<std::uint64_t, ledger_record> m_orphans; // by claim nonce; requests that the service has not answered
    std::map<std::uint64_t, forwarded_settlement> m_forwards; // by claim nonce; not yet accepted by the new owner

    ledger_counts m_counts;
};

} // namespace nutmegtally::detail

#include "ledger_shard_bookings.h"
#include "ledger_shard_commit.h"
#include "ledger_shard_owner.h"
