// Subcommands "config" and "audit".
#include "ctl/ctl_context.h"
#include "daemon/daemon_settings.h"

#include <limits>

namespace nutmegtally
{

namespace
{

void showConfig(std::vector<std::string> arguments)
{
    ctl_context context("Shows the stored configuration", std::move(arguments));
    context.parse(operator_role::read);
    const stored_config stored = context.readConfig();
    nlohmann::json document = stored.snapshot.document;
    document["version"] = stored.snapshot.version;
    context.print(document);
}

nlohmann::json mergePatchToFile(const stored_config &stored, const std::string &path)
{
    nlohmann::json desired = readSettingsFile(path);
    if (desired.is_object()) {
        desired.erase("version");
    }
    return mergePatchBetween(stored.snapshot.document, desired);
}

void diffConfig(std::vector<std::string> arguments)
{
    ctl_context context("Shows what 'config apply' would change, as a merge patch", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> file("file", "configuration in JSON", true, "", "file", context.commandLine());
    context.parse(operator_role::read);
    context.print(mergePatchToFile(context.readConfig(), file.getValue()));
}

void applyConfig(std::vector<std::string> arguments)
{
    ctl_context context("Replaces the configuration by a file's content", std::move(arguments));
    TCLAP::UnlabeledValueArg<std::string> file("file", "configuration in JSON", true, "", "file", context.commandLine());
    TCLAP::ValueArg<std::string> reason("", "reason", "goes into the audit record", true, "", "text", context.commandLine());
    context.parse(operator_role::operate);
    const nlohmann::json patch = mergePatchToFile(context.readConfig(), file.getValue());
    if (patch.empty()) {
        context.print(nlohmann::json({{"status", "unchanged"}}));
        return;
    }
    context.change(patch, reason.getValue());
}

void printAudit(ctl_context &context, std::uint64_t first, std::uint64_t last)
{
    const auto changes = readAudit(context.objects(), first, last);
    if (!changes) {
        throw ctl_failure(exit_code::unreachable, "the audit records cannot be read; retry when the object API answers");
    }
    context.print(changesTable(*changes));
}

void listHistory(std::vector<std::string> arguments)
{
    ctl_context context("Lists the newest changes", std::move(arguments));
    TCLAP::ValueArg<std::uint64_t> limit("", "limit", "number of changes", false, 20, "count", context.commandLine());
    context.parse(operator_role::read);
    const std::uint64_t newest = context.readConfig().head.version;
    printAudit(context, newest >= limit.getValue() ? newest - limit.getValue() + 1 : 1, newest);
}

void listAudit(std::vector<std::string> arguments)
{
    ctl_context context("Lists audit records of a range of versions", std::move(arguments));
    TCLAP::ValueArg<std::uint64_t> first("", "from", "first version", false, 1, "version", context.commandLine());
    TCLAP::ValueArg<std::uint64_t> last("", "to", "last version", false, std::numeric_limits<std::uint64_t>::max(), "version",
                                        context.commandLine());
    context.parse(operator_role::read);
    printAudit(context, first.getValue(), last.getValue());
}

} // namespace

const std::vector<ctl_command> &configCommands()
{
    static const std::vector<ctl_command> commands = {
        {"config", "show", "shows the stored configuration", showConfig},
        {"config", "diff", "shows what apply would change", diffConfig},
        {"config", "apply", "replaces the configuration", applyConfig},
        {"config", "history", "lists the newest changes", listHistory},
        {"audit", "", "lists audit records", listAudit},
    };
    return commands;
}

} // namespace nutmegtally
