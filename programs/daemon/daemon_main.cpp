#include "daemon/daemon_main.h"

#include "daemon/daemon_log.h"
#include "daemon/daemon_settings.h"

#include <nutmegtally/errors.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace nutmegtally
{

namespace
{

int toInt(exit_code code)
{
    return static_cast<int>(code);
}

exit_code exitCodeOf(error_code code)
{
    switch (code) {
    case error_code::settingsInvalid:
    case error_code::configurationInvalid:
        return exit_code::invalidSettings;
    case error_code::platformUnavailable:
        return exit_code::unreachable;
    case error_code::configurationConflict:
        return exit_code::conflict;
    default:
        return exit_code::failed;
    }
}

/// Blocks the shutdown signals in this thread and all that it starts, so that sigwait() can receive them.
sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // a write to a closed connection then fails with EPIPE instead
    return signals;
}

int serve(const daemon_program &program, const nlohmann::json &settings)
{
    const sigset_t signals = blockShutdownSignals();
    setLogLevel(settings.value("logLevel", std::string("info")));
    logEvent(log_event::daemonStarted, "program=" + program.name + " version=" NUTMEGTALLY_VERSION);
    const std::unique_ptr<running_daemon> daemon = program.start(settings);
    int received = 0;
    sigwait(&signals, &received);
    return toInt(daemon->shutDown() ? exit_code::success : exit_code::failed);
}

} // namespace

int runDaemon(const daemon_program &program, int argc, char **argv)
{
    try {
        TCLAP::CmdLine line(program.summary, ' ', NUTMEGTALLY_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> file("", "settings", "Settings file, JSON with comments", true, "", "FILE", line);
        TCLAP::SwitchArg check("", "check", "Check the settings and exit", line);
        line.parse(argc, argv);
        const nlohmann::json settings = loadSettings(file.getValue(), *program.schema);
        program.check(settings);
        if (check.getValue()) {
            std::cout << file.getValue() << ": the settings are valid\n";
            return toInt(exit_code::success);
        }
        return serve(program, settings);
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus();
    } catch (const TCLAP::ArgException &fault) {
        std::cerr << program.name << ": " << fault.error() << ' ' << fault.argId() << "; see --help\n";
        return toInt(exit_code::usage);
    } catch (const error &fault) {
        logEvent(exitCodeOf(fault.code()) == exit_code::invalidSettings ? log_event::settingsRejected : log_event::internalFault,
                 fault.what());
        return toInt(exitCodeOf(fault.code()));
    } catch (const std::exception &fault) {
        logEvent(log_event::internalFault, fault.what());
        return toInt(exit_code::failed);
    }
}

} // namespace nutmegtally
