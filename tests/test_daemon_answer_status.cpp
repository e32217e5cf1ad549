// Guards against relaying an answer whose status is outside 100 to 599 to a caller, and against taking one from the object API or
// another router as a result.
#include "rpc/rpc_http.h"
#include "serving/http_client.h"
#include "tests/serving_fixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

const std::vector<std::string> impossibleStatuses {"000", "001", "099", "600", "999"};

/// A signed answer that is valid but for its status, in each framing.
std::vector<scripted_answer> answersWith(const std::string &status)
{
    const std::string head = "HTTP/1.1 " + status + " Odd\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\n";
    const std::string body = "id: 1\n\n";
    scripted_answer untilClose {head + "\r\n" + body};
    untilClose.closes = true;
    return {
        {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body},
        {head + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk(body) + lastChunkText},
        untilClose,
    };
}

const scripted_answer oneEvent {signedHead + "Content-Length: 7\r\n\r\nid: 1\n\n"};

template<typename Check>
void forEachImpossibleAnswer(Check check)
{
    for (const std::string &status : impossibleStatuses) {
        for (const scripted_answer &answer : answersWith(status)) {
            BOOST_TEST_CONTEXT(answer.bytes)
            {
                check(answer);
            }
        }
    }
}

std::string fetchedFrom(serving_fixture &fixture, const std::string &route)
{
    tcp::socket client = fixture.connect();
    serving_fixture::send(client, serving_fixture::request(route, "r1", "Connection: close\r\n"));
    return fixture.readUntil(client, "[never]");
}

} // namespace

BOOST_AUTO_TEST_SUITE(daemon_answer_status)

BOOST_AUTO_TEST_CASE(impossibleStatus_onlyAttempt_isAnsweredWith502)
{
    forEachImpossibleAnswer([](const scripted_answer &impossible) {
        for (const std::string route : {"booking", "brief"}) {
            serving_fixture fixture;
            fixture.upstream([&](const std::string &) { return impossible; });
            const std::string text = fetchedFrom(fixture, route);
            BOOST_TEST(text.starts_with("HTTP/1.1 502 "), route << ": " << text);
            BOOST_TEST(!serving_fixture::has(text, "X-Server-Stamp"), route << ": " << text);
        }
    });
}

BOOST_AUTO_TEST_CASE(impossibleStatus_firstAttempt_isRetriedElsewhere)
{
    forEachImpossibleAnswer([](const scripted_answer &impossible) {
        for (const std::string route : {"read", "reply"}) {
            serving_fixture fixture;
            bool isFirst = true;
            const auto respond = [&](const std::string &) { return std::exchange(isFirst, false) ? impossible : oneEvent; };
            fixture.upstream(respond);
            fixture.upstream(respond);
            const std::string text = fetchedFrom(fixture, route);
            BOOST_TEST(text.starts_with("HTTP/1.1 200 "), route << ": " << text);
            BOOST_TEST(serving_fixture::has(text, "id: 1\n\n"), route << ": " << text);
        }
    });
}

BOOST_AUTO_TEST_CASE(impossibleStatus_bothAttempts_isAnsweredWith502)
{
    forEachImpossibleAnswer([](const scripted_answer &impossible) {
        for (const std::string route : {"read", "reply"}) {
            serving_fixture fixture;
            fixture.upstream([&](const std::string &) { return impossible; });
            fixture.upstream([&](const std::string &) { return impossible; });
            const std::string text = fetchedFrom(fixture, route);
            BOOST_TEST(text.starts_with("HTTP/1.1 502 "), route << ": " << text);
        }
    });
}

BOOST_AUTO_TEST_CASE(impossibleStatus_repeatedly_ejectsUpstream)
{
    serving_fixture fixture;
    fixture.upstream([](const std::string &) { return answersWith("000").front(); });
    for (unsigned i = 0; i < 3; ++i) {
        fetchedFrom(fixture, "booking");
    }
    const upstream_entry *upstream = fixture.serving.entryCore().upstreams().find("i-1");
    BOOST_REQUIRE(upstream != nullptr);
    BOOST_TEST((upstream->ejectedUntil > fixture.now()));
    BOOST_TEST(upstream->failureRate > 0.3);
}

BOOST_AUTO_TEST_CASE(impossibleStatus_ofObjectApiOrRouter_isFailedCall)
{
    forEachImpossibleAnswer([](const scripted_answer &impossible) {
        serving_fixture fixture;
        scripted_upstream peer(fixture.context, [&](const std::string &) { return impossible; });
        http_client client(fixture.context, [&] { return fixture.now(); });
        std::optional<call_result> result;
        call_request request;
        request.address = peer.address();
        request.target = "/objects";
        client.call(request, [&](call_result received) { result = std::move(received); });
        BOOST_REQUIRE(fixture.runUntil([&] { return result.has_value(); }));
        BOOST_TEST(result->status == 0);
        BOOST_TEST(result->body == "");
        BOOST_TEST(result->failure == "not an answer");
    });
}

// Guards against a write to the object API that counts as without effect because of an answer that says nothing.
BOOST_AUTO_TEST_CASE(impossibleStatus_ofObjectApiOnABlockingCall_isMissingAnswer)
{
    forEachImpossibleAnswer([](const scripted_answer &impossible) {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        std::thread server([&] {
            tcp::socket socket = acceptor.accept();
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(impossible.bytes));
        });
        http_pool pool("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        const http_answer answer = pool.call({});
        server.join();
        BOOST_TEST((answer.progress == http_progress::sent));
        BOOST_TEST(answer.status == 0);
        BOOST_TEST(answer.body == "");
    });
}

BOOST_AUTO_TEST_SUITE_END()
