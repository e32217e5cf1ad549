// An object API that comes back from an older copy: its revisions go back and are given out again, and what was acknowledged since
// is lost until it is written again.
#include "src/limits.h"

#include <nutmegtally/object_follower.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// A follower that knows an object of the first era.
struct restored_follower_fixture {
    static stored_object object(const std::string &name, std::uint64_t revision, const std::string &text)
    {
        return {name, revision, text, false};
    }

    static follower_event::page_received page(std::vector<stored_object> objects, std::uint64_t asOf, std::uint64_t era)
    {
        follower_event::page_received page;
        page.objects = std::move(objects);
        page.asOf = asOf;
        page.era = era;
        return page;
    }

    static follower_event::changes_received changes(std::vector<stored_object> objects, std::uint64_t asOf, std::uint64_t era)
    {
        follower_event::changes_received changes;
        changes.objects = std::move(objects);
        changes.asOf = asOf;
        changes.era = era;
        return changes;
    }

    template<typename Event>
    void at(duration when, const Event &event)
    {
        effects.clear();
        follower.apply(time_point(when), event, effects);
    }

    template<typename Effect>
    const Effect *effect() const
    {
        for (const object_follower::effect &each : effects) {
            if (const auto *found = std::get_if<Effect>(&each)) {
                return found;
            }
        }
        return nullptr;
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

    object_follower follower {follower_options()};
    std::vector<object_follower::effect> effects;
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

BOOST_AUTO_TEST_SUITE_END()
