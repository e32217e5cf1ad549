// Learned speed of upstreams, on fakes without network, threads or a clock. Each test names the load that it answers.
#include <nutmegtally/upstream_speed.h>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>

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

BOOST_AUTO_TEST_SUITE_END()
