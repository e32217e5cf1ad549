// Ends of an upstream's answer at every byte: what the caller gets after an orderly end or a reset of the connection, for each
// framing, with and without events, with and without a second attempt.
#include "tests/serving_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

const std::vector<std::string> eventsWithLf {"id: 1\n\n", "id: 2\n\n"};
const std::vector<std::string> eventsWithCrLf {"id: 1\r\n\r\n", "id: 2\r\n\r\n"};

std::string joined(const std::vector<std::string> &events, std::size_t first = 0)
{
    std::string body;
    for (std::size_t i = first; i < events.size(); ++i) {
        body += events[i];
    }
    return body;
}

/// Everything behind the signature in an answer with this body.
std::string framed(const std::string &body, answer_framing framing)
{
    switch (framing) {
    case answer_framing::length:
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case answer_framing::chunked:
        return "Transfer-Encoding: chunked\r\n\r\n" + formatChunk(body) + std::string(lastChunk);
    default:
        return "\r\n" + body;
    }
}

/// An answer as its caller sees it.
struct seen_answer {
    int status = 0;
    std::string body;
    bool isComplete = false;

    bool isWholeSuccess(const std::string &whole) const
    {
        return isComplete && status == 200 && body == whole;
    }
};

seen_answer parsed(std::string_view text)
{
    answer_parser parser(text.size() + 1);
    parser.feed(text);
    return {parser.head().status, parser.body(), parser.isDone()};
}

/// Sends one request, after which the router closes the connection, and reads all that comes back.
seen_answer fetched(serving_fixture &fixture, const std::string &route)
{
    tcp::socket client = fixture.connect();
    serving_fixture::send(client, serving_fixture::request(route, "r1", "Connection: close\r\n"));
    const std::string text = fixture.readUntil(client, "[never]");
    return parsed(std::string_view(text).substr(0, text.rfind("[closed]")));
}

/// The first attempt gets the beginning of an answer, which then ends; a second attempt gets what is left of it.
struct ended_answer {
    std::vector<std::string> events;
    answer_framing framing;
    std::size_t bytes; // of the answer that are sent
    bool resets; // rather than ending the connection in an orderly way

    std::string whole() const
    {
        return signedHead + framed(joined(events), framing);
    }

    seen_answer fetchedFrom(const std::string &route) const
    {
        serving_fixture fixture;
        bool isFirst = true;
        const auto respond = [&](const std::string &request) {
            if (std::exchange(isFirst, false)) {
                return scripted_answer {whole().substr(0, bytes), !resets, resets};
            }
            const std::size_t received
                = serving_fixture::has(request, "Last-Event-Id: 2") ? 2 : serving_fixture::has(request, "Last-Event-Id: 1");
            return scripted_answer {signedHead + framed(joined(events, received), answer_framing::chunked)};
        };
        fixture.upstream(respond);
        fixture.upstream(respond);
        return fetched(fixture, route);
    }

    std::string description(const std::string &route) const
    {
        return route + ", " + std::string(nameOf(framing)) + (events == eventsWithLf ? ", LF, " : ", CR LF, ") + (resets ? "reset" : "end")
               + " after " + std::to_string(bytes) + " of " + std::to_string(whole().size()) + " bytes";
    }
};

/// Every end of an answer from the last byte of its head on, and one within the head.
template<typename Check>
void forEachEnd(Check check)
{
    for (const std::vector<std::string> &events : {eventsWithLf, eventsWithCrLf}) {
        for (const answer_framing framing : {answer_framing::length, answer_framing::chunked, answer_framing::connection}) {
            ended_answer each {events, framing, signedHead.size(), false};
            const std::string whole = each.whole();
            const std::size_t head = whole.find("\r\n\r\n") + 4;
            while (each.bytes <= whole.size()) {
                for (const bool resets : {false, true}) {
                    each.resets = resets;
                    // What is left of the body for the upstream to send, by the framing that it chose.
                    check(each, whole.substr(std::min(head, each.bytes), each.bytes - std::min(head, each.bytes)));
                }
                each.bytes = std::max(each.bytes + 1, head - 1);
            }
        }
    }
}

/// The bytes before the end do not tell that anything is missing.
bool looksWhole(const ended_answer &answer, const std::string &sent, bool isStream)
{
    const std::string whole = answer.whole();
    if (answer.framing != answer_framing::connection) {
        return answer.bytes == whole.size();
    }
    const std::size_t head = whole.find("\r\n\r\n") + 4;
    const bool isAtEvent = sent == answer.events[0] || sent == joined(answer.events);
    return answer.bytes >= head && !answer.resets && (!isStream || isAtEvent);
}

