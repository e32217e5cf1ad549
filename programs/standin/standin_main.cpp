// nutmegtally-standin: fakes of the external systems that the daemons use, for tests and benchmarks.
#include "standin/standin_command.h"

#include <Poco/Exception.h>
#include <tclap/ArgException.h>

#include <array>
#include <iostream>
#include <string_view>

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitUnreachable = 4;

struct subcommand {
    std::string_view name;
    std::string_view summary;
    int (*run)(std::vector<std::string>);
};

constexpr std::array<subcommand, 4> subcommands = {{
    {"engine", "model engine with continuous batching, a prefix cache and cold starts", nutmegtally::standin::runEngine},
    {"service", "service with non-idempotent calls", nutmegtally::standin::runService},
    {"objects", "object API with versions, conditional updates and watches", nutmegtally::standin::runObjects},
    {"vms", "list of live and leaving VMs", nutmegtally::standin::runVms},
}};

int printUsage(std::ostream &out, int exitCode)
{
    out << "usage: nutmegtally-standin COMMAND [OPTION...]; COMMAND --help lists its options\n";
    for (const subcommand &command : subcommands) {
        out << "  " << command.name << "  " << command.summary << '\n';
    }
    return exitCode;
}

int run(const subcommand &command, std::vector<std::string> args)
{
    try {
        return command.run(std::move(args));
    } catch (const Poco::Exception &fault) {
        std::cerr << "nutmegtally-standin " << command.name << ": " << fault.displayText() << '\n';
        return exitUnreachable;
    } catch (const TCLAP::ArgException &fault) {
        std::cerr << "nutmegtally-standin " << command.name << ": " << fault.error() << " for " << fault.argId() << '\n';
        return exitUsage;
    } catch (const std::exception &fault) {
        std::cerr << "nutmegtally-standin " << command.name << ": " << fault.what() << '\n';
        return exitFailure;
    }
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
    if (words[1] == "--version") {
        std::cout << "nutmegtally-standin 0.1.0\n";
        return 0;
    }
    for (const subcommand &command : subcommands) {
        if (command.name == words[1]) {
            std::vector<std::string> args(words.begin() + 1, words.end());
            args.front() = "nutmegtally-standin " + std::string(command.name);
            return run(command, std::move(args));
        }
    }
    std::cerr << "nutmegtally-standin: no command '" << words[1] << "'\n";
    return printUsage(std::cerr, exitUsage);
}
