// Tests of the order in which waiting requests are admitted: by entry_core on one router, and by a model of several routers that share
// the capacity of one service.
#include "entry/gossip_codec.h"
#include "entry_fixture.h"
#include "src/limits.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <tuple>

using namespace nutmegtally;

namespace
{

/// Several routers in virtual time that start requests of one service while its capacity lasts. Refused callers come back once as told.
struct admission_model {
    static constexpr duration step = 10ms;
    static constexpr duration updateInterval = 200ms;
    static constexpr duration waitTime = 250ms;
    static constexpr duration deadline = 12s;

    struct traffic {
        std::string account;
        int priority = 0;
        double cost = 1;
        double perSecond = 0;
    };

    struct outcome {
        unsigned offered = 0;
        unsigned served = 0;
        unsigned refusals = 0;
        unsigned refusedAgain = 0;

        double share() const
        {
            return static_cast<double>(served) / std::max(1U, offered);
        }
    };

    struct caller {
        std::size_t source = 0; // index in the traffic
        std::uint64_t identity = 0;
        unsigned refusals = 0;
        time_point givesUpAt;
    };

    struct returning {
        time_point at;
        caller who;
    };

    admission_model(std::size_t routerCount, double costPerSecond, std::vector<traffic> pattern, bool byShare = true)
        : sources(std::move(pattern))
        , outcomes(sources.size())
        , capacity(costPerSecond)
    {
        const auto scheme = byShare ? admission_order::scheme::share : admission_order::scheme::priority;
        for (std::size_t i = 0; i < routerCount; ++i) {
            routers.emplace_back(scheme);
        }
    }

    admission_request requestOf(std::uint64_t id, const caller &who) const
    {
        const traffic &source = sources[who.source];
        return {id, "desk", source.account, source.priority, who.identity, source.cost, false, now + limits::maxHoldBack, now + waitTime};
    }

    void receive(caller who)
    {
        const std::size_t router = random() % routers.size();
        admission_order &order = routers[router];
        admission_request request = requestOf(++lastId, who);
        request.isReturned = order.takeReturn(request, now);
        requests[request.id] = {request, who, router};
        if (tryStart(request.id)) {
            return;
        }
        if (order.isHopeless(request, now)) {
            refuse(request.id);
        }
    }

    bool tryStart(std::uint64_t id)
    {
        const auto &[request, who, router] = requests.at(id);
        const admission_turn turn = routers[router].turnOf(request, now);
        if (turn != admission_turn::now || available < request.cost) {
            const wait_reason reason = turn == admission_turn::heldBack ? wait_reason::elsewhere : wait_reason::capacity;
            routers[router].wait(request, reason, now);
            return false;
        }
        available -= request.cost;
        ++outcomes[who.source].served;
        routers[router].remove(id);
        routers[router].recordStart(request, request.cost, 0ms, now);
        requests.erase(id);
        return true;
    }

    void refuse(std::uint64_t id)
    {
        auto [request, who, router] = requests.at(id);
        const duration left = who.givesUpAt - now;
        const duration stated = routers[router].refuse(request, hashText(std::to_string(id)), left / 3, now).value_or(400ms);
        outcome &counts = outcomes[who.source];
        ++counts.refusals;
        counts.refusedAgain += who.refusals > 0 ? 1 : 0;
        ++who.refusals;
        routers[router].remove(id);
        requests.erase(id);
        statedTimes.push_back(stated);
        if (stated < left / 3) {
            returns.push_back({now + stated, who});
        }
    }

    void exchangeCounts()
    {
        std::vector<load_update> updates;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            load_update &update = updates.emplace_back();
            update.source = std::to_string(i);
            update.admission = routers[i].ownCounts(now);
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            for (std::size_t j = 0; j < routers.size(); ++j) {
                if (j != i) {
                    routers[i].applyUpdate(updates[j], true, now);
                }
            }
        }
    }

