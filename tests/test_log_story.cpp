// Stories of requests from the logs of several processes.
#include "entry/log_story.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace
{

using namespace nutmegtally;

struct story_fixture {
    static std::string line(const std::string &process, int upMs, long timeMs, const std::string &name, const std::string &more)
    {
        return "{\"time_ms\":" + std::to_string(timeMs) + ",\"up_ms\":" + std::to_string(upMs) + ",\"process\":\"" + process
               + "\",\"event\":1,\"name\":\"" + name + "\",\"level\":\"info\"" + (more.empty() ? "" : "," + more) + "}\n";
    }

    void read(const std::string &text)
    {
        std::istringstream log(text);
        story.read(log);
    }

    log_story story {"r1"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_story_suite, story_fixture)

BOOST_AUTO_TEST_CASE(lines_timeOfDayThatJumped_followTheSteadyClock)
{
    read(line("a", 100, 9000, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u\"")
         + line("a", 150, 2000, "request_answered", "\"request\":\"r1\""));
    const auto lines = story.lines();
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].name == "attempt_started");
    BOOST_TEST(story.cause() == "answered, after it was sent to u");
}

BOOST_AUTO_TEST_CASE(cause_refusedAfterALostAttempt_namesUpstreamAndFailure)
{
    read(line("a", 100, 1, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u7\"")
         + line("a", 110, 1, "attempt_failed", "\"request\":\"r1\",\"upstream\":\"u7\",\"failure\":\"lost\"")
         + line("a", 110, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"upstream_failed\",\"placement\":\"chosen\""));
    BOOST_TEST(story.cause() == "refused: upstream_failed, after attempt_failed at u7 (lost)");
}

BOOST_AUTO_TEST_CASE(cause_timeoutWithoutAnyAnswer_namesTheUpstream)
{
    read(line("a", 100, 1, "attempt_started", "\"request\":\"r1\",\"upstream\":\"u7\"")
         + line("a", 1600, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"timeout_unknown\",\"placement\":\"chosen\""));
    BOOST_TEST(story.cause() == "refused: timeout_unknown, after it was sent to u7");
}

BOOST_AUTO_TEST_CASE(beliefs_shortlyBeforeTheRequest_arePartOfItsStory)
{
    read(line("a", 100, 1, "configuration_applied", "\"version\":3") + line("a", 3500, 1, "domains_closed", "\"closed\":\"north\"")
         + line("b", 3500, 1, "domains_closed", "\"closed\":\"north\"")
         + line("a", 4000, 1, "request_refused", "\"request\":\"r1\",\"reason\":\"no_upstream\",\"placement\":\"none_listed\""));
    const auto lines = story.lines();
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].name == "domains_closed");
    BOOST_TEST(story.cause() == "refused: no_upstream, placement none_listed");
}

BOOST_AUTO_TEST_CASE(read_foreignLines_areLeftOut)
{
    read("not json r1\n{\"half\": r1\n[\"r1\"]\n" + line("a", 1, 1, "attempt_started", "\"request\":\"r10\""));
    BOOST_TEST(story.lines().empty());
    BOOST_TEST(story.cause().empty());
}

BOOST_AUTO_TEST_CASE(summarise_span_countsEndsByCause)
{
    std::istringstream log(line("a", 1, 10, "request_refused", "\"request\":\"x\",\"reason\":\"no_room\"")
                           + line("a", 2, 20, "request_refused", "\"request\":\"y\",\"reason\":\"no_room\"")
                           + line("a", 3, 30, "request_answered", "\"request\":\"z\"") + "junk\n");
    const story_summary sum = summarise(log, 15, 0);
    BOOST_TEST(sum.requests == 2U);
    BOOST_TEST(sum.causes.at("refused: no_room") == 1U);
    BOOST_TEST(sum.causes.at("answered") == 1U);
    BOOST_TEST(sum.unreadable == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
