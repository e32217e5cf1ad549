// Shared by the subcommands of nutmegtallyctl: settings, clients of the platform, authorization, output and
// configuration changes.
#pragma once

#include "daemon/daemon_objects.h"
#include "daemon/daemon_operators.h"
#include "daemon/exit_code.h"

#include <nutmegtally/config_log.h>
#include <nutmegtally/membership.h>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Ends a command with an exit code and a message.
struct ctl_failure : std::runtime_error {
    ctl_failure(exit_code exitCode, const std::string &message)
        : std::runtime_error(message)
        , code(exitCode)
    {
    }

    exit_code code;
};

/// Table that is printed as aligned columns or as JSON. Every row has one cell per column.
struct ctl_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    std::string toText() const;
    nlohmann::json toJson() const;
};

/// Context of one subcommand: common options, settings, clients and output. Declare further options before parse().
class ctl_context
{
public:
    /// @param arguments "nutmegtallyctl GROUP COMMAND" and the arguments after it.
    ctl_context(const std::string &summary, std::vector<std::string> arguments);

    TCLAP::CmdLine &commandLine()
    {
        return m_commandLine;
    }

    /// Parses the arguments, reads the settings and checks the operator token.
    /// @param needed Role that the subcommand requires.
    /// @throws ctl_failure; error if the settings or the token are not valid
    void parse(operator_role needed);

    /// The stored configuration. @throws ctl_failure
    stored_config readConfig();

    /// Stores a change of the configuration, or only prints it with --dry-run. @throws ctl_failure
    /// @param patch JSON merge patch.
    /// @param reason Stored in the audit record.
    /// @param extraFields Added to the printed result of an accepted change.
    void change(const nlohmann::json &patch, const std::string &reason, const nlohmann::json &extraFields = nlohmann::json::object());

    /// Membership records of all processes, read from the first one that answers; empty if none does.
    std::optional<std::vector<member_record>> readMembers();

    /// Calls a JSON-RPC method of a process.
    /// @return Empty if the process does not answer or the settings have no inner key.
    std::optional<nlohmann::json> call(const std::string &address, const std::string &method, const nlohmann::json &params);

    void print(const ctl_table &table) const;
    void print(const nlohmann::json &json) const;

    object_client &objects()
    {
        return *m_objects;
    }

    vm_list_client &vmListClient()
    {
        return *m_vmListClient;
    }

    const std::string &operatorName() const
    {
        return m_operatorName;
    }

    bool isDryRun() const
    {
        return m_dryRun.getValue();
    }

    bool isJson() const
    {
        return m_json.getValue();
    }

private:
    void readSettings();
    void printAccepted(std::uint64_t version, nlohmann::json extraFields) const;
    void reportConflict(const change_result &result) const;

    std::vector<std::string> m_arguments;
    TCLAP::CmdLine m_commandLine;
    TCLAP::ValueArg<std::string> m_settingsPath;
    TCLAP::SwitchArg m_json;
    TCLAP::SwitchArg m_dryRun;
    std::string m_token;
    std::string m_operatorName;
    std::vector<std::string> m_innerKeys;
    std::unique_ptr<object_client> m_objects;
    std::unique_ptr<vm_list_client> m_vmListClient;
};

/// One line per change: version, time, operator, reason, patch.
ctl_table changesTable(const std::vector<config_change_ptr> &changes);

/// One subcommand.
struct ctl_command {
    const char *group;
    const char *name; // empty for a group without subcommands
    const char *summary;
    void (*run)(std::vector<std::string> arguments);
};

const std::vector<ctl_command> &configCommands();
const std::vector<ctl_command> &fleetCommands();
const std::vector<ctl_command> &accessCommands();
const std::vector<ctl_command> &ledgerCommands();
const std::vector<ctl_command> &explainCommands();

} // namespace nutmegtally
