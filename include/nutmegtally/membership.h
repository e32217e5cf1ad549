// Membership view of the fleet's processes. The record with the higher incarnation, change number and state, compared
// in this order, wins, so views that have seen the same records are equal whatever the order of arrival.
#pragma once

#include <nutmegtally/ids.h>
#include <nutmegtally/time.h>
#include <nutmegtally/work.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtally
{

/// What a process announces about itself.
struct member_record {
    vm_id vm;
    std::string name; // of the VM
    std::string role; // "router" or "agent"
    std::string domain;
    std::string region;
    std::string upstream; // agents only
    std::string model; // engines only
    std::string service; // plain services only
    std::string address; // host:port of the inner listener
    std::uint64_t incarnation = 0; // grows with each start of the process
    std::uint64_t changeNumber = 0; // grows with each change within an incarnation
    upstream_state state = upstream_state::live;

    bool operator==(const member_record &) const = default;
};

/// Part of a record that decides which of two records is newer.
struct record_version {
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t changeNumber = 0;
    upstream_state state = upstream_state::live;

    bool operator==(const record_version &) const = default;
};

record_version versionOf(const member_record &record);

/// @return Whether @p left replaces @p right. Both are of the same VM.
bool isNewer(const record_version &left, const record_version &right);

/// Upstream that an agent's record describes, as routers use it.
upstream_info toUpstream(const member_record &record);

/// Digest of the records of one failure domain that are not gone.
struct domain_digest {
    domain_id domain;
    std::uint64_t digest = 0;

    bool operator==(const domain_digest &) const = default;
};

struct membership_options {
    duration unreachableAfter = std::chrono::seconds(10); // a member whose contacts fail for this long is unreachable for this process
    duration vmListLifetime = std::chrono::seconds(30); // an older VM list is no evidence of absence
    duration goneRetention = std::chrono::minutes(10); // records of gone members are kept this long to reject delayed older copies
    duration flapHalfLife = std::chrono::seconds(30);
    double flapThreshold = 3; // penalty of a flapping member, whose changes are not pushed and which is not selected as a watcher
};

/// How an update changed a view.
enum class merge_result : std::uint8_t {
    unchanged,
    added,
    changed,
    count
};

/// A member's record and what this process knows about the member. Only the record is sent to peers.
struct member_view {
    member_record record;
    domain_id domain; // of the record; cached because hashing its name in each pass over the members costs too much
    std::optional<time_point> failingSince; // first failed contact since the last success
    bool isUnreachable = false; // local decision, not sent to peers
    bool isInVmList = true; // the newest readable VM list has the VM
    double flapPenalty = 0;
    time_point flapPenaltyAt;
    time_point goneAt;

    /// Whether the member may be chosen as a peer and counts in the selection of watchers.
    bool isUsable() const
    {
        return record.state != upstream_state::gone && !isUnreachable;
    }
};

class membership
{
public:
    explicit membership(membership_options options = {});

    /// Applies the record if it is newer than the known one.
    merge_result merge(time_point now, const member_record &record);

    /// Records that the process answered.
    /// @return Whether it counted as unreachable before.
    bool recordSuccess(time_point now, vm_id vm);

    /// Records a failed contact. A single lost message decides nothing: the second failure in a row marks a member as
    /// gone if a fresh VM list lacks it, and failures for unreachableAfter make any member unreachable for this
    /// process.
    /// @return Whether the member became gone or unreachable.
    bool recordFailure(time_point now, vm_id vm);

    /// Applies a VM list that was read successfully. Absence alone changes no record. A live member listed as leaving
    /// changes its state and raises its change number.
    /// @return Records that changed.
    std::vector<member_record> applyVmList(time_point now, const std::map<vm_id, bool> &leavingByVm);

    /// Removes members that have been gone for longer than goneRetention.
    void purgeGone(time_point now);

    /// Decayed number of recent returns of the member.
    double flapPenalty(time_point now, vm_id vm) const;
    bool isFlapping(time_point now, vm_id vm) const;

    /// @return The member, or null.
    const member_view *find(vm_id vm) const;
    const std::map<vm_id, member_view> &members() const;

    /// Combined digest of all domains; equal views have equal digests.
    std::uint64_t digest() const;
    std::vector<domain_digest> domainDigests() const;

    /// Domains whose digests differ from this view's, or that only one side knows.
    std::vector<domain_id> differingDomains(const std::vector<domain_digest> &others) const;
    std::vector<record_version> recordVersions(const std::vector<domain_id> &domains) const;

    /// The first @p count usable members of each domain in rendezvous order; these watch the configuration.
    std::vector<vm_id> watchers(time_point now, std::size_t count) const;

    std::size_t countUsableInDomain(domain_id domain) const;

private:
    void addToDigest(const member_record &record);

    void addFlapPenalty(time_point now, member_view &view);

    membership_options m_options;
    std::optional<time_point> m_vmListAt; // of the newest VM list
    std::map<vm_id, member_view> m_members;
    // For each domain, the sum of the hashes of its records that are not gone. A sum does not depend on the order, and
    // the change of one record needs no pass over the others.
    std::map<domain_id, std::uint64_t> m_digests;
};

} // namespace nutmegtally
