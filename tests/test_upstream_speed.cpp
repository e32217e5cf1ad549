// Learned speed of upstreams, on fakes without network, threads or a clock. Each test names the load that it answers.
#include "entry_fixture.h"
#include "load_exchange.h"

#include <nutmegtally/upstream_set.h>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <map>

namespace
{

using namespace nutmegtally;
using namespace std::chrono_literals;

duration fromMs(double ms)
{
    return duration(static_cast<duration::rep>(ms * 1000));
}

/// A service whose upstreams answer in a time of their own.
struct service_fake {
    using answer_time = std::function<double(upstream_number, const attempt_size &)>; // in ms

    /// Each upstream answers @p rounds requests, one every 100 ms, at loads from 0 to 5.
    void play(unsigned rounds, const answer_time &time, upstream_number first = 1)
    {
        for (unsigned i = 0; i < rounds; ++i) {
            now += 100ms;
            for (upstream_number each = first; each <= upstreams; ++each) {
                const attempt_size size {isEngine ? 1000.0 * ((i * 7 + each) % 9) : 0.0, static_cast<double>((i * 5 + each) % 6), true};
                speeds.record("service", {each, isEngine ? "" : "read", size, fromMs(time(each, size)), false}, now);
            }
        }
        refresh();
    }

    void refresh()
    {
        std::vector<std::pair<upstream_number, slowness_figure>> others;
        for (upstream_number each = 1; each <= upstreams; ++each) {
            others.emplace_back(each, slowness_figure());
        }
        speeds.refresh("service", others, now);
    }

    double factor(upstream_number upstream) const
    {
        return speeds.of("service", upstream).factor;
    }

    unsigned upstreams = 9;
    bool isEngine = false;
    upstream_speed speeds;
    time_point now {1h};
};

/// Routers that place requests on eight upstreams of a plain service, or on engines. Load updates arrive at once, every 100 ms.
struct placement_fake {
    static constexpr double usualMs = 80;
    /// In ms. The times of engines are longer or shorter than those of the default speed by its ratio to usualMs.
    using answer_time = std::function<double(unsigned upstream, unsigned load)>;

