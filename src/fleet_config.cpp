// Parses, validates and serializes the fleet's configuration. All validation errors are reported at once, each with path
// and remedy.
#include "limits.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/fleet_config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <initializer_list>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

constexpr std::array<std::string_view, static_cast<std::size_t>(domain_state::count)> domainStateNames = {"open", "closed"};

/// Reads the members of a JSON object and appends validation errors with their path.
class object_reader
{
public:
    object_reader(const json &object, std::string path, std::vector<config_fault> &faults)
        : m_object(object)
        , m_path(std::move(path))
        , m_faults(faults)
    {
        if (!object.is_object()) {
            fault("", "is not an object", "write a JSON object");
        }
    }

    /// Reports an error for each member that is not in @p known.
    void allowOnly(std::initializer_list<std::string_view> known)
    {
        if (!m_object.is_object()) {
            return;
        }
        for (const auto &[key, value] : m_object.items()) {
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                fault(key, "is not a known member", "remove it or correct its spelling");
            }
        }
    }

    const json *find(std::string_view key) const
    {
        if (!m_object.is_object()) {
            return nullptr;
        }
        const auto found = m_object.find(key);
        return found == m_object.end() ? nullptr : &*found;
    }

    std::optional<double> number(std::string_view key, double low, double high)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
            fault(key, "is not a number in range", "write a number from " + json(low).dump() + " to " + json(high).dump());
            return {};
        }
        return value->get<double>();
    }

    std::optional<duration> milliseconds(std::string_view key)
    {
        const auto value = number(key, 1, 86'400'000);
        if (!value) {
            return {};
        }
        return duration(static_cast<duration::rep>(*value * 1000.0));
    }

    std::optional<std::string> text(std::string_view key)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            fault(key, "is not a string", "write a string");
            return {};
        }
        return value->get<std::string>();
    }

    bool boolean(std::string_view key, bool fallback)
    {
        const json *value = find(key);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_boolean()) {
            fault(key, "is not true or false", "write true or false");
            return fallback;
        }
        return value->get<bool>();
    }

    void fault(std::string_view key, std::string message, std::string remedy)
    {
        std::string path = m_path;
        if (!key.empty()) {
            path.append("/").append(key);
        }
        m_faults.push_back({std::move(path), std::move(message), std::move(remedy)});
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    const json &m_object;
    std::string m_path;
    std::vector<config_fault> &m_faults;
};

