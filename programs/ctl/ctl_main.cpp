// nutmegtallyctl: configuration, accounts, failure domains, status, audit and ledger for operators.
#include "ctl/ctl_context.h"

#include <nutmegtally/errors.h>

#include <iostream>

namespace
{

using namespace nutmegtally;

int printUsage(std::ostream &out, exit_code code)
{
    out << "usage: nutmegtallyctl COMMAND [OPTION...]; COMMAND --help lists its options\n";
    for (const auto *commands : {&configCommands(), &fleetCommands(), &accessCommands(), &ledgerCommands(), &explainCommands()}) {
        for (const ctl_command &command : *commands) {
            out << "  " << command.group << ' ' << command.name << "  " << command.summary << '\n';
        }
    }
    return static_cast<int>(code);
}

const ctl_command *findCommand(const std::vector<std::string> &arguments)
{
    for (const auto *commands : {&configCommands(), &fleetCommands(), &accessCommands(), &ledgerCommands(), &explainCommands()}) {
        for (const ctl_command &command : *commands) {
            const std::string name = command.name;
            if (arguments[1] == command.group && (name.empty() || (arguments.size() > 2 && arguments[2] == name))) {
                return &command;
            }
        }
    }
    return nullptr;
}

int exitCodeOf(const error &fault)
{
    switch (fault.code()) {
    case error_code::settingsInvalid:
        return static_cast<int>(exit_code::invalidSettings);
    case error_code::configurationConflict:
        return static_cast<int>(exit_code::conflict);
    case error_code::platformUnavailable:
        return static_cast<int>(exit_code::unreachable);
    default:
        return static_cast<int>(exit_code::failed);
    }
}

int run(const std::vector<std::string> &arguments)
{
    if (arguments.size() < 2) {
        return printUsage(std::cerr, exit_code::usage);
    }
    if (arguments[1] == "--help") {
        return printUsage(std::cout, exit_code::success);
    }
    if (arguments[1] == "--version") {
        std::cout << "nutmegtallyctl " << NUTMEGTALLY_VERSION << '\n';
        return static_cast<int>(exit_code::success);
    }
    const ctl_command *command = findCommand(arguments);
    if (command == nullptr) {
        std::cerr << "nutmegtallyctl: unknown command\n";
        return printUsage(std::cerr, exit_code::usage);
    }
    const bool hasName = *command->name != '\0';
    std::vector<std::string> commandArguments(arguments.begin() + (hasName ? 3 : 2), arguments.end());
    commandArguments.insert(commandArguments.begin(),
                            std::string("nutmegtallyctl ") + command->group + (hasName ? std::string(" ") + command->name : ""));
    command->run(std::move(commandArguments));
    return static_cast<int>(exit_code::success);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(std::vector<std::string>(argv, argv + argc));
    } catch (const ctl_failure &failure) {
        std::cerr << "nutmegtallyctl: " << failure.what() << '\n';
        return static_cast<int>(failure.code);
    } catch (const error &fault) {
        std::cerr << "nutmegtallyctl: " << fault.what() << '\n';
        return exitCodeOf(fault);
    } catch (const TCLAP::ExitException &done) {
        return done.getExitStatus();
    } catch (const std::exception &fault) {
        std::cerr << "nutmegtallyctl: " << fault.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}
