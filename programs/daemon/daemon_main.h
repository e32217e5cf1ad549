// Common main() of the daemons: command-line options, settings check, exit codes and shutdown on SIGTERM or SIGINT.
#pragma once

#include "daemon/exit_code.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace nutmegtally
{

/// A started daemon.
class running_daemon
{
public:
    virtual ~running_daemon() = default;

    /// Shuts down gracefully within a time limit from the settings.
    /// @return False if work was aborted at the limit.
    virtual bool shutDown() = 0;
};

struct daemon_program {
    std::string name;
    std::string summary;
    const nlohmann::json *schema = nullptr;

    /// Checks what the schema cannot express; called for --check and before start. @throws error
    std::function<void(const nlohmann::json &)> check;

    /// @throws error
    std::function<std::unique_ptr<running_daemon>(const nlohmann::json &)> start;
};

/// @return The process's exit code.
int runDaemon(const daemon_program &program, int argc, char **argv);

} // namespace nutmegtally
