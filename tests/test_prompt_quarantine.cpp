// Prompt parts that crash engines, on a small model of routers and engines: what is held back, how soon, and what is not.
#include "src/limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/prompt_quarantine.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 10ms;
constexpr duration startTime = 60ms; // from the arrival at an engine to the second event of its answer
constexpr duration answerTime = 800ms;
constexpr duration downTime = 3s; // of a crashed engine
constexpr duration hopTime = 200ms; // evidence from any router to all others, over leaders
constexpr duration contactTime = 3s; // after the fifth crash the operators allow this long for the word to spread
constexpr std::size_t lateRequests = 3; // that may still reach engines later

/// Routers that exchange evidence, and engines that crash when they begin an answer on certain parts.
struct crashing_fleet {
    struct engine {
        std::string name;
        std::uint64_t incarnation = 1;
        time_point upAt;
    };

    struct run {
        std::size_t router = 0;
        std::size_t engine = 0;
        prompt_parts prompt;
        time_point sentAt;
        bool isPastStart = false;
    };

    crashing_fleet(std::size_t routerCount, std::size_t engineCount)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < routerCount; ++i) {
            names.push_back("router-" + std::to_string(i));
            routers.emplace_back(hashText(names.back()));
        }
        std::vector<std::uint64_t> hashes;
        std::transform(names.begin(), names.end(), std::back_inserter(hashes), [](const std::string &name) { return hashText(name); });
        for (prompt_quarantine &router : routers) {
            router.setRouters(hashes);
        }
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back({"engine-" + std::to_string(i), 1, {}});
        }
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random);
    }

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    /// A prompt of one of three kinds and of a context; contexts come and go.
    prompt_parts soundPrompt()
    {
        const std::uint64_t newest = 1000 + static_cast<std::uint64_t>(now.time_since_epoch() / contextInterval);
        return {{1 + below(3), 100}, {newest + below(50), 1000}, {++lastOwnPart, 10}};
    }

    void send(const prompt_parts &prompt)
    {
        const std::size_t router = below(routers.size());
        const std::size_t target = below(engines.size());
        const bool isSound
            = std::none_of(prompt.begin(), prompt.end(), [this](const prompt_part &part) { return deadly.contains(part.id); });
        const part_verdict verdict = routers[router].judge(prompt, now);
        if (verdict.standing == part_standing::quarantined) {
            (isSound ? soundHeld : deadlyHeld) += 1;
            return;
        }
        const bool isOnTrial = std::any_of(runs.begin(), runs.end(), [&](const run &each) {
            return each.router == router && !each.isPastStart
                   && std::any_of(each.prompt.begin(), each.prompt.end(), [&](const prompt_part &part) { return part.id == verdict.part; });
        });
        if (verdict.standing == part_standing::suspected && (isOnTrial || verdict.heldFor > duration(0))) {
            return;
        }
        if (engines[target].upAt > now) {
            return;
        }
        if (!isSound && crashTimes.size() >= 5 && now - crashTimes[4] > contactTime) {
            ++deadlySentLate;
        }
        runs.push_back({router, target, prompt, now, false});
    }

    void crash(std::size_t target)
    {
        engine &crashed = engines[target];
        std::vector<std::vector<crash_suspect>> suspects(routers.size());
        std::erase_if(runs, [&](const run &each) {
            if (each.engine == target && !each.isPastStart) {
                suspects[each.router].push_back({each.prompt, each.sentAt});
            }
            return each.engine == target;
        });
        for (std::size_t i = 0; i < routers.size(); ++i) {
            if (!suspects[i].empty()) {
                routers[i].recordCrash(crashIdOf(crashed.name, crashed.incarnation), suspects[i], now);
            }
        }
        ++crashed.incarnation;
        crashed.upAt = now + downTime;
    }

    void advance()
    {
        now += step;
        std::set<std::size_t> crashing;
        for (run &each : runs) {
            if (each.isPastStart || now - each.sentAt < startTime) {
                continue;
            }
            const bool isDeadly
                = std::any_of(each.prompt.begin(), each.prompt.end(), [this](const prompt_part &part) { return deadly.contains(part.id); });
            if (isDeadly) {
                crashing.insert(each.engine);
                continue;
            }
            each.isPastStart = true;
            routers[each.router].recordSurvival(each.prompt, now);
        }
        for (const std::size_t target : crashing) {
            crashTimes.push_back(now);
            crash(target);
        }
        std::erase_if(runs, [this](const run &each) { return now - each.sentAt >= answerTime; });
        if (now.time_since_epoch() % hopTime == duration(0)) {
            exchangeEvidence();
        }
    }

    void exchangeEvidence()
    {
        std::vector<std::vector<part_evidence>> messages;
        for (prompt_quarantine &router : routers) {
            router.tick(now);
            messages.push_back(router.evidence(now));
        }
        for (std::size_t from = 0; from < routers.size(); ++from) {
            for (std::size_t to = 0; !messages[from].empty() && to < routers.size(); ++to) {
                if (to != from) {
                    routers[to].merge(messages[from], now);
                }
            }
        }
    }

    std::set<std::uint64_t> quarantinedAnywhere() const
    {
        std::set<std::uint64_t> parts;
        for (const prompt_quarantine &router : routers) {
            for (const part_verdict &verdict : router.verdicts(now)) {
                if (verdict.standing == part_standing::quarantined) {
                    parts.insert(verdict.part);
                }
            }
        }
        return parts;
    }

    std::mt19937_64 random {7};
    time_point now {1s};
    std::vector<prompt_quarantine> routers;
    std::vector<engine> engines;
    std::vector<run> runs;
    std::set<std::uint64_t> deadly; // parts
    duration contextInterval = 500ms; // between two new contexts
    std::uint64_t lastOwnPart = 1'000'000;
    std::vector<time_point> crashTimes; // of deadly parts
    std::size_t deadlySentLate = 0;
    std::size_t deadlyHeld = 0;
    std::size_t soundHeld = 0;
};

