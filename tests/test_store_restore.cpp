// An object API that comes back from an older copy: its revisions go back and are given out again, and what was acknowledged since
// is lost until it is written again.
#include "src/limits.h"
#include "tests/follower_fixture.h"

#include <nutmegtally/object_follower.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// A follower that knows an object of the first era.
struct restored_follower_fixture : test::follower_fixture_base {
    static stored_object object(const std::string &name, std::uint64_t revision, const std::string &text, std::uint64_t write = 0)
    {
        return {name, revision, text, false, {1, write}};
    }

    static stored_object deleted(const std::string &name, std::uint64_t revision, std::uint64_t write)
    {
        return {name, revision, "", true, {1, write}};
    }

    /// Text of an object in force; "none" if there is none.
    std::string textOf(const std::string &name) const
    {
        const auto found = follower.objects().find(name);
        return found == follower.objects().end() ? "none" : found->second.text;
    }

    static std::vector<stored_object> ofEra(std::vector<stored_object> objects, std::uint64_t era)
    {
        for (stored_object &each : objects) {
            each.revision.era = era;
        }
        return objects;
    }

    static follower_event::page_received page(std::vector<stored_object> objects, std::uint64_t asOf, std::uint64_t era)
    {
        return {ofEra(std::move(objects), era), false, {era, asOf}};
    }

    static follower_event::changes_received changes(std::vector<stored_object> objects, std::uint64_t asOf, std::uint64_t era)
    {
        return {ofEra(std::move(objects), era), {era, asOf}};
    }

    bool calls() const
    {
        return effect<follower_effect::read_page>() != nullptr || effect<follower_effect::watch_changes>() != nullptr;
    }

    /// Reads the first list: one object of revision 27.
    void start()
    {
        at(0ms, follower_event::tick {});
        at(5ms, page({object("main", 27, "second")}, 27, 1));
    }

