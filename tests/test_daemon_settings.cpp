// Guards against a daemon that starts with invalid settings, against faults that are reported one at a time, and against
// example files that do not match the schemas.
#include "agent/agent_settings.h"
#include "daemon/daemon_fleet.h"
#include "daemon/daemon_log.h"
#include "daemon/daemon_main.h"
#include "daemon/daemon_settings.h"
#include "router/router_settings.h"

#include <nutmegtally/errors.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>

using namespace nutmegtally;

namespace
{

const std::string configFolder = NUTMEGTALLY_SOURCE_DIR "/config/";

bool containsFault(const std::vector<config_fault> &faults, const std::string &text)
{
    return std::any_of(faults.begin(), faults.end(), [&](const config_fault &fault) {
        return (fault.path + " " + fault.message).find(text) != std::string::npos && !fault.remedy.empty();
    });
}

/// Exit code of a daemon with these arguments; the daemon must not start.
int run(std::vector<std::string> words)
{
    daemon_program program;
    program.name = "test";
    program.schema = &routerSchema();
    program.check = [](const nlohmann::json &document) { readRouterSettings(document); };
    program.start = [](const nlohmann::json &) -> std::unique_ptr<running_daemon> { throw error(error_code::platformUnavailable); };
    std::vector<char *> arguments;
    words.insert(words.begin(), "test");
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    return runDaemon(program, static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

BOOST_AUTO_TEST_CASE(settings_examples_passTheirSchemas)
{
    const nlohmann::json agent = loadSettings(configFolder + "agent.example.json", agentSchema());
    BOOST_TEST(readAgentSettings(agent).self.model.isValid());
    const nlohmann::json router = loadSettings(configFolder + "router.example.json", routerSchema());
    BOOST_TEST(readRouterSettings(router).upstreams.size() == 2U);
    BOOST_TEST(readFleetConfig(configFolder + "fleet.example.json")->accounts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(settings_tenFaults_giveTenLinesThatSayWhatIsAllowed)
{
    nlohmann::json document = readSettingsFile(configFolder + "router.example.json");
    document["listen"] = 1;
    document["logLevel"] = "loud";
    document["shutdownLimitMs"] = -1;
    document["stream"]["silenceMs"] = "2 s";
    document["stream"]["maxResumes"] = 1.5;
    document["stream"]["bufferBytes"] = true;
    document["innerKeys"] = nlohmann::json::array({7});
    document["upstreams"][0]["name"] = 5;
    document["upstreams"][1]["adress"] = "127.0.0.1:1";
    document["unknownMember"] = 1;
    const std::vector<config_fault> faults = checkAgainstSchema(document, routerSchema());
    BOOST_TEST(faults.size() == 10U);
    for (const config_fault &fault : faults) {
        BOOST_TEST(fault.remedy.find("docs/settings.md") == std::string::npos, fault.path << ": " << fault.remedy);
    }
    BOOST_TEST(std::any_of(faults.begin(), faults.end(), [](const config_fault &fault) {
        return fault.path == "/logLevel" && fault.remedy.find("warning") != std::string::npos;
    }));
}

BOOST_AUTO_TEST_CASE(settings_severalFaults_areReportedTogether)
{
    nlohmann::json document = readSettingsFile(configFolder + "router.example.json");
    document["listen"] = "localhost";
    document["stream"]["silenceMs"] = 0;
    document["lisen"] = "127.0.0.1:1";
    document.erase("domain");
    const std::vector<config_fault> faults = checkAgainstSchema(document, routerSchema());
    BOOST_TEST(containsFault(faults, "/listen"));
    BOOST_TEST(containsFault(faults, "/stream/silenceMs"));
    BOOST_TEST(containsFault(faults, "lisen"));
    BOOST_TEST(containsFault(faults, "domain"));
}

BOOST_AUTO_TEST_CASE(settings_agentWithModelAndService_isRefused)
{
    nlohmann::json document = readSettingsFile(configFolder + "agent.example.json");
    document["service"] = "booking-app";
    BOOST_TEST(!checkAgainstSchema(document, agentSchema()).empty());
}

BOOST_AUTO_TEST_CASE(daemon_exitCodes_tellUsageSettingsAndPlatformApart)
{
    setLogLevel("off");
    const std::string validSettings = configFolder + "router.example.json";
    BOOST_TEST(run({"--version"}) == 0);
    BOOST_TEST(run({"--help"}) == 0);
    BOOST_TEST(run({}) == 2);
    BOOST_TEST(run({"--settings", validSettings, "--unknown"}) == 2);
    BOOST_TEST(run({"--settings", "/nonexistent"}) == 3);
    BOOST_TEST(run({"--settings", configFolder + "agent.example.json"}) == 3);
    BOOST_TEST(run({"--settings", validSettings, "--check"}) == 0);
    BOOST_TEST(run({"--settings", validSettings}) == 4);
}
