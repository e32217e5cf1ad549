// nutmegtally-bench: measurements in virtual time and on loopback. Each subcommand prints a table or JSON.
#include "bench/bench_command.h"

#include <algorithm>
#include <exception>
#include <iostream>

namespace nutmegtally
{

bench_command::bench_command(std::string commandName, std::string commandSummary, run_function runCommand)
    : name(std::move(commandName))
    , summary(std::move(commandSummary))
    , run(std::move(runCommand))
{
    benchCommands().push_back(this);
}

std::vector<const bench_command *> &benchCommands()
{
    static std::vector<const bench_command *> commands;
    return commands;
}

} // namespace nutmegtally

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

int printUsage(std::ostream &out, int exitCode)
{
    std::vector<const nutmegtally::bench_command *> commands = nutmegtally::benchCommands();
    std::sort(commands.begin(), commands.end(), [](const auto *a, const auto *b) { return a->name < b->name; });
    out << "usage: nutmegtally-bench COMMAND [OPTION...]; COMMAND --help lists its options\n";
    for (const nutmegtally::bench_command *command : commands) {
        out << "  " << command->name << "  " << command->summary << '\n';
    }
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    if (words.size() < 2) {
        return printUsage(std::cerr, exitUsage);
    }
    if (words[1] == "--help") {
        return printUsage(std::cout, 0);
    }
    for (const nutmegtally::bench_command *command : nutmegtally::benchCommands()) {
        if (command->name == words[1]) {
            std::vector<std::string> args(words.begin() + 1, words.end());
            args.front() = "nutmegtally-bench " + command->name;
            try {
                return command->run(std::move(args));
            } catch (const std::exception &fault) {
                std::cerr << "nutmegtally-bench " << command->name << ": " << fault.what() << '\n';
                return exitFailure;
            }
        }
    }
    std::cerr << "nutmegtally-bench: no command '" << words[1] << "'\n";
    return printUsage(std::cerr, exitUsage);
}
