// Change log of the configuration: codec of its objects, compaction, and the replica that applies changes.
#include "limits.h"

#include <nutmegtally/config_log.h>
#include <nutmegtally/errors.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

json withoutVersion(json document)
{
    if (document.is_object()) {
        document.erase("version");
    }
    return document;
}

std::string auditSegmentName(const std::vector<config_change_ptr> &changes, std::size_t first, std::size_t last)
{
    return "audit/" + std::to_string(changes[first]->version) + "-" + std::to_string(changes[last]->version);
}

std::size_t headBytes(const config_head &head)
{
    return toText(head).size();
}

} // namespace

json toJson(const config_change &change)
{
    return {{"version", change.version}, {"nonce", change.nonce}, {"who", change.who},        {"when", change.when},
            {"why", change.why},         {"patch", change.patch}, {"before", change.previous}};
}

config_change parseConfigChange(const json &source)
{
    try {
        config_change change;
        change.version = source.at("version").get<std::uint64_t>();
        change.nonce = source.at("nonce").get<std::string>();
        change.who = source.value("who", "");
        change.when = source.value("when", std::int64_t(0));
        change.why = source.value("why", "");
        change.patch = source.at("patch");
        change.previous = source.value("before", json::object());
        return change;
    } catch (const json::exception &fault) {
        throw error(error_code::configurationInvalid, std::string("change record: ") + fault.what());
    }
}

std::string toText(const config_head &head)
{
    json changes = json::array();
    for (const config_change_ptr &change : head.changes) {
        changes.push_back(toJson(*change));
    }
    return json({{"version", head.version}, {"baseVersion", head.baseVersion}, {"changes", std::move(changes)}}).dump();
}

config_head parseConfigHead(const std::string &text)
{
    config_head head;
    if (text.empty()) {
        return head;
    }
    try {
        const json source = json::parse(text);
        head.version = source.at("version").get<std::uint64_t>();
        head.baseVersion = source.at("baseVersion").get<std::uint64_t>();
        for (const json &change : source.at("changes")) {
            head.changes.push_back(std::make_shared<const config_change>(parseConfigChange(change)));
        }
    } catch (const json::exception &fault) {
        throw error(error_code::configurationInvalid, configHeadName + ": " + fault.what());
    }
    std::uint64_t version = head.baseVersion;
    for (const config_change_ptr &change : head.changes) {
        if (change->version != ++version) {
            throw error(error_code::configurationInvalid, configHeadName + ": the versions of the changes are not consecutive");
        }
    }
    if (version != head.version) {
        throw error(error_code::configurationInvalid,
                    configHeadName + ": the version of the last change differs from the version of the head");
    }
    return head;
}

std::string configBaseName(std::uint64_t version)
{
    return "config/base-" + std::to_string(version);
}

json inversePatch(const json &previous, const json &patch)
{
    if (!patch.is_object()) {
        return previous;
    }
    json inverse = json::object();
    for (const auto &[key, value] : patch.items()) {
        const bool existed = previous.is_object() && previous.contains(key);
        if (!existed) {
            inverse[key] = nullptr;
        } else if (value.is_object() && previous.at(key).is_object()) {
            inverse[key] = inversePatch(previous.at(key), value);
        } else {
            inverse[key] = previous.at(key);
        }
    }
    return inverse;
}

json mergePatchBetween(const json &from, const json &to)
{
    if (!from.is_object() || !to.is_object()) {
        return to;
    }
    json patch = json::object();
    for (const auto &[key, value] : from.items()) {
        if (!to.contains(key)) {
            patch[key] = nullptr;
        } else if (to.at(key) != value) {
            patch[key] = mergePatchBetween(value, to.at(key));
        }
    }
    for (const auto &[key, value] : to.items()) {
        if (!from.contains(key)) {
            patch[key] = value;
        }
    }
    return patch;
}

bool config_replica::apply(const std::vector<config_change_ptr> &changes)
{
    const auto next = std::find_if(changes.begin(), changes.end(), [&](const auto &change) { return change->version == version() + 1; });
    if (next == changes.end()) {
        return false;
    }
    auto snapshot = std::make_shared<config_snapshot>(*m_snapshot);
    for (auto it = next; it != changes.end() && (*it)->version == snapshot->version + 1; ++it) {
        snapshot->document.merge_patch((*it)->patch);
        snapshot->document = withoutVersion(std::move(snapshot->document));
        snapshot->version = (*it)->version;
        m_recent.push_back(*it);
    }
    while (m_recent.size() > limits::maxRecentChanges) {
        m_recent.pop_front();
    }
    m_snapshot = std::move(snapshot);
    return true;
}

