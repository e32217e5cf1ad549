// Guards against two processes that send orders at the same time, and against an order of a former holder that was paused.
#include <nutmegtally/orders.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

/// Processes that compete for a lease object whose API calls complete immediately.
struct orders_fixture {
    struct candidate {
        explicit candidate(const std::string &name, std::uint64_t seed)
            : core(order_options {name, seed})
        {
        }

        order_core core;
        std::vector<order_effect::send_order> sent;
        std::vector<order_effect::reply_order> replies;
    };

    void post(candidate &process, const order_core::event &event)
    {
        std::vector<order_core::effect> effects;
        process.core.apply(now, event, effects);
        for (const order_core::effect &effect : effects) {
            if (const auto *read = std::get_if<order_effect::read_object>(&effect)) {
                const bool exists = version > 0;
                post(process, order_event::object_read {read->operation, exists ? object_status::ok : object_status::missing, value,
                                                        std::to_string(version)});
            } else if (const auto *write = std::get_if<order_effect::write_object>(&effect)) {
                const bool isCurrentVersion = write->ifVersion == (version > 0 ? std::to_string(version) : "");
                if (isCurrentVersion) {
                    value = write->value;
                    ++version;
                }
                const object_status status = loseAnswers        ? object_status::unknown
                                             : isCurrentVersion ? object_status::ok
                                                                : object_status::conflict;
                post(process, order_event::object_written {write->operation, status, std::to_string(version)});
            } else if (const auto *send = std::get_if<order_effect::send_order>(&effect)) {
                process.sent.push_back(*send);
            } else if (const auto *reply = std::get_if<order_effect::reply_order>(&effect)) {
                process.replies.push_back(*reply);
            }
        }
    }

    void runFor(duration time, std::vector<candidate *> awake)
    {
        for (const time_point end = now + time; now < end; now += 1s) {
            for (candidate *process : awake) {
                post(*process, order_event::tick());
            }
        }
    }

    static engine_order load(std::uint64_t number, const char *upstream, std::uint64_t bytes = 0)
    {
        return {number, upstream_id::fromName(upstream), order_kind::loadModel, "brush-llm", model_id::fromName("brush-llm"), bytes};
    }

    time_point now {1h};
    std::uint64_t version = 0;
    std::string value;
    bool loseAnswers = false;
    candidate first {"watcher-1", 1};
    candidate second {"watcher-2", 2};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(orders_suite, orders_fixture)

BOOST_AUTO_TEST_CASE(orders_pausedHolder_isRefusedByGuard)
{
    runFor(20s, {&first, &second});
    BOOST_TEST(first.core.isHolder(now));
    BOOST_TEST(!second.core.isHolder(now));
    post(first, order_event::order_requested {load(1, "engine-1")});
    BOOST_REQUIRE(first.sent.size() == 1U);
    runFor(40s, {&second}); // the first process is paused and its order is in flight
    BOOST_TEST(second.core.isHolder(now));
    BOOST_TEST(!first.core.isHolder(now));
    post(second, order_event::order_requested {load(2, "engine-1")});
    BOOST_REQUIRE(second.sent.size() == 1U);
    order_fencing_guard guard;
    BOOST_TEST((guard.check(second.sent[0].fencingToken) == order_result::waiting)); // the lease object was not read yet
    guard.updateFromLease(decodeLease(value));
    BOOST_TEST((guard.check(first.sent[0].fencingToken) == order_result::stale));
    BOOST_TEST((guard.check(second.sent[0].fencingToken) == order_result::done));
    post(first, order_event::order_requested {load(3, "engine-2")});
    BOOST_TEST((first.replies.back().result == order_result::notHolder));
}

BOOST_AUTO_TEST_CASE(orders_lostAnswers_holderRecognizesItsLease)
{
    loseAnswers = true;
    runFor(20s, {&first});
    BOOST_TEST(first.core.isHolder(now));
    BOOST_TEST(first.core.fencingToken() == 1U);
}

BOOST_AUTO_TEST_CASE(orders_afterPauseWithoutOtherCandidate_leaseIsAcquiredAgain)
{
    runFor(20s, {&first});
    now += 10min;
    runFor(20s, {&first});
    BOOST_TEST(first.core.isHolder(now));
    BOOST_TEST(first.core.fencingToken() == 2U);
}

// Guards against fencing tokens that go back with the object API: engines refuse all orders with a token that is below one they saw.
BOOST_AUTO_TEST_CASE(orders_leaseFromAnOlderCopy_isAcquiredWithANewToken)
{
    runFor(20s, {&first});
    const std::string copy = value;
    const std::uint64_t copyVersion = version;
    now += 10min;
    runFor(60s, {&second});
    BOOST_REQUIRE(second.core.isHolder(now));
    BOOST_REQUIRE(second.core.fencingToken() == 2U);
    now += 10min;
    runFor(60s, {&first, &second});
    const std::uint64_t highest = std::max(first.core.fencingToken(), second.core.fencingToken());
    value = copy;
    version = copyVersion;
    runFor(3min, {&first, &second});
    BOOST_REQUIRE((first.core.isHolder(now) || second.core.isHolder(now)));
    BOOST_TEST((first.core.isHolder(now) ? first : second).core.fencingToken() > highest);
}

BOOST_AUTO_TEST_CASE(orders_loads_arePacedByWeightStoreAndColdCapacity)
{
    runFor(20s, {&first});
    post(first, order_event::capacity_reported {model_id::fromName("brush-llm"), 20, 0}); // two of 20 may be cold
    for (std::uint64_t i = 1; i <= 3; ++i) {
        post(first,
             order_event::order_requested {load(i, ("engine-" + std::to_string(i)).c_str(), 10'000'000'000)}); // loads for five seconds
    }
    BOOST_TEST(first.sent.size() == 1U);
    runFor(7s, {&first});
    BOOST_TEST(first.sent.size() == 2U);
    post(first, order_event::order_answered {1, order_result::done});
    runFor(7s, {&first});
    BOOST_TEST(first.sent.size() == 2U); // engine-1 is still cold
    post(first, order_event::upstream_warm {upstream_id::fromName("engine-1")});
    BOOST_TEST(first.sent.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
