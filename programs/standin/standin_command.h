// Entry points of the subcommands of nutmegtally-standin. Each takes its arguments as TCLAP expects them, program name
// first, and returns the exit code.
#pragma once

#include <string>
#include <vector>

namespace nutmegtally::standin
{

int runEngine(std::vector<std::string> args);
int runService(std::vector<std::string> args);
int runObjects(std::vector<std::string> args);
int runVms(std::vector<std::string> args);

} // namespace nutmegtally::standin
