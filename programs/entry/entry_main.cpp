// Command line of nutmegtally-entry, the router on each entry VM of a platform whose upstreams have no agent beside them.
#include "daemon/daemon_main.h"
#include "daemon/daemon_settings.h"
#include "entry/entry_daemon.h"
#include "platform/names.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace nutmegtally;

int runEntry(const std::string &path, bool checkOnly)
{
    entry_settings settings;
    try {
        settings = readEntrySettings(loadSettings(path, entrySchema()));
    } catch (const std::exception &fault) {
        std::cerr << "nutmegtally-entry: " << fault.what() << '\n';
        return static_cast<int>(exit_code::invalidSettings);
    }
    if (checkOnly) {
        std::cout << path << ": valid\n";
        if (!settings.disabledForMeasurement.empty()) {
            std::cout << "warning: switched off, for measurement only: " << settings.disabledForMeasurement << '\n';
        }
        return static_cast<int>(exit_code::success);
    }
    // A write to a connection that the peer has closed fails with an error; the signal is not needed.
    ::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    entry_daemon daemon(context, settings, [path] { return readEntrySettings(loadSettings(path, entrySchema())); });
    return static_cast<int>(daemon.run() ? exit_code::success : exit_code::failed);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Routes callers of a platform to its upstreams", ' ', NUTMEGTALLY_VERSION);
        TCLAP::ValueArg<std::string> settings("s", "settings",
                                              "Settings file; defaults to the path in the environment variable that the platform sets",
                                              false, "", "FILE", command);
        TCLAP::SwitchArg check("c", "check", "Check the settings file and exit", command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        std::string path = settings.getValue();
        if (const char *fromVariable = std::getenv(platform::settingsVariable); path.empty() && fromVariable != nullptr) {
            path = fromVariable;
        }
        if (path.empty()) {
            std::cerr << "nutmegtally-entry: no settings file; pass one with --settings\n";
            return static_cast<int>(exit_code::usage);
        }
        return runEntry(path, check.getValue());
    } catch (const TCLAP::ExitException &finished) {
        return finished.getExitStatus();
    } catch (const TCLAP::ArgException &fault) {
        std::cerr << "nutmegtally-entry: " << fault.error() << ' ' << fault.argId() << '\n';
        return static_cast<int>(exit_code::usage);
    } catch (const std::exception &fault) {
        std::cerr << "nutmegtally-entry: " << fault.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}
