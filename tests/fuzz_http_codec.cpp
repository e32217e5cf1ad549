// Property tests of the HTTP parsers and codecs: the result does not depend on how the bytes are split, and arbitrary bytes are
// decoded or rejected without a crash.
#include "entry/gossip_codec.h"
#include "entry/message_compression.h"
#include "platform/objects_codec.h"
#include "platform/request_codec.h"
#include "serving/http_message.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace nutmegtally;

struct parse_result {
    int fault = 0;
    bool done = false;
    std::string target;
    std::string body;

    bool operator==(const parse_result &) const = default;
};

/// Parses @p bytes in pieces that end at the given offsets.
template<typename Parser>
parse_result parse(const std::string &bytes, std::vector<std::size_t> cuts)
{
    std::sort(cuts.begin(), cuts.end());
    cuts.push_back(bytes.size());
    Parser parser(1024);
    std::string input;
    std::size_t at = 0;
    for (const std::size_t cut : cuts) {
        input += bytes.substr(at, cut - at);
        at = cut;
        const std::size_t used = parser.feed(input);
        input.erase(0, used);
        if (parser.fault() || parser.isDone()) {
            break;
        }
    }
    return {parser.fault() ? parser.fault()->status : 0, parser.isDone(), parser.head().target, parser.fault() ? "" : parser.body()};
}

/// Almost valid messages: fragments of valid ones in random order and number.
rc::Gen<std::string> almostValidMessage()
{
    const std::vector<std::string> pieces = {
        "POST /a/b HTTP/1.1\r\n",
        "GET / HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\n",
        "Host: h\r\n",
        "Content-Length: 3\r\n",
        "Content-Length: 0\r\n",
        "Transfer-Encoding: chunked\r\n",
        "X-Request-Id: 1\r\n",
        "X-Prompt-Prefix: a:1,b\r\n",
        "\r\n",
        "3\r\nabc\r\n",
        "0\r\n\r\n",
        "abc",
        "\r",
        "\n",
        "X-Token-Counts: 1,\r\n",
        "Connection: close\r\n",
        ": \r\n",
        "\x01",
        "ff\r\n",
    };
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces)),
                        [](const std::vector<std::string> &chosen) {
                            std::string text;
                            for (const std::string &piece : chosen) {
                                text += piece;
                            }
                            return text;
                        });
}

rc::Gen<std::vector<std::size_t>> genCuts(std::size_t size)
{
    return rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, size + 1));
}

template<typename Action>
void ignoringExceptions(Action action)
{
    try {
        action();
    } catch (const std::exception &) {
        // Decoders reject invalid bytes with an exception.
    }
}

} // namespace

int main()
{
    bool passed = rc::check("a request's outcome does not depend on how its bytes arrive", [] {
        const std::string bytes = *almostValidMessage();
        const auto cuts = *genCuts(bytes.size());
        const parse_result whole = parse<request_parser>(bytes, {});
        const parse_result split = parse<request_parser>(bytes, cuts);
        RC_ASSERT(whole.done == split.done);
        // In an incomplete head, whether a fault is detected may depend on the split.
        if (bytes.find("\r\n\r\n") != std::string::npos) {
            RC_ASSERT((whole.fault == 0) == (split.fault == 0));
        }
        RC_ASSERT(whole.body == split.body);
    });
    passed = rc::check("an answer's outcome does not depend on how its bytes arrive",
                       [] {
                           const std::string bytes = *almostValidMessage();
                           const auto cuts = *genCuts(bytes.size());
                           const parse_result whole = parse<answer_parser>(bytes, {});
                           const parse_result split = parse<answer_parser>(bytes, cuts);
                           RC_ASSERT(whole.done == split.done);
                           RC_ASSERT(whole.body == split.body);
                       })
             && passed;
    passed = rc::check("decoding arbitrary bytes throws or returns a value",
                       [] {
                           const auto bytes = *rc::gen::string<std::string>();
                           ignoringExceptions([&] { platform::decodeRules(bytes); });
                           ignoringExceptions([&] { platform::decodePage(bytes, 1); });
                           ignoringExceptions([&] { platform::decodeChanges(bytes, 1); });
                           ignoringExceptions([&] { platform::decodeHeldParts(bytes); });
                           ignoringExceptions([&] { decodeGossipMessage(bytes); });
                           ignoringExceptions([&] { decompressMessage(bytes); });
                           ignoringExceptions([&] { decodeDatagram(bytes.data(), bytes.size()); });
                           std::string why;
                           platform::decodeUpstream({"i", 1, bytes, false}, why);
                       })
             && passed;
    passed = rc::check("a caller cannot set the header fields that routers set",
                       [] {
                           http_head head;
                           head.method = "POST";
                           head.target = "/a/";
                           const std::vector<std::string> names
                               = {"X-Tenant", "x-tenant",    "X-Credential",      "X-Hold",       "Kv-From", "Kv-Fetch",
                                  "X-Pin-Ms", "X-Kv-Backup", "X-Expect-Instance", "X-Deadline-Ms"};
                           for (const std::string &name : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(names))) {
                               head.fields.push_back({name, "forged"});
                           }
                           entry_effect::start_attempt attempt;
                           attempt.instance = "i";
                           RC_ASSERT(platform::request_codec().encodeAttempt(head, 0, attempt, std::nullopt).find("forged")
                                     == std::string::npos);
                       })
             && passed;
    return passed ? 0 : 1;
}
