// Fleet reducer of one process: watches the configuration on the platform, maintains the membership view and exchanges
// both with its peers by gossip: changes are pushed on arrival, and periodic digest exchanges repair what was missed.
// Daemons run it with fleet_driver; the benchmark "convergence" runs it in virtual time.
#pragma once

#include <nutmegtally/config_log.h>
#include <nutmegtally/dissemination.h>
#include <nutmegtally/fleet_config.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/membership.h>
#include <nutmegtally/objects.h>
#include <nutmegtally/reducer.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtally
{

namespace fleet_event
{

/// The driver sends this every 100 ms.
struct tick {
};

/// Result of watch_head or read_head. A watch that ended without a change has an empty value.
struct head_read {
    std::uint64_t operation = 0;
    object_status status = object_status::unavailable;
    std::uint64_t objectVersion = 0;
    bool changed = false;
    std::string value;
};

/// Result of read_base.
struct base_read {
    std::uint64_t operation = 0;
    object_status status = object_status::unavailable;
    std::uint64_t version = 0; // of the configuration
    bool exists = false;
    std::string value;
};

struct listed_vm {
    std::string name;
    std::string address;
    bool leaving = false;
};

/// Result of read_vm_list. A list that could not be read is no evidence about any VM.
struct vm_list_read {
    bool available = false;
    bool changed = false;
    std::vector<listed_vm> vms;
};

/// A peer called this process; exactly one answer_peer with the same operation follows in the same apply().
struct message_received {
    std::uint64_t operation = 0; // given by the driver
    fleet_message message;
};

/// Result of call_peer.
struct call_answered {
    std::uint64_t operation = 0;
    fleet_message answer;
};

struct call_failed {
    std::uint64_t operation = 0;
};

/// Outcome of a request to the VM's process in serving traffic; input of failure detection.
struct contact_observed {
    vm_id vm;
    bool succeeded = false;
};

struct load_estimates_changed {
    std::vector<class_load_estimate> estimates;
};

/// A peer's message carried this configuration version.
struct config_version_observed {
    std::uint64_t version = 0;
};

/// This process starts to leave the fleet.
struct leave_requested {
};

} // namespace fleet_event

namespace fleet_effect
{

/// Wait for a version of `config/head` other than the known one.
struct watch_head {
    std::uint64_t operation = 0;
    std::uint64_t knownVersion = 0;
    duration wait {0};
};

struct read_head {
    std::uint64_t operation = 0;
};

struct read_base {
    std::uint64_t operation = 0;
    std::uint64_t version = 0;
};

struct read_vm_list {
};

struct call_peer {
    std::uint64_t operation = 0;
    vm_id peer; // invalid if no known record has the address
    std::string address;
    fleet_message message;
};

struct answer_peer {
    std::uint64_t operation = 0;
    fleet_message message;
};

/// A newer configuration is in force.
struct config_applied {
    fleet_config_ptr config;
};

/// A member was added or changed in this process's view. The record of an agent describes an upstream.
struct member_changed {
    member_record record; // state gone also for a member that this process cannot reach
};

/// The VM list or a peer's record says that this process's VM is leaving.
struct self_leaving {
};

struct load_estimates_received {
    std::vector<class_load_estimate> estimates;
};

/// The configuration has not been confirmed for staleAfter, or was confirmed again.
struct staleness_changed {
    bool isStale = false;
};

} // namespace fleet_effect

struct fleet_options {
    std::uint64_t seed = 1;
    member_record self;
    std::vector<std::string> seedAddresses; // peers to contact at startup, in addition to the VM list
    dissemination_mode mode = dissemination_mode::pushPullLists;
    std::size_t watchersPerDomain = 3;
    std::size_t fanout = 3;
    duration digestInterval = std::chrono::milliseconds(1500);
    duration watchTimeout = std::chrono::seconds(2); // an unanswered watch delays a change by at most this plus one call timeout
    duration minWatchInterval = std::chrono::seconds(1); // from a watch that reported a change to the next watch
    duration platformRetryInterval = std::chrono::milliseconds(1000); // between failed platform calls; up to 1/4 jitter for the head
    duration vmListInterval = std::chrono::seconds(10);
    duration confirmationTimeout = std::chrono::seconds(30); // without a confirmation, until the head is read directly; up to 1/3 jitter
    duration staleAfter = std::chrono::seconds(60);
    membership_options members;
};

/// What the status page and nutmegtallyctl show.
struct fleet_status {
    std::uint64_t configVersion = 0;
    bool isReady = false; // a configuration has been received
    bool isStale = false;
    bool isWatcher = false;
    duration confirmationAge {0};
    std::size_t members = 0;
    std::uint64_t membershipDigest = 0;
    std::uint64_t duplicates = 0; // pushed changes that were already known
    std::uint64_t pushes = 0;
};

class fleet_core
{
public:
    using event
        = std::variant<fleet_event::tick, fleet_event::head_read, fleet_event::base_read, fleet_event::vm_list_read,
                       fleet_event::message_received, fleet_event::call_answered, fleet_event::call_failed, fleet_event::contact_observed,
                       fleet_event::load_estimates_changed, fleet_event::config_version_observed, fleet_event::leave_requested>;
    using effect
        = std::variant<fleet_effect::watch_head, fleet_effect::read_head, fleet_effect::read_base, fleet_effect::read_vm_list,
                       fleet_effect::call_peer, fleet_effect::answer_peer, fleet_effect::config_applied, fleet_effect::member_changed,
                       fleet_effect::self_leaving, fleet_effect::load_estimates_received, fleet_effect::staleness_changed, log_record>;

    explicit fleet_core(fleet_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    fleet_status status(time_point now) const;

    const membership &members() const
    {
        return m_members;
    }

    const config_replica &config() const
    {
        return m_config;
    }

    const member_record &self() const
    {
        return m_self;
    }

private:
    using effects_type = std::vector<effect>;

    /// A call to a peer whose result is pending.
    struct pending_call {
        vm_id peer;
        message_kind kind = message_kind::digest;
        std::uint64_t pushedVersion = 0; // of a push
        unsigned retriesOrStep = 0; // of a push: other peers to try if it fails; of a digest: step of the membership exchange
        unsigned pushesLeft = 0; // pushes that may still follow this one; an answer that reports a duplicate uses up two
    };

    void on(time_point now, const fleet_event::tick &input, effects_type &effects);
    void on(time_point now, const fleet_event::head_read &input, effects_type &effects);
    void on(time_point now, const fleet_event::base_read &input, effects_type &effects);
    void on(time_point now, const fleet_event::vm_list_read &input, effects_type &effects);
    void on(time_point now, const fleet_event::message_received &input, effects_type &effects);
    void on(time_point now, const fleet_event::call_answered &input, effects_type &effects);
    void on(time_point now, const fleet_event::call_failed &input, effects_type &effects);
    void on(time_point now, const fleet_event::contact_observed &input, effects_type &effects);
    void on(time_point now, const fleet_event::load_estimates_changed &input, effects_type &effects);
    void on(time_point now, const fleet_event::config_version_observed &input, effects_type &effects);
    void on(time_point now, const fleet_event::leave_requested &input, effects_type &effects);

    void start(time_point now, effects_type &effects);
    void issuePlatformReads(time_point now, effects_type &effects);
    void selectWatchers(time_point now);
    void updateStaleness(time_point now, effects_type &effects);
    void readUnconfirmedHead(time_point now, effects_type &effects);
    void confirm(time_point now, duration age);
    duration confirmationAge(time_point now) const;
    void applyHead(time_point now, const std::string &value, effects_type &effects);
    void mergeConfig(time_point now, const fleet_message &message, effects_type &effects);
    void publishConfig(time_point now, std::uint64_t oldVersion, effects_type &effects);
    void mergeMembers(time_point now, const std::vector<member_record> &records, effects_type &effects);
    void mergeSelf(time_point now, const member_record &record, effects_type &effects);
    void announceSelf(time_point now, effects_type &effects);
    void reportMember(time_point now, vm_id vm, merge_result result, effects_type &effects);
    void recordPeerSuccess(time_point now, vm_id vm, effects_type &effects);
    void recordPeerFailure(time_point now, vm_id vm, effects_type &effects);
    void pushConfig(time_point now, std::size_t count, unsigned pushesLeft, effects_type &effects);
    void startConfigPush(time_point now, effects_type &effects);
    void appendInformedPeers(fleet_message &message);
    void pushRecords(time_point now, const std::vector<vm_id> &vms, effects_type &effects);
    void startDigestExchange(time_point now, effects_type &effects);
    void callVm(time_point now, vm_id vm, fleet_message message, pending_call call, effects_type &effects);
    vm_id chooseDigestPeer();
    std::string chooseBootstrapAddress();
    std::string chooseUnknownAddress();
    fleet_message makeMessage(time_point now, message_kind kind) const;
    fleet_message makeAnswer(time_point now, const fleet_message &request);
    void appendMissingConfig(std::uint64_t since, fleet_message &message) const;
    void appendMissingMembers(const fleet_message &request, fleet_message &message) const;
    void appendRecords(const std::vector<vm_id> &vms, fleet_message &message) const;
    void continueExchange(time_point now, const pending_call &call, const fleet_message &answer, effects_type &effects);
    void addInformedPeer(std::uint64_t version, vm_id vm);
    void markRecentlyChanged(time_point now, vm_id vm);
    std::vector<vm_id> recentlyChangedVms(time_point now) const;

    fleet_options m_options;
    member_record m_self;
    gossip_random m_random;
    config_replica m_config;
    membership m_members;
    std::map<std::uint64_t, pending_call> m_calls;
    std::map<vm_id, std::string> m_listedAddresses; // addresses of the newest VM list
    std::map<vm_id, bool> m_listedLeaving; // from the same list
    std::vector<vm_id> m_informedPeers; // sorted; processes known to have m_config's version
    std::deque<std::pair<time_point, vm_id>> m_recentlyChanged; // members whose records changed recently
    std::vector<class_load_estimate> m_loadEstimates;
    std::vector<vm_id> m_watchers; // of all domains, as selected from this process's view
    config_head m_pendingHead; // head whose base is being read; version 0 for none
    std::uint64_t m_nextOperation = 1;
    std::uint64_t m_headOperation = 0; // 0 if no platform call for the head is open
    std::uint64_t m_headObjectVersion = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_pushes = 0;
    unsigned m_digestRounds = 0;
    unsigned m_unknownAddressRounds = 0;
    time_point m_confirmedAt;
    time_point m_nextDigest;
    time_point m_nextWatch;
    time_point m_nextVmListRead;
    time_point m_nextWatcherSelection;
    time_point m_nextUnconfirmedRead;
    duration m_confirmationTimeout {0};
    bool m_isStarted = false;
    bool m_isConfirmed = false; // by the platform since the start, directly or through a peer
    bool m_isWatcher = false;
    bool m_isPlatformReachable = true;
    bool m_isStale = false;
    bool m_isVmListReadPending = false;
    bool m_isDigestPending = false;
};

static_assert(reducer<fleet_core>);

} // namespace nutmegtally
