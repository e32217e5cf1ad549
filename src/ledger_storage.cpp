// JSON codec of the ledger's objects. Member names are short because the head is written with each commit.
#include <nutmegtally/errors.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/ledger_storage.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using nlohmann::json;

std::int64_t toMilliseconds(wall_time time)
{
    return time.time_since_epoch().count();
}

wall_time wallFromJson(const json &value)
{
    return wall_time(std::chrono::milliseconds(value.get<std::int64_t>()));
}

json toJson(const ledger_entry &entry)
{
    json value = {{"key", entry.key.toText()},
                  {"hash", toHex(entry.requestHash)},
                  {"claim", toHex(entry.claimNonce)},
                  {"state", entryStateNames[static_cast<std::size_t>(entry.state)]}};
    if (entry.state == entry_state::finished) {
        value["status"] = entry.outcome.status;
        value["type"] = entry.outcome.contentType;
        value["bodyHash"] = toHex(entry.outcome.bodyHash);
        if (entry.outcome.bodyKept) {
            value["body"] = entry.outcome.body;
        }
    }
    if (entry.audit) {
        value["audit"] = {{"who", entry.audit->who}, {"when", toMilliseconds(entry.audit->when)}, {"why", entry.audit->why}};
    }
    return value;
}

entry_state stateFromName(const std::string &name)
{
    const auto found = std::find(entryStateNames.begin(), entryStateNames.end(), name);
    if (found == entryStateNames.end()) {
        throw error(error_code::internal, "ledger entry has an unknown state");
    }
    return static_cast<entry_state>(found - entryStateNames.begin());
}

ledger_entry entryFromJson(const json &value)
{
    const auto key = idempotency_key::fromText(value.at("key").get<std::string>());
    if (!key) {
        throw error(error_code::internal, "ledger entry has a malformed key");
    }
    ledger_entry entry;
    entry.key = *key;
    entry.requestHash = fromHex(value.at("hash").get<std::string>());
    entry.claimNonce = fromHex(value.at("claim").get<std::string>());
    entry.state = stateFromName(value.at("state").get<std::string>());
    if (entry.state == entry_state::finished) {
        entry.outcome.status = value.at("status").get<int>();
        entry.outcome.contentType = value.at("type").get<std::string>();
        entry.outcome.bodyHash = fromHex(value.at("bodyHash").get<std::string>());
        entry.outcome.bodyKept = value.contains("body");
        entry.outcome.body = value.value("body", std::string());
    }
    if (value.contains("audit")) {
        const json &audit = value["audit"];
        entry.audit = settle_audit {audit.at("who").get<std::string>(), wallFromJson(audit.at("when")), audit.at("why").get<std::string>()};
    }
    return entry;
}

json toJson(const std::vector<ledger_entry> &entries)
{
    json list = json::array();
    for (const ledger_entry &entry : entries) {
        list.push_back(toJson(entry));
    }
    return list;
}

std::vector<ledger_entry> entriesFromJson(const json &list)
{
    std::vector<ledger_entry> entries;
    for (const json &value : list) {
        entries.push_back(entryFromJson(value));
    }
    return entries;
}

ledger_head headFromJson(const json &value)
{
    ledger_head head;
    head.owner = value.at("owner").get<std::string>();
    head.epoch = value.at("epoch").get<std::uint64_t>();
    head.nonce = fromHex(value.at("nonce").get<std::string>());
    head.keptSince = wallFromJson(value.at("keptSince"));
    head.entries = entriesFromJson(value.at("entries"));
    for (const json &segment : value.at("segments")) {
        head.segments.push_back({segment.at("name").get<std::string>(), wallFromJson(segment.at("newestKey"))});
    }
    return head;
}

template<typename Read>
auto parse(std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &fault) {
        throw error(error_code::internal, fault.what());
    }
}

} // namespace

std::string encode(const ledger_head &head)
{
    json segments = json::array();
    for (const segment_ref &segment : head.segments) {
        segments.push_back({{"name", segment.name}, {"newestKey", toMilliseconds(segment.newestKey)}});
    }
    const json value = {{"owner", head.owner},
                        {"epoch", head.epoch},
                        {"nonce", toHex(head.nonce)},
                        {"keptSince", toMilliseconds(head.keptSince)},
                        {"entries", toJson(head.entries)},
                        {"segments", std::move(segments)}};
    return value.dump();
}

std::string encodeSegment(const std::vector<ledger_entry> &entries)
{
    return toJson(entries).dump();
}

ledger_head decodeHead(std::string_view text)
{
    return parse(text, headFromJson);
}

std::vector<ledger_entry> decodeSegment(std::string_view text)
{
    return parse(text, entriesFromJson);
}

bool isStorableText(std::string_view text)
{
    try {
        return !json(text).dump().empty();
    } catch (const json::type_error &) {
        return false; // not UTF-8
    }
}

std::string ledgerHeadName(std::string_view service, std::uint32_t shard)
{
    return "ledger/" + std::string(service) + '/' + std::to_string(shard) + "/head";
}

std::string ledgerSegmentName(std::string_view service, std::uint32_t shard, std::uint64_t epoch, std::uint64_t nonce)
{
    return "ledger/" + std::string(service) + '/' + std::to_string(shard) + '/' + std::to_string(epoch) + '-' + toHex(nonce);
}

} // namespace nutmegtally
