// HTTP/1.1 framing of requests and answers: malformed and ambiguous messages are rejected, however their bytes arrive.
#include "serving/event_stream.h"
#include "serving/http_message.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace
{

using namespace nutmegtally;

constexpr std::size_t maxHeader = 2048;
constexpr std::size_t maxBody = 1000;

struct outcome {
    int status = 0; // status of the fault; 200 for a complete message, 0 for an incomplete one
    std::string body;
    std::size_t trailingBytes = 0; // bytes after the message

    bool operator==(const outcome &) const = default;
};

std::ostream &operator<<(std::ostream &out, const outcome &o)
{
    return out << o.status << " '" << o.body << "' +" << o.trailingBytes;
}

/// Parses one request like client_connection, receiving @p step bytes at a time.
outcome readRequest(const std::string &bytes, std::size_t step)
{
    request_parser parser(maxHeader);
    std::string input;
    bool headChecked = false;
    std::size_t at = 0;
    while (true) {
        const std::size_t used = parser.feed(input);
        input.erase(0, used);
        if (parser.fault()) {
            return {parser.fault()->status, "", 0};
        }
        if (parser.isHeadDone() && !headChecked) {
            headChecked = true;
            if (const auto fault = checkRequestHead(parser.head(), maxBody)) {
                return {fault->status, "", 0};
            }
        }
        if (parser.bodyBytes() > maxBody) {
            return {413, "", 0};
        }
        if (parser.isDone()) {
            return {200, parser.body(), input.size() + bytes.size() - at};
        }
        if (at == bytes.size()) {
            return {0, parser.body(), 0};
        }
        const std::size_t next = std::min(step, bytes.size() - at);
        input += bytes.substr(at, next);
        at += next;
    }
}

/// Parses one answer. @param isEof The upstream closes its connection after the bytes.
outcome readAnswer(const std::string &bytes, bool isEof)
{
    answer_parser parser(maxHeader);
    const std::size_t used = parser.feed(bytes);
    if (parser.fault()) {
        return {parser.fault()->status, "", 0};
    }
    if (!parser.isDone() && isEof && parser.feedEof()) {
        return {200, parser.body(), 0};
    }
    return parser.isDone() ? outcome {200, parser.body(), bytes.size() - used} : outcome {0, parser.body(), 0};
}

struct request_case {
    const char *name;
    std::string bytes;
    outcome expected;
};

const std::string get = "GET /x/1 HTTP/1.1\r\nHost: h\r\n";
const std::string post = "POST /x/1 HTTP/1.1\r\nHost: h\r\n";

const std::vector<request_case> requestCases = {
    {"plain", get + "\r\n", {200, "", 0}},
    {"length", post + "Content-Length: 3\r\n\r\nabc", {200, "abc", 0}},
    {"length zero", post + "Content-Length: 0\r\n\r\n", {200, "", 0}},
    {"chunked", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", {200, "abcde", 0}},
    {"chunked in capitals", post + "Transfer-Encoding: CHUNKED\r\n\r\n1\r\na\r\n0\r\n\r\n", {200, "a", 0}},
    {"chunk extension", post + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n", {200, "abc", 0}},
    {"trailer", post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: v\r\n\r\n", {200, "a", 0}},
    {"pipelined", get + "\r\n" + get + "\r\n", {200, "", get.size() + 2}},
    {"body shorter than its length", post + "Content-Length: 9\r\n\r\nabc", {0, "abc", 0}},
    {"head not finished", get, {0, "", 0}},
    {"length and chunked", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"chunked and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"two lengths that differ", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", {400, "", 0}},
    {"two equal lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", {400, "", 0}},
    {"list of lengths", post + "Content-Length: 3, 3\r\n\r\nabc", {400, "", 0}},
    {"negative length", post + "Content-Length: -1\r\n\r\n", {400, "", 0}},
    {"length with sign", post + "Content-Length: +3\r\n\r\nabc", {400, "", 0}},
    {"hexadecimal length", post + "Content-Length: 0x3\r\n\r\nabc", {400, "", 0}},
    {"empty length", post + "Content-Length: \r\n\r\n", {400, "", 0}},
    {"length beyond 64 bits", post + "Content-Length: 99999999999999999999999\r\n\r\n", {400, "", 0}},
    {"length over the limit", post + "Content-Length: 1001\r\n\r\n", {413, "", 0}},
    {"chunks over the limit", post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'a') + "\r\n0\r\n\r\n", {413, "", 0}},
    {"two encodings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"gzip before chunked", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"identity", post + "Transfer-Encoding: identity\r\n\r\n", {400, "", 0}},
    {"unknown encoding", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"chunked in HTTP/1.0", "POST /x/1 HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", {400, "", 0}},
    {"chunk size not hexadecimal", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", {400, "", 0}},
    {"chunk size negative", post + "Transfer-Encoding: chunked\r\n\r\n-1\r\na\r\n", {400, "", 0}},
    {"chunk size beyond 64 bits", post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", {400, "", 0}},
    {"chunk longer than its size", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", {400, "", 0}},
    {"space before the colon", get + "X : v\r\n\r\n", {400, "", 0}},
    {"space before Content-Length's colon", post + "Content-Length : 3\r\n\r\nabc", {400, "", 0}},
    {"empty header name", get + ": v\r\n\r\n", {400, "", 0}},
    {"header name with a space", get + "X Y: v\r\n\r\n", {400, "", 0}},
    {"header without a colon", get + "XY\r\n\r\n", {400, "", 0}},
    {"control byte in a value",
     get
         + "X: a\x01"
           "b\r\n\r\n",
     {400, "", 0}},
    {"bare line feeds", "GET /x/1 HTTP/1.1\nHost: h\n\n\r\n\r\n", {400, "", 0}},
    {"bare carriage return in a value", get + "X: a\rb\r\n\r\n", {400, "", 0}},
    {"no host", "GET /x/1 HTTP/1.1\r\n\r\n", {400, "", 0}},
    {"two hosts", get + "Host: i\r\n\r\n", {400, "", 0}},
    {"no host in HTTP/1.0", "GET /x/1 HTTP/1.0\r\n\r\n", {200, "", 0}},
    {"HTTP/2 in the start line", "GET /x/1 HTTP/2.0\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"HTTP/1.2", "GET /x/1 HTTP/1.2\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"no version", "GET /x/1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"two spaces in the start line", "GET  /x/1 HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"no method", " /x/1 HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"absolute target", "GET http://h/x/1 HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"asterisk target", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"fragment in the target", "GET /x/1#f HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"tunnel", "CONNECT /x/1 HTTP/1.1\r\nHost: h\r\n\r\n", {400, "", 0}},
    {"TLS hello", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11), {400, "", 0}},
    {"binary behind a line end", std::string("\x00\x01\r\n\r\n", 6), {400, "", 0}},
    {"head over the limit", get + "X: " + std::string(maxHeader, 'a') + "\r\n\r\n", {431, "", 0}},
    {"many short headers over the limit",
     [] {
         std::string bytes = get;
         for (int i = 0; i < 300; ++i) {
             bytes += "X: 12345\r\n";
         }
         return bytes + "\r\n";
     }(),
     {431, "", 0}},
};

struct answer_case {
    const char *name;
    std::string bytes;
    bool isEof;
    outcome expected;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";

const std::vector<answer_case> answerCases = {
    {"length", ok + "Content-Length: 3\r\n\r\nabc", false, {200, "abc", 0}},
    {"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, {200, "abc", 0}},
    {"no length, connection ends", ok + "\r\nabc", true, {200, "abc", 0}},
    {"no length, connection open", ok + "\r\nabc", false, {0, "abc", 0}},
    {"cut in the body", ok + "Content-Length: 9\r\n\r\nabc", true, {0, "abc", 0}},
    {"cut in a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc", true, {0, "abc", 0}},
    {"cut before the last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true, {0, "abc", 0}},
    {"cut in the head", ok + "Content-Len", true, {0, "", 0}},
    {"extra bytes", ok + "Content-Length: 3\r\n\r\nabcdef", false, {200, "abc", 3}},
    {"second answer", ok + "Content-Length: 1\r\n\r\na" + ok + "Content-Length: 1\r\n\r\nb", false, {200, "a", ok.size() + 22}},
    {"length and chunked", ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, {400, "", 0}},
    {"two lengths", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false, {400, "", 0}},
    {"not an answer", "garbage that goes on\r\n\r\n", false, {400, "", 0}},
    {"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", false, {400, "", 0}},
    {"status of letters", "HTTP/1.1 abc OK\r\n\r\n", false, {400, "", 0}},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, {200, "", 0}},
    {"not modified with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false, {200, "", 0}},
    {"chunk size not hexadecimal", ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", false, {400, "", 0}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_framing)

BOOST_AUTO_TEST_CASE(request_eachCase_hasItsOutcomeHoweverItArrives)
{
    for (const request_case &each : requestCases) {
        for (const std::size_t step : {std::size_t(1), std::size_t(7), each.bytes.size()}) {
            BOOST_TEST_CONTEXT(each.name << " in steps of " << step)
            {
                BOOST_TEST(readRequest(each.bytes, step) == each.expected);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(answer_eachCase_hasItsOutcome)
{
    for (const answer_case &each : answerCases) {
        BOOST_TEST_CONTEXT(each.name)
        {
            BOOST_TEST(readAnswer(each.bytes, each.isEof) == each.expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(cases_requestsAndAnswers_areSixtyOrMore)
{
    BOOST_TEST(requestCases.size() + answerCases.size() >= 60U);
}

BOOST_AUTO_TEST_CASE(hopByHop_namedInConnection_isDropped)
{
    http_head head;
    head.fields = {{"Connection", "close, X-Mine"}, {"X-Mine", "1"}, {"X-Other", "2"}};
    BOOST_TEST(isHopByHop(head, "x-mine"));
    BOOST_TEST(isHopByHop(head, "Connection"));
    BOOST_TEST(isHopByHop(head, "Upgrade"));
    BOOST_TEST(!isHopByHop(head, "X-Other"));
}

BOOST_AUTO_TEST_CASE(eventStream_cutInAnEvent_passesOnWholeEventsOnly)
{
    event_stream events;
    BOOST_TEST(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(*events.lastEventId() == 1U);
    events.startAttempt();
    BOOST_TEST(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(*events.lastEventId() == 2U);
}

BOOST_AUTO_TEST_CASE(eventStream_eventsThatTheCallerHas_areDropped)
{
    event_stream events;
    events.feed("id: 1\n\nid: 2\n\n");
    events.startAttempt();
    BOOST_TEST(events.feed("id: 2\ndata: again\n\nid: 3\n\n") == "id: 3\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
