// Guards against refusing a repeated booking under load: the refusal would hide that the booking has already run.
#include "tests/daemon_fixture.h"
#include "tests/scripted_objects.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

/// Agent of a service that runs one booking at a time and queues none.
struct booking_fixture : daemon_fixture {
    booking_fixture()
    {
        agentSettings.self = testUpstream("s1", "", true);
        agentSettings.platform.objectsAddress = objects.server.address();
        agentSettings.admission.initialWindow = 1;
        agentSettings.admission.maxWindow = 1;
        agentSettings.admission.loadFloor = 1;
        agentSettings.admission.maxQueue = 1;
        startFleet(service.address());
    }

    /// UUID version 7 with the current time, so that the ledger does not refuse the key as too old.
    static std::string makeKey(unsigned number)
    {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        const std::string time = toHex(static_cast<std::uint64_t>(millis.count())).substr(4);
        return time.substr(0, 8) + "-" + time.substr(8) + "-7000-8000-00000000000" + std::to_string(number);
    }

    answer book(const std::string &key, const std::string &body) const
    {
        caller client = connect();
        client.setHeader("Idempotency-Key", key);
        return client.call("POST", "/services/booking-app/book", body);
    }

    scripted_objects objects;
    latch_flag slowStarted;
    latch_flag release;
    scripted_server service {engine([this](scripted_exchange &exchange) {
        if (exchange.header("Idempotency-Key") == slowKey) {
            slowStarted.set();
            release.wait();
        }
        exchange.reply(200, "application/json", "{}");
    })};
    const std::string slowKey = makeKey(2);
};

} // namespace

BOOST_FIXTURE_TEST_CASE(agent_repeatedKeyAtItsLoadLimit_repeatsTheOutcome, booking_fixture)
{
    const std::string key = makeKey(1);
    BOOST_TEST(book(key, "{}").status == 200);
    int slowStatus = 0;
    std::thread slow([&] { slowStatus = book(slowKey, "{}").status; });
    BOOST_TEST(slowStarted.wait());
    const answer fresh = book(makeKey(3), "{}");
    BOOST_TEST(fresh.status != 200);
    BOOST_TEST(fresh.fault().value("run_state", "") == "not_run");
    BOOST_TEST(book(key, "{}").status == 200);
    release.set();
    slow.join();
    BOOST_TEST(slowStatus == 200);
}