    /// Answers all calls at once from a time on. @return Number of calls within the span.
    template<typename Answer>
    std::size_t callsWhile(duration from, duration span, Answer answer)
    {
        std::size_t count = 0;
        duration now = from;
        while (now < from + span) {
            if (!calls()) {
                now += 100ms;
                at(now, follower_event::tick {});
                continue;
            }
            ++count;
            now += 4ms;
            answer(now, effect<follower_effect::watch_changes>() != nullptr);
        }
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_restore_suite, restored_follower_fixture)

// Guards against a change that is never applied because its revision was given out before, for other content.
BOOST_AUTO_TEST_CASE(restoredStore_revisionGivenOutAgain_bringsTheNewContent)
{
    start();
    at(15s, follower_event::call_failed {"connection lost"});
    at(17s, follower_event::tick {});
    at(17s + 4ms, follower_event::history_expired {});
    at(17s + 8ms, page({object("main", 24, "first")}, 26, 2));
    at(22s, changes({object("main", 27, "third")}, 27, 2));
    BOOST_TEST(follower.objects().at("main").text == "third");
}

// Guards against calls one after the other without a pause, to a store whose answers bring the router no further.
BOOST_AUTO_TEST_CASE(calls_whoseAnswersBringNothing_arePaced)
{
    start();
    // Lists are older than what is known, and watches find no history.
    const std::size_t fruitless = callsWhile(5ms, 10s, [this](duration now, bool isWatch) {
        if (isWatch) {
            at(now, follower_event::history_expired {});
        } else {
            at(now, page({object("main", 24, "first")}, 26, 1));
        }
    });
    BOOST_TEST(fruitless <= 25U, fruitless << " calls in ten seconds");
    // Watches end at once without a change.
    const std::size_t empty = callsWhile(20s, 10s, [this](duration now, bool isWatch) {
        if (isWatch) {
            at(now, changes({}, 27, 1));
        } else {
            at(now, page({object("main", 27, "second")}, 27, 1));
        }
    });
    BOOST_TEST(empty <= 25U, empty << " calls in ten seconds");
}

// Guards against an answer of the time before the restore, or of a watch that began then, that brings old state back.
BOOST_AUTO_TEST_CASE(restoredStore_lateAnswersOfAnEarlierEra_areIgnored)
{
    start();
    at(6s, changes({}, 26, 2));
    BOOST_TEST(textOf("main") == "second");
    at(6s + 100ms, follower_event::tick {});
    BOOST_REQUIRE(effect<follower_effect::read_page>() != nullptr);
    at(6s + 110ms, page({object("main", 25, "third")}, 26, 2));
    BOOST_TEST(textOf("main") == "third");
    at(8s, changes({object("main", 40, "second")}, 40, 1));
    BOOST_TEST(textOf("main") == "third");
    at(8s + 100ms, follower_event::tick {});
    at(8s + 110ms, page({object("main", 40, "second")}, 40, 1));
    BOOST_TEST(textOf("main") == "third");
    at(9s, follower_event::snapshot_received {{0, {1, 90}, ofEra({object("main", 90, "second")}, 1), {}, 0ms}, "router"});
    BOOST_TEST(textOf("main") == "third");
}

// Guards against acknowledged objects that are dropped because the copy lacks them, and against those that are kept for good.
BOOST_AUTO_TEST_CASE(restoredStore_lostObject_isKeptUntilItIsWrittenAgainOrTheTimeIsOver)
{
    at(0ms, follower_event::tick {});
    at(5ms, page({object("a", 3, "a"), object("b", 7, "b"), object("c", 9, "c")}, 10, 1));
    at(6s, follower_event::history_expired {});
    at(6s + 5ms, page({object("a", 3, "a")}, 4, 2));
    BOOST_TEST(textOf("b") == "b");
    BOOST_TEST(follower.keepsLost());
    at(7s, changes({object("b", 5, "b")}, 5, 2));
    at(9s, follower_event::tick {});
    BOOST_TEST(textOf("a") == "a");
    BOOST_TEST(textOf("b") == "b");
    BOOST_TEST(textOf("c") == "none");
    BOOST_TEST(effect<follower_effect::object_removed>()->name == "c");
    BOOST_TEST(!follower.keepsLost());
}

// Guards against objects that were removed or replaced since the copy was made, and that it brings back.
BOOST_AUTO_TEST_CASE(restoredStore_outdatedObject_isHeldBack)
{
    at(0ms, follower_event::tick {});
    at(5ms, page({object("leaving", 3, "ready", 1), object("gone", 4, "ready", 1), object("alive", 5, "ready", 1)}, 10, 1));
    at(1s, changes({object("leaving", 11, "draining", 9), deleted("gone", 12, 8), deleted("alive", 13, 8)}, 13, 1));
    at(6s, follower_event::history_expired {});
    at(6s + 5ms, page({object("leaving", 3, "ready", 6), object("gone", 4, "ready", 6), object("alive", 5, "ready", 6)}, 10, 2));
    BOOST_TEST(textOf("leaving") == "draining");
    BOOST_TEST(textOf("gone") == "none");
    at(7s, changes({object("alive", 11, "ready", 10)}, 11, 2));
    BOOST_TEST(textOf("alive") == "ready");
    at(8s, changes({object("leaving", 12, "draining", 11), deleted("gone", 13, 6)}, 13, 2));
    BOOST_TEST(textOf("leaving") == "draining");
    BOOST_TEST(textOf("gone") == "none");
    BOOST_TEST(!follower.keepsLost());
}

// Guards against a restore that looks like a start of all upstreams: an entry that is listed again unchanged is no event.
BOOST_AUTO_TEST_CASE(restoredStore_unchangedObject_causesNoEvent)
{
    start();
    at(6s, follower_event::history_expired {});
    at(6s + 5ms, page({object("main", 20, "second")}, 21, 2));
    BOOST_TEST(effect<follower_effect::object_changed>() == nullptr);
    BOOST_TEST((follower.objects().at("main").revision == store_revision(2, 20)));
}

// Guards against a router that starts after the restore and learns only what the copy has.
BOOST_AUTO_TEST_CASE(routerThatStartsAfterTheRestore_learnsWhatOthersKeep)
{
    start();
    at(6s, follower_event::history_expired {});
    at(6s + 5ms, page({}, 20, 2));
    object_follower fresh {follower_options()};
    std::vector<object_follower::effect> ignored;
    fresh.apply(time_point(7s), follower_event::tick {}, ignored);
    fresh.apply(time_point(7s), page({}, 21, 2), ignored);
    BOOST_TEST(fresh.isBehind(follower.asOf(), follower.contentHash(), follower.keepsLost()));
    fresh.apply(time_point(7s), follower_event::snapshot_received {follower.snapshotSince(fresh.asOf(), time_point(7s)), "router"},
                ignored);
    BOOST_TEST(fresh.objects().contains("main"));
    BOOST_TEST(fresh.contentHash() == follower.contentHash());
}

// Guards against a router whose leaders are of an earlier version, which tells no eras, and that learns nothing from them.
BOOST_AUTO_TEST_CASE(routerOfAnEarlierVersion_withoutEras_isBelieved)
{
    start();
    BOOST_TEST(follower.isBehind(30, 1));
    at(6s, follower_event::snapshot_received {{27, 30, {object("main", 29, "third")}, {}, 0ms}, "router"});
    BOOST_TEST(textOf("main") == "third");
    BOOST_TEST((follower.asOf() == store_revision(1, 30)));
}

// Guards against routers that learn from each other, again and again, what the store lost and nobody wrote again.
BOOST_AUTO_TEST_CASE(lostObject_thatRoutersTellEachOther_isDroppedByAll)
{
    start();
    object_follower other = follower;
    at(6s, follower_event::history_expired {});
    at(6s + 5ms, page({}, 20, 2));
    std::vector<object_follower::effect> ignored;
    for (duration now = 7s; now < 20s; now += 100ms) {
        for (const auto &[from, to] : {std::pair(&follower, &other), std::pair(&other, &follower)}) {
            to->apply(time_point(now), follower_event::tick {}, ignored);
            if (to->isBehind(from->asOf(), from->contentHash(), from->keepsLost())) {
                to->apply(time_point(now), follower_event::snapshot_received {from->snapshotSince(to->asOf(), time_point(now)), "router"},
                          ignored);
            }
        }
    }
    BOOST_TEST(follower.objects().empty());
    BOOST_TEST(other.objects().empty());
    BOOST_TEST(!follower.keepsLost());
    BOOST_TEST(!other.keepsLost());
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// A store with restores, writers that write again, and routers that follow it by calls and by each other's snapshots, in a
/// random order with lost, late and reordered answers.
struct restored_fleet {
    static constexpr std::size_t routers = 3;
    static constexpr duration step = 20ms;
    static constexpr duration rewriteTime = 1s; // after a restore, within which all writers have written again

    struct late_answer {
        std::size_t router = 0;
        time_point at;
        object_follower::event event;
    };

    explicit restored_fleet(std::uint64_t seed)
        : random(seed)
    {
        follower_options options;
        options.keepAfterRestore = std::nullopt;
        for (std::size_t i = 0; i < routers; ++i) {
            followers.emplace_back(options);
            highest.push_back(0);
        }
        write();
        copy = {objects, revision};
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random);
    }

    duration upTo(duration most)
    {
        return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(random));
    }