/// The first attempt is answered, and its connection ends, while the router is still writing the request. A second attempt gets the
/// rest of the events.
struct early_answer_fixture : serving_fixture {
    static constexpr std::size_t requestBytes = 16 << 20; // more than the socket buffers of both sides hold

    early_answer_fixture()
    {
        rules->limits.maxBodyBytes = requestBytes;
    }

    seen_answer fetchedEarly(const std::string &route, scripted_answer first)
    {
        bool isFirst = true;
        const auto respond = [&](const std::string &request) {
            return std::exchange(isFirst, false)      ? first
                   : has(request, "Last-Event-Id: 1") ? scripted_answer {signedHead + framed(eventsWithLf[1], answer_framing::length)}
                                                      : scripted_answer {signedHead + framed(joined(eventsWithLf), answer_framing::length)};
        };
        for (int i = 0; i < 2; ++i) {
            upstream(respond).readsBodies = false;
        }
        tcp::socket client = connect();
        const std::string bytes = "POST /" + route
                                  + "/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n"
                                  + "Content-Length: " + std::to_string(requestBytes) + "\r\n\r\n" + std::string(requestBytes, 'x');
        boost::asio::async_write(client, boost::asio::buffer(bytes), [](const boost::system::error_code &, std::size_t) {});
        const std::string text = readUntil(client, "[never]");
        return parsed(std::string_view(text).substr(0, text.rfind("[closed]")));
    }
};

/// A stream breaks off after its first event. The second attempt ends at once, and a third one gets the rest.
struct second_attempt_fixture : serving_fixture {
    second_attempt_fixture()
    {
        addRoute("long", request_kind::streaming, 3).isResumable = true;
        rules->index();
    }

    seen_answer fetchedWith(const scripted_answer &second, std::size_t upstreamCount = 3)
    {
        attempts = 0;
        upstreams.clear();
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            upstream([this, second](const std::string &request) {
                ++attempts;
                if (attempts == 1) {
                    return scripted_answer {signedHead + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk(eventsWithLf[0]), false, true};
                }
                resumedAfter = has(request, "Last-Event-Id: 1") ? 1 : 0;
                return attempts == 2 ? second : scripted_answer {signedHead + framed(eventsWithLf[1], answer_framing::chunked)};
            });
        }
        return fetched(*this, "long");
    }

    unsigned attempts = 0;
    unsigned resumedAfter = 0; // event after which the last attempt was asked to continue
};