bool config_replica::apply(const config_snapshot &snapshot)
{
    if (snapshot.version <= version()) {
        return false;
    }
    m_snapshot = std::make_shared<const config_snapshot>(snapshot);
    m_recent.clear();
    return true;
}

std::optional<std::vector<config_change_ptr>> config_replica::changesSince(std::uint64_t since) const
{
    if (since >= version()) {
        return std::vector<config_change_ptr>();
    }
    const std::uint64_t missing = version() - since;
    if (missing > m_recent.size()) {
        return {};
    }
    return std::vector<config_change_ptr>(m_recent.end() - static_cast<std::ptrdiff_t>(missing), m_recent.end());
}

fleet_config_ptr buildConfig(const config_snapshot &snapshot, std::vector<config_fault> &faults)
{
    json document = snapshot.document;
    if (document.is_object()) {
        document["version"] = snapshot.version;
    }
    return std::make_shared<const fleet_config>(parseFleetConfig(document, faults));
}

namespace detail
{

compaction_objects makeCompaction(const config_head &head, const config_snapshot &snapshot)
{
    compaction_objects compaction;
    std::size_t first = 0;
    json segment = json::array();
    std::size_t bytes = 2;
    for (std::size_t i = 0; i < head.changes.size(); ++i) {
        json record = toJson(*head.changes[i]);
        const std::size_t recordBytes = record.dump().size() + 1;
        if (!segment.empty() && bytes + recordBytes > limits::maxAuditSegmentBytes) {
            compaction.objects.emplace_back(auditSegmentName(head.changes, first, i - 1), segment.dump());
            segment = json::array();
            bytes = 2;
            first = i;
        }
        segment.push_back(std::move(record));
        bytes += recordBytes;
    }
    if (!segment.empty()) {
        compaction.objects.emplace_back(auditSegmentName(head.changes, first, head.changes.size() - 1), segment.dump());
    }
    compaction.objects.emplace_back(configBaseName(snapshot.version), snapshot.document.dump());
    return compaction;
}

bool needsCompaction(const config_head &head, const config_change &change)
{
    if (head.changes.empty()) {
        return false;
    }
    return head.changes.size() >= limits::maxHeadChanges || headBytes(head) + toJson(change).dump().size() > limits::maxConfigHeadBytes;
}

config_change makeChange(const stored_config &stored, const change_request &request)
{
    config_change change;
    change.version = stored.head.version + 1;
    change.nonce = request.nonce;
    change.who = request.who;
    change.when = request.when;
    change.why = request.why;
    change.patch = withoutVersion(request.patch);
    change.previous = inversePatch(stored.snapshot.document, change.patch);
    return change;
}

std::string oversizeFault(const config_snapshot &after, const config_change &change)
{
    if (after.document.dump().size() > limits::maxObjectBytes) {
        return "the configuration would exceed the size limit of an object; remove unused accounts";
    }
    if (toJson(change).dump().size() > limits::maxAuditSegmentBytes) {
        return "the change is too long for one audit record; split it into smaller changes";
    }
    return {};
}

const config_change *findChangeByNonce(const config_head &head, const std::string &nonce)
{
    const auto found = std::find_if(head.changes.begin(), head.changes.end(), [&](const auto &change) { return change->nonce == nonce; });
    return found == head.changes.end() ? nullptr : found->get();
}

std::vector<config_change_ptr> changesAfter(const config_head &head, std::uint64_t version)
{
    std::vector<config_change_ptr> changes;
    std::copy_if(head.changes.begin(), head.changes.end(), std::back_inserter(changes),
                 [&](const auto &change) { return change->version > version; });
    return changes;
}

config_snapshot replayChanges(const config_snapshot &base, const config_head &head)
{
    config_replica replica;
    replica.apply(base);
    replica.apply(head.changes);
    return *replica.snapshot();
}

} // namespace detail

} // namespace nutmegtally