    /// Writes the next version of the only object.
    void write()
    {
        store({"main", {era, revision + 1}, std::to_string(++version), false, {0, version}});
    }

    void store(stored_object object)
    {
        ++revision;
        object.revision = {era, revision};
        objects[object.name] = object;
        history.push_back(object);
    }

    void restore()
    {
        ++era;
        objects = copy.first;
        revision = copy.second;
        history.clear();
        historySince = revision;
        rewriteAt = now + upTo(rewriteTime);
    }

    object_follower::event answerTo(const object_follower::effect &call)
    {
        const auto *watch = std::get_if<follower_effect::watch_changes>(&call);
        if (chance(0.05)) {
            return follower_event::call_failed {"lost"};
        }
        if (watch == nullptr) {
            std::vector<stored_object> all;
            for (const auto &[name, object] : objects) {
                all.push_back(object);
            }
            return follower_event::page_received {all, false, {era, revision}};
        }
        if (watch->since.number < historySince || watch->since.number > revision) {
            return follower_event::history_expired {};
        }
        std::vector<stored_object> changed;
        std::copy_if(history.begin(), history.end(), std::back_inserter(changed),
                     [watch](const stored_object &each) { return each.revision.number > watch->since.number; });
        return follower_event::changes_received {changed, {era, revision}};
    }

