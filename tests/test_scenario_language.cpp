// Guards against misparsed scenario files, and against errors in them that are reported late or without a position.
#include "simulation/sim_scenario.h"

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// @return Message of the error from parsing or running, empty for none.
std::string faultOf(const std::string &text)
{
    try {
        runScenario(parseScenario(text, "f.scn"));
    } catch (const scenario_error &fault) {
        return fault.what();
    }
    return {};
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scenario_language)

BOOST_AUTO_TEST_CASE(scenario_everyKindOfLine_isRead)
{
    const scenario read = parseScenario("# comment\n"
                                        "fleet serving engines 9 loss 0.5   # more\n"
                                        "domains north-pl south-mb\n\n"
                                        "every 50ms from 1s until 2min chat from account c3\n"
                                        "  at 20.5s expect new_work(south-mb) >= -1.5\n"
                                        "at 30s close domain south-mb",
                                        "f.scn");
    BOOST_TEST(read.kind.text == "serving");
    BOOST_TEST(read.settings.at(1).value == 0.5);
    BOOST_TEST(read.domains.at(1).text == "south-mb");
    BOOST_REQUIRE(read.steps.size() == 3U);
    BOOST_TEST(read.steps[0].interval->count() == 50'000);
    BOOST_TEST(read.steps[0].first.count() == 1'000'000);
    BOOST_TEST(read.steps[0].until->count() == 120'000'000);
    BOOST_TEST(read.steps[0].action.size() == 4U);
    BOOST_TEST(read.steps[1].expectation->argument->text == "south-mb");
    BOOST_TEST(read.steps[1].expectation->value == -1.5);
    BOOST_TEST((read.steps[1].expectation->relation == comparison::greaterOrEqual));
    BOOST_TEST(read.steps[2].position.line == 7U);
}

BOOST_AUTO_TEST_CASE(scenario_grammarFault_namesLineAndColumn)
{
    BOOST_TEST(startsWith(faultOf("fleet serving\nat soon close domain a\n"), "f.scn:2:4: expected a time"));
    BOOST_TEST(startsWith(faultOf("fleet serving\nat 1s expect offered 3\n"), "f.scn:2:22: expected one of"));
    BOOST_TEST(startsWith(faultOf("fleet serving\n\nwhenever\n"), "f.scn:3:1: expected fleet"));
    BOOST_TEST(startsWith(faultOf("fleet serving\nevery 0s chat from account a\n"), "f.scn:2:7: the interval"));
}

BOOST_AUTO_TEST_CASE(scenario_unknownNames_areFoundBeforeTheRun)
{
    BOOST_TEST(startsWith(faultOf("fleet nowhere\n"), "f.scn:1:7: unknown driver"));
    BOOST_TEST(startsWith(faultOf("fleet serving engine 3\n"), "f.scn:1:15: unknown setting"));
    BOOST_TEST(startsWith(faultOf("fleet serving\nat 1h close domain a\n"), "f.scn:2:4: expected a time"));
    BOOST_TEST(startsWith(faultOf("fleet serving\nat 1s dance\n"), "f.scn:2:7: no such action"));
    BOOST_TEST(startsWith(faultOf("fleet serving\nat 1s expect joy = 1\n"), "f.scn:2:14: unknown metric"));
    BOOST_TEST(startsWith(faultOf("fleet serving\ndomains a\nat 1s expect new_work(b) = 1\n"), "f.scn:3:23: no domain"));
}

BOOST_AUTO_TEST_CASE(scenario_falseExpectation_isReported)
{
    const std::string text = "fleet serving engines 3\nat 1s chat from account a\nat 5s expect answered = 2\nat 5s expect answered = 1\n";
    const std::vector<expectation_result> results = runScenario(parseScenario(text, "f.scn"));
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST(!results[0].holds);
    BOOST_TEST(results[0].measured == 1);
    BOOST_TEST(results[1].holds);
}

BOOST_AUTO_TEST_SUITE_END()
