// View of the fleet's processes. Records merge by incarnation, change number and state, so views that have seen the
// same records are equal in whatever order they arrived.
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

/// The part of a record that decides which of two is newer.
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

/// The upstream of an agent's record, as routers use it.
upstream_info toUpstream(const member_record &record);

/// Digest of the records of one domain that are not gone.
struct domain_digest {
    domain_id domain;
    std::uint64_t digest = 0;

    bool operator==(const domain_digest &) const = default;
};

struct membership_options {
    duration unreachableAfter = std::chrono::seconds(10); // failed contact for this long: gone for this process
    duration vmListLifetime = std::chrono::seconds(30); // an older VM list is no evidence of absence
    duration goneRetention = std::chrono::minutes(10); // records of gone members are kept to refuse late copies
    duration flapHalfLife = std::chrono::seconds(30);
    double flapThreshold = 3; // penalty from which changes of a member are no longer pushed
};

/// How an update changed a view.
enum class merge_result : std::uint8_t {
    unchanged,
    added,
    changed,
    count
};

/// A member with what this process knows about it. Only the record is shared with others.
struct member_view {
    member_record record;
    domain_id domain; // of the record; hashing its name for each pass over the members costs too much
    std::optional<time_point> failingSince; // first failed contact without a success since
    bool isUnreachable = false; // verdict of this process only
    bool isInVmList = true; // the newest readable VM list has the VM
    double flapPenalty = 0;
    time_point flapPenaltyAt;
    time_point goneAt;

    /// Takes part in exchanges and may be chosen as a watcher.
    bool isUsable() const
    {
        return record.state != upstream_state::gone && !isUnreachable;
    }
};

class membership
{
public:
    explicit membership(membership_options options = {});

    /// Takes the record if it is newer than the one known.
    merge_result merge(time_point now, const member_record &record);

    /// Direct evidence that the process answers.
    /// @return Whether it counted as unreachable before.
    bool recordSuccess(time_point now, vm_id vm);

    /// A single lost message is no verdict: the second failure in a row makes a member gone that a fresh VM list lacks,
    /// and failures for unreachableAfter make any member unreachable for this process.
    /// @return Whether one of these happened.
    bool recordFailure(time_point now, vm_id vm);

    /// Takes a VM list that could be read. Absence alone changes no record; `leaving` raises the change number.
    /// @return Records that changed.
    std::vector<member_record> applyVmList(time_point now, const std::map<vm_id, bool> &leavingByVm);

    /// Removes members that have been gone for long.
    void purgeGone(time_point now);

    /// Decayed number of recent returns of the member.
    double flapPenalty(time_point now, vm_id vm) const;
    bool isFlapping(time_point now, vm_id vm) const;

    /// @return The member, or null.
    const member_view *find(vm_id vm) const;
    const std::map<vm_id, member_view> &members() const;

    /// Folded over all domains; equal views have equal digests.
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
    // Sum of the hashes of each domain's records that are not gone: order does not matter, and one record's change
    // is added and removed without a pass over the others.
    std::map<domain_id, std::uint64_t> m_digests;
};

} // namespace nutmegtally