    void deliver(std::size_t router, const object_follower::event &event)
    {
        std::vector<object_follower::effect> effects;
        followers[router].apply(now, event, effects);
        for (const object_follower::effect &effect : effects) {
            if (const auto *changed = std::get_if<follower_effect::object_changed>(&effect)) {
                BOOST_TEST_REQUIRE(changed->object.content.number >= highest[router], "router " << router << " went back from "
                                                                                                << highest[router] << " to "
                                                                                                << changed->object.content.number);
                highest[router] = changed->object.content.number;
            }
            if (std::holds_alternative<follower_effect::read_page>(effect)
                || std::holds_alternative<follower_effect::watch_changes>(effect)) {
                ++calls;
                // The answer is made now and arrives later, perhaps after another restore.
                answers.push_back({router, now + upTo(chance(0.1) ? duration(1s) : duration(30ms)), answerTo(effect)});
            }
        }
    }

    void run(duration span, bool isDisturbed)
    {
        const time_point end = now + span;
        while (now < end) {
            now += step;
            if (isDisturbed && chance(0.02)) {
                write();
            }
            if (isDisturbed && chance(0.01)) {
                copy = {objects, revision};
            }
            if (isDisturbed && chance(0.01)) {
                restore();
            }
            if (rewriteAt && now >= *rewriteAt) {
                rewriteAt.reset();
                store({"main", {}, std::to_string(version), false, {0, version}});
            }
            std::vector<late_answer> due;
            std::copy_if(answers.begin(), answers.end(), std::back_inserter(due),
                         [this](const late_answer &each) { return each.at <= now; });
            std::erase_if(answers, [this](const late_answer &each) { return each.at <= now; });
            for (const late_answer &each : due) {
                deliver(each.router, each.event);
            }
            for (std::size_t i = 0; i < routers; ++i) {
                deliver(i, follower_event::tick {});
                const std::size_t other = (i + 1) % routers;
                const object_follower &from = followers[other];
                if (chance(0.2) && followers[i].isBehind(from.asOf(), from.contentHash(), from.keepsLost())) {
                    deliver(i, follower_event::snapshot_received {from.snapshotSince(followers[i].asOf(), now), "router"});
                }
            }
        }
    }

    std::mt19937_64 random;
    time_point now {};
    std::uint64_t era = 1;
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::uint64_t historySince = 0;
    std::map<std::string, stored_object> objects;
    std::vector<stored_object> history;
    std::pair<std::map<std::string, stored_object>, std::uint64_t> copy;
    std::optional<time_point> rewriteAt;
    std::vector<object_follower> followers;
    std::vector<std::uint64_t> highest; // version that each router has had in force
    std::vector<late_answer> answers;
    std::size_t calls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_restore_fleet_suite)

// Guards against old state that comes back and new state that is lost, on any order of writes, restores, answers and snapshots.
BOOST_AUTO_TEST_CASE(restoredStore_inAnyOrder_neverGoesBackAndLosesNothing)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        restored_fleet fleet(seed);
        fleet.run(20s, true);
        fleet.run(6s, false);
        for (const object_follower &each : fleet.followers) {
            BOOST_TEST_REQUIRE(each.objects().at("main").content.number == fleet.version, "seed " << seed);
            BOOST_TEST_REQUIRE((each.objects().at("main").revision.era == fleet.era), "seed " << seed);
            BOOST_TEST_REQUIRE(!each.keepsLost(), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
