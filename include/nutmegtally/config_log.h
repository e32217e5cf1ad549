// Change log of the configuration. The head object holds the newest changes as merge patches, which are also their
// audit records. Compaction moves them to audit segments and writes a base object with the complete configuration that
// the head's next changes apply to.
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

/// An accepted change and its audit record.
struct config_change {
    std::uint64_t version = 0; // of the configuration after the change
    std::string nonce; // created by the operator's tool to distinguish its write from a concurrent one
    std::string who; // operator
    std::int64_t when = 0; // milliseconds since the epoch
    std::string why; // reason given by the operator
    nlohmann::json patch; // RFC 7386 merge patch
    nlohmann::json previous; // merge patch with the previous values, which undoes the change
};

using config_change_ptr = std::shared_ptr<const config_change>;

nlohmann::json toJson(const config_change &change);

/// @throws error configurationInvalid
config_change parseConfigChange(const nlohmann::json &json);

/// The object `config/head`.
struct config_head {
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; // 0 is the empty configuration, which has no base object
    std::vector<config_change_ptr> changes; // versions baseVersion + 1 to version
};

std::string toText(const config_head &head);

/// @param text Value of the head object; empty if it does not exist yet.
/// @throws error configurationInvalid
config_head parseConfigHead(const std::string &text);

inline const std::string configHeadName = "config/head";

std::string configBaseName(std::uint64_t version);

/// Merge patch that restores @p previous after @p patch has been applied to it.
nlohmann::json inversePatch(const nlohmann::json &previous, const nlohmann::json &patch);

/// Merge patch that turns @p from into @p to.
nlohmann::json mergePatchBetween(const nlohmann::json &from, const nlohmann::json &to);

/// A complete configuration.
struct config_snapshot {
    std::uint64_t version = 0;
    nlohmann::json document = nlohmann::json::object(); // without its version member
};

using config_snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// The newest configuration that a process has received. Changes are only applied in order, and the version never
/// decreases.
class config_replica
{
public:
    /// Applies those changes that directly follow the current version.
    /// @return Whether the version changed.
    bool apply(const std::vector<config_change_ptr> &changes);

    /// Replaces the configuration by a newer one.
    /// @return Whether @p snapshot was newer.
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
    /// @return Nothing if some of them are no longer in memory; the receiver then needs the snapshot.
    std::optional<std::vector<config_change_ptr>> changesSince(std::uint64_t version) const;

private:
    config_snapshot_ptr m_snapshot = std::make_shared<config_snapshot>();
    std::deque<config_change_ptr> m_recent; // consecutive versions up to the current one; at most maxRecentChanges
};

/// Validates a snapshot and builds the configuration from it.
/// @param faults Every validation error is appended.
fleet_config_ptr buildConfig(const config_snapshot &snapshot, std::vector<config_fault> &faults);

// --- Writing, for the operator's tool ---

struct change_request {
    std::string nonce;
    std::string who;
    std::int64_t when = 0;
    std::string why;
    nlohmann::json patch;
    std::optional<std::uint64_t> expectedVersion; // version that the operator based the change on
};

enum class change_status : std::uint8_t {
    accepted,
    conflict, // another change was accepted first; concurrentChanges has the changes that the operator has not seen
    invalid, // the resulting configuration is not valid; nothing was written
    unavailable, // the platform is not available; nothing was written
    unknown, // the response was lost and reading back did not help; the audit log will tell whether it was accepted
    count
};

struct change_result {
    change_status status = change_status::unavailable;
    std::uint64_t version = 0; // accepted: version of the change; conflict: newest version
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

/// Objects to create before the changes may be removed from a head: audit segments and the new base.
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

/// Reads the head and its base. If the base was deleted in between, a compaction has replaced it, so the head is read
/// again.
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

/// Creates the objects of a compaction. An object that exists was left by a writer that stopped during the same
/// compaction. It has the same value, because accepted changes are immutable.
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

/// Repeats the conditional write until its result is known. Repeating is safe because the expected version and the nonce
/// stay the same: at most one of the writes takes effect.
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
        // The head has been compacted since, so the change may be in an audit segment.
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

/// Applies one change. Of concurrent changes to the same version, at most one is accepted.
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
        // Safe for concurrent readers: if the old base is missing, they read the head again.
        store.remove(configBaseName(stored.head.baseVersion), stored.baseObjectVersion);
    }
    return result;
}

/// Audit records of the versions @p first to @p last from the segments and the head, oldest first.
/// @return Nothing if an object cannot be read.
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
            continue; // out of range, or left by a writer whose compaction was not committed
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
