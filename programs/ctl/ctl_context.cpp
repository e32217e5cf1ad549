#include "ctl/ctl_context.h"

#include "daemon/daemon_access.h"
#include "daemon/daemon_settings.h"
#include "rpc/rpc_channel.h"

#include <nutmegtally/dissemination.h>
#include <nutmegtally/errors.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace nutmegtally
{

namespace
{

constexpr const char *tokenVariable = "NUTMEGTALLY_TOKEN";
constexpr const char *settingsVariable = "NUTMEGTALLY_CTL_SETTINGS";
constexpr duration platformTimeout = std::chrono::seconds(2);
constexpr int callTimeoutMs = 1000;

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

const nlohmann::json &settingsSchema()
{
    static const nlohmann::json schema = nlohmann::json::parse(R"({
        "type": "object",
        "additionalProperties": false,
        "required": ["objects"],
        "properties": {
            "objects": {"type": "string"},
            "vms": {"type": "string"},
            "tokenFile": {"type": "string"},
            "innerKeys": {"type": "array", "items": {"type": "string"}, "maxItems": 2}
        }
    })");
    return schema;
}

} // namespace

std::string ctl_table::toText() const
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < columns.size(); ++column) {
        std::size_t width = columns[column].size();
        for (const auto &row : rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    std::string text;
    const auto add = [&](const std::vector<std::string> &cells) {
        std::string row;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            row.append(cells[column]).append(widths[column] - cells[column].size() + 2, ' ');
        }
        row.erase(row.find_last_not_of(' ') + 1);
        text.append(row).append("\n");
    };
    add(columns);
    for (const auto &row : rows) {
        add(row);
    }
    return text;
}

nlohmann::json ctl_table::toJson() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &row : rows) {
        nlohmann::json entry = nlohmann::json::object();
        for (std::size_t column = 0; column < columns.size(); ++column) {
            entry[columns[column]] = row[column];
        }
        out.push_back(std::move(entry));
    }
    return out;
}

ctl_context::ctl_context(const std::string &summary, std::vector<std::string> arguments)
    : m_arguments(std::move(arguments))
    , m_commandLine(summary + ". The operator token is taken from " + tokenVariable + " or the settings' tokenFile", ' ',
                    NUTMEGTALLY_VERSION)
    , m_settingsPath("", "settings", std::string("settings file; default from ") + settingsVariable, false,
                     environmentVariable(settingsVariable), "file", m_commandLine)
    , m_json("", "json", "print JSON", m_commandLine)
    , m_dryRun("", "dry-run", "show what would change, but change nothing", m_commandLine)
{
    m_commandLine.setExceptionHandling(false);
}

void ctl_context::readSettings()
{
    if (m_settingsPath.getValue().empty()) {
        throw ctl_failure(exit_code::usage, std::string("no settings; use --settings FILE or set ") + settingsVariable);
    }
    const nlohmann::json settings = loadSettings(m_settingsPath.getValue(), settingsSchema());
    m_objects = std::make_unique<object_client>(settings.at("objects").get<std::string>(), platformTimeout);
    if (settings.contains("vms")) {
        m_vmListClient = std::make_unique<vm_list_client>(settings.at("vms").get<std::string>(), platformTimeout);
    }
    m_innerKeys = settings.value("innerKeys", std::vector<std::string>());
    m_token = environmentVariable(tokenVariable);
    if (m_token.empty() && settings.contains("tokenFile")) {
        std::ifstream file(settings.at("tokenFile").get<std::string>());
        file >> m_token;
    }
}

void ctl_context::parse(operator_role needed)
{
    try {
        m_commandLine.parse(m_arguments);
    } catch (const TCLAP::ArgException &fault) {
        throw ctl_failure(exit_code::usage, fault.argId() + ": " + fault.error());
    }
    readSettings();
    const object_reply operators = m_objects->read(operatorsObjectName);
    if (operators.status != object_status::ok) {
        throw ctl_failure(exit_code::unreachable, "the object API does not answer (" + operators.fault + "); retry when it does");
    }
    m_operatorName = operator_registry(operators.value).authorize(m_token, needed);
}

