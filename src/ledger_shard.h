// One shard of the ledger: its owner state, its entries and the commit in flight. basic_ledger_core gives each event to
// the shard it belongs to. Definitions: ledger_shard_offers.h (callers and the service), ledger_shard_commit.h (head
// updates and lost answers), ledger_shard_owner.h (take-over and fencing).
//
// Invariants:
// - At most one conditional update of the head is in flight. While its result is not known, exactly the same update is
//   sent again with the same condition, so that a delayed first copy cannot take effect with other content.
// - run_request is only emitted for an entry whose claim a commit of this owner and epoch has stored.
// - A claim without outcome that an earlier epoch left behind becomes unknown in the take-over's own update.
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
    /// @param options Outlives the shard, as does @p live.
    ledger_shard(const ledger_options &options, const std::vector<upstream_id> &live, std::uint32_t shard);

    void offer(const ledger_turn &turn, const ledger_event::booking_offered &offered, booking_key key);
    void cancel(const ledger_turn &turn, attempt_ref attempt);
    void answered(const ledger_turn &turn, const ledger_event::service_answered &answer);
    void failed(const ledger_turn &turn, const ledger_event::service_failed &failure);
    void settle(const ledger_turn &turn, const ledger_event::settle_requested &request);
    void settleAnswered(const ledger_event::settle_answered &answer);
    void objectRead(const ledger_turn &turn, const ledger_event::object_read &result);
    void objectWritten(const ledger_turn &turn, const ledger_event::object_written &result);
    void tick(const ledger_turn &turn);

    std::optional<time_point> nextTick() const;
    void listUnknown(std::vector<unknown_booking> &list) const;
    void addCounts(ledger_counts &counts) const;

    bool holds(booking_key key) const
    {
        return m_phase == shard_phase::owned && m_records.contains(key);
    }

