// Which routers read and sum up for their failure domain, and what happens when they are missed.
#include <nutmegtally/router_leads.h>

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

/// A fleet whose routers hear each other as the daemon's notices would let them.
struct leads_fixture {
    struct router {
        router_place place;
        std::unique_ptr<router_leads> leads;
        bool isUp = true;
        bool hasContact = true;
    };

    void build(unsigned domains, unsigned perDomain)
    {
        for (unsigned d = 0; d < domains; ++d) {
            for (unsigned i = 0; i < perDomain; ++i) {
                const std::string name = "router-" + std::to_string(d) + "-" + std::to_string(i);
                router_place place {name, "domain-" + std::to_string(d), name + ":1", name + ":2"};
                routers.push_back({place, std::make_unique<router_leads>(place.name, place.domain), true, true});
            }
        }
        std::vector<router_place> all;
        for (const router &each : routers) {
            all.push_back(each.place);
        }
        for (router &each : routers) {
            each.leads->setRouters(all);
        }
    }

    /// Plays notices: a lead's reach its neighbours and the other domains' leads.
    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += 100ms) {
            for (router &each : routers) {
                if (!each.isUp || !each.leads->isLead()) {
                    continue;
                }
                std::vector<const router_place *> hearers = each.leads->neighbours();
                const std::vector<const router_place *> foreign = each.leads->foreignLeads(now);
                hearers.insert(hearers.end(), foreign.begin(), foreign.end());
                for (const router_place *hearer : hearers) {
                    byName(hearer->name).leads->heard(each.place.name, true, each.hasContact, 1, 100ms, now);
                }
            }
            for (router &each : routers) {
                if (each.isUp) {
                    each.leads->update(now);
                }
            }
        }
    }

    router &byName(const std::string &name)
    {
        return *std::find_if(routers.begin(), routers.end(), [&](const router &each) { return each.place.name == name; });
    }

    std::vector<router *> leadsOf(const std::string &domain)
    {
        std::vector<router *> found;
        for (router &each : routers) {
            if (each.isUp && each.place.domain == domain && each.leads->isLead()) {
                found.push_back(&each);
            }
        }
        return found;
    }

    std::vector<router> routers;
    time_point now {};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(router_leads_suite, leads_fixture)

BOOST_AUTO_TEST_CASE(start_ofAHundredRouters_leavesTwoLeadsADomain)
{
    build(5, 21);
    BOOST_TEST(leadsOf("domain-0").size() == 21U); // nobody has been heard of
    run(1s);
    for (unsigned d = 0; d < 5; ++d) {
        BOOST_TEST(leadsOf("domain-" + std::to_string(d)).size() == 2U);
    }
    BOOST_TEST(routers.front().leads->foreignLeads(now).size() == 8U);
}

BOOST_AUTO_TEST_CASE(start_ofASmallFleet_makesAllLeads)
{
    build(3, 2);
    run(5s);
    for (const router &each : routers) {
        BOOST_TEST(each.leads->isLead());
    }
}

BOOST_AUTO_TEST_CASE(leadsKilled_bothAtOnce_areReplacedWithinTwoSeconds)
{
    build(5, 21);
    run(3s);
    for (router *lead : leadsOf("domain-0")) {
        lead->isUp = false;
    }
    run(2s);
    const std::size_t replaced = leadsOf("domain-0").size();
    BOOST_TEST(replaced >= 2U);
    BOOST_TEST(replaced <= 4U);
    BOOST_TEST(leadsOf("domain-1").size() == 2U);
}

BOOST_AUTO_TEST_CASE(halfOfTheRoutersKilled_eachDomain_hasLeadsAgain)
{
    build(5, 21);
    run(3s);
    for (std::size_t i = 0; i < routers.size(); i += 2) {
        routers[i].isUp = false;
    }
    run(4s);
    for (unsigned d = 0; d < 5; ++d) {
        BOOST_TEST(leadsOf("domain-" + std::to_string(d)).size() >= 2U);
    }
}

BOOST_AUTO_TEST_CASE(leadsThatThePlatformRefuses_areJoinedByOthers)
{
    build(5, 21);
    run(3s);
    for (router *lead : leadsOf("domain-0")) {
        lead->hasContact = false;
    }
    run(2s);
    const std::vector<router *> leads = leadsOf("domain-0");
    BOOST_TEST(std::count_if(leads.begin(), leads.end(), [](const router *each) { return each->hasContact; }) >= 2);
}

BOOST_AUTO_TEST_CASE(leadsThatReturn_replaceTheSubstitutes)
{
    build(5, 21);
    run(3s);
    const std::vector<router *> planned = leadsOf("domain-0");
    for (router *lead : planned) {
        lead->isUp = false;
    }
    run(5s);
    for (router *lead : planned) {
        lead->isUp = true;
    }
    run(4s);
    BOOST_TEST((leadsOf("domain-0") == planned));
}

BOOST_AUTO_TEST_CASE(bestLead_heardOfFewerRouters_givesWay)
{
    build(1, 5);
    run(1s);
    const std::vector<router *> planned = leadsOf("domain-0");
    BOOST_REQUIRE(planned.size() == 2U);
    router &member = *std::find_if(routers.begin(), routers.end(), [](const router &each) { return !each.leads->isLead(); });
    member.leads->heard(planned[0]->place.name, true, true, 3, 100ms, now);
    member.leads->heard(planned[1]->place.name, true, true, 4, 100ms, now);
    BOOST_TEST(!member.leads->isBestOf(planned[0]->place.name, now));
    BOOST_TEST(member.leads->isBestOf(planned[1]->place.name, now));
    now += 400ms; // the other one has gone silent
    member.leads->heard(planned[0]->place.name, true, true, 3, 100ms, now);
    BOOST_TEST(member.leads->isBestOf(planned[0]->place.name, now));
}

BOOST_AUTO_TEST_CASE(shortWaits_ofEachKind_areTwoLeadsDuty)
{
    build(5, 21);
    run(3s);
    for (const char *kind : {"a", "b", "c"}) {
        std::size_t probing = 0;
        for (const router &each : routers) {
            const bool isProbing = each.leads->isProbing(kind);
            BOOST_TEST((!isProbing || each.leads->isLead()));
            probing += isProbing ? 1 : 0;
        }
        BOOST_TEST(probing == 2U);
    }
}

BOOST_AUTO_TEST_CASE(routerAlone_isALeadThatProbes)
{
    build(1, 1);
    run(1s);
    BOOST_TEST(routers.front().leads->isLead());
    BOOST_TEST(routers.front().leads->isProbing("kind"));
}

BOOST_AUTO_TEST_SUITE_END()