    void advance()
    {
        now += step;
        available = std::min(available + capacity * std::chrono::duration<double>(step).count(), burst);
        if (now >= nextUpdate && routers.size() > 1) {
            nextUpdate = now + updateInterval;
            exchangeCounts();
        }
        const std::size_t first = random() % routers.size();
        for (std::size_t i = 0; i < routers.size(); ++i) {
            admission_order &router = routers[(first + i) % routers.size()];
            router.tick(now);
            for (const std::uint64_t id : router.beginPass(now)) {
                tryStart(id);
            }
            router.endPass();
        }
        std::vector<std::uint64_t> late;
        for (const auto &[id, each] : requests) {
            if (now >= std::get<0>(each).waitsUntil) {
                late.push_back(id);
            }
        }
        std::for_each(late.begin(), late.end(), [this](std::uint64_t id) { refuse(id); });
        std::vector<caller> due;
        std::erase_if(returns, [&](const returning &each) {
            if (each.at <= now) {
                due.push_back(each.who);
            }
            return each.at <= now;
        });
        std::for_each(due.begin(), due.end(), [this](const caller &who) { receive(who); });
    }

    void run(duration span)
    {
        for (const time_point end = now + span; now < end;) {
            advance();
            std::vector<std::size_t> arrivals;
            for (std::size_t i = 0; i < sources.size(); ++i) {
                std::poisson_distribution<unsigned> count(sources[i].perSecond * std::chrono::duration<double>(step).count());
                arrivals.insert(arrivals.end(), count(random), i);
            }
            std::shuffle(arrivals.begin(), arrivals.end(), random);
            for (const std::size_t source : arrivals) {
                ++outcomes[source].offered;
                receive({source, ++lastCaller, 0, now + deadline});
            }
        }
    }

    std::vector<traffic> sources;
    std::vector<outcome> outcomes; // of each of them
    double capacity; // cost that can be started in a second
    double burst = 5; // cost that can be started at once
    double available = 0;
    std::vector<admission_order> routers;
    std::map<std::uint64_t, std::tuple<admission_request, caller, std::size_t>> requests; // that wait, by id
    std::vector<returning> returns;
    std::vector<duration> statedTimes;
    std::mt19937_64 random {1};
    time_point now {1s};
    time_point nextUpdate {1s};
    std::uint64_t lastId = 0;
    std::uint64_t lastCaller = 0;
};

/// entry_core with one desk and routes of two priorities to it.
struct desk_fixture : entry_fixture {
    desk_fixture()
    {
        addRoute("urgent", request_kind::nonIdempotent, "desk", 300ms, 1500ms, 0, 1);
        rules->index();
        start(0, 1);
    }

    /// Sends as many bookings as the desk takes. @return Their numbers.
    std::vector<exchange_id> fill()
    {
        std::vector<exchange_id> ids;
        for (int i = 0; i < 12; ++i) { // six slots, and as many in the upstream's queue
            ids.push_back(request("booking"));
            BOOST_REQUIRE(sentTo() == "desk-0");
        }
        return ids;
    }

    void end(exchange_id id)
    {
        answer(id, 200);
        apply(entry_event::answer_finished {id, {}});
    }

    exchange_id startedExchange() const
    {
        const auto *attempt = effect<entry_effect::start_attempt>();
        return attempt == nullptr ? 0 : attempt->exchange;
    }
};

