#include <nutmegtally/dissemination.h>
#include <nutmegtally/errors.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

std::int64_t toMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

duration fromMilliseconds(std::int64_t value)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(value, 0, 1'000'000'000'000));
}

upstream_state toState(const json &source)
{
    const auto value = source.get<unsigned>();
    if (value >= static_cast<unsigned>(upstream_state::count)) {
        throw error(error_code::malformedRequest, "a member state is out of range");
    }
    return static_cast<upstream_state>(value);
}

member_record parseRecord(const json &source)
{
    member_record record;
    record.name = source.at("n").get<std::string>();
    record.vm = vm_id::fromName(record.name);
    record.role = source.value("r", "");
    record.domain = source.value("d", "");
    record.region = source.value("g", "");
    record.upstream = source.value("u", "");
    record.model = source.value("m", "");
    record.service = source.value("s", "");
    record.address = source.value("a", "");
    record.incarnation = source.at("i").get<std::uint64_t>();
    record.changeNumber = source.at("c").get<std::uint64_t>();
    record.state = toState(source.at("t"));
    return record;
}

template<typename Id>
json idsToJson(const std::vector<Id> &ids)
{
    json out = json::array();
    for (const Id id : ids) {
        out.push_back(toHex(id.value()));
    }
    return out;
}

template<typename Id>
Id parseId(const json &source)
{
    return Id(fromHex(source.get<std::string>()));
}

template<typename Item, typename Parse>
std::vector<Item> parseList(const json &source, const char *key, Parse parse)
{
    std::vector<Item> items;
    const auto found = source.find(key);
    if (found != source.end()) {
        for (const json &entry : *found) {
            items.push_back(parse(entry));
        }
    }
    return items;
}

record_version parseRecordVersion(const json &entry)
{
    return {parseId<vm_id>(entry.at(0)), entry.at(1).get<std::uint64_t>(), entry.at(2).get<std::uint64_t>(), toState(entry.at(3))};
}

class_load_estimate parseEstimate(const json &entry)
{
    class_load_estimate estimate;
    estimate.workClass = parseId<class_id>(entry.at(0));
    estimate.mean.load = entry.at(1).get<double>();
    estimate.mean.samples = entry.at(2).get<std::uint32_t>();
    estimate.mean.age = fromMilliseconds(entry.at(3).get<std::int64_t>());
    return estimate;
}

config_snapshot_ptr parseSnapshot(const json &source)
{
    const auto found = source.find("whole");
    if (found == source.end()) {
        return nullptr;
    }
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->version = found->at("v").get<std::uint64_t>();
    snapshot->document = found->at("doc");
    return snapshot;
}

void appendLists(const fleet_message &message, json &out)
{
    for (const domain_digest &entry : message.domains) {
        out["doms"].push_back({toHex(entry.domain.value()), toHex(entry.digest)});
    }
    for (const record_version &recordVersion : message.recordVersions) {
        out["ranks"].push_back({toHex(recordVersion.vm.value()), recordVersion.incarnation, recordVersion.changeNumber,
                                static_cast<unsigned>(recordVersion.state)});
    }
    for (const member_record &record : message.members) {
        out["recs"].push_back(toJson(record));
    }
    for (const class_load_estimate &estimate : message.estimates) {
        out["est"].push_back(
            {toHex(estimate.workClass.value()), estimate.mean.load, estimate.mean.samples, toMilliseconds(estimate.mean.age)});
    }
    if (!message.requestedVms.empty()) {
        out["want"] = idsToJson(message.requestedVms);
    }
    if (message.isDuplicate) {
        out["dup"] = true;
    }
    if (!message.informedPeers.empty()) {
        out["have"] = idsToJson(message.informedPeers);
    }
}

