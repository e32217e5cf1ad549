// Guards against a status listener that reports a wrong state, and against differences between the daemons' metrics and
// docs/metrics.md.
#include "tests/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

/// Metric families of a scrape, from its "# TYPE" lines.
std::set<std::string> families(const std::string &scrape)
{
    std::set<std::string> names;
    std::istringstream lines(scrape);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("# TYPE ", 0) == 0) {
            names.insert(line.substr(7, line.find(' ', 7) - 7));
        }
    }
    return names;
}

/// Metric families in docs/metrics.md, without those of nutmegtally-entry, which scripts/check_docs.py compares.
std::set<std::string> documentedFamilies()
{
    std::ifstream page(NUTMEGTALLY_SOURCE_DIR "/docs/metrics.md");
    std::set<std::string> names;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("| `nutmegtally_", 0) == 0 && line.rfind("| `nutmegtally_entry_", 0) != 0) {
            names.insert(line.substr(3, line.find('`', 3) - 3));
        }
    }
    return names;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(status_listeners_serveStateAndEveryListedMetric, daemon_fixture)
{
    scripted_server upstream(engine([](scripted_exchange &exchange) { exchange.reply(200, "application/json", "{}"); }));
    startFleet(upstream.address());
    BOOST_TEST(connect().chat(false).status == 200);
    std::set<std::string> served;
    for (const std::string &address : {router->statusAddress(), agent->statusAddress()}) {
        BOOST_TEST(caller(address).call("GET", "/healthz").status == 200);
        BOOST_TEST(caller(address).call("GET", "/readyz").status == 200);
        BOOST_TEST(caller(address).call("GET", "/other").status == 404);
        served.merge(families(caller(address).call("GET", "/metrics").body));
    }
    const std::set<std::string> documented = documentedFamilies();
    BOOST_TEST(served == documented, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(status_withoutConfiguration_isNotReady, daemon_fixture)
{
    class unconfigured_source : public static_fleet_source
    {
    public:
        unconfigured_source()
            : static_fleet_source(nullptr, {})
        {
        }

        void start(fleet_listener) override { }
    };
    router = std::make_unique<router_daemon>(routerSettings, std::make_unique<unconfigured_source>());
    BOOST_TEST(caller(router->statusAddress()).call("GET", "/readyz").status == 503);
    const answer refused = connect().chat();
    BOOST_TEST(refused.fault().value("code", "") == "configuration_unknown");
    BOOST_TEST(refused.fault().value("run_state", "") == "not_run");
}
