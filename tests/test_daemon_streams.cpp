// Guards against answers that are truncated, mixed up, delayed or reported as complete after a connection was lost, timed
// out or delivered wrong records.
#include "tests/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

std::string countedText(unsigned pieces)
{
    std::string text;
    for (unsigned i = 0; i < pieces; ++i) {
        text += "t" + std::to_string(i) + " ";
    }
    return text;
}

/// Sends the records of an answer as an agent does, starting with the head.
class scripted_records
{
public:
    scripted_records(scripted_exchange &exchange, const nlohmann::json &work)
        : m_exchange(exchange)
        , m_request(fromHex(work.at("request").get<std::string>()))
    {
        m_exchange.startStream(200, "application/x-ndjson");
        stream_record head;
        head.kind = record_kind::head;
        head.contentType = "text/event-stream";
        send(head);
    }

    void data(std::uint64_t seq, const std::string &text)
    {
        stream_record record;
        record.kind = record_kind::data;
        record.seq = seq;
        record.data = text;
        m_checksum.add(text);
        send(record);
    }

    void end(std::uint64_t seq, std::uint64_t checksumError = 0)
    {
        stream_record record;
        record.kind = record_kind::end;
        record.seq = seq;
        record.bytes = m_checksum.bytes();
        record.checksum = m_checksum.value() ^ checksumError;
        send(record);
    }

    void setRequest(request_id request)
    {
        m_request = request;
    }

private:
    void send(stream_record record)
    {
        record.request = m_request;
        m_exchange.write(encodeRecord(record) + "\n");
    }

    scripted_exchange &m_exchange;
    request_id m_request;
    stream_checksum m_checksum;
};

nlohmann::json readWorkHeader(scripted_exchange &exchange)
{
    exchange.readBody();
    return nlohmann::json::parse(exchange.header(workHeaderName));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(daemon_streams, daemon_fixture)

BOOST_AUTO_TEST_CASE(fleet_streamedChat_arrivesWholeWithToken)
{
    scripted_server upstream(engine([](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        for (unsigned i = 0; i < 200; ++i) {
            exchange.write(chunk("t" + std::to_string(i) + " "));
        }
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    const answer result = connect().chat();
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.text() == countedText(200));
    BOOST_TEST(result.body.find("[DONE]") != std::string::npos);
    BOOST_TEST(!result.token.empty());
}

BOOST_AUTO_TEST_CASE(fleet_wholeChatAndRead_arriveUnchanged)
{
    const std::string body = R"({"choices":[{"message":{"content":")" + std::string(600'000, 'x') + R"("}}]})";
    const std::string binary("\x00\xff\xfe picture \x80", 13);
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        const bool isChat = exchange.path() == "/v1/chat/completions";
        exchange.reply(200, isChat ? "application/json" : "image/png", isChat ? body : binary);
    }));
    startFleet(upstream.address());
    BOOST_TEST((connect().chat(false).body == body));
    BOOST_TEST((connect().call("GET", "/services/booking-app/photo").body == binary));
}

BOOST_AUTO_TEST_CASE(fleet_firstPiece_isPassedOnBeforeTheSecondExists)
{
    latch_flag callerHasFirst;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        exchange.write(chunk("first"));
        callerHasFirst.wait();
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    caller client = connect();
    client.startChat();
    BOOST_TEST(client.readPart().find("first") != std::string::npos);
    callerHasFirst.set();
    client.finish();
}

BOOST_AUTO_TEST_CASE(fleet_engineSendsHalfAnAnswer_isResumedAtTheOffset)
{
    const std::string whole = "짧은 대답 in two parts";
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        const std::string offset = exchange.header("X-Resume-Offset");
        if (offset.empty()) {
            exchange.write(chunk(whole.substr(0, 10))); // four characters: each Korean character takes three bytes
            exchange.abort();
            return;
        }
        exchange.write(chunk(std::string(skipCharacters(whole, std::stoull(offset)))));
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    const answer result = connect().chat();
    BOOST_TEST(result.text() == whole);
    BOOST_TEST(result.body.find("[DONE]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(fleet_engineNeverFinishes_endsWithStreamLost)
{
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        if (exchange.header("X-Resume-Offset").empty()) {
            exchange.write(chunk("half"));
        }
        exchange.abort();
    }));
    startFleet(upstream.address());
    const answer result = connect().chat();
    BOOST_TEST(result.body.find("event: error") != std::string::npos);
    BOOST_TEST(result.body.find("stream_lost") != std::string::npos);
    BOOST_TEST(result.body.find("[DONE]") == std::string::npos);
}