admission_request plainRequest(std::uint64_t id, const std::string &account, int priority)
{
    return {id, "desk", account, priority, id, 1, false, {}, time_point(10s)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Load: an urgent class behind a queue of cheap requests. Guards against serving the waiting requests in the order of their arrival.
BOOST_FIXTURE_TEST_CASE(urgentArrival_cheapRequestsWait_isServedFirst, desk_fixture)
{
    const std::vector<exchange_id> running = fill();
    for (int i = 0; i < 5; ++i) {
        request("booking");
    }
    const exchange_id urgent = request("urgent");
    BOOST_TEST(sentTo() == "nobody");
    end(running[0]);
    BOOST_TEST(startedExchange() == urgent);
}

// Load: an urgent request waits while less urgent ones arrive. Guards against placing arrivals before it when the capacity became free
// by another router's load update, which no event of this router's requests tells.
BOOST_FIXTURE_TEST_CASE(cheapArrival_urgentRequestWaits_doesNotOvertake, desk_fixture)
{
    load_update update;
    update.source = "other";
    update.usage.push_back({hashText("desk-0"), 12, 0});
    apply(entry_event::load_update_received {update, true});
    const exchange_id urgent = request("urgent");
    BOOST_TEST(sentTo() == "nobody");
    update.usage.clear();
    apply(entry_event::load_update_received {update, true});
    request("booking");
    BOOST_TEST(sentTo() == "nobody");
    tickAt(10ms);
    BOOST_TEST(startedExchange() == urgent);
}

// Load: as much as the capacity allows. Guards against an order that changes anything where nothing waits.
BOOST_AUTO_TEST_CASE(enoughCapacity_anyOrder_sameEffects)
{
    mechanism_set without;
    without.disable(mechanism::admissionOrder);
    std::vector<std::vector<std::string>> runs;
    for (const mechanism_set &mechanisms : {mechanism_set(), without}) {
        entry_fixture router;
        router.core = entry_core {entry_options {"self", "domain", {}, false, mechanisms}};
        router.start(3, 2);
        std::vector<std::string> &lines = runs.emplace_back();
        for (std::uint64_t i = 0; i < 300; ++i) {
            router.now += 7ms;
            const char *routes[] = {"booking", "reply", "read", "brief"};
            const exchange_id id = router.request(routes[i % 4], {{1, 300}, {10 + i % 9, 4000}, {1000 + i, 200}});
            lines.push_back(router.sentTo() + std::string(router.refusedFor()));
            router.answer(id, i % 31 == 0 ? 503 : 200, i % 31 == 0);
            lines.push_back(router.sentTo() + std::string(router.refusedFor()));
            router.apply(entry_event::answer_finished {id, {}});
            router.apply(entry_event::tick {});
            lines.push_back(std::to_string(router.effects.size()));
        }
    }
    BOOST_TEST(runs[0] == runs[1], boost::test_tools::per_element());
}

// Load: a request for a service without upstreams, while another service is overloaded. Its answer stays as it is.
BOOST_FIXTURE_TEST_CASE(noUpstream_otherServiceOverloaded_sameRetryAfter, desk_fixture)
{
    fill();
    request("booking");
    request("reply");
    BOOST_TEST(refusedFor() == "no_upstream");
    BOOST_TEST((effect<entry_effect::refuse>()->retryAfter == limits::retryAfterNoUpstream));
}

// Load: twice what can be served, mostly of a cheap class. Guards against serving an urgent class worse than a less urgent one.
BOOST_AUTO_TEST_CASE(overload_threeClasses_urgentAreServedFirst)
{
    for (const std::size_t routers : {1U, 10U, 50U}) {
        admission_model model(routers, 100, {{"a", 0, 1, 40}, {"a", 2, 1, 50}, {"a", 5, 1, 110}});
        model.run(30s);
        BOOST_TEST_MESSAGE(routers << " routers, shares served: " << model.outcomes[0].share() << " " << model.outcomes[1].share() << " "
                                   << model.outcomes[2].share());
        BOOST_TEST(model.outcomes[0].share() >= 0.95);
        BOOST_TEST(model.outcomes[0].share() >= model.outcomes[1].share() - 0.05);
        BOOST_TEST(model.outcomes[1].share() >= model.outcomes[2].share() - 0.05);
        BOOST_TEST(model.outcomes[0].served + model.outcomes[1].served + model.outcomes[2].served >= 0.93 * 100 * 30);
    }
}

// Load: a surge of one account at forty times its usual rate. It costs that account, not the others.
BOOST_AUTO_TEST_CASE(surgeOfOneAccount_sameClass_othersKeepTheirShare)
{
    for (const std::size_t routers : {1U, 10U}) {
        const std::vector<admission_model::traffic> usual {{"a", 1, 1, 10}, {"b", 1, 1, 24}, {"c", 1, 1, 20}, {"d", 1, 1, 16}};
        admission_model before(routers, 100, usual);
        before.run(30s);
        std::vector<admission_model::traffic> surge = usual;
        surge[0].perSecond *= 40;
        admission_model model(routers, 100, surge);
        model.run(30s);
        for (std::size_t i = 0; i < usual.size(); ++i) {
            BOOST_TEST_MESSAGE(routers << " routers, account " << usual[i].account << ": " << before.outcomes[i].share() << " before, "
                                       << model.outcomes[i].share() << " in the surge");
        }
        for (std::size_t i = 1; i < usual.size(); ++i) {
            BOOST_TEST(model.outcomes[i].share() >= 0.9 * before.outcomes[i].share());
        }
    }
}

// Load: long urgent prompts among many short ones of a cheap class. Guards against short prompts that take each bit of free capacity.
BOOST_AUTO_TEST_CASE(longUrgentPrompts_shortCheapOnes_areServedFirst)
{
    for (const std::size_t routers : {1U, 4U}) {
        admission_model model(routers, 100'000, {{"a", 0, 5'000, 8}, {"a", 3, 500, 400}});
        model.burst = 6'000;
        model.run(30s);
        BOOST_TEST_MESSAGE(routers << " routers, shares served: " << model.outcomes[0].share() << " long urgent, "
                                   << model.outcomes[1].share() << " short");
        BOOST_TEST(model.outcomes[0].share() >= model.outcomes[1].share() - 0.05);
    }
}

