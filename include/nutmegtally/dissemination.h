// Messages between processes that carry configuration changes and membership records, their JSON form, and the
// choice of peers.
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

/// How changes travel. The benchmark "convergence" compares them; docs/decisions/dissemination.md has the figures.
enum class dissemination_mode : std::uint8_t {
    push, // a change is pushed on arrival; no digest exchange
    pushPull, // and a periodic digest exchange delivers what was missed
    pushPullLists, // and peers that are known to have a change are not sent it again
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(dissemination_mode::count)> disseminationModeNames
    = {"push", "push-pull", "push-pull-lists"};

enum class message_kind : std::uint8_t {
    digest, // what the sender has; the answer carries what it lacks
    push, // something new
    fetch, // asks for the configuration after the sender's version
    count
};

/// JSON-RPC method of each kind.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(message_kind::count)> messageMethods
    = {"digest.exchange", "change.push", "config.fetch"};

/// Mean load of a class as one process knows it.
struct class_load_estimate {
    class_id workClass;
    mean_load_estimate mean;
};

/// A request or an answer. Unset parts are not transferred.
struct fleet_message {
    message_kind kind = message_kind::digest;
    vm_id sender;
    std::uint64_t configVersion = 0;
    duration confirmationAge {0}; // since the platform last confirmed the sender's version, through anyone
    std::vector<config_change_ptr> changes;
    config_snapshot_ptr snapshot;
    std::uint64_t membershipDigest = 0;
    std::vector<domain_digest> domains; // only when the folded digests differ
    std::vector<record_version> recordVersions; // what the sender has of the differing domains
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

/// Deterministic numbers for choices; the seed comes from outside.
class gossip_random
{
public:
    explicit gossip_random(std::uint64_t seed);

    /// @return A number below @p bound; 0 if @p bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// @return A number from 0 to 1.
    double fraction();

private:
    std::uint64_t m_state;
};

/// Random peers out of the usable members, with at least one in another domain if there is one.
/// @param self Left out, and decides which domain is the other one.
/// @param excluded Left out as long as others remain; sorted.
std::vector<vm_id> choosePeers(const membership &members, const member_record &self, std::size_t count, const std::vector<vm_id> &excluded,
                               gossip_random &random);

} // namespace nutmegtally