stored_config ctl_context::readConfig()
{
    stored_config stored = readStoredConfig(*m_objects);
    if (stored.status != object_status::ok) {
        throw ctl_failure(exit_code::unreachable, "the configuration cannot be read; retry when the object API answers");
    }
    return stored;
}

void ctl_context::change(const nlohmann::json &patch, const std::string &reason, const nlohmann::json &extraFields)
{
    if (isDryRun()) {
        const stored_config stored = readConfig();
        config_snapshot after = stored.snapshot;
        ++after.version;
        after.document.merge_patch(patch);
        std::vector<config_fault> faults;
        buildConfig(after, faults);
        print(nlohmann::json({{"version", after.version}, {"patch", patch}, {"before", inversePatch(stored.snapshot.document, patch)}}));
        if (!faults.empty()) {
            throw ctl_failure(exit_code::failed, describe(faults));
        }
        return;
    }
    change_request request;
    request.nonce = toHex(randomId());
    request.who = m_operatorName;
    request.when = wallMilliseconds();
    request.why = reason;
    request.patch = patch;
    const change_result result = applyChange(*m_objects, request);
    switch (result.status) {
    case change_status::accepted:
        printAccepted(result.version, extraFields);
        return;
    case change_status::invalid:
        throw ctl_failure(exit_code::failed, result.faults.empty() ? result.fault : describe(result.faults));
    case change_status::conflict:
        reportConflict(result);
        throw ctl_failure(exit_code::conflict,
                          "the configuration was changed concurrently; review the changes above and repeat the command");
    case change_status::unknown:
        throw ctl_failure(exit_code::unreachable, "the answer was lost, so it is unknown whether the change was stored; look for nonce "
                                                      + request.nonce
                                                      + " in 'nutmegtallyctl config history' before you repeat the command");
    default:
        throw ctl_failure(exit_code::unreachable, "nothing was changed: the object API does not answer; retry when it does");
    }
}

void ctl_context::printAccepted(std::uint64_t version, nlohmann::json extraFields) const
{
    extraFields["version"] = version;
    extraFields["status"] = "accepted";
    print(extraFields);
}

void ctl_context::reportConflict(const change_result &result) const
{
    print(changesTable(result.concurrentChanges));
}

std::optional<nlohmann::json> ctl_context::call(const std::string &address, const std::string &method, const nlohmann::json &params)
{
    if (m_innerKeys.empty()) {
        return {};
    }
    const message_authenticator authenticator(m_innerKeys);
    rpc_client client(address, [&](const std::string &body) {
        nlohmann::json fields = nlohmann::json::object();
        authenticator.sign("POST", rpcPath, fields, body);
        return fields.dump();
    });
    const rpc_reply reply = client.call(method, params.dump(), callTimeoutMs);
    if (!reply.isAnswered) {
        return {};
    }
    return nlohmann::json::parse(reply.result, nullptr, false);
}

std::optional<std::vector<member_record>> ctl_context::readMembers()
{
    constexpr std::size_t maxTries = 5;
    const vm_list_reply list = m_vmListClient ? m_vmListClient->read() : vm_list_reply();
    for (std::size_t i = 0; i < std::min(maxTries, list.vms.size()); ++i) {
        // A message with an empty digest requests the whole membership view.
        fleet_message request;
        request.sender = vm_id::fromName("nutmegtallyctl");
        const auto answer = call(list.vms[i].address, "digest.exchange", toJson(request));
        if (answer) {
            return parseFleetMessage(message_kind::digest, *answer).members;
        }
    }
    return {};
}

void ctl_context::print(const ctl_table &table) const
{
    std::cout << (isJson() ? table.toJson().dump(2) + "\n" : table.toText());
}

void ctl_context::print(const nlohmann::json &json) const
{
    std::cout << json.dump(2) << '\n';
}

ctl_table changesTable(const std::vector<config_change_ptr> &changes)
{
    ctl_table table {{"version", "when_ms", "who", "why", "nonce", "patch"}, {}};
    for (const config_change_ptr &change : changes) {
        table.rows.push_back(
            {std::to_string(change->version), std::to_string(change->when), change->who, change->why, change->nonce, change->patch.dump()});
    }
    return table;
}

} // namespace nutmegtally