// Load: four times what can be served, and callers that come back as told. Guards against times at which they are refused again.
BOOST_AUTO_TEST_CASE(overload_callersReturnAsTold_areRarelyRefusedAgain)
{
    unsigned again[2] = {};
    unsigned served[2] = {};
    for (const bool byShare : {false, true}) {
        admission_model model(10, 100, {{"a", 1, 1, 200}, {"b", 1, 1, 200}}, byShare);
        model.run(30s);
        for (const admission_model::outcome &each : model.outcomes) {
            again[byShare ? 1 : 0] += each.refusedAgain;
            served[byShare ? 1 : 0] += each.served;
        }
    }
    BOOST_TEST_MESSAGE("refused again: " << again[0] << " with a constant time, " << again[1]
                                         << " with expected waits; served: " << served[0] << ", " << served[1]);
    BOOST_TEST(again[1] * 3 <= again[0]);
    BOOST_TEST(served[1] >= 0.95 * served[0]);
}

// Load: many callers are refused at the same moment. Guards against returns that arrive together.
BOOST_AUTO_TEST_CASE(manyRefusedAtOnce_statedTimes_areSpread)
{
    admission_order order(admission_order::scheme::share);
    order.wait(plainRequest(1, "a", 1), wait_reason::capacity, time_point(1s));
    std::vector<duration> times;
    for (std::uint64_t i = 0; i < 200; ++i) {
        times.push_back(*order.refuse(plainRequest(10 + i, "a", 1), hashText(std::to_string(i)), 4s, time_point(1s)));
    }
    std::sort(times.begin(), times.end());
    BOOST_TEST((times.front() >= 200ms));
    BOOST_TEST((times.back() <= 4500ms));
    for (std::size_t i = 0; i + 40 < times.size(); ++i) {
        BOOST_TEST((times[i + 40] - times[i] > 15ms)); // an even spread over 200 ms has 40 of 200 in 40 ms
    }
}

// Load: callers come back while new requests wait. Guards against losing them to new arrivals, and against an account over its share
// that gets ahead of others by coming back.
BOOST_AUTO_TEST_CASE(returnedCaller_newRequestsWait_comesFirstUnlessItsAccountIsOverItsShare)
{
    admission_order order(admission_order::scheme::share);
    const time_point at(1s);
    const auto returnOf = [&](std::uint64_t id, const std::string &account) {
        order.wait(plainRequest(1000 + id, "new", 1), wait_reason::capacity, at);
        const duration stated = *order.refuse(plainRequest(id, account, 1), 0, 4s, at);
        admission_request request = plainRequest(id, account, 1);
        BOOST_TEST(!order.takeReturn(request, at + stated - 1ms)); // too early
        request.isReturned = order.takeReturn(request, at + stated);
        BOOST_TEST(request.isReturned);
        BOOST_TEST(!order.takeReturn(request, at + stated)); // a promise holds once
        order.wait(request, wait_reason::capacity, at + stated);
    };
    order.recordStart(plainRequest(1, "modest", 1), 2, 0ms, at);
    order.recordStart(plainRequest(2, "new", 1), 2, 0ms, at);
    order.recordStart(plainRequest(3, "greedy", 1), 50, 0ms, at);
    returnOf(10, "modest");
    returnOf(11, "greedy");
    const std::vector<std::uint64_t> expected {10, 1010, 1011, 11};
    BOOST_TEST(order.beginPass(at + 1s) == expected, boost::test_tools::per_element());
}

