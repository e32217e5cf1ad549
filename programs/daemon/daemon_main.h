// Frame of a daemon's main(): options, settings check, exit codes and the wait for SIGTERM.
#pragma once

#include "daemon/exit_code.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace nutmegtally
{

/// A daemon that serves.
class running_daemon
{
public:
    virtual ~running_daemon() = default;

    /// Graceful shutdown, bounded by a setting.
    /// @return False if work was cut.
    virtual bool shutDown() = 0;
};

struct daemon_program {
    std::string name;
    std::string summary;
    const nlohmann::json *schema = nullptr;

    /// Checks what the schema cannot, for --check and before start. @throws error
    std::function<void(const nlohmann::json &)> check;

    /// @throws error
    std::function<std::unique_ptr<running_daemon>(const nlohmann::json &)> start;
};

/// @return The process's exit code.
int runDaemon(const daemon_program &program, int argc, char **argv);

} // namespace nutmegtally
