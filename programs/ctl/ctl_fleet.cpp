// Subcommands "class", "domain" and "status".
#include "ctl/ctl_context.h"

#include <algorithm>
#include <set>

namespace nutmegtally
{

namespace
{

fleet_config readParsedConfig(ctl_context &context)
{
    const stored_config stored = context.readConfig();
    std::vector<config_fault> faults;
    return *buildConfig(stored.snapshot, faults);
}

std::string milliseconds(const std::optional<duration> &value)
{
    return value ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*value).count()) : std::string("-");
}

void listClasses(std::vector<std::string> arguments)
{
    ctl_context context("Lists the classes of work", std::move(arguments));
    context.parse(operator_role::read);
    const fleet_config config = readParsedConfig(context);
    ctl_table table {{"class", "priority", "model", "service", "first_token_ms", "between_tokens_ms", "answer_ms"}, {}};
    for (const auto &[id, entry] : config.classes) {
        const model_config *model = config.findModel(entry.model);
        const service_config *service = config.findService(entry.service);
        table.rows.push_back({entry.name, std::to_string(entry.priority), model == nullptr ? "-" : model->name,
                              service == nullptr ? "-" : service->name, milliseconds(entry.target.firstToken),
                              milliseconds(entry.target.betweenTokens), milliseconds(entry.target.answer)});
    }
    context.print(table);
}

