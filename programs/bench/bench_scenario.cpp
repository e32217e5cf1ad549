// nutmegtally-bench scenario: runs scenario files in virtual time and prints each expectation with the measured value.
#include "bench/bench_command.h"
#include "simulation/sim_scenario.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace nutmegtally
{

namespace
{

constexpr int exitUsage = 2;

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// @return Number of expectations that do not hold.
unsigned runFile(const std::string &path)
{
    unsigned failedExpectations = 0;
    for (const expectation_result &result : runScenario(parseScenario(readText(path), path))) {
        std::cout << path << ':' << result.position.line << ": " << (result.holds ? "holds" : "BROKEN") << ": " << result.text
                  << " (measured " << result.measured << " at " << std::chrono::duration<double>(result.at).count() << " s)\n";
        failedExpectations += result.holds ? 0 : 1;
    }
    return failedExpectations;
}

int runScenarios(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Runs scenario files", ' ', "0.1.0");
    TCLAP::UnlabeledMultiArg<std::string> files("file", "Scenario files", true, "FILE", line);
    line.parse(args);
    unsigned failedExpectations = 0;
    try {
        for (const std::string &path : files.getValue()) {
            failedExpectations += runFile(path);
        }
    } catch (const scenario_error &fault) {
        std::cerr << fault.what() << '\n';
        return exitUsage;
    }
    return failedExpectations == 0 ? 0 : 1;
}

const bench_command scenarios("scenario", "scenario files over the production reducers in virtual time", runScenarios);

} // namespace

} // namespace nutmegtally