// SSE comment lines keep the connection active but are no sign of progress, so they must not restart the token timeout.
BOOST_AUTO_TEST_CASE(fleet_engineStallsWithComments_isResumedLikeASilentOne)
{
    std::atomic<bool> isConnectionClosed = false;
    latch_flag ended;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        if (!exchange.header("X-Resume-Offset").empty()) {
            exchange.write(chunk("two"));
            exchange.write(streamEnd);
            return;
        }
        exchange.write(chunk("one "));
        for (int i = 0; i < 100 && !isConnectionClosed; ++i) {
            isConnectionClosed = !exchange.write(": still here\n\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        ended.set();
    }));
    agentSettings.upstream.interTokenTimeout = std::chrono::milliseconds(300);
    startFleet(upstream.address());
    const answer result = connect().chat();
    BOOST_TEST(result.text() == "one two");
    BOOST_TEST(result.body.find("[DONE]") != std::string::npos);
    ended.wait();
    BOOST_TEST(isConnectionClosed);
}

BOOST_AUTO_TEST_CASE(router_silentConnection_isResumedAtTheNextRecord)
{
    latch_flag done;
    scripted_server silentAgent([&](scripted_exchange &exchange) {
        const nlohmann::json work = readWorkHeader(exchange);
        scripted_records records(exchange, work);
        if (!work.at("resume").get<bool>()) {
            records.data(0, "one ");
            done.wait(); // keeps the connection open without sending anything
            return;
        }
        // A resume at any other offset produces a different text.
        records.data(work.at("resume_seq").get<std::uint64_t>(), work.at("offset").get<std::uint64_t>() == 4 ? "two" : "wrong");
        records.end(work.at("resume_seq").get<std::uint64_t>() + 1);
    });
    routerSettings.streamIdleTimeout = std::chrono::milliseconds(300);
    routerSettings.maxResumes = 50; // on a slow machine, the short timeout may also expire on a working connection
    startRouter({testUpstream("e1", silentAgent.address())});
    const answer result = connect().chat();
    done.set();
    BOOST_TEST(result.text() == "one two");
    BOOST_TEST(result.body.find("[DONE]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(agent_routerConnectionBreaks_isResumedFromTheBuffer)
{
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        exchange.write(chunk("one "));
        exchange.write(chunk("two"));
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    message_authenticator signer({innerKey});
    work_header work;
    work.attempt = {request_id(7), 1};
    work.info.workClass = class_id::fromName("quick");
    work.info.account = account_id::fromName("desk");
    work.info.model = model_id::fromName("brush-llm");
    work.info.deadline = time_point(std::chrono::seconds(60));
    work.path = "/v1/chat/completions";
    work.stream = true;
    for (const bool resume : {false, true}) {
        work.resume = resume;
        work.resumeSeq = resume ? 1 : 0;
        nlohmann::json fields = toJson(work);
        signer.sign("POST", workPath, fields, "{}");
        caller routerSide(agent->address());
        routerSide.setHeader(workHeaderName, fields.dump());
        routerSide.start("POST", workPath, "{}");
        if (!resume) {
            routerSide.readPart();
            routerSide.disconnect();
            continue;
        }
        const std::string rest = routerSide.finish().body;
        BOOST_TEST(rest.find("one") == std::string::npos);
        BOOST_TEST(rest.find("two") != std::string::npos);
        BOOST_TEST(rest.find(R"("kind":"end")") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(router_wrongChecksum_isNotPassedOnAsComplete)
{
    scripted_server faultyAgent([&](scripted_exchange &exchange) {
        scripted_records records(exchange, readWorkHeader(exchange));
        records.data(0, "text");
        records.end(1, 1);
    });
    startRouter({testUpstream("e1", faultyAgent.address())});
    const answer result = connect().chat();
    BOOST_TEST(result.body.find("stream_lost") != std::string::npos);
    BOOST_TEST(result.body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(router_recordOfAnotherRequest_neverReachesTheCaller)
{
    scripted_server faultyAgent([&](scripted_exchange &exchange) {
        scripted_records records(exchange, readWorkHeader(exchange));
        records.setRequest(request_id(99));
        records.data(0, "of someone else");
        records.end(1);
    });
    startRouter({testUpstream("e1", faultyAgent.address())});
    const answer result = connect().chat();
    BOOST_TEST(result.body.find("someone else") == std::string::npos);
    BOOST_TEST(result.body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(fleet_callerHangsUp_isCancelledAtTheEngine)
{
    latch_flag cancelled;
    scripted_server upstream(engine(
        [&](scripted_exchange &exchange) {
            exchange.startStream(200, "text/event-stream");
            exchange.write(chunk("first"));
            cancelled.wait();
        },
        [&] { cancelled.set(); }));
    startFleet(upstream.address());
    caller client = connect();
    client.startChat();
    client.readPart();
    client.disconnect();
    BOOST_TEST(cancelled.wait());
}

BOOST_AUTO_TEST_CASE(fleet_slowCaller_holdsBackOnlyItsOwnStream)
{
    // Exceeds the total size of all socket and stream buffers, so that the engine's connection for the slow caller blocks.
    static constexpr std::size_t pieces = 40'000;
    std::atomic<std::size_t> written = 0;
    std::atomic<bool> first = true;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        const bool isSlow = first.exchange(false);
        const std::string piece = chunk(std::string(1000, 'x'));
        exchange.startStream(200, "text/event-stream");
        for (std::size_t i = 0; i < (isSlow ? pieces : 10) && exchange.write(piece); ++i) {
            written += isSlow ? 1 : 0;
        }
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    caller slow = connect();
    slow.startChat();
    slow.readPart();
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(connect().chat().text().size() == 10'000U);
    }
    BOOST_TEST(written < pieces);
    slow.disconnect();
}

BOOST_AUTO_TEST_CASE(router_drain_cutsNoRequest)
{
    latch_flag drainStarted;
    latch_flag release;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        exchange.write(chunk("one "));
        release.wait();
        exchange.write(chunk("two"));
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    caller running = connect();
    running.startChat();
    caller late = connect();
    BOOST_TEST(late.call("GET", "/services/other/x").status == 404); // opens the connection before the drain starts
    bool complete = false;
    std::thread drain([&] { complete = router->drain(std::chrono::seconds(60)); });
    answer refused = late.call("GET", "/services/other/x");
    while (refused.status != 503) {
        refused = late.call("GET", "/services/other/x");
    }
    BOOST_TEST(refused.fault().value("code", "") == "shutting_down");
    release.set();
    BOOST_TEST(running.finish().text() == "one two");
    drain.join();
    BOOST_TEST(complete);
}

BOOST_AUTO_TEST_CASE(agent_drain_finishesItsStreamsAndRefusesNewWork)
{
    latch_flag release;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        exchange.write(chunk("one "));
        release.wait();
        exchange.write(chunk("two"));
        exchange.write(streamEnd);
    }));
    startFleet(upstream.address());
    caller running = connect();
    running.startChat();
    bool complete = false;
    std::thread drain([&] { complete = agent->drain(std::chrono::seconds(60)); });
    caller status(agent->statusAddress());
    while (status.call("GET", "/readyz").status != 503) { }
    const answer refused = connect().chat();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.fault().value("run_state", "") == "not_run");
    release.set();
    BOOST_TEST(running.finish().text() == "one two");
    drain.join();
    BOOST_TEST(complete);
}

BOOST_AUTO_TEST_CASE(router_drainBeyondItsLimit_endsAndSaysThatWorkWasCut)
{
    latch_flag release;
    scripted_server upstream(engine([&](scripted_exchange &exchange) {
        exchange.startStream(200, "text/event-stream");
        exchange.write(chunk("one"));
        release.wait();
    }));
    startFleet(upstream.address());
    caller running = connect();
    running.startChat();
    BOOST_TEST(!router->drain(std::chrono::milliseconds(50)));
    release.set();
}

BOOST_AUTO_TEST_CASE(fleet_bookingWithoutLedger_isRefusedNotRun)
{
    scripted_server upstream(engine([](scripted_exchange &exchange) { exchange.reply(200, "application/json", "{}"); }));
    startFleet(upstream.address());
    caller client = connect();
    client.setHeader("Idempotency-Key", "0193a3c2-7b1e-7000-8000-000000000001");
    const answer refused = client.call("POST", "/services/booking-app/book", "{}");
    BOOST_TEST(refused.fault().value("code", "") == "platform_unavailable");
    BOOST_TEST(refused.fault().value("run_state", "") == "not_run");
}

BOOST_AUTO_TEST_SUITE_END()