scripted_answer refusal(int status)
{
    return {"HTTP/1.1 " + std::to_string(status) + " No\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_ends)

// Guards against a stream that its upstream broke off reaching the caller as complete: a stream without length and chunks that
// ended within an event, or before its first one, was relayed with a last chunk.
BOOST_AUTO_TEST_CASE(streamThatMayNotBeRepeated_endedEarly_doesNotLookComplete)
{
    forEachEnd([](const ended_answer &answer, const std::string &sent) {
        const seen_answer seen = answer.fetchedFrom("brief");
        const bool isRelayed = seen.isComplete && seen.status == 200;
        BOOST_TEST(isRelayed == looksWhole(answer, sent, true), answer.description("brief"));
    });
}

// Guards against the same in a stream that another upstream can go on with: it was neither resumed nor whole.
BOOST_AUTO_TEST_CASE(streamThatMayBeResumed_endedEarly_isResumedWithoutGapOrRepeat)
{
    forEachEnd([](const ended_answer &answer, const std::string &sent) {
        const bool isUnnoticed = looksWhole(answer, sent, true) && answer.framing == answer_framing::connection;
        const std::string expected = isUnnoticed ? sent : joined(answer.events);
        BOOST_TEST(answer.fetchedFrom("reply").isWholeSuccess(expected), answer.description("reply"));
    });
}

// Guards against a truncated answer being relayed with a length of its own.
BOOST_AUTO_TEST_CASE(bookingAnswer_endedEarly_isNoSuccess)
{
    forEachEnd([](const ended_answer &answer, const std::string &sent) {
        const seen_answer seen = answer.fetchedFrom("booking");
        BOOST_TEST(seen.isComplete, answer.description("booking"));
        BOOST_TEST((seen.status == 200) == looksWhole(answer, sent, false), answer.description("booking"));
    });
}

BOOST_AUTO_TEST_CASE(readAnswer_endedEarly_isFetchedFromAnotherUpstream)
{
    forEachEnd([](const ended_answer &answer, const std::string &sent) {
        const bool isUnnoticed = looksWhole(answer, sent, false) && answer.framing == answer_framing::connection;
        const std::string expected = isUnnoticed ? sent : joined(answer.events);
        BOOST_TEST(answer.fetchedFrom("read").isWholeSuccess(expected), answer.description("read"));
    });
}

// Guards against a reset that the write of the request reports, after which the read sees the end of the stream: half of an answer
// without length was relayed as a whole one.
BOOST_FIXTURE_TEST_CASE(bookingAnswer_resetWhileTheRequestIsWritten_isNoSuccess, early_answer_fixture)
{
    const seen_answer seen = fetchedEarly("booking", {signedHead + "\r\nhalf", false, true});
    BOOST_TEST(seen.isComplete);
    BOOST_TEST(seen.status == 502);
}

BOOST_FIXTURE_TEST_CASE(streamThatMayNotBeRepeated_resetWhileTheRequestIsWritten_doesNotLookComplete, early_answer_fixture)
{
    const seen_answer seen = fetchedEarly("brief", {signedHead + "\r\n" + eventsWithLf[0], false, true});
    BOOST_TEST(!(seen.isComplete && seen.status == 200));
}

BOOST_FIXTURE_TEST_CASE(streamThatMayBeResumed_resetWhileTheRequestIsWritten_isResumed, early_answer_fixture)
{
    BOOST_TEST(fetchedEarly("reply", {signedHead + "\r\n" + eventsWithLf[0], false, true}).isWholeSuccess(joined(eventsWithLf)));
}

BOOST_FIXTURE_TEST_CASE(readAnswer_resetWhileTheRequestIsWritten_isFetchedFromAnotherUpstream, early_answer_fixture)
{
    BOOST_TEST(fetchedEarly("read", {signedHead + "\r\nhalf", false, true}).isWholeSuccess(joined(eventsWithLf)));
}

// Guards against taking an answer for truncated because the connection broke after its end.
BOOST_FIXTURE_TEST_CASE(bookingAnswer_resetAfterItsOrderlyEnd_isRelayed, early_answer_fixture)
{
    BOOST_TEST(fetchedEarly("booking", {signedHead + "\r\nwhole", true, true}).isWholeSuccess("whole"));
}

BOOST_FIXTURE_TEST_CASE(bookingAnswer_resetAfterAllBytesOfItsLength_isRelayed, early_answer_fixture)
{
    BOOST_TEST(fetchedEarly("booking", {signedHead + framed("whole", answer_framing::length), false, true}).isWholeSuccess("whole"));
}

// Guards against a resumed stream that ends as complete when its second upstream refuses: the state of the first attempt, whose head
// was relayed, was taken for that of the attempt that had just ended.
BOOST_FIXTURE_TEST_CASE(resumedStream_refusedByTheSecondUpstream_continuesAtTheThird, second_attempt_fixture)
{
    for (const int status : {503, 429, 421, 408}) {
        BOOST_TEST(fetchedWith(refusal(status)).isWholeSuccess(joined(eventsWithLf)), status);
        BOOST_TEST(attempts == 3U, status);
        BOOST_TEST(resumedAfter == 1U, status);
    }
}

BOOST_FIXTURE_TEST_CASE(resumedStream_refusedWithALongBody_continuesAtTheThird, second_attempt_fixture)
{
    scripted_answer second = refusal(503);
    const std::string body(2 * serving_limits::maxBufferedAnswerBytes, 'x');
    second.bytes.replace(second.bytes.find("Length: 0"), 9, "Length: " + std::to_string(body.size()));
    second.bytes += body;
    BOOST_TEST(fetchedWith(second).isWholeSuccess(joined(eventsWithLf)));
}

BOOST_FIXTURE_TEST_CASE(resumedStream_refusedByTheLastUpstream_doesNotLookComplete, second_attempt_fixture)
{
    BOOST_TEST(!fetchedWith(refusal(503), 2).isComplete);
    BOOST_TEST(attempts == 2U);
}

BOOST_FIXTURE_TEST_CASE(resumedStream_brokenBeforeItsHead_continuesAtTheThird, second_attempt_fixture)
{
    for (const bool resets : {false, true}) {
        BOOST_TEST(fetchedWith({"", !resets, resets}).isWholeSuccess(joined(eventsWithLf)), resets);
        BOOST_TEST(fetchedWith({signedHead, !resets, resets}).isWholeSuccess(joined(eventsWithLf)), resets);
    }
}

BOOST_FIXTURE_TEST_CASE(resumedStream_brokenWithinItsFirstEvent_continuesAtTheThird, second_attempt_fixture)
{
    const std::string begun = signedHead + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk("id: 2\nda");
    BOOST_TEST(fetchedWith({begun, false, true}).isWholeSuccess(joined(eventsWithLf)));
    BOOST_TEST(resumedAfter == 1U);
}

BOOST_FIXTURE_TEST_CASE(resumedStream_failedByTheSecondUpstream_doesNotLookComplete, second_attempt_fixture)
{
    const std::string failure = "HTTP/1.1 500 No\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno";
    const seen_answer seen = fetchedWith({failure});
    BOOST_TEST((!seen.isComplete || seen.body == joined(eventsWithLf)));
    BOOST_TEST(seen.body.find("no") == std::string::npos);
}

// Guards against joining a stream with the body of an answer that is no stream.
BOOST_FIXTURE_TEST_CASE(resumedStream_answeredWithAnotherType_continuesAtTheThird, second_attempt_fixture)
{
    const std::string other = signedHead + "Content-Type: application/json\r\n" + framed("{}", answer_framing::length);
    BOOST_TEST(fetchedWith({other}).isWholeSuccess(joined(eventsWithLf)));
}

BOOST_FIXTURE_TEST_CASE(resumedStream_secondUpstreamRefusesConnections_continuesAtTheThird, second_attempt_fixture)
{
    bool isFirst = true;
    for (int i = 0; i < 3; ++i) {
        upstream([&](const std::string &) {
            if (!std::exchange(isFirst, false)) {
                return scripted_answer {signedHead + framed(eventsWithLf[1], answer_framing::chunked)};
            }
            unsigned open = 0;
            for (const std::unique_ptr<scripted_upstream> &each : upstreams) {
                // Of the two others, one accepts no more connections.
                if (each->requests.empty() && open++ == 0) {
                    each->stopAccepting();
                }
            }
            return scripted_answer {signedHead + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk(eventsWithLf[0]), false, true};
        });
    }
    BOOST_TEST(fetched(*this, "long").isWholeSuccess(joined(eventsWithLf)));
}

// Guards against an upstream whose error handling completes the frame of a stream that it could not finish.
BOOST_AUTO_TEST_CASE(completeFrame_thatEndsWithinAnEvent_isABrokenStream)
{
    for (const answer_framing framing : {answer_framing::length, answer_framing::chunked, answer_framing::connection}) {
        for (const std::string route : {"brief", "reply"}) {
            const std::string cut = signedHead + framed("id: 1\n\nid: 2\nda", framing);
            serving_fixture fixture;
            const auto respond = [&](const std::string &request) {
                return serving_fixture::has(request, "Last-Event-Id: 1")
                           ? scripted_answer {signedHead + framed("id: 2\n\n", answer_framing::chunked)}
                           : scripted_answer {cut, framing == answer_framing::connection};
            };
            fixture.upstream(respond);
            fixture.upstream(respond);
            const seen_answer seen = fetched(fixture, route);
            BOOST_TEST(seen.isComplete == (route == "reply"), route << ", " << nameOf(framing));
            BOOST_TEST((route != "reply" || seen.body == "id: 1\n\nid: 2\n\n"), route << ", " << nameOf(framing));
        }
    }
}

// Guards against keep-alive comments, which say nothing about the answer, passing for a stream that ended.
BOOST_FIXTURE_TEST_CASE(streamOfComments_endedWithItsConnection_doesNotLookComplete, serving_fixture)
{
    upstream([](const std::string &) { return scripted_answer {signedHead + "\r\n: waiting\n\n", true}; });
    const std::string text = fetch("brief", "[never]");
    BOOST_TEST(has(text, "waiting"));
    BOOST_TEST(!has(text, lastChunkText));
}

BOOST_FIXTURE_TEST_CASE(answerOfAnotherType_onAStreamingRoute_isCompleteAtItsOrderlyEnd, serving_fixture)
{
    upstream([](const std::string &) { return scripted_answer {signedHead + "Content-Type: application/json\r\n\r\n{}", true}; });
    const std::string text = fetch("brief", lastChunkText);
    BOOST_TEST(has(text, "{}"));
    BOOST_TEST(has(text, lastChunkText));
}

BOOST_AUTO_TEST_SUITE_END()