// Load: fifty routers are told of the same hundred returns, and each gets several requests of the account. Guards against each router
// taking all of them for itself.
BOOST_AUTO_TEST_CASE(fiftyRouters_sameReturnsTold_takeAsManyAsWereTold)
{
    load_update update;
    update.source = "other";
    admission_order other(admission_order::scheme::share);
    other.wait(plainRequest(1, "a", 1), wait_reason::capacity, time_point(1s));
    for (std::uint64_t id = 10; id < 110; ++id) {
        static_cast<void>(other.refuse(plainRequest(id, "a", 1), 0, 4s, time_point(1s)));
    }
    update.admission = other.ownCounts(time_point(1500ms));
    unsigned taken = 0;
    for (unsigned i = 0; i < 50; ++i) {
        admission_order router(admission_order::scheme::share);
        router.setRouters(50);
        router.applyUpdate(update, true, time_point(1500ms));
        for (std::uint64_t id = 0; id < 6; ++id) {
            taken += router.takeReturn(plainRequest(1000 + id, "a", 1), time_point(1600ms)) ? 1 : 0;
        }
    }
    BOOST_TEST(taken == 100U);
}

// Load: an urgent class takes nine tenths of the capacity. Guards against telling the less urgent class a time at which the urgent class
// still takes it.
BOOST_AUTO_TEST_CASE(urgentClassTakesMost_refusedOfBoth_lessUrgentIsToldALaterTime)
{
    admission_order order(admission_order::scheme::share);
    for (std::uint64_t i = 0; i < 100; ++i) {
        const time_point at = time_point(1s) + i * 10ms;
        order.wait(plainRequest(1, "a", 0), wait_reason::capacity, at);
        order.recordStart(plainRequest(1000 + i, "a", i % 10 == 0 ? 2 : 0), 1, 0ms, at);
    }
    for (std::uint64_t id = 2; id < 40; ++id) {
        order.wait(plainRequest(id, "a", 0), wait_reason::capacity, time_point(2s));
    }
    const duration urgent = *order.refuse(plainRequest(100, "a", 0), 0, 9s, time_point(2s));
    const duration other = *order.refuse(plainRequest(101, "a", 2), 0, 9s, time_point(2s));
    BOOST_TEST((urgent > 300ms && urgent < 500ms)); // 39 wait, and about a hundred are started in a second
    BOOST_TEST((other == limits::maxStatedReturn));
}

// Load: fifty routers with the same information of one urgent request elsewhere. Guards against less urgent requests that are held back
// for long when updates are lost.
BOOST_AUTO_TEST_CASE(fiftyRouters_urgentRequestElsewhere_holdBackForAShortTime)
{
    load_update update;
    update.source = "other";
    admission_order other(admission_order::scheme::share);
    other.wait(plainRequest(1, "a", 0), wait_reason::capacity, time_point(1s));
    update.admission = other.ownCounts(time_point(1s));
    unsigned held = 0;
    unsigned heldLate = 0;
    for (unsigned i = 0; i < 50; ++i) {
        admission_order router(admission_order::scheme::share);
        router.applyUpdate(update, true, time_point(1s));
        admission_request cheap = plainRequest(2, "b", 3);
        cheap.heldUntil = time_point(1100ms);
        held += router.turnOf(cheap, time_point(1050ms)) == admission_turn::heldBack ? 1 : 0;
        heldLate += router.turnOf(cheap, time_point(1100ms)) == admission_turn::heldBack ? 1 : 0;
        cheap.heldUntil = time_point(2s);
        heldLate += router.turnOf(cheap, time_point(1s + limits::backlogLifetime)) == admission_turn::heldBack ? 1 : 0;
        BOOST_TEST((router.turnOf(plainRequest(3, "b", 0), time_point(1050ms)) == admission_turn::now));
    }
    BOOST_TEST(held == 50U);
    BOOST_TEST(heldLate == 0U);
}