void setClass(std::vector<std::string> arguments)
{
    ctl_context context("Creates a class or changes the given members of one", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "class", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> model("", "model", "model that serves it", false, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> service("", "service", "plain service that serves it", false, "", "name", context.commandLine());
    TCLAP::ValueArg<unsigned> priority("", "priority", "0 is served first", false, 1, "number", context.commandLine());
    TCLAP::ValueArg<double> firstToken("", "first-token-ms", "target", false, 0, "ms", context.commandLine());
    TCLAP::ValueArg<double> betweenTokens("", "between-tokens-ms", "target", false, 0, "ms", context.commandLine());
    TCLAP::ValueArg<double> answer("", "answer-ms", "target", false, 0, "ms", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    nlohmann::json entry = nlohmann::json::object();
    const auto addIfSet = [&](const char *key, auto &argument) {
        if (argument.isSet()) {
            entry[key] = argument.getValue();
        }
    };
    addIfSet("model", model);
    addIfSet("service", service);
    addIfSet("priority", priority);
    addIfSet("firstTokenMs", firstToken);
    addIfSet("betweenTokensMs", betweenTokens);
    addIfSet("answerMs", answer);
    context.change({{"classes", {{name.getValue(), entry}}}}, reason.getValue());
}

void removeClass(std::vector<std::string> arguments)
{
    ctl_context context("Removes a class", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "class", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    context.change({{"classes", {{name.getValue(), nullptr}}}}, reason.getValue());
}

void listDomains(std::vector<std::string> arguments)
{
    ctl_context context("Lists the failure domains", std::move(arguments));
    context.parse(operator_role::read);
    ctl_table table {{"domain", "region", "state", "reason"}, {}};
    for (const auto &[id, entry] : readParsedConfig(context).domains) {
        table.rows.push_back({entry.name, entry.region, entry.state == domain_state::open ? "open" : "closed", entry.reason});
    }
    context.print(table);
}

/// Names of the classes that no live upstream in an open domain could serve after @p closing is closed.
std::vector<std::string> classesWithoutCapacity(const fleet_config &config, const std::vector<member_record> &members, domain_id closing)
{
    std::set<model_id> models;
    std::set<service_id> services;
    for (const member_record &record : members) {
        const domain_id domain = domain_id::fromName(record.domain);
        if (record.state != upstream_state::live || domain == closing || !config.isOpen(domain)) {
            continue;
        }
        models.insert(model_id::fromName(record.model));
        services.insert(service_id::fromName(record.service));
    }
    std::vector<std::string> names;
    for (const auto &[id, entry] : config.classes) {
        const bool isServed = entry.model.isValid() ? models.contains(entry.model) : services.contains(entry.service);
        if (!isServed) {
            names.push_back(entry.name);
        }
    }
    return names;
}

/// @return Why closing the domain needs --force; empty if it does not.
std::string closureObjection(ctl_context &context, const fleet_config &config, domain_id closing)
{
    const bool hasOtherOpenDomain = std::any_of(config.domains.begin(), config.domains.end(), [&](const auto &entry) {
        return entry.first != closing && entry.second.state == domain_state::open;
    });
    if (!hasOtherOpenDomain) {
        return "no other failure domain is open, so every class would be without capacity";
    }
    const auto members = context.readMembers();
    if (!members) {
        return "no process answers, so it is not known which classes would be without capacity";
    }
    std::string names;
    for (const std::string &name : classesWithoutCapacity(config, *members, closing)) {
        names.append(names.empty() ? "" : ", ").append(name);
    }
    return names.empty() ? names : "these classes would be without capacity: " + names;
}

void setDomain(ctl_context &context, const std::string &name, const char *state, const std::string &reason)
{
    context.change({{"domains", {{name, {{"state", state}, {"reason", reason}}}}}}, reason);
}

void closeDomain(std::vector<std::string> arguments)
{
    ctl_context context("Takes a failure domain out of service; running streams finish", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "failure domain", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "shown in the configuration and the audit record", true, "", "text",
                                        context.commandLine());
    TCLAP::SwitchArg force("", "force", "close it even if a class is left without capacity", context.commandLine());
    context.parse(operator_role::operate);
    const fleet_config config = readParsedConfig(context);
    const domain_id closing = domain_id::fromName(name.getValue());
    if (config.findDomain(closing) == nullptr) {
        throw ctl_failure(exit_code::failed, "failure domain " + name.getValue() + " is not configured; see 'nutmegtallyctl domain list'");
    }
    if (!force.getValue()) {
        const std::string objection = closureObjection(context, config, closing);
        if (!objection.empty()) {
            throw ctl_failure(exit_code::failed, objection + "; use --force to close it nevertheless");
        }
    }
    setDomain(context, name.getValue(), "closed", reason.getValue());
}

void reopenDomain(std::vector<std::string> arguments)
{
    ctl_context context("Brings a failure domain back", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "failure domain", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    if (readParsedConfig(context).findDomain(domain_id::fromName(name.getValue())) == nullptr) {
        throw ctl_failure(exit_code::failed, "failure domain " + name.getValue() + " is not configured; see 'nutmegtallyctl domain list'");
    }
    setDomain(context, name.getValue(), "open", reason.getValue());
}

void showStatus(std::vector<std::string> arguments)
{
    ctl_context context("Shows every process's configuration version and state", std::move(arguments));
    context.parse(operator_role::read);
    const std::uint64_t newest = context.readConfig().head.version;
    const auto members = context.readMembers();
    if (!members) {
        throw ctl_failure(exit_code::unreachable, "no process of the VM list answers; check vms and innerKeys in the settings");
    }
    ctl_table table {{"vm", "role", "domain", "upstream", "state", "version", "behind", "stale", "watcher"}, {}};
    static constexpr std::array<const char *, static_cast<std::size_t>(upstream_state::count)> stateNames = {"live", "leaving", "gone"};
    for (const member_record &record : *members) {
        const auto status = context.call(record.address, "status.read", nlohmann::json::object());
        std::vector<std::string> row
            = {record.name, record.role, record.domain, record.upstream, stateNames[static_cast<std::size_t>(record.state)]};
        if (status && status->is_object()) {
            const auto version = status->value("configVersion", std::uint64_t(0));
            row.insert(row.end(), {std::to_string(version), std::to_string(newest - std::min(version, newest)),
                                   status->value("isStale", false) ? "yes" : "no", status->value("isWatcher", false) ? "yes" : "no"});
        } else {
            row.insert(row.end(), {"no answer", "-", "-", "-"});
        }
        table.rows.push_back(std::move(row));
    }
    context.print(table);
}

} // namespace

const std::vector<ctl_command> &fleetCommands()
{
    static const std::vector<ctl_command> commands = {
        {"class", "list", "lists the classes of work", listClasses},
        {"class", "set", "creates or changes a class", setClass},
        {"class", "remove", "removes a class", removeClass},
        {"domain", "list", "lists the failure domains", listDomains},
        {"domain", "close", "takes a failure domain out of service", closeDomain},
        {"domain", "reopen", "brings a failure domain back", reopenDomain},
        {"status", "", "shows every process's state", showStatus},
    };
    return commands;
}

} // namespace nutmegtally