constexpr std::uint64_t deadlyPart = 99;
const prompt_parts deadlyPrompt {{1, 100}, {deadlyPart, 50}, {500, 10}};

/// One router's quarantine, without the fleet.
struct quarantine_fixture {
    /// @param sentBefore Time since the request was sent.
    void crash(crash_id id, const prompt_parts &prompt = deadlyPrompt, duration sentBefore = 50ms)
    {
        quarantine.recordCrash(id, {{prompt, now - sentBefore}}, now);
    }

    /// Crashes of as many engines as put a part into quarantine, a second apart.
    void crashUntilQuarantined()
    {
        for (crash_id id = 1; id <= limits::minQuarantineCrashes; ++id) {
            now += 1s;
            crash(id);
        }
    }

    part_standing standing(const prompt_parts &prompt = deadlyPrompt) const
    {
        return quarantine.judge(prompt, now).standing;
    }

    time_point now {1s};
    prompt_quarantine quarantine {1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_quarantine_model)

// Guards against a part that crashes engines reaching more of them, because each router sees only some of the crashes.
BOOST_AUTO_TEST_CASE(deadlyPart_atSeveralRouters_isHeldBackByAll)
{
    for (const std::size_t routers : {1U, 4U, 100U}) {
        for (const double perStep : {0.01, 0.1}) {
            crashing_fleet fleet(routers, 20);
            fleet.deadly = {deadlyPart};
            while (fleet.now < time_point(30s)) {
                fleet.send(fleet.soundPrompt());
                if (fleet.now > time_point(4s) && fleet.chance(perStep)) {
                    prompt_parts prompt = fleet.soundPrompt();
                    prompt[1].id = deadlyPart;
                    fleet.send(prompt);
                }
                fleet.advance();
            }
            BOOST_TEST(fleet.deadlySentLate <= lateRequests, routers << " routers, " << perStep);
            BOOST_TEST(fleet.crashTimes.size() <= 5 + lateRequests, routers << " routers, " << perStep);
            BOOST_TEST(fleet.soundHeld == 0U, routers << " routers, " << perStep);
            BOOST_TEST(fleet.deadlyHeld > 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(twoDeadlyParts_atOnce_areBothHeldBack)
{
    crashing_fleet fleet(4, 40);
    fleet.deadly = {98, 99};
    while (fleet.now < time_point(30s)) {
        fleet.send(fleet.soundPrompt());
        if (fleet.now > time_point(4s) && fleet.chance(0.02)) {
            prompt_parts prompt = fleet.soundPrompt();
            prompt[1].id = 98 + fleet.below(2);
            fleet.send(prompt);
        }
        fleet.advance();
    }
    const std::set<std::uint64_t> held = fleet.quarantinedAnywhere();
    BOOST_TEST(fleet.deadlyHeld > 0U);
    BOOST_TEST(fleet.soundHeld == 0U);
    BOOST_TEST((held.empty() || std::includes(fleet.deadly.begin(), fleet.deadly.end(), held.begin(), held.end())));
}

// Guards against prompts being held back because their engines crash for other reasons: one after the other, and several at once
// where a failure domain loses its engines.
BOOST_AUTO_TEST_CASE(crashesOfOtherCauses_inSeriesAndTogether_holdNothingBack)
{
    crashing_fleet fleet(4, 20);
    std::size_t crashes = 0;
    while (fleet.now < time_point(120s)) {
        fleet.send(fleet.soundPrompt());
        if (fleet.now.time_since_epoch() % 500ms == duration(0)) {
            fleet.crash(fleet.below(20));
            ++crashes;
        }
        if (fleet.now.time_since_epoch() % 10s == duration(0)) {
            for (std::size_t i = 0; i < 5; ++i, ++crashes) {
                fleet.crash(i);
            }
        }
        fleet.advance();
    }
    BOOST_TEST(crashes > 250U);
    BOOST_TEST(fleet.soundHeld == 0U);
    BOOST_TEST(fleet.quarantinedAnywhere().empty());
}

// Guards against the wrong part of a prompt being held back: here each crash has another context, and all have one beginning.
BOOST_FIXTURE_TEST_CASE(deadlyFirstPart_withManyContexts_isFoundAndContextsAreReleased, quarantine_fixture)
{
    for (crash_id id = 1; id <= 3; ++id) {
        now += 1s;
        crash(id, {{deadlyPart, 100}, {id, 50}, {500 + id, 10}});
    }
    BOOST_TEST((standing({{deadlyPart, 100}, {77, 50}, {600, 10}}) == part_standing::quarantined));
    BOOST_TEST((standing({{5, 100}, {1, 50}, {601, 10}}) == part_standing::clear));
}

BOOST_FIXTURE_TEST_CASE(sharedBeginning_thatEnginesSurvive_isNotSuspected, quarantine_fixture)
{
    quarantine.recordSurvival({{1, 100}, {2, 50}, {501, 10}}, now);
    for (crash_id id = 1; id <= 4; ++id) {
        now += 1s;
        crash(id);
    }
    BOOST_TEST((standing() == part_standing::quarantined));
    BOOST_TEST((standing({{1, 100}, {2, 50}, {502, 10}}) == part_standing::clear));
}

// Guards against a popular part being held back because a quarter of the engines, which had it in requests that were just
// beginning, crashed at the same moment for another reason.
BOOST_FIXTURE_TEST_CASE(manyEngines_thatCrashTogether_countAsOneOccasion, quarantine_fixture)
{
    for (crash_id id = 1; id <= 6; ++id) {
        now += 10ms;
        crash(id, deadlyPrompt, 100ms);
    }
    BOOST_TEST((standing() == part_standing::suspected));
    crashUntilQuarantined();
    BOOST_TEST((standing() == part_standing::suspected)); // the engines are the same
    for (crash_id id = 7; id <= 8; ++id) {
        now += 1s;
        crash(id);
    }
    BOOST_TEST((standing() == part_standing::quarantined));
}

// Guards against fast crashes passing for coinciding ones: each request was sent after the engine before it had crashed.
BOOST_FIXTURE_TEST_CASE(crashesWithinMilliseconds_ofRequestsSentOneAfterTheOther_countSeparately, quarantine_fixture)
{
    for (crash_id id = 1; id <= limits::minQuarantineCrashes; ++id) {
        now += 3ms;
        crash(id, deadlyPrompt, 2ms);
    }
    BOOST_TEST((standing() == part_standing::quarantined));
}

BOOST_FIXTURE_TEST_CASE(oneCrash_ofOneEngine_countsOnceHoweverManyRequestsAndRoutersReportIt, quarantine_fixture)
{
    prompt_quarantine other {2};
    other.recordCrash(1, {{deadlyPrompt, now}}, now);
    quarantine.recordCrash(1, {{deadlyPrompt, now}, {deadlyPrompt, now}}, now);
    quarantine.merge(other.evidence(now), now);
    BOOST_TEST((standing() == part_standing::suspected));
}

// A quarantine ends with a trial by one router after the other. One more crash makes it longer; a survival ends it everywhere.
BOOST_FIXTURE_TEST_CASE(quarantine_whenItsTermIsOver_isTriedByOneRouterFirst, quarantine_fixture)
{
    prompt_quarantine other {2};
    const std::vector<std::uint64_t> both {1, 2};
    quarantine.setRouters(both);
    other.setRouters(both);
    crashUntilQuarantined();
    other.merge(quarantine.evidence(now), now);
    now += limits::quarantineTerms[0] + 1ms;
    BOOST_TEST((standing() == part_standing::suspected));
    const bool isFirst = quarantine.judge(deadlyPrompt, now).heldFor == duration(0);
    prompt_quarantine &trier = isFirst ? quarantine : other;
    prompt_quarantine &waiting = isFirst ? other : quarantine;
    BOOST_TEST((trier.judge(deadlyPrompt, now).heldFor == duration(0)));
    BOOST_TEST((waiting.judge(deadlyPrompt, now).heldFor > duration(0)));
    trier.recordCrash(9, {{deadlyPrompt, now - 50ms}}, now);
    BOOST_TEST((trier.judge(deadlyPrompt, now).heldFor > limits::quarantineTerms[0]));
    waiting.merge(trier.evidence(now), now);
    BOOST_TEST((waiting.judge(deadlyPrompt, now).heldFor > limits::quarantineTerms[0]));
    now += limits::quarantineTerms[1] + 1ms;
    trier.recordSurvival(deadlyPrompt, now);
    waiting.merge(trier.evidence(now), now);
    BOOST_TEST((waiting.judge(deadlyPrompt, now).standing == part_standing::clear));
}

// Guards against a survival that routers tell each other for good, newer each time by the time on the way, so that it clears crashes that
// came after it.
BOOST_FIXTURE_TEST_CASE(survival_toldBackAndForth_clearsNoLaterCrash, quarantine_fixture)
{
    constexpr duration onTheWay = 60ms;
    prompt_quarantine other {2};
    crash(1);
    other.merge(quarantine.evidence(now), now);
    now += 1s;
    quarantine.recordSurvival(deadlyPrompt, now);
    for (unsigned round = 0; round < 100; ++round) {
        const std::vector<part_evidence> own = quarantine.evidence(now);
        const std::vector<part_evidence> others = other.evidence(now);
        now += onTheWay;
        other.merge(own, now);
        quarantine.merge(others, now);
        if (round % 20 == 19) {
            crash(round);
        }
    }
    BOOST_TEST((standing() == part_standing::quarantined));
}

BOOST_FIXTURE_TEST_CASE(release_byAnOperator_reachesOtherRouters, quarantine_fixture)
{
    prompt_quarantine other {2};
    crashUntilQuarantined();
    other.merge(quarantine.evidence(now), now);
    BOOST_TEST((other.judge(deadlyPrompt, now).standing == part_standing::quarantined));
    now += 1s;
    quarantine.release(deadlyPart, now);
    other.merge(quarantine.evidence(now), now);
    BOOST_TEST((standing() == part_standing::clear));
    BOOST_TEST((other.judge({{5, 100}, {deadlyPart, 50}, {501, 10}}, now).standing == part_standing::clear));
}

BOOST_FIXTURE_TEST_CASE(manySuspects_areBounded_andTheGravestIsKept, quarantine_fixture)
{
    crashUntilQuarantined();
    for (std::uint64_t i = 0; i < 10 * limits::maxSuspectedParts; ++i) {
        now += 1ms;
        crash(static_cast<crash_id>(10 + i), {{10'000 + i, 100}, {1, 10}});
    }
    BOOST_TEST((standing() == part_standing::quarantined));
    BOOST_TEST(quarantine.verdicts(now).size() <= limits::maxSuspectedParts);
    BOOST_TEST(quarantine.evidence(now).size() <= limits::maxSharedEvidence);
}

BOOST_AUTO_TEST_SUITE_END()