bool isName(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= limits::maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

/// Calls read(reader) for each entry of the section and adds the result under its name's id.
template<typename Id, typename Config, typename Read>
void readSection(const json &root, std::string_view section, std::map<Id, Config> &into, std::vector<config_fault> &faults, Read read)
{
    if (!root.is_object() || !root.contains(section)) {
        return;
    }
    const json &entries = root.at(std::string(section));
    const std::string sectionPath = std::string("/").append(section);
    if (!entries.is_object()) {
        faults.push_back({sectionPath, "is not an object", "write one member per name"});
        return;
    }
    for (const auto &[name, value] : entries.items()) {
        object_reader reader(value, std::string(sectionPath).append(1, '/').append(name), faults);
        if (!isName(name)) {
            reader.fault("", "is not a valid name", "use up to 64 of a-z, 0-9, '-', '_' and '.'");
        }
        Config config = read(reader);
        config.name = name;
        if (!into.emplace(Id::fromName(name), std::move(config)).second) {
            reader.fault("", "has the same hash as another name", "choose another name");
        }
    }
}

class_config readClass(object_reader &reader)
{
    reader.allowOnly({"priority", "model", "service", "firstTokenMs", "betweenTokensMs", "answerMs", "loadBound"});
    class_config config;
    config.priority = static_cast<unsigned>(reader.number("priority", 0, 9).value_or(1));
    config.model = model_id::fromName(reader.text("model").value_or(""));
    config.service = service_id::fromName(reader.text("service").value_or(""));
    config.target.firstToken = reader.milliseconds("firstTokenMs");
    config.target.betweenTokens = reader.milliseconds("betweenTokensMs");
    config.target.answer = reader.milliseconds("answerMs");
    config.loadBound = reader.number("loadBound", limits::minLoadBound, limits::maxLoadBound).value_or(limits::defaultLoadBound);
    if (config.model.isValid() == config.service.isValid()) {
        reader.fault("", "has neither or both of model and service", "set exactly one of model and service");
    }
    if (!config.target.firstToken && !config.target.answer) {
        reader.fault("", "has no target", "set firstTokenMs or answerMs");
    }
    return config;
}

account_config readAccount(object_reader &reader)
{
    reader.allowOnly({"keyHashes", "share"});
    account_config config;
    config.share = reader.number("share", 0.01, 1000).value_or(1.0);
    const json *hashes = reader.find("keyHashes");
    if (hashes == nullptr || !hashes->is_array() || hashes->empty() || hashes->size() > 2) {
        reader.fault("keyHashes", "is not a list of one or two key hashes", "make a hash with 'nutmegtallyctl account key'");
        return config;
    }
    for (const json &hash : *hashes) {
        if (!hash.is_string() || hash.get<std::string>().size() != 64) {
            reader.fault("keyHashes", "contains a value that is not a key hash", "make a hash with 'nutmegtallyctl account key'");
            continue;
        }
        config.keyHashes.push_back(hash.get<std::string>());
    }
    return config;
}

model_config readModel(object_reader &reader)
{
    reader.allowOnly({"maxContextTokens", "checksFencing"});
    model_config config;
    config.maxContextTokens = static_cast<std::uint32_t>(reader.number("maxContextTokens", 1, 16'777'216).value_or(131072));
    config.checksFencing = reader.boolean("checksFencing", false);
    return config;
}

service_config readService(object_reader &reader)
{
    reader.allowOnly({"checksKeys", "checksFencing", "shards", "horizonSeconds"});
    service_config config;
    config.checksKeys = reader.boolean("checksKeys", false);
    config.checksFencing = reader.boolean("checksFencing", false);
    config.shards = static_cast<unsigned>(reader.number("shards", 1, 1024).value_or(4));
    config.horizon = std::chrono::seconds(static_cast<std::int64_t>(reader.number("horizonSeconds", 60, 86'400).value_or(3600)));
    return config;
}

domain_config readDomain(object_reader &reader)
{
    reader.allowOnly({"region", "state", "reason"});
    domain_config config;
    config.region = reader.text("region").value_or("");
    config.reason = reader.text("reason").value_or("");
    const std::string state = reader.text("state").value_or("open");
    const auto found = std::find(domainStateNames.begin(), domainStateNames.end(), state);
    if (found == domainStateNames.end()) {
        reader.fault("state", "is not a domain state", "write \"open\" or \"closed\"");
    } else {
        config.state = static_cast<domain_state>(found - domainStateNames.begin());
    }
    if (config.region.empty()) {
        reader.fault("region", "is missing", "write the domain's region");
    }
    return config;
}

/// Reports classes whose model or service is not configured.
void checkReferences(const fleet_config &config, std::vector<config_fault> &faults)
{
    for (const auto &[id, entry] : config.classes) {
        const std::string path = "/classes/" + entry.name;
        if (entry.model.isValid() && config.findModel(entry.model) == nullptr) {
            faults.push_back({path + "/model", "is not a configured model", "add it to models or correct the name"});
        }
        if (entry.service.isValid() && config.findService(entry.service) == nullptr) {
            faults.push_back({path + "/service", "is not a configured service", "add it to services or correct the name"});
        }
    }
}

template<typename Map, typename Id>
const typename Map::mapped_type *findIn(const Map &map, Id id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : &found->second;
}

std::int64_t toMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json classToJson(const class_config &entry, const fleet_config &config)
{
    json out = {{"priority", entry.priority}, {"loadBound", entry.loadBound}};
    if (const model_config *model = config.findModel(entry.model)) {
        out["model"] = model->name;
    }
    if (const service_config *service = config.findService(entry.service)) {
        out["service"] = service->name;
    }
    if (entry.target.firstToken) {
        out["firstTokenMs"] = toMilliseconds(*entry.target.firstToken);
    }
    if (entry.target.betweenTokens) {
        out["betweenTokensMs"] = toMilliseconds(*entry.target.betweenTokens);
    }
    if (entry.target.answer) {
        out["answerMs"] = toMilliseconds(*entry.target.answer);
    }
    return out;
}

json domainToJson(const domain_config &entry)
{
    json out = {{"region", entry.region}, {"state", domainStateNames[static_cast<std::size_t>(entry.state)]}};
    if (!entry.reason.empty()) {
        out["reason"] = entry.reason;
    }
    return out;
}

} // namespace

const class_config *fleet_config::findClass(class_id id) const
{
    return findIn(classes, id);
}

const account_config *fleet_config::findAccount(account_id id) const
{
    return findIn(accounts, id);
}

const service_config *fleet_config::findService(service_id id) const
{
    return findIn(services, id);
}

const model_config *fleet_config::findModel(model_id id) const
{
    return findIn(models, id);
}

const domain_config *fleet_config::findDomain(domain_id id) const
{
    return findIn(domains, id);
}

bool fleet_config::isOpen(domain_id id) const
{
    const domain_config *domain = findDomain(id);
    return domain == nullptr || domain->state == domain_state::open;
}

fleet_config parseFleetConfig(const nlohmann::json &json, std::vector<config_fault> &faults)
{
    fleet_config config;
    object_reader reader(json, "", faults);
    reader.allowOnly({"version", "classes", "accounts", "models", "services", "domains"});
    config.version = static_cast<std::uint64_t>(reader.number("version", 0, 9e15).value_or(0));
    readSection(json, "models", config.models, faults, readModel);
    readSection(json, "services", config.services, faults, readService);
    readSection(json, "classes", config.classes, faults, readClass);
    readSection(json, "accounts", config.accounts, faults, readAccount);
    readSection(json, "domains", config.domains, faults, readDomain);
    checkReferences(config, faults);
    return config;
}

fleet_config parseFleetConfig(const nlohmann::json &json)
{
    std::vector<config_fault> faults;
    fleet_config config = parseFleetConfig(json, faults);
    if (!faults.empty()) {
        throw error(error_code::configurationInvalid, describe(faults));
    }
    return config;
}

nlohmann::json toJson(const fleet_config &config)
{
    json out = {{"version", config.version}, {"classes", json::object()},  {"accounts", json::object()},
                {"models", json::object()},  {"services", json::object()}, {"domains", json::object()}};
    for (const auto &[id, entry] : config.classes) {
        out["classes"][entry.name] = classToJson(entry, config);
    }
    for (const auto &[id, entry] : config.accounts) {
        out["accounts"][entry.name] = {{"keyHashes", entry.keyHashes}, {"share", entry.share}};
    }
    for (const auto &[id, entry] : config.models) {
        out["models"][entry.name] = {{"maxContextTokens", entry.maxContextTokens}, {"checksFencing", entry.checksFencing}};
    }
    for (const auto &[id, entry] : config.services) {
        out["services"][entry.name] = {{"checksKeys", entry.checksKeys},
                                       {"checksFencing", entry.checksFencing},
                                       {"shards", entry.shards},
                                       {"horizonSeconds", std::chrono::duration_cast<std::chrono::seconds>(entry.horizon).count()}};
    }
    for (const auto &[id, entry] : config.domains) {
        out["domains"][entry.name] = domainToJson(entry);
    }
    return out;
}

std::string describe(const std::vector<config_fault> &faults)
{
    std::string text;
    for (const config_fault &fault : faults) {
        if (!text.empty()) {
            text.append("\n");
        }
        text.append(fault.path.empty() ? "/" : fault.path).append(": ").append(fault.message).append("; ").append(fault.remedy);
    }
    return text;
}

} // namespace nutmegtally
