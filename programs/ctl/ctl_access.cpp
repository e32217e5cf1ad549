// Subcommands "account" and "operator". A new key or token is printed once; only its hash is stored.
#include "ctl/ctl_context.h"

namespace nutmegtally
{

namespace
{

std::vector<std::string> keyHashes(const stored_config &stored, const std::string &account)
{
    const nlohmann::json accounts = stored.snapshot.document.value("accounts", nlohmann::json::object());
    if (!accounts.contains(account)) {
        return {};
    }
    return accounts.at(account).value("keyHashes", std::vector<std::string>());
}

void changeAccount(ctl_context &context, const std::string &name, const nlohmann::json &entry, const std::string &reason,
                   const nlohmann::json &extraFields = nlohmann::json::object())
{
    context.change({{"accounts", {{name, entry}}}}, reason, extraFields);
}

void createAccount(std::vector<std::string> arguments)
{
    ctl_context context("Creates a client account and prints its key", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "client account", true, "", "name", context.commandLine());
    TCLAP::ValueArg<double> share("", "share", "weight in fair queueing", false, 1.0, "number", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    if (!keyHashes(context.readConfig(), name.getValue()).empty()) {
        throw ctl_failure(exit_code::failed, "the account exists; use 'account rotate' for a new key");
    }
    const std::string key = generateSecret();
    changeAccount(context, name.getValue(), {{"keyHashes", {hashSecret(key)}}, {"share", share.getValue()}}, reason.getValue(),
                  {{"key", key}});
}

void rotateAccount(std::vector<std::string> arguments)
{
    ctl_context context("Adds a new key; the newest older key stays valid until 'account finish-rotation'", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "client account", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    const std::vector<std::string> hashes = keyHashes(context.readConfig(), name.getValue());
    if (hashes.empty()) {
        throw ctl_failure(exit_code::failed, "the account does not exist; use 'account create'");
    }
    const std::string key = generateSecret();
    changeAccount(context, name.getValue(), {{"keyHashes", {hashSecret(key), hashes.front()}}}, reason.getValue(), {{"key", key}});
}

void finishRotation(std::vector<std::string> arguments)
{
    ctl_context context("Makes all keys but the newest invalid", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "client account", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    const std::vector<std::string> hashes = keyHashes(context.readConfig(), name.getValue());
    if (hashes.empty()) {
        throw ctl_failure(exit_code::failed, "the account does not exist; use 'account create'");
    }
    changeAccount(context, name.getValue(), {{"keyHashes", {hashes.front()}}}, reason.getValue());
}

void removeAccount(std::vector<std::string> arguments)
{
    ctl_context context("Removes a client account", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "client account", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    changeAccount(context, name.getValue(), nullptr, reason.getValue());
}

void listAccounts(std::vector<std::string> arguments)
{
    ctl_context context("Lists the client accounts", std::move(arguments));
    context.parse(operator_role::read);
    ctl_table table {{"account", "share", "keys"}, {}};
    const nlohmann::json accounts = context.readConfig().snapshot.document.value("accounts", nlohmann::json::object());
    for (const auto &[name, entry] : accounts.items()) {
        table.rows.push_back({name, nlohmann::json(entry.value("share", 1.0)).dump(), std::to_string(entry.at("keyHashes").size())});
    }
    context.print(table);
}

void printNewKey(std::vector<std::string> arguments)
{
    ctl_context context("Prints a new key and its hash for a configuration file; stores nothing", std::move(arguments));
    context.parse(operator_role::read);
    const std::string key = generateSecret();
    context.print(nlohmann::json({{"key", key}, {"keyHash", hashSecret(key)}}));
}

void storeOperators(ctl_context &context, const operator_registry &registry, std::uint64_t version)
{
    if (context.isDryRun()) {
        return;
    }
    const object_reply reply = context.objects().write(operatorsObjectName, registry.toText(), version);
    if (reply.status == object_status::conflict) {
        throw ctl_failure(exit_code::conflict, "the operators were changed concurrently; repeat the command");
    }
    if (reply.status != object_status::ok) {
        throw ctl_failure(exit_code::unreachable,
                          "the object API did not confirm the change; see 'operator list' before you repeat the command");
    }
}

void addOperator(std::vector<std::string> arguments)
{
    ctl_context context("Adds an operator, or replaces its token, and prints the token", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "operator", true, "", "name", context.commandLine());
    TCLAP::ValueArg<std::string> role("", "role", "read or operate", false, "read", "role", context.commandLine());
    context.parse(operator_role::operate);
    const auto parsed = operatorRoleFromName(role.getValue());
    if (!parsed) {
        throw ctl_failure(exit_code::usage, "--role is neither read nor operate");
    }
    const object_reply stored = context.objects().read(operatorsObjectName);
    operator_registry registry(stored.value);
    if (registry.entries().empty() && *parsed != operator_role::operate) {
        throw ctl_failure(exit_code::usage, "the first operator needs --role operate, or nobody could add others");
    }
    const std::string token = generateSecret();
    registry.set(name.getValue(), {hashSecret(token), *parsed});
    storeOperators(context, registry, stored.version);
    if (!context.isDryRun()) {
        context.print(nlohmann::json({{"token", token}}));
    }
}

void removeOperator(std::vector<std::string> arguments)
{
    ctl_context context("Removes an operator", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> name("name", "operator", true, "", "name", context.commandLine());
    context.parse(operator_role::operate);
    const object_reply stored = context.objects().read(operatorsObjectName);
    operator_registry registry(stored.value);
    if (name.getValue() == context.operatorName()) {
        throw ctl_failure(exit_code::failed, "an operator cannot remove itself; ask another one");
    }
    if (!registry.remove(name.getValue())) {
        throw ctl_failure(exit_code::failed, "the operator does not exist; see 'operator list'");
    }
    storeOperators(context, registry, stored.version);
}

void listOperators(std::vector<std::string> arguments)
{
    ctl_context context("Lists the operators", std::move(arguments));
    context.parse(operator_role::read);
    ctl_table table {{"operator", "role"}, {}};
    const operator_registry registry(context.objects().read(operatorsObjectName).value);
    for (const auto &[name, entry] : registry.entries()) {
        table.rows.push_back({name, std::string(operatorRoleNames[static_cast<std::size_t>(entry.role)])});
    }
    context.print(table);
}

} // namespace

const std::vector<ctl_command> &accessCommands()
{
    static const std::vector<ctl_command> commands = {
        {"account", "list", "lists the client accounts", listAccounts},
        {"account", "create", "creates an account and prints its key", createAccount},
        {"account", "rotate", "adds a new key to an account", rotateAccount},
        {"account", "finish-rotation", "makes the older key invalid", finishRotation},
        {"account", "remove", "removes an account", removeAccount},
        {"account", "key", "prints a new key and its hash", printNewKey},
        {"operator", "list", "lists the operators", listOperators},
        {"operator", "add", "adds an operator and prints its token", addOperator},
        {"operator", "remove", "removes an operator", removeOperator},
    };
    return commands;
}

} // namespace nutmegtally