    explicit placement_fake(unsigned routerCount, mechanism_set mechanisms = {}, bool engines = false)
        : isEngine(engines)
    {
        rules.services.push_back({"service", 0, 8.9, engines ? 64U : 0U, 390'000});
        std::vector<std::string> names;
        for (unsigned i = 0; i < routerCount; ++i) {
            names.push_back("router-" + std::to_string(i));
        }
        for (const std::string &name : names) {
            routers.emplace_back("domain", mechanisms);
            routers.back().setRouters(name, names);
        }
        for (unsigned i = 0; i < 8; ++i) {
            list(i, 0);
        }
    }

    void list(unsigned upstream, std::uint64_t incarnation)
    {
        upstream_record record;
        record.instance = "upstream-" + std::to_string(upstream);
        record.service = "service";
        record.address = record.instance;
        record.domain = "domain";
        record.slots = isEngine ? 64 : 16;
        record.incarnation = incarnation;
        for (upstream_set &router : routers) {
            router.upsert(record, now);
        }
    }

    /// Sends a request through a router, to be answered after the time of the upstream.
    unsigned send(unsigned router, const answer_time &time)
    {
        const prompt_parts parts {{1, 500}, {1000 + requests, 3000}, {1'000'000 + requests, 300}};
        placement_query wanted;
        wanted.service = "service";
        wanted.tieBreak = ++requests;
        wanted.parts = isEngine ? &parts : nullptr;
        const placement choice = routers[router].choose(wanted, rules, now);
        BOOST_REQUIRE(choice.outcome == placement_outcome::chosen);
        const auto upstream = static_cast<unsigned>(std::stoul(routers[router].find(choice.upstream)->record.instance.substr(9)));
        const attempt_size size
            = routers[router].start(choice.upstream, isEngine ? parts : prompt_parts(), choice.prefillTokens, 4000, now);
        const double usual = isEngine ? 20.0 + size.prefillTokens / 45.0 + 2.0 * size.load : usualMs;
        const duration took = fromMs(time(upstream, load[upstream]) * usual / usualMs);
        runs.emplace(now + took, run {router, upstream, choice.upstream, choice.prefillTokens, size, took});
        ++load[upstream];
        ++sent[upstream];
        order.push_back(upstream);
        return upstream;
    }

    /// Each router sends so many requests a second for a time; the counts start from zero.
    void play(duration span, double perSecond, const answer_time &time)
    {
        sent.clear();
        for (const time_point end = now + span; now < end; now += 10ms) {
            endRuns();
            if (now >= nextUpdate) {
                nextUpdate = now + 100ms;
                exchangeLoads();
            }
            for (due += perSecond * 0.01; due >= 1; due -= 1) {
                send(static_cast<unsigned>(requests * 7 % routers.size()), time);
            }
        }
    }

    void endRuns()
    {
        for (; !runs.empty() && runs.begin()->first <= now; runs.erase(runs.begin())) {
            const run &each = runs.begin()->second;
            routers[each.router].recordSpeed(each.number, {each.number, isEngine ? "" : "read", each.size, each.took, false}, now);
            routers[each.router].markFirstEvent(each.number, each.prefillTokens);
            routers[each.router].finish(each.number, each.prefillTokens, 4000, false);
            --load[each.upstream];
        }
    }

    void exchangeLoads()
    {
        exchangeOwnLoads(routers, now);
    }

    double shareOf(unsigned upstream) const
    {
        double all = 0;
        for (const auto &[each, count] : sent) {
            all += count;
        }
        const auto found = sent.find(upstream);
        return found == sent.end() ? 0 : found->second / all;
    }

    struct run {
        unsigned router;
        unsigned upstream;
        upstream_number number;
        std::uint64_t prefillTokens;
        attempt_size size;
        duration took;
    };

    bool isEngine;
    traffic_rules rules;
    std::vector<upstream_set> routers;
    std::multimap<time_point, run> runs;
    std::map<unsigned, unsigned> load; // by upstream
    std::map<unsigned, unsigned> sent; // by upstream, since the last play()
    std::vector<unsigned> order; // upstreams in the order of the requests
    std::uint64_t requests = 0;
    double due = 0;
    time_point now {1h};
    time_point nextUpdate {};
};

mechanism_set without(mechanism each)
{
    mechanism_set mechanisms;
    mechanisms.disable(each);
    return mechanisms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_speeds)

// Load: all upstreams are alike but for 15%, and single answers vary threefold. Guards against factors that come from chance.
BOOST_AUTO_TEST_CASE(alikeUpstreams_noisyTimes_keepFactorOne)
{
    service_fake service;
    unsigned random = 1;
    for (int i = 0; i < 30; ++i) {
        service.play(10, [&random](upstream_number each, const attempt_size &size) {
            random = random * 1103515245U + 12345U;
            return (20.0 + 2 * size.load) * (each == 3 ? 1.1 : 1.0) * std::exp2((random >> 16) % 1000 / 500.0 - 1.0);
        });
        for (upstream_number each = 1; each <= service.upstreams; ++each) {
            BOOST_TEST(service.factor(each) == 1.0);
            BOOST_TEST(std::isinf(service.speeds.of("service", each).usualLoad));
        }
    }
    BOOST_TEST(service.speeds.takeChanges().empty());
}

// Load: one of nine upstreams takes twice as long, then recovers. Guards against a factor that outlasts its cause.
BOOST_AUTO_TEST_CASE(oneSlowUpstream_recovers_factorFollows)
{
    service_fake service;
    const auto slowThird = [](upstream_number each, const attempt_size &size) { return (20.0 + size.load) * (each == 3 ? 2 : 1); };
    service.play(40, slowThird);
    BOOST_TEST(service.factor(3) > 1.7);
    BOOST_TEST(service.factor(3) < 2.3);
    BOOST_TEST(service.factor(4) == 1.0);
    const auto left = service.speeds.takeChanges();
    BOOST_REQUIRE(left.size() == 1U);
    BOOST_TEST(left[0].upstream == 3U);
    service.play(60, [](upstream_number, const attempt_size &size) { return 20.0 + size.load; });
    BOOST_TEST(service.factor(3) == 1.0);
    BOOST_TEST(service.speeds.takeChanges().size() == 1U);
}

// Load: a slow upstream gets no requests any more. Guards against never trying it again.
BOOST_AUTO_TEST_CASE(slowUpstream_notSeen_factorIsForgotten)
{
    service_fake service;
    service.play(40, [](upstream_number each, const attempt_size &) { return each == 1 ? 60.0 : 20.0; });
    BOOST_TEST(service.factor(1) > 2.5);
    double before = service.factor(1);
    for (int i = 0; i < 4; ++i) {
        service.play(
            100, [](upstream_number, const attempt_size &) { return 20.0; }, 2);
        BOOST_TEST(service.factor(1) <= before);
        before = service.factor(1);
    }
    BOOST_TEST(before == 1.0);
    BOOST_TEST(!service.speeds.of("service", 1).isProven);
    BOOST_TEST(service.speeds.of("service", 2).isProven);
}

// Load: all upstreams become three times as slow at once. Guards against counting that as a difference between them.
BOOST_AUTO_TEST_CASE(allSlowAtOnce_factorsStayOne)
{
    service_fake service;
    service.play(40, [](upstream_number, const attempt_size &size) { return 20.0 + size.load; });
    for (int i = 0; i < 20; ++i) {
        service.play(3, [](upstream_number, const attempt_size &size) { return 3 * (20.0 + size.load); });
        for (upstream_number each = 1; each <= service.upstreams; ++each) {
            BOOST_TEST(service.factor(each) == 1.0);
        }
    }
}

// Load: engines prefill 100 tokens a ms, and a third of them takes 1.3 times as long. Guards against constants in place of measurements.
BOOST_AUTO_TEST_CASE(engines_thirdIsSlower_speedAndFactorsAreLearned)
{
    service_fake engines;
    engines.isEngine = true;
    BOOST_TEST(engines.speeds.engines("service").prefillTokensPerMs == 45.0);
    engines.play(100, [](upstream_number each, const attempt_size &size) {
        return (20.0 + size.prefillTokens / 100.0 + 4.0 * size.load) * (each % 3 == 0 ? 1.3 : 1.0);
    });
    const engine_speed speed = engines.speeds.engines("service");
    BOOST_TEST(speed.prefillTokensPerMs > 80);
    BOOST_TEST(speed.prefillTokensPerMs < 110);
    BOOST_TEST(speed.stepMsPerRequest > 3.5);
    BOOST_TEST(speed.stepMsPerRequest < 5.0);
    for (upstream_number each = 1; each <= engines.upstreams; ++each) {
        BOOST_TEST(engines.factor(each) >= (each % 3 == 0 ? 1.2 : 1.0));
        BOOST_TEST(engines.factor(each) <= (each % 3 == 0 ? 1.4 : 1.0));
    }
}

// Load: engines that all need 50 tokens a ms. Guards against a placement that changes for a figure near the default.
BOOST_AUTO_TEST_CASE(engines_nearTheDefaultSpeed_keepTheDefault)
{
    service_fake engines;
    engines.isEngine = true;
    engines.play(100, [](upstream_number, const attempt_size &size) { return 20.0 + size.prefillTokens / 50.0 + 2.1 * size.load; });
    BOOST_TEST(engines.speeds.engines("service").prefillTokensPerMs == 45.0);
    BOOST_TEST(engines.speeds.engines("service").stepMsPerRequest == 2.0);
}

// Load: one upstream slows down from two requests on, although it has slots for more. Guards against taking its slots as its capacity.
BOOST_AUTO_TEST_CASE(upstreamThatSlowsDownEarly_hasALowUsualLoad)
{
    service_fake service;
    service.play(60, [](upstream_number each, const attempt_size &size) {
        return 20.0 + size.load + (each == 5 ? 15.0 * std::max(0.0, size.load - 1) : 0.0);
    });
    BOOST_TEST(service.speeds.of("service", 5).usualLoad <= 3.0);
    BOOST_TEST(std::isinf(service.speeds.of("service", 4).usualLoad));
}

// Load: answers while an upstream is cold, and attempts without an answer that took no longer than usual. Nothing is learned from them.
BOOST_AUTO_TEST_CASE(coldOrEndedAttempts_areNoSamples)
{
    service_fake service;
    service.play(40, [](upstream_number, const attempt_size &) { return 20.0; });
    for (int i = 0; i < 50; ++i) {
        service.speeds.record("service", {2, "read", {0, 0, false}, 900ms, false}, service.now);
        service.speeds.record("service", {2, "read", {0, 0, true}, 10ms, true}, service.now);
    }
    service.refresh();
    BOOST_TEST(service.factor(2) == 1.0);
    for (int i = 0; i < 8; ++i) {
        service.speeds.record("service", {2, "read", {0, 0, true}, 100ms, true}, service.now);
    }
    service.refresh();
    BOOST_TEST(service.factor(2) > 1.5);
}

// Load: an upstream states that its machine is slow, then falls silent. Guards against a stale figure that stays in force, and against a
// statement that outweighs measurements.
BOOST_AUTO_TEST_CASE(statedFigure_isWeighedAndForgotten)
{
    service_fake service;
    const auto alike = [](upstream_number, const attempt_size &) { return 20.0; };
    service.play(40, alike);
    for (int i = 0; i < 20; ++i) {
        service.speeds.recordStated("service", 2, 300, service.now);
        service.speeds.recordStated("service", 3, 100, service.now);
        service.speeds.recordStated("service", 4, 100, service.now);
    }
    service.refresh();
    BOOST_TEST(service.factor(2) > 1.15);
    BOOST_TEST(service.factor(2) < 1.5);
    BOOST_TEST(service.factor(3) == 1.0);
    BOOST_TEST(service.factor(5) == 1.0);
    service.play(30, alike);
    BOOST_TEST(service.factor(2) == 1.0);
}

// Load: all upstreams are alike, plain services and engines. Guards against a placement that differs from the one without learned speed.
BOOST_AUTO_TEST_CASE(alikeUpstreams_placementIsUnchanged)
{
    for (const bool engines : {false, true}) {
        const double perSecond = engines ? 60 : 200;
        placement_fake learned(3, {}, engines);
        placement_fake fixed(3, without(mechanism::learnedSpeed), engines);
        const auto time = [](unsigned upstream, unsigned load) { return 80.0 + 2 * load + upstream; };
        learned.play(20s, perSecond, time);
        fixed.play(20s, perSecond, time);
        BOOST_TEST(learned.order == fixed.order);
    }
}

// Load: one of eight upstreams takes three times as long, and recovers. Guards against giving it as many requests as the others, and
// against a share that stays small.
BOOST_AUTO_TEST_CASE(slowUpstream_getsLessUntilItRecovers)
{
    for (const bool engines : {false, true}) {
        const double perSecond = engines ? 60 : 200;
        placement_fake fleet(1, {}, engines);
        fleet.play(20s, perSecond, [](unsigned upstream, unsigned) { return upstream == 0 ? 240.0 : 80.0; });
        fleet.play(10s, perSecond, [](unsigned upstream, unsigned) { return upstream == 0 ? 240.0 : 80.0; });
        BOOST_TEST(fleet.shareOf(0) < 0.05);
        fleet.play(60s, perSecond, [](unsigned, unsigned) { return 80.0; });
        fleet.play(10s, perSecond, [](unsigned, unsigned) { return 80.0; });
        BOOST_TEST(fleet.shareOf(0) > 0.1);
    }
}

// Load: one upstream is three times as slow from three requests on, long before its 16 slots are full. Guards against filling it like
// the others.
BOOST_AUTO_TEST_CASE(upstreamThatSlowsDownEarly_getsLess)
{
    const auto time = [](unsigned upstream, unsigned load) { return upstream == 0 && load >= 3 ? 240.0 : 80.0 + load; };
    double share[2] = {};
    for (const bool learns : {false, true}) {
        placement_fake fleet(1, learns ? mechanism_set() : without(mechanism::learnedSpeed));
        fleet.play(30s, 500, time);
        fleet.play(30s, 500, time);
        share[learns] = fleet.shareOf(0);
    }
    BOOST_TEST_MESSAGE("share of the upstream: " << share[1] << ", without learned speed " << share[0]);
    BOOST_TEST(share[1] < 0.8 * share[0]);
}

// Load: an upstream comes back as a new incarnation while the others are busy. Guards against a burst at one that nobody knows yet.
BOOST_AUTO_TEST_CASE(newUpstream_getsHalfTheMeanUntilItAnswered)
{
    for (const unsigned routers : {1U, 30U}) {
        placement_fake fleet(routers);
        fleet.play(5s, 600, [](unsigned, unsigned) { return 80.0; });
        fleet.list(0, 1);
        fleet.play(300ms, 600, [](unsigned upstream, unsigned) { return upstream == 0 ? 5000.0 : 80.0; });
        BOOST_TEST(fleet.sent[0] <= 3U, routers << " routers: " << fleet.sent[0]); // the mean is six
        BOOST_TEST(fleet.sent[0] >= 1U);
    }
}

// Load: a hundred routers know the same: one upstream is twice as fast as the others. Guards against all of them choosing it.
BOOST_AUTO_TEST_CASE(hundredRouters_sameInformation_spread)
{
    for (const bool engines : {false, true}) {
        placement_fake fleet(100, {}, engines);
        for (unsigned i = 0; i < 300; ++i) {
            fleet.now += 10ms;
            for (upstream_set &router : fleet.routers) {
                const upstream_number number = router.find("upstream-" + std::to_string(i % 8))->number;
                const double ms = 100.0 + i / 8 % 4;
                router.recordSpeed(number, {number, engines ? "" : "read", {1000, 2, true}, fromMs(i % 8 == 0 ? ms / 2 : ms), false},
                                   fleet.now);
            }
        }
        const auto alike = [](unsigned, unsigned) { return 150.0; };
        for (unsigned round = 0; round < 5; ++round) {
            fleet.now += 100ms;
            fleet.endRuns();
            fleet.exchangeLoads();
            fleet.sent.clear();
            for (unsigned router = 0; router < 100; ++router) {
                fleet.send(router, alike);
            }
        }
        BOOST_TEST(fleet.routers[0].unusualSpeeds().size() == 1U);
        BOOST_TEST(fleet.shareOf(0) < 0.5);
        BOOST_TEST(fleet.sent.size() >= 5U);
    }
}

// Load: refused, failed and successful answers of one upstream. Guards against learning from attempts that did no work.
BOOST_AUTO_TEST_CASE(failedAndRefusedAttempts_teachNothing)
{
    entry_fixture fixture;
    fixture.start(0, 4);
    for (int i = 0; i < 200; ++i) {
        const exchange_id id = fixture.request("read");
        const std::string first = fixture.sentTo();
        fixture.now += first == "desk-0" ? 100ms : 20ms;
        if (first != "desk-0") {
            fixture.answer(id, 200);
        } else if (i % 2 == 0) {
            fixture.answer(id, 503, true);
        } else {
            fixture.answer(id, 500);
        }
        if (fixture.sentTo() != "nobody") {
            fixture.now += 20ms;
            fixture.answer(id, 200);
        }
        fixture.apply(entry_event::answer_finished {id, {}});
    }
    BOOST_TEST(fixture.core.upstreams().unusualSpeeds().empty());
}

// Load: a router restarts while one upstream is slow. Guards against learning again what the others know.
BOOST_AUTO_TEST_CASE(restartedRouter_takesTheFactorsOfOthers)
{
    placement_fake fleet(3);
    const auto time = [](unsigned upstream, unsigned) { return upstream == 0 ? 160.0 : 80.0; };
    fleet.play(10s, 500, time);
    BOOST_REQUIRE(fleet.routers[1].unusualSpeeds().size() == 1U);
    fleet.routers[0] = upstream_set("domain");
    fleet.routers[0].setRouters("router-0", {"router-0", "router-1", "router-2"});
    std::erase_if(fleet.runs, [](const auto &entry) { return entry.second.router == 0; });
    fleet.list(0, 0);
    for (unsigned i = 1; i < 8; ++i) {
        fleet.list(i, 0);
    }
    fleet.exchangeLoads();
    fleet.send(0, time);
    const auto known = fleet.routers[0].unusualSpeeds();
    BOOST_REQUIRE(known.size() == 1U);
    BOOST_TEST(known[0].instance == "upstream-0");
    BOOST_TEST(known[0].factor > 1.6);
}

// Load: each of a hundred routers sees too few answers of each upstream to judge it, one of which is slow. Guards against factors that
// only a router with many requests can learn.
BOOST_AUTO_TEST_CASE(hundredRouters_fewAnswersEach_learnTogether)
{
    placement_fake fleet(100);
    const auto time = [](unsigned upstream, unsigned) { return upstream == 0 ? 240.0 : 80.0; };
    fleet.play(30s, 150, time);
    fleet.play(10s, 150, time);
    BOOST_TEST(fleet.shareOf(0) < 0.08);
    for (const upstream_set &router : fleet.routers) {
        for (const upstream_set::speed_change &each : router.unusualSpeeds()) {
            BOOST_TEST(each.instance == "upstream-0");
        }
    }
}

// Load: a leader sums up the figures of two routers and its own. Guards against a mean that ignores the weights, and against figures
// that come back to the router that sent them.
BOOST_AUTO_TEST_CASE(sums_combineByWeight_andLeaveOutTheReceiver)
{
    placement_fake fleet(1);
    upstream_set &leader = fleet.routers[0];
    leader.setLeader(true);
    const std::uint64_t upstream = hashText("upstream-0");
    leader.applyUpdate({"a", {{upstream, 2, 0, {1.0, 30}, 500}}}, true, fleet.now);
    leader.applyUpdate({"b", {{upstream, 1, 0, {0.0, 10}, 200}}}, true, fleet.now);
    const load_update sum = leader.domainLoad(fleet.now);
    BOOST_REQUIRE(sum.usage.size() == 1U);
    BOOST_TEST(sum.usage[0].slowness.log2Factor == 0.75);
    BOOST_TEST(sum.usage[0].slowness.weight == 40.0);
    BOOST_TEST(sum.usage[0].occupiedTokens == 700U);
    const load_update fleetLoad = leader.fleetLoad(fleet.now);
    const load_update forA = leader.excludingRouter(fleetLoad, "a");
    BOOST_REQUIRE(forA.usage.size() == 1U);
    BOOST_TEST(forA.usage[0].slowness.log2Factor == 0.0);
    BOOST_TEST(forA.usage[0].slowness.weight == 10.0);
    BOOST_TEST(forA.usage[0].occupiedTokens == 200U);
    BOOST_TEST(leader.excludingRouter(forA, "b").usage.empty());
}

// Load: one upstream states that its machine takes three times as long, others that theirs does not, one states no figure at all. Guards
// against a fourth figure that has no effect, that holds after it is stale, or that is logged more than once.
BOOST_AUTO_TEST_CASE(fourthFigure_isUsedWhileItIsFresh)
{
    entry_fixture fixture;
    fixture.start(0, 4);
    const auto answerAll = [&](unsigned count, bool states) {
        unsigned lines = 0;
        for (unsigned i = 0; i < count; ++i) {
            const exchange_id id = fixture.request("read");
            const std::string instance = fixture.sentTo();
            fixture.now += 20ms;
            answer_summary answer {200, false, true, upstream_load {1, 0, 6}};
            if (states) {
                answer.load->timePercent = instance == "desk-0" ? 300 : 100;
                if (instance == "desk-3") {
                    answer.load->timePercent.reset();
                    answer.unreadableTime = "fast";
                }
            }
            fixture.apply(entry_event::answer_received {id, answer});
            for (const entry_core::effect &each : fixture.effects) {
                const auto *line = std::get_if<log_record>(&each);
                lines += line != nullptr && line->event == log_event::loadFigureUnreadable ? 1 : 0;
            }
            BOOST_TEST(lines <= i + 1);
            fixture.apply(entry_event::answer_finished {id, {}});
        }
        return lines;
    };
    answerAll(100, false);
    BOOST_TEST(fixture.core.upstreams().unusualSpeeds().empty());
    BOOST_TEST(answerAll(100, true) > 0U);
    fixture.request("read");
    const auto slow = fixture.core.upstreams().unusualSpeeds();
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow[0].instance == "desk-0");
    for (unsigned i = 0; i < 5; ++i) { // a longer gap would count as a pause of the process
        fixture.tickAt(fixture.now.time_since_epoch() + 1s);
    }
    fixture.request("read");
    BOOST_TEST(fixture.core.upstreams().unusualSpeeds().empty());
}

// Load: another router has filled the memory of an engine with few long prompts, at which this router has none or a short one. Guards
// against a count that leaves out the others, or takes their requests for ones like its own.
BOOST_AUTO_TEST_CASE(memoryFilledByOthers_engineIsAvoided)
{
    for (const bool counts : {false, true}) {
        placement_fake fleet(2, counts ? mechanism_set() : without(mechanism::learnedSpeed), true);
        upstream_set &other = fleet.routers[1];
        for (unsigned i = 0; i < 8; ++i) {
            const upstream_number number = other.find("upstream-" + std::to_string(i))->number;
            for (unsigned request = 0; request < 4; ++request) {
                other.start(number, {}, 0, i == 0 ? 1000 : 120'000, fleet.now);
            }
        }
        fleet.exchangeLoads();
        for (unsigned i = 0; i < 4; ++i) { // more would reach the bound on the load of one engine
            fleet.send(0, [](unsigned, unsigned) { return 80.0; });
        }
        BOOST_TEST((fleet.sent[0] == 4U) == counts, fleet.sent[0]);
    }
}

BOOST_AUTO_TEST_SUITE_END()
