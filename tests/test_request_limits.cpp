// Upstreams that state how many requests a second they take from all routers together: whether the fleet keeps to it, how much
// of it is used, and in which order requests get it.
#include "tests/limited_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

/// Six engines under usual traffic, four of which then state limits below what they get.
struct limited_engines_fixture {
    void overrun(std::size_t routerCount)
    {
        limited_fleet fleet(routerCount, 6);
        fleet.run(2s, 30);
        for (unsigned i = 0; i < 4; ++i) {
            fleet.state("engine-" + std::to_string(i), 2.0 + i * 0.3);
        }
        fleet.run(16s, 30);
        for (unsigned i = 0; i < 4; ++i) {
            BOOST_TEST(fleet.excess("engine-" + std::to_string(i)) <= 0,
                       "engine-" << i << " got " << fleet.excess("engine-" + std::to_string(i)) << " requests more than its limit allows");
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_limits_suite, limited_engines_fixture)

// Guards against upstreams that state a limit of requests and go on to get as many as before.
BOOST_AUTO_TEST_CASE(statedLimit_atOneRouter_isKept)
{
    overrun(1);
}

// Guards against a limit for all routers together that each of them uses up by itself.
BOOST_AUTO_TEST_CASE(statedLimit_atFourRouters_isKeptByTheirSum)
{
    overrun(4);
}

// Guards against the same in a large fleet, where an equal share of each router is less than a request in its time.
BOOST_AUTO_TEST_CASE(statedLimit_atHundredRouters_isKeptByTheirSum)
{
    overrun(100);
}

BOOST_AUTO_TEST_SUITE_END()
