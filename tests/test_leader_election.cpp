// Leader election: planned leaders of each failure domain, and their replacement when they fail.
#include <nutmegtally/leader_election.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;

/// A fleet whose routers get heartbeats as the daemon sends them.
struct election_fixture {
    struct router {
        router_endpoint endpoint;
        std::unique_ptr<leader_election> leaders;
        bool isUp = true;
        bool isApiReachable = true;
    };

    void build(unsigned domains, unsigned perDomain)
    {
        for (unsigned d = 0; d < domains; ++d) {
            for (unsigned i = 0; i < perDomain; ++i) {
                const std::string name = "router-" + std::to_string(d) + "-" + std::to_string(i);
                router_endpoint endpoint {name, "domain-" + std::to_string(d), name + ":1", name + ":2"};
                routers.push_back({endpoint, std::make_unique<leader_election>(endpoint.name, endpoint.domain), true, true});
            }
        }
        std::vector<router_endpoint> all;
        for (const router &each : routers) {
            all.push_back(each.endpoint);
        }
        for (router &each : routers) {
            each.leaders->setRouters(all);
        }
    }

    /// Delivers the heartbeats of leaders to the routers of their domain and to the leaders of other domains.
    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += 100ms) {
            for (router &each : routers) {
                if (!each.isUp || !each.leaders->isLeader()) {
                    continue;
                }
                std::vector<const router_endpoint *> receivers = each.leaders->domainPeers();
                const std::vector<const router_endpoint *> remote = each.leaders->remoteLeaders(now);
                receivers.insert(receivers.end(), remote.begin(), remote.end());
                for (const router_endpoint *receiver : receivers) {
                    byName(receiver->name).leaders->recordHeartbeat(each.endpoint.name, true, each.isApiReachable, 1, 100ms, now);
                }
            }
            for (router &each : routers) {
                if (each.isUp) {
                    each.leaders->update(now);
                }
            }
        }
    }

    router &byName(const std::string &name)
    {
        return *std::find_if(routers.begin(), routers.end(), [&](const router &each) { return each.endpoint.name == name; });
    }

    std::vector<router *> leadersOf(const std::string &domain)
    {
        std::vector<router *> found;
        for (router &each : routers) {
            if (each.isUp && each.endpoint.domain == domain && each.leaders->isLeader()) {
                found.push_back(&each);
            }
        }
        return found;
    }

    std::vector<router> routers;
    time_point now {};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leader_election_suite, election_fixture)

BOOST_AUTO_TEST_CASE(start_hundredRouters_leavesTwoLeadersPerDomain)
{
    build(5, 21);
    BOOST_TEST(leadersOf("domain-0").size() == 21U); // no heartbeat was received yet
    run(1s);
    for (unsigned d = 0; d < 5; ++d) {
        BOOST_TEST(leadersOf("domain-" + std::to_string(d)).size() == 2U);
    }
    BOOST_TEST(routers.front().leaders->remoteLeaders(now).size() == 8U);
}

BOOST_AUTO_TEST_CASE(start_smallFleet_makesAllLeaders)
{
    build(3, 2);
    run(5s);
    for (const router &each : routers) {
        BOOST_TEST(each.leaders->isLeader());
    }
}

BOOST_AUTO_TEST_CASE(leadersKilled_bothAtOnce_areReplacedWithinTwoSeconds)
{
    build(5, 21);
    run(3s);
    for (router *leader : leadersOf("domain-0")) {
        leader->isUp = false;
    }
    run(2s);
    const std::size_t replaced = leadersOf("domain-0").size();
    BOOST_TEST(replaced >= 2U);
    BOOST_TEST(replaced <= 4U);
    BOOST_TEST(leadersOf("domain-1").size() == 2U);
}

BOOST_AUTO_TEST_CASE(halfOfTheRoutersKilled_eachDomain_hasLeadersAgain)
{
    build(5, 21);
    run(3s);
    for (std::size_t i = 0; i < routers.size(); i += 2) {
        routers[i].isUp = false;
    }
    run(4s);
    for (unsigned d = 0; d < 5; ++d) {
        BOOST_TEST(leadersOf("domain-" + std::to_string(d)).size() >= 2U);
    }
}

BOOST_AUTO_TEST_CASE(leadersWithoutTheApi_domain_getsMoreLeaders)
{
    build(5, 21);
    run(3s);
    for (router *leader : leadersOf("domain-0")) {
        leader->isApiReachable = false;
    }
    run(2s);
    const std::vector<router *> leaders = leadersOf("domain-0");
    BOOST_TEST(std::count_if(leaders.begin(), leaders.end(), [](const router *each) { return each->isApiReachable; }) >= 2);
}

BOOST_AUTO_TEST_CASE(leadersReturn_substitutes_stepDown)
{
    build(5, 21);
    run(3s);
    const std::vector<router *> planned = leadersOf("domain-0");
    for (router *leader : planned) {
        leader->isUp = false;
    }
    run(5s);
    for (router *leader : planned) {
        leader->isUp = true;
    }
    run(4s);
    BOOST_TEST((leadersOf("domain-0") == planned));
}

BOOST_AUTO_TEST_CASE(preferredLeader_coversFewerRouters_isReplaced)
{
    build(1, 5);
    run(1s);
    const std::vector<router *> planned = leadersOf("domain-0");
    BOOST_REQUIRE(planned.size() == 2U);
    router &member = *std::find_if(routers.begin(), routers.end(), [](const router &each) { return !each.leaders->isLeader(); });
    member.leaders->recordHeartbeat(planned[0]->endpoint.name, true, true, 3, 100ms, now);
    member.leaders->recordHeartbeat(planned[1]->endpoint.name, true, true, 4, 100ms, now);
    BOOST_TEST(!member.leaders->isPreferredLeader(planned[0]->endpoint.name, now));
    BOOST_TEST(member.leaders->isPreferredLeader(planned[1]->endpoint.name, now));
    now += 400ms; // the other one sends no more heartbeats
    member.leaders->recordHeartbeat(planned[0]->endpoint.name, true, true, 3, 100ms, now);
    BOOST_TEST(member.leaders->isPreferredLeader(planned[0]->endpoint.name, now));
}

BOOST_AUTO_TEST_CASE(singleRouter_noOthers_isALeader)
{
    build(1, 1);
    run(1s);
    BOOST_TEST(routers.front().leaders->isLeader());
}

BOOST_AUTO_TEST_SUITE_END()
