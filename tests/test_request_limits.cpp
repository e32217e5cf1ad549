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

// Guards against a limit that is kept by sending the upstream nothing: an equal share of a hundred routers serves nobody.
BOOST_AUTO_TEST_CASE(statedLimit_whileDemandIsHigher_isUsed)
{
    for (const std::size_t routers : {1, 4, 100}) {
        limited_fleet fleet(routers, 3);
        for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
            fleet.state(name, 4.0);
        }
        fleet.run(5s, 60);
        fleet.run(10s, 60);
        for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
            BOOST_TEST(fleet.rateOf(name, 10s) >= 0.85 * 4.0, routers << " routers used " << fleet.rateOf(name, 10s) << " of 4 a second");
            BOOST_TEST(fleet.rateOf(name, 10s) <= 1.1 * 4.0);
        }
    }
}

// Guards against requests that are sent to engines at their limits, or held, while others have room.
BOOST_AUTO_TEST_CASE(statedLimit_whileOthersHaveRoom_refusesNobody)
{
    limited_fleet fleet(4, 6);
    fleet.run(2s, 60);
    for (const char *name : {"engine-0", "engine-1", "engine-2", "engine-3"}) {
        fleet.state(name, 1.0);
    }
    fleet.run(10s, 60);
    BOOST_TEST(fleet.refusals == 0U);
}

// Guards against a limit that goes on after its end, because nothing is sent to learn of it.
BOOST_AUTO_TEST_CASE(statedLimit_afterItsEnd_isGoneAtOnce)
{
    limited_fleet fleet(4, 3);
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        fleet.state(name, name[7] == '2' ? 0.0 : 3.0);
    }
    fleet.run(8s, 40);
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        fleet.state(name, std::nullopt);
    }
    fleet.run(6s, 40);
    const std::size_t before = fleet.refusals;
    fleet.run(4s, 40);
    BOOST_TEST(fleet.refusals == before);
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        BOOST_TEST(fleet.rateOf(name, 4s) > 6.0, name << " gets " << fleet.rateOf(name, 4s) << " a second after the end of its limit");
    }
}

// Guards against a limit that falls or rises and is kept as first heard.
BOOST_AUTO_TEST_CASE(statedLimit_thatFallsAndRises_isFollowed)
{
    limited_fleet fleet(4, 2);
    fleet.state("engine-0", 12.0);
    fleet.state("engine-1", 12.0);
    fleet.run(6s, 60);
    fleet.state("engine-0", 2.0);
    fleet.run(8s, 60);
    BOOST_TEST(fleet.excess("engine-0") <= 0);
    fleet.state("engine-0", 10.0);
    fleet.run(8s, 60);
    BOOST_TEST(fleet.rateOf("engine-0", 4s) > 7.5);
}

// Guards against less urgent requests that take the permits which more urgent ones wait for.
BOOST_AUTO_TEST_CASE(statedLimit_betweenPriorities_servesTheMoreUrgentFirst)
{
    limited_fleet fleet(4, 2);
    fleet.state("engine-0", 5.0);
    fleet.state("engine-1", 5.0);
    fleet.run(20s, 60);
    std::size_t urgent = 0;
    std::size_t total = 0;
    for (const auto &[name, engine] : fleet.engines) {
        for (const limited_fleet::arrival &each : engine.arrivals) {
            urgent += each.at >= time_point(5s) && each.priority == 0 ? 1 : 0;
            total += each.at >= time_point(5s) ? 1 : 0;
        }
    }
    BOOST_TEST(static_cast<double>(urgent) > 0.9 * static_cast<double>(total), urgent << " of " << total);
}

// Guards against one client account whose many requests take all permits.
BOOST_AUTO_TEST_CASE(statedLimit_betweenAccounts_isShared)
{
    limited_fleet fleet(4, 2);
    fleet.state("engine-0", 5.0);
    fleet.state("engine-1", 5.0);
    std::size_t count = 0;
    fleet.run(20s, 66, [&](std::size_t router) { fleet.send(router, "reply", ++count % 11 == 0 ? "small" : "large"); });
    std::size_t small = 0;
    for (const auto &[name, engine] : fleet.engines) {
        small += static_cast<std::size_t>(std::count_if(engine.arrivals.begin(), engine.arrivals.end(),
                                                        [](const limited_fleet::arrival &each) { return each.account == "small"; }));
    }
    // The small account asks for 6 a second, of 10 that are served.
    BOOST_TEST(static_cast<double>(small) > 0.25 * 10 * 20, small << " requests of the small account were served");
}

// Guards against an upstream that nobody may use because the router that issues its permits is cut off, and against one that each
// side of the cut uses up to its limit.
BOOST_AUTO_TEST_CASE(statedLimit_whileRoutersAreCutOff_isKeptAndUsed)
{
    limited_fleet fleet(4, 3);
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        fleet.state(name, 4.0);
    }
    fleet.run(6s, 50);
    fleet.isCut[0] = true;
    fleet.isCut[1] = true;
    fleet.run(8s, 50);
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        BOOST_TEST(fleet.excess(name) <= 0, name << " got " << fleet.excess(name) << " requests too many");
        BOOST_TEST(fleet.rateOf(name, 6s) > 0.2 * 4.0, name << " got " << fleet.rateOf(name, 6s) << " a second");
    }
}

// Guards against the limit of an incarnation that is gone: one that starts again under the name has stated nothing.
BOOST_AUTO_TEST_CASE(statedLimit_ofAnEngineThatStartsAgain_isForgotten)
{
    limited_fleet fleet(4, 2);
    fleet.state("engine-0", 1.0);
    fleet.run(4s, 40);
    fleet.list("engine-0", 7);
    fleet.run(4s, 40);
    BOOST_TEST(fleet.rateOf("engine-0", 3s) > 8.0);
}

// Guards against callers that are sent away together and all come back for the same permit.
BOOST_AUTO_TEST_CASE(refusal_whileAllEnginesAreLimited_spreadsTheReturns)
{
    limited_fleet fleet(4, 2);
    fleet.state("engine-0", 2.0);
    fleet.state("engine-1", 2.0);
    fleet.run(6s, 12);
    BOOST_REQUIRE(fleet.refusals > 10U);
    std::map<std::int64_t, unsigned> returns; // by tenth of a second
    for (const time_point &each : fleet.retryAfters) {
        ++returns[each.time_since_epoch() / 100ms];
    }
    const auto fullest = std::max_element(returns.begin(), returns.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    BOOST_TEST(fullest->second <= 4U);
}

// Guards against control traffic that grows with the fleet: permits are asked for by those who need one, and denials are spread.
BOOST_AUTO_TEST_CASE(permits_inALargeFleet_costFewMessages)
{
    limited_fleet fleet(100, 40);
    for (unsigned i = 0; i < 40; ++i) {
        fleet.state("engine-" + std::to_string(i), 3.0);
    }
    fleet.run(10s, 400);
    const double perRouter = static_cast<double>(fleet.permitMessages) / 100 / 10;
    BOOST_TEST(perRouter < 60, perRouter << " messages a second from each router");
}

BOOST_AUTO_TEST_SUITE_END()
