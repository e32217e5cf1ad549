// Guards against forwarding malformed, too large or unauthorized requests, and against refusals that do not state that
// nothing ran.
#include "tests/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

struct refusal_fixture : daemon_fixture {
    refusal_fixture()
    {
        routerSettings.limits.maxBodyBytes = 10'000;
        startFleet(upstream.address());
    }

    ~refusal_fixture()
    {
        BOOST_TEST(upstreamCalls == 0U);
    }

    static void check(const answer &result, int status, const std::string &code)
    {
        BOOST_TEST(result.status == status);
        BOOST_TEST(result.fault().value("code", "") == code);
        BOOST_TEST(result.fault().value("run_state", "") == "not_run");
        BOOST_TEST(!result.fault().value("remedy", "").empty());
    }

    std::atomic<unsigned> upstreamCalls = 0;
    scripted_server upstream {engine([this](scripted_exchange &exchange) {
        ++upstreamCalls;
        exchange.reply(200, "application/json", "{}");
    })};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(daemon_refusals, refusal_fixture)

BOOST_AUTO_TEST_CASE(router_malformedJson_refusesNotRun)
{
    check(connect().call("POST", "/v1/chat/completions", "{\"model\":"), 400, "malformed_request");
    check(connect().call("POST", "/v1/chat/completions", "[]"), 400, "malformed_request");
    check(connect().call("POST", "/v1/chat/completions", R"({"model":"brush-llm","messages":[]})"), 400, "malformed_request");
}

BOOST_AUTO_TEST_CASE(router_hugeBody_refusesWith413)
{
    check(connect().call("POST", "/v1/chat/completions", std::string(2'000'000, 'x')), 413, "body_too_large");
}

BOOST_AUTO_TEST_CASE(router_hugeHeaders_refusesWith431)
{
    caller longValue = connect();
    longValue.setHeader("X-Nutmegtally-Chat", std::string(20'000, 'x'));
    check(longValue.call("GET", "/services/booking-app/lines"), 431, "headers_too_large");
    caller manyValues = connect();
    for (int i = 0; i < 90; ++i) {
        manyValues.setHeader("X-Filler-" + std::to_string(i), std::string(1000, 'x'));
    }
    check(manyValues.call("GET", "/services/booking-app/lines"), 431, "headers_too_large");
}

BOOST_AUTO_TEST_CASE(router_unknownAccount_refusesWith401)
{
    caller wrongKey = connect();
    wrongKey.setHeader("Authorization", "Bearer guess");
    check(wrongKey.chat(), 401, "unknown_account");
}

BOOST_AUTO_TEST_CASE(router_badClass_refusesWith400)
{
    caller unknown = connect();
    unknown.setHeader("X-Nutmegtally-Class", "quickest");
    check(unknown.chat(), 400, "unknown_class");
    caller ofService = connect();
    ofService.setHeader("X-Nutmegtally-Class", "bookings");
    check(ofService.chat(), 400, "unknown_class");
}

BOOST_AUTO_TEST_CASE(router_unknownModelOrService_refusesWith404)
{
    check(connect().call("POST", "/v1/chat/completions", R"({"model":"other","messages":[{}]})"), 404, "unknown_model");
    check(connect().call("GET", "/services/other/x"), 404, "unknown_service");
}

BOOST_AUTO_TEST_CASE(router_bookingWithoutVersion7Key_refusesNotRun)
{
    check(connect().call("POST", "/services/booking-app/book", "{}"), 400, "key_missing");
    caller wrongVersion = connect();
    wrongVersion.setHeader("Idempotency-Key", "0193a3c2-7b1e-4000-8000-000000000001");
    check(wrongVersion.call("POST", "/services/booking-app/book", "{}"), 400, "key_invalid");
}

BOOST_AUTO_TEST_CASE(agent_messageWithoutValidTag_refuses)
{
    caller unauthenticated(agent->address());
    unauthenticated.setHeader(workHeaderName, R"({"request":"1","attempt":1,"kind":"chat","tag":"00"})");
    check(unauthenticated.call("POST", workPath, "{}"), 401, "authentication_failed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(router_connectionsOverLimit_refusesWith503)
{
    daemon_fixture fleet;
    fleet.routerSettings.limits.maxConnections = 1;
    scripted_server upstream(engine([](scripted_exchange &exchange) { exchange.reply(200, "application/json", "{}"); }));
    fleet.startFleet(upstream.address());
    caller first = fleet.connect();
    BOOST_TEST(first.call("GET", "/services/booking-app/lines").status == 200);
    const answer refused = fleet.connect().call("GET", "/services/booking-app/lines");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.fault().value("code", "") == "too_many_connections");
    BOOST_TEST(first.call("GET", "/services/booking-app/lines").status == 200);
}

BOOST_AUTO_TEST_CASE(authenticator_replayedOrChangedMessage_isRefused)
{
    setLogLevel("off");
    message_authenticator sender({innerKey});
    message_authenticator receiver({std::string(64, 'a'), innerKey}); // accepts two keys, as during a key rotation
    nlohmann::json fields = {{"a", 1}};
    sender.sign("POST", "/p", fields, "body");
    nlohmann::json copy = fields;
    receiver.verify("POST", "/p", copy, "body");
    BOOST_TEST((copy == nlohmann::json {{"a", 1}}));
    copy = fields;
    BOOST_CHECK_THROW(receiver.verify("POST", "/p", copy, "body"), error);
    sender.sign("POST", "/p", fields = {{"a", 1}}, "body");
    fields["a"] = 2;
    BOOST_CHECK_THROW(receiver.verify("POST", "/p", fields, "body"), error);
}
