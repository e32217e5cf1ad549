// Gossip messages that carry configuration changes and membership records between processes, their JSON form, and the
// selection of peers.
#pragma once

#include <nutmegtally/config_log.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/membership.h>
#include <nutmegtally/time.h>
#include <nutmegtally/work.h>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// How changes are propagated. The benchmark "convergence" compares the modes; docs/decisions/dissemination.md has the
/// figures.
enum class dissemination_mode : std::uint8_t {
    push, // a change is pushed on arrival; no digest exchange
    pushPull, // push, and a periodic digest exchange (anti-entropy) that delivers missed changes
    pushPullLists, // push-pull that does not send a change to peers known to have it
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(dissemination_mode::count)> disseminationModeNames
    = {"push", "push-pull", "push-pull-lists"};

enum class message_kind : std::uint8_t {
    digest, // states what the sender has; the answer carries what it lacks
    push, // carries new changes or records
    fetch, // requests the configuration changes after the sender's version
    count
};

/// JSON-RPC method of each kind.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(message_kind::count)> messageMethods
    = {"digest.exchange", "change.push", "config.fetch"};

/// Mean load of a class as known to one process.
struct class_load_estimate {
    class_id workClass;
    mean_load_estimate mean;
};

/// A request or an answer. Unset parts are left out of the JSON form.
struct fleet_message {
    message_kind kind = message_kind::digest;
    vm_id sender;
    std::uint64_t configVersion = 0;
    duration confirmationAge {0}; // since the platform last confirmed the sender's version, directly or through a peer
    std::vector<config_change_ptr> changes;
    config_snapshot_ptr snapshot;
    std::uint64_t membershipDigest = 0;
    std::vector<domain_digest> domains; // only when the combined digests differ
    std::vector<record_version> recordVersions; // of the sender's records in the differing domains
    std::vector<member_record> members;
    std::vector<vm_id> requestedVms; // records that the sender lacks
    bool isDuplicate = false; // answer to a push: everything in it was known before
    std::vector<vm_id> informedPeers; // processes known to have configVersion
    std::vector<class_load_estimate> estimates;
};

nlohmann::json toJson(const member_record &record);
nlohmann::json toJson(const fleet_message &message);

/// @throws error malformedRequest
fleet_message parseFleetMessage(message_kind kind, const nlohmann::json &json);

/// Pseudo-random generator for peer selection and jitter. The owner provides the seed, so that a run can be repeated.
class gossip_random
{
public:
    explicit gossip_random(std::uint64_t seed);

    /// @return A number below @p bound; 0 if @p bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// @return A number in [0, 1).
    double fraction();

private:
    std::uint64_t m_state;
};

/// Chooses random peers among the usable members, with at least one in another failure domain if there is one.
/// @param self Never chosen; peers outside its domain count as in another domain.
/// @param excluded Never chosen; must be sorted.
std::vector<vm_id> choosePeers(const membership &members, const member_record &self, std::size_t count, const std::vector<vm_id> &excluded,
                               gossip_random &random);

} // namespace nutmegtally