// Load: overload at several routers under two leaders. Guards against counting a router's own requests as those of others.
BOOST_AUTO_TEST_CASE(fleetSum_withoutTheReceiver_hasTheOthersOnly)
{
    const time_point at(1s);
    std::vector<admission_order> routers(3, admission_order(admission_order::scheme::share));
    for (std::uint64_t i = 0; i < 3; ++i) {
        routers[i].recordStart(plainRequest(1, "a", 1), 4, 0ms, at);
        for (std::uint64_t id = 10; id <= 10 + i; ++id) {
            routers[i].wait(plainRequest(id, "a", 1), wait_reason::capacity, at);
        }
    }
    for (std::size_t i = 1; i < 3; ++i) {
        load_update update;
        update.source = std::to_string(i);
        update.admission = routers[i].ownCounts(at);
        routers[0].applyUpdate(update, true, at);
    }
    const admission_counts all = routers[0].sumOfCounts(load_scope::fleet, at);
    BOOST_TEST(all.backlog.at(0).waiting == 6U);
    BOOST_TEST(all.uses.at(0).cost == 12, boost::test_tools::tolerance(1e-9));
    const admission_counts others = routers[0].excludingRouter(all, "2", at);
    BOOST_TEST(others.backlog.at(0).waiting == 3U);
    BOOST_TEST(others.uses.at(0).cost == 8, boost::test_tools::tolerance(1e-9));
}

// Load: long lists of counts in each heartbeat. Guards against losing counts on the way, and against datagrams that grow with the fleet.
BOOST_AUTO_TEST_CASE(fullCounts_inHeartbeat_areReadAgainAndBounded)
{
    router_heartbeat heartbeat;
    const std::size_t empty = encodeHeartbeat(heartbeat).size();
    admission_counts &counts = heartbeat.load.admission;
    for (std::uint32_t i = 0; i < limits::maxSharedBacklogs; ++i) {
        counts.backlog.push_back({0xfedc0000 + i, {static_cast<std::uint8_t>(i), i % 2 == 1}, 7 + i, 1000.5 + i});
    }
    for (std::uint32_t i = 0; i < limits::maxSharedUses; ++i) {
        counts.uses.push_back({0xabc00000 + i, 2.25 * i});
        counts.returns.push_back({0xfedc0000, 3, 0xabc00000 + i, i + 1});
    }
    for (std::uint32_t i = 0; i < limits::maxSharedRates; ++i) {
        counts.rates.push_back({0xfedc0000 + i, 90'000 + 0.5 * i});
    }
    const std::string bytes = encodeHeartbeat(heartbeat);
    const auto read = std::get<router_heartbeat>(decodeDatagram(bytes.data(), bytes.size()));
    BOOST_TEST((read.load.admission == counts));
    BOOST_TEST(bytes.size() - empty <= 860U); // 848 of counts, and the lengths of the lists
}

// Load: an update of the routers, during which some are of an earlier version. Guards against dropping their heartbeats.
BOOST_AUTO_TEST_CASE(heartbeatOfEarlierVersion_withoutCounts_isRead)
{
    router_heartbeat heartbeat;
    heartbeat.name = "earlier";
    heartbeat.load.admission.rates.push_back({1, 2});
    auto document = nlohmann::json::from_msgpack(encodeHeartbeat(heartbeat));
    constexpr std::size_t admissionElement = 16;
    document.erase(document.begin() + admissionElement, document.end());
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(document);
    const auto read = std::get<router_heartbeat>(decodeDatagram(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
    BOOST_TEST(read.name == "earlier");
    BOOST_TEST((read.load.admission == admission_counts()));
}

BOOST_AUTO_TEST_SUITE_END()
