// Registry of the subcommands of nutmegtally-bench. Each bench_*.cpp defines one static bench_command.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace nutmegtally
{

/// One subcommand of nutmegtally-bench.
struct bench_command {
    using run_function = std::function<int(std::vector<std::string> args)>;

    /// Registers the command for the lifetime of the process.
    /// @param runCommand Gets the arguments as TCLAP expects them, program name first; returns the exit code.
    bench_command(std::string commandName, std::string commandSummary, run_function runCommand);

    std::string name;
    std::string summary;
    run_function run;
};

/// All registered commands.
std::vector<const bench_command *> &benchCommands();

} // namespace nutmegtally
