// Traces of single requests and totals by cause, from the logs of several processes.
#include "entry/request_trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace
{

using namespace nutmegtally;

struct trace_fixture {
    static std::string line(const std::string &process, int uptimeMs, long timeMs, const std::string &name, const std::string &more)
    {
        return "{\"time_ms\":" + std::to_string(timeMs) + ",\"up_ms\":" + std::to_string(uptimeMs) + ",\"process\":\"" + process
               + "\",\"event\":1,\"name\":\"" + name + "\",\"level\":\"info\"" + (more.empty() ? "" : "," + more) + "}\n";
    }

    void read(const std::string &text)
    {
        std::istringstream log(text);
        trace.read(log);
    }

    request_trace trace {"r1"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_trace_suite, trace_fixture)

BOOST_AUTO_TEST_CASE(lines_wallClockJump_followUptime)
{
    read(line("a", 100, 9000, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u\"")
         + line("a", 150, 2000, "request_answered", "\"request\":\"r1\""));
    const auto lines = trace.lines();
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].name == "attempt_started");
    BOOST_TEST(trace.cause() == "answered, after it was sent to u");
}

BOOST_AUTO_TEST_CASE(cause_refusalAfterLostAttempt_namesUpstreamAndFailure)
{
    read(line("a", 100, 1, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u7\"")
         + line("a", 110, 1, "attempt_failed", "\"request\":\"r1\",\"upstream\":\"u7\",\"failure\":\"lost\"")
         + line("a", 110, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"upstream_failed\",\"placement\":\"chosen\""));
    BOOST_TEST(trace.cause() == "refused: upstream_failed, after attempt_failed at u7 (lost)");
}

BOOST_AUTO_TEST_CASE(cause_timeoutWithoutAnyAnswer_namesTheUpstream)
{
    read(line("a", 100, 1, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u7\"")
         + line("a", 1600, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"timeout_unknown\",\"placement\":\"chosen\""));
    BOOST_TEST(trace.cause() == "refused: timeout_unknown, after it was sent to u7");
}

BOOST_AUTO_TEST_CASE(lines_contextShortlyBeforeRequest_isIncluded)
{
    read(line("a", 100, 1, "configuration_applied", "\"version\":3") + line("a", 3500, 1, "domains_closed", "\"closed\":\"north\"")
         + line("b", 3500, 1, "domains_closed", "\"closed\":\"north\"")
         + line("a", 4000, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"no_upstream\",\"placement\":\"none_listed\""));
    const auto lines = trace.lines();
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].name == "domains_closed");
    BOOST_TEST(trace.cause() == "refused: no_upstream, placement none_listed");
}

BOOST_AUTO_TEST_CASE(read_otherLines_areIgnored)
{
    read("not json r1\n{\"half\": r1\n[\"r1\"]\n" + line("a", 1, 1, "attempt_started", "\"request\":\"r10\""));
    BOOST_TEST(trace.lines().empty());
    BOOST_TEST(trace.cause().empty());
}

BOOST_AUTO_TEST_CASE(summarizeOutcomes_timeRange_countsByCause)
{
    std::istringstream log(line("a", 1, 10, "request_refused", "\"request\":\"x\",\"reason\":\"no_room\"")
                           + line("a", 2, 20, "request_refused", "\"request\":\"y\",\"reason\":\"no_room\"")
                           + line("a", 3, 30, "request_answered", "\"request\":\"z\"") + "junk\n");
    const outcome_summary sum = summarizeOutcomes(log, 15, 0);
    BOOST_TEST(sum.requests == 2U);
    BOOST_TEST(sum.causes.at("refused: no_room") == 1U);
    BOOST_TEST(sum.causes.at("answered") == 1U);
    BOOST_TEST(sum.unreadable == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
