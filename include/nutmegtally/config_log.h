// The configuration's change log. The head object holds the newest changes as merge patches, which are the audit
// records at the same time; older changes are in audit segments, and a base object holds the whole configuration
// that the head's changes start from.
#pragma once

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/objects.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtally
{

/// One accepted change. Also its audit record.
struct config_change {
    std::uint64_t version = 0; // of the configuration after the change
    std::string nonce; // made by the operator's tool; tells its write from a racing one
    std::string who;
    std::int64_t when = 0; // milliseconds since the epoch
    std::string why;
    nlohmann::json patch; // RFC 7386 merge patch
    nlohmann::json previous; // merge patch that undoes the change
};

using config_change_ptr = std::shared_ptr<const config_change>;

nlohmann::json toJson(const config_change &change);

/// @throws error configurationInvalid
config_change parseConfigChange(const nlohmann::json &json);

/// The object `config/head`.
struct config_head {
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; // 0 stands for the empty configuration, which has no object
    std::vector<config_change_ptr> changes; // baseVersion + 1 to version
};

std::string toText(const config_head &head);

/// @param text Value of the object; empty if it does not exist yet.
/// @throws error configurationInvalid
config_head parseConfigHead(const std::string &text);

inline const std::string configHeadName = "config/head";

std::string configBaseName(std::uint64_t version);

/// Merge patch that turns @p patched back into @p before where @p patch changed it.
nlohmann::json inversePatch(const nlohmann::json &previous, const nlohmann::json &patch);

/// Merge patch from one document to another.
nlohmann::json mergePatchBetween(const nlohmann::json &from, const nlohmann::json &to);

/// A whole configuration.
struct config_snapshot {
    std::uint64_t version = 0;
    nlohmann::json document = nlohmann::json::object(); // without its version member
};

using config_snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// The newest configuration that a process has seen. The version only moves forward; changes apply in order only.
class config_replica
{
public:
    /// Applies the changes that follow the version held.
    /// @return Whether the version rose.
    bool apply(const std::vector<config_change_ptr> &changes);

    /// Takes a whole configuration if it is newer.
    bool apply(const config_snapshot &snapshot);

    std::uint64_t version() const
    {
        return m_snapshot->version;
    }

    config_snapshot_ptr snapshot() const
    {
        return m_snapshot;
    }

    /// Changes after a version.
    /// @return Nothing if some of them are no longer held; then the snapshot is needed.
    std::optional<std::vector<config_change_ptr>> changesSince(std::uint64_t version) const;

private:
    config_snapshot_ptr m_snapshot = std::make_shared<config_snapshot>();
    std::deque<config_change_ptr> m_recent; // consecutive, up to the version held; bounded
};

/// Checks a snapshot and builds the configuration from it.
/// @param faults Receives every fault.
fleet_config_ptr buildConfig(const config_snapshot &snapshot, std::vector<config_fault> &faults);

// --- Writing, for the operator's tool ---

struct change_request {
    std::string nonce;
    std::string who;
    std::int64_t when = 0;
    std::string why;
    nlohmann::json patch;
    std::optional<std::uint64_t> expectedVersion; // the version that the operator looked at
};

enum class change_status : std::uint8_t {
    accepted,
    conflict, // another change came first; raced lists the changes that the operator has not seen
    invalid, // the result would not pass the check; nothing was written
    unavailable, // nothing was written
    unknown, // the answer was lost and could not be settled; the audit log shows later whether the change is in
    count
};

struct change_result {
    change_status status = change_status::unavailable;
    std::uint64_t version = 0; // accepted: of the change; conflict: the newest
    std::vector<config_change_ptr> concurrentChanges;
    std::vector<config_fault> faults;
    std::string fault;
};

struct stored_config {
    object_status status = object_status::unavailable;
    std::uint64_t headObjectVersion = 0;
    std::uint64_t baseObjectVersion = 0;
    config_head head;
    config_snapshot snapshot;
};

namespace detail
{

/// Audit segments and base that a head needs before its changes may be dropped from it.
struct compaction_objects {
    std::vector<std::pair<std::string, std::string>> objects; // name and value
};

compaction_objects makeCompaction(const config_head &head, const config_snapshot &snapshot);
bool needsCompaction(const config_head &head, const config_change &change);
config_change makeChange(const stored_config &stored, const change_request &request);
std::string oversizeFault(const config_snapshot &after, const config_change &change);
const config_change *findChangeByNonce(const config_head &head, const std::string &nonce);
std::vector<config_change_ptr> changesAfter(const config_head &head, std::uint64_t version);
config_snapshot replayChanges(const config_snapshot &base, const config_head &head);

} // namespace detail

/// Reads the head and its base. A base that disappears in between was replaced: the head is read again.
template<object_store Store>
stored_config readStoredConfig(Store &store)
{
    constexpr int maxTries = 3;
    for (int i = 0; i < maxTries; ++i) {
        stored_config stored;
        const object_reply head = store.read(configHeadName);
        if (head.status != object_status::ok) {
            return stored;
        }
        stored.headObjectVersion = head.version;
        stored.head = parseConfigHead(head.value);
        config_snapshot base;
        if (stored.head.baseVersion != 0) {
            const object_reply reply = store.read(configBaseName(stored.head.baseVersion));
            if (reply.status != object_status::ok) {
                return stored;
            }
            if (reply.version == 0) {
                continue;
            }
            stored.baseObjectVersion = reply.version;
            base.version = stored.head.baseVersion;
            base.document = nlohmann::json::parse(reply.value);
        }
        stored.snapshot = detail::replayChanges(base, stored.head);
        stored.status = object_status::ok;
        return stored;
    }
    return {};
}

namespace detail
{

/// Creates the roll's objects. One that exists is left from a writer that stopped half-way and has the same value,
/// because accepted changes do not change.
template<object_store Store>
bool createObjects(Store &store, const compaction_objects &compaction)
{
    for (const auto &[objectName, value] : compaction.objects) {
        const object_status status = store.write(objectName, value, 0).status;
        if (status != object_status::ok && status != object_status::conflict) {
            return false;
        }
    }
    return true;
}

/// Repeats the conditional write until its result is known. The same expected version and nonce make a repetition
/// harmless: at most one of the writes takes effect.
template<object_store Store>
change_result commitHead(Store &store, const stored_config &stored, const config_head &head, const config_change &change)
{
    constexpr int maxTries = 5;
    const std::string text = toText(head);
    bool isUncertain = false;
    for (int i = 0; i < maxTries; ++i) {
        const object_reply written = store.write(configHeadName, text, stored.headObjectVersion);
        change_result result;
        result.version = change.version;
        if (written.status == object_status::ok) {
            result.status = change_status::accepted;
            return result;
        }
        if (written.status == object_status::unavailable && !isUncertain) {
            result.fault = written.fault;
            return result;
        }
        isUncertain = isUncertain || written.status == object_status::unknown;
        const object_reply current = store.read(configHeadName);
        if (current.status != object_status::ok || current.version == stored.headObjectVersion) {
            continue;
        }
        const config_head currentHead = parseConfigHead(current.value);
        if (findChangeByNonce(currentHead, change.nonce) != nullptr) {
            result.status = change_status::accepted;
            return result;
        }
        // A head that was rolled since may hold the change in an audit segment.
        if (isUncertain && currentHead.baseVersion >= change.version) {
            break;
        }
        result.status = change_status::conflict;
        result.version = currentHead.version;
        result.concurrentChanges = changesAfter(currentHead, stored.head.version);
        return result;
    }
    change_result result;
    result.status = isUncertain ? change_status::unknown : change_status::unavailable;
    result.version = change.version;
    return result;
}

} // namespace detail

/// Makes one change, or reports why not. At most one of racing changes to a version is accepted.
template<object_store Store>
change_result applyChange(Store &store, const change_request &request)
{
    change_result result;
    const stored_config stored = readStoredConfig(store);
    if (stored.status != object_status::ok) {
        return result;
    }
    if (request.expectedVersion && *request.expectedVersion != stored.head.version) {
        result.status = change_status::conflict;
        result.version = stored.head.version;
        result.concurrentChanges = detail::changesAfter(stored.head, *request.expectedVersion);
        return result;
    }
    const auto change = std::make_shared<const config_change>(detail::makeChange(stored, request));
    config_replica after;
    after.apply(stored.snapshot);
    after.apply({change});
    buildConfig(*after.snapshot(), result.faults);
    result.fault = detail::oversizeFault(*after.snapshot(), *change);
    if (!result.faults.empty() || !result.fault.empty()) {
        result.status = change_status::invalid;
        return result;
    }
    config_head head = stored.head;
    const bool isCompacted = detail::needsCompaction(head, *change);
    if (isCompacted) {
        if (!detail::createObjects(store, detail::makeCompaction(stored.head, stored.snapshot))) {
            return result;
        }
        head.baseVersion = head.version;
        head.changes.clear();
    }
    head.version = change->version;
    head.changes.push_back(change);
    result = detail::commitHead(store, stored, head, *change);
    if (isCompacted && result.status == change_status::accepted && stored.head.baseVersion != 0) {
        // Readers that find the old base missing read the head again.
        store.remove(configBaseName(stored.head.baseVersion), stored.baseObjectVersion);
    }
    return result;
}

/// Audit records of a version range, from the segments and the head, oldest first.
/// @return Nothing if a part cannot be read.
template<object_store Store>
std::optional<std::vector<config_change_ptr>> readAudit(Store &store, std::uint64_t first, std::uint64_t last)
{
    const object_list segments = store.list("audit/");
    const object_reply head = store.read(configHeadName);
    if (segments.status != object_status::ok || head.status != object_status::ok) {
        return {};
    }
    std::map<std::uint64_t, config_change_ptr> byVersion;
    const auto addIfInRange = [&](config_change_ptr change) {
        if (change->version >= first && change->version <= last) {
            byVersion.emplace(change->version, std::move(change));
        }
    };
    const config_head parsed = parseConfigHead(head.value);
    for (const object_entry &entry : segments.entries) {
        const std::size_t dash = entry.name.rfind('-');
        const std::uint64_t from = std::stoull(entry.name.substr(std::string("audit/").size()));
        const std::uint64_t to = dash == std::string::npos ? from : std::stoull(entry.name.substr(dash + 1));
        if (to < first || from > last || to > parsed.baseVersion) {
            continue; // out of range, or left from a writer whose change was not accepted
        }
        const object_reply reply = store.read(entry.name);
        if (reply.status != object_status::ok) {
            return {};
        }
        for (const nlohmann::json &json : nlohmann::json::parse(reply.value)) {
            addIfInRange(std::make_shared<const config_change>(parseConfigChange(json)));
        }
    }
    for (const config_change_ptr &change : parsed.changes) {
        addIfInRange(change);
    }
    std::vector<config_change_ptr> result;
    result.reserve(byVersion.size());
    for (auto &[version, change] : byVersion) {
        result.push_back(std::move(change));
    }
    return result;
}

} // namespace nutmegtally