fleet_message parseMessageFields(message_kind kind, const json &source)
{
    fleet_message message;
    message.kind = kind;
    message.sender = parseId<vm_id>(source.at("from"));
    message.configVersion = source.at("cv").get<std::uint64_t>();
    message.confirmationAge = fromMilliseconds(source.value("age", std::int64_t(0)));
    message.membershipDigest = fromHex(source.value("md", ""));
    message.changes = parseList<config_change_ptr>(
        source, "chg", [](const json &entry) { return std::make_shared<const config_change>(parseConfigChange(entry)); });
    message.snapshot = parseSnapshot(source);
    message.domains = parseList<domain_digest>(source, "doms", [](const json &entry) {
        return domain_digest {parseId<domain_id>(entry.at(0)), fromHex(entry.at(1).get<std::string>())};
    });
    message.recordVersions = parseList<record_version>(source, "ranks", parseRecordVersion);
    message.members = parseList<member_record>(source, "recs", parseRecord);
    message.requestedVms = parseList<vm_id>(source, "want", parseId<vm_id>);
    message.isDuplicate = source.value("dup", false);
    message.informedPeers = parseList<vm_id>(source, "have", parseId<vm_id>);
    message.estimates = parseList<class_load_estimate>(source, "est", parseEstimate);
    return message;
}

} // namespace

json toJson(const member_record &record)
{
    json out = {{"n", record.name}, {"i", record.incarnation}, {"c", record.changeNumber}, {"t", static_cast<unsigned>(record.state)}};
    const auto put = [&](const char *key, const std::string &value) {
        if (!value.empty()) {
            out[key] = value;
        }
    };
    put("r", record.role);
    put("d", record.domain);
    put("g", record.region);
    put("u", record.upstream);
    put("m", record.model);
    put("s", record.service);
    put("a", record.address);
    return out;
}

json toJson(const fleet_message &message)
{
    json out = {{"from", toHex(message.sender.value())},
                {"cv", message.configVersion},
                {"age", toMilliseconds(message.confirmationAge)},
                {"md", toHex(message.membershipDigest)}};
    for (const config_change_ptr &change : message.changes) {
        json entry = toJson(*change);
        entry.erase("before"); // only the audit record needs it
        out["chg"].push_back(std::move(entry));
    }
    if (message.snapshot) {
        out["whole"] = {{"v", message.snapshot->version}, {"doc", message.snapshot->document}};
    }
    appendLists(message, out);
    return out;
}

fleet_message parseFleetMessage(message_kind kind, const json &source)
{
    try {
        return parseMessageFields(kind, source);
    } catch (const json::exception &fault) {
        throw error(error_code::malformedRequest, fault.what());
    }
}

gossip_random::gossip_random(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t gossip_random::below(std::uint64_t bound)
{
    m_state += 0x9e3779b97f4a7c15ULL;
    return bound == 0 ? 0 : mixHash(m_state, bound) % bound;
}

double gossip_random::fraction()
{
    constexpr std::uint64_t steps = 1ULL << 53;
    return static_cast<double>(below(steps)) / static_cast<double>(steps);
}

std::vector<vm_id> choosePeers(const membership &members, const member_record &self, std::size_t count, const std::vector<vm_id> &excluded,
                               gossip_random &random)
{
    std::vector<vm_id> others;
    std::vector<vm_id> inOtherDomain;
    for (const auto &[vm, view] : members.members()) {
        if (vm == self.vm || !view.isUsable() || std::binary_search(excluded.begin(), excluded.end(), vm)) {
            continue;
        }
        others.push_back(vm);
        if (view.record.domain != self.domain) {
            inOtherDomain.push_back(vm);
        }
    }
    std::vector<vm_id> chosen;
    if (count > 0 && !inOtherDomain.empty()) {
        chosen.push_back(inOtherDomain[random.below(inOtherDomain.size())]);
        std::erase(others, chosen.front());
    }
    while (chosen.size() < count && !others.empty()) {
        const std::size_t index = random.below(others.size());
        chosen.push_back(others[index]);
        others[index] = others.back();
        others.pop_back();
    }
    return chosen;
}

} // namespace nutmegtally
