// Whether the object API serves other routers steadily, from the times of its answers.
#include "src/limits.h"

#include <nutmegtally/api_availability.h>

#include <boost/test/unit_test.hpp>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;

struct availability_fixture {
    /// The API answers a router once a second, up to and including @p until.
    void serve(const std::string &router, duration from, duration until)
    {
        for (duration at = from; at <= until; at += 1s) {
            availability.recordAnswer(router, time_point(at));
        }
    }

    bool isSteadyAt(duration at) const
    {
        return availability.isSteady(time_point(at));
    }

    api_availability availability;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(api_availability_suite, availability_fixture)

BOOST_AUTO_TEST_CASE(noOtherRouter_isNotSteady)
{
    BOOST_TEST(!isSteadyAt(100s));
}

BOOST_AUTO_TEST_CASE(oneRouterServedWithoutABreak_isSteadyAfterTheLifeOfAnEntry)
{
    serve("a", 10s, 10s + limits::minSteadyService);
    BOOST_TEST(!isSteadyAt(10s + limits::minSteadyService - 1ms));
    BOOST_TEST(isSteadyAt(10s + limits::minSteadyService));
}

BOOST_AUTO_TEST_CASE(lastAnswerTooLongAgo_isNotSteady)
{
    serve("a", 10s, 20s);
    BOOST_TEST(isSteadyAt(20s + limits::maxServiceBreak));
    BOOST_TEST(!isSteadyAt(20s + limits::maxServiceBreak + 1ms));
}

BOOST_AUTO_TEST_CASE(break_beginsTheTimeAnew)
{
    serve("a", 10s, 20s);
    serve("a", 23s, 28s);
    BOOST_TEST(!isSteadyAt(28s));
    serve("a", 29s, 29s);
    BOOST_TEST(isSteadyAt(29s));
}

// A call that was pending through an outage is answered after it: that router has a break, whatever it says of itself.
BOOST_AUTO_TEST_CASE(routersWithBreaks_oneWithout_isSteady)
{
    serve("a", 10s, 20s);
    serve("b", 10s, 14s);
    serve("b", 20s, 20s);
    BOOST_TEST(isSteadyAt(20s));
}

BOOST_AUTO_TEST_CASE(answersOutOfOrder_keepTheNewest)
{
    serve("a", 10s, 20s);
    availability.recordAnswer("a", time_point(19s));
    BOOST_TEST(isSteadyAt(20s));
}

BOOST_AUTO_TEST_SUITE_END()