private:
    // Callers and the service.
    void offerToOwner(const ledger_turn &turn, const booking_offer &offer);
    void offerAgain(const ledger_turn &turn, ledger_record &record, const booking_offer &offer);
    void offerResting(const ledger_turn &turn, ledger_record &record, const booking_offer &offer);
    void attach(const ledger_turn &turn, ledger_record &record, const booking_offer &offer);
    void claim(const ledger_turn &turn, const booking_offer &offer);
    void claimAgain(const ledger_turn &turn, ledger_record &record, const booking_offer &offer);
    bool refuseByAge(const ledger_turn &turn, const booking_offer &offer);
    void park(const ledger_turn &turn, const booking_offer &offer);
    void start(const ledger_turn &turn, ledger_record &record, time_point issued);
    void send(const ledger_turn &turn, ledger_record &record, const ledger_waiter &waiter);
    void release(const ledger_turn &turn, ledger_record &record);
    void finish(const ledger_turn &turn, ledger_record &record, const ledger_event::service_answered &answer);
    void replyFinished(const ledger_turn &turn, ledger_record &record);
    void settleRecord(const ledger_turn &turn, const ledger_event::settle_requested &request);
    void refuse(const ledger_turn &turn, attempt_ref attempt, error_code code, run_state state, std::optional<duration> retryAfter = {});
    void refuseAll(const ledger_turn &turn, ledger_record &record, error_code code, run_state state,
                   std::optional<duration> retryAfter = {});
    void refuseNotOwner(const ledger_turn &turn, attempt_ref attempt);
    void refuseParked(const ledger_turn &turn, error_code code);
    void replySettle(const ledger_turn &turn, std::uint64_t settlement, settle_result result);
    void expireWaiters(const ledger_turn &turn);
    void expireRecordWaiters(const ledger_turn &turn, ledger_record &record);
    void expireParked(const ledger_turn &turn);
    std::optional<time_point> waiterLimit(const ledger_record &record, const ledger_waiter &waiter) const;

    // Head updates.
    bool isDirty() const;
    void commitIfDue(const ledger_turn &turn);
    void commit(const ledger_turn &turn);
    void collect(const ledger_turn &turn, ledger_commit &commit, ledger_head &head);
    void dropExpiredSegments(const ledger_turn &turn, ledger_commit &commit);
    void sendCommit(const ledger_turn &turn);
    void readBack(const ledger_turn &turn);
    void readResult(const ledger_turn &turn, const ledger_event::object_read &result);
    void commitWritten(const ledger_turn &turn, const ledger_event::object_written &result);
    void commitReadBack(const ledger_turn &turn, const ledger_event::object_read &result);
    void commitStored(const ledger_turn &turn, const std::string &version);
    void commitFailed(const ledger_turn &turn);
    void entryStored(const ledger_turn &turn, ledger_record &record);
    void sealIfLarge(const ledger_turn &turn);
    void sendSeal(const ledger_turn &turn);
    void sealWritten(const ledger_turn &turn, const ledger_event::object_written &result);
    void platformFailed(const ledger_turn &turn);
    void platformAnswered(const ledger_turn &turn);

    // Owner.
    bool isLive(const std::string &owner) const;
    void acquire(const ledger_turn &turn);
    void abandonAcquire(const ledger_turn &turn);
    void headRead(const ledger_turn &turn, const ledger_event::object_read &result);
    void considerHead(const ledger_turn &turn, ledger_head head, const std::string &version);
    void readSegments(const ledger_turn &turn);
    void segmentRead(const ledger_turn &turn, const ledger_event::object_read &result);
    void takeOver(const ledger_turn &turn);
    void adopt(const ledger_turn &turn, const ledger_entry &entry, const std::string &segment, std::vector<booking_key> &unknown);
    void becomeOwner(const ledger_turn &turn);
    void becomeForeign(const ledger_turn &turn, const std::string &owner);
    void fence(const ledger_turn &turn, ledger_head head, const std::string &version);
    void leaveRecord(const ledger_turn &turn, ledger_record &record);
    void keepLate(const ledger_turn &turn, const ledger_entry &entry, run_state state);
    void sendLate(const ledger_turn &turn, late_settlement &late);
    void retryLate(const ledger_turn &turn);

    std::uint64_t nextNonce();
    object_operation nextOperation();
    ledger_record *findClaim(std::uint64_t nonce);

    const ledger_options &m_options;
    const std::vector<upstream_id> &m_live;
    std::uint32_t m_shard;
    std::uint64_t m_nonceCounter = 0;
    std::uint64_t m_operationCounter = 0;

    shard_phase m_phase = shard_phase::absent;
    std::string m_owner; // of a foreign shard
    time_point m_ownerSeen; // when m_owner was read
    std::optional<time_point> m_platformDownUntil;

    // Owned.
    std::string m_version; // of the head object, empty before its first write
    std::uint64_t m_epoch = 0;
    wall_time m_keptSince {};
    std::map<booking_key, ledger_record> m_records;
    std::set<booking_key> m_unsealed; // keys whose entries are in the head or wait for it
    std::map<std::uint64_t, booking_key> m_claims; // nonces of claims that were sent
    std::vector<segment_ref> m_segments;
    bool m_segmentsChanged = false;
    std::size_t m_headBytes = 0; // of the last encoded head
    time_point m_nextCommit; // earliest time without a burst
    std::optional<ledger_commit> m_commit;
    std::optional<ledger_seal> m_seal;

    // During a take-over.
    std::uint64_t m_readOperation = 0;
    ledger_head m_takenHead;
    std::vector<std::pair<std::string, std::vector<ledger_entry>>> m_takenSegments;
    std::map<std::uint64_t, std::size_t> m_segmentReads; // operation to index in m_takenSegments
    std::size_t m_nextSegment = 0;
    std::vector<booking_offer> m_parked;
    std::vector<parked_settlement> m_parkedSettlements;

    // Calls that ran when the shard was lost, and outcomes on their way to the new owner.
    std::map<std::uint64_t, ledger_record> m_orphans; // by claim nonce
    std::map<std::uint64_t, late_settlement> m_late; // by claim nonce

    ledger_counts m_counts;
};

} // namespace nutmegtally::detail

#include "ledger_shard_commit.h"
#include "ledger_shard_offers.h"
#include "ledger_shard_owner.h"
