// Engines that crash on one part of a prompt: how many of them a router lets crash, and what callers of other prompts get.
#include "tests/serving_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace nutmegtally;
using namespace nutmegtally::test;

namespace
{

constexpr std::size_t engineCount = 24;
// The rule that the operators state: after the fifth crash at most three more requests with the part reach an engine.
constexpr std::size_t maxCrashes = 5 + 3;
const std::string wholeStream
    = signedHead + "Transfer-Encoding: chunked\r\n\r\n" + formatChunk("id: 1\n\nid: 2\n\n") + std::string(lastChunk);

/// Engines that crash when they begin an answer on a prompt with the part "dead", and routes with and without resumption.
struct crashing_engines_fixture : serving_fixture {
    crashing_engines_fixture()
    {
        addRoute("chat", request_kind::streaming, 1).carriesPrompt = true;
        route_rule &resumable = addRoute("resumable-chat", request_kind::streaming, 3);
        resumable.carriesPrompt = true;
        resumable.isResumable = true;
        rules->version = 2;
        rules->index();
        serving.post(entry_event::rules_changed {rules});
        for (std::size_t i = 0; i < engineCount; ++i) {
            upstream([](const std::string &request) {
                const std::string head = wholeStream.substr(0, wholeStream.find("\r\n\r\n") + 4);
                return has(request, "dead:") ? scripted_answer {head, false, false, {}, true} : scripted_answer {wholeStream};
            });
        }
    }

    std::string chat(const std::string &route, const std::string &parts)
    {
        tcp::socket client = connect();
        send(client, request(route, "r" + std::to_string(++requests), "X-Prompt-Prefix: " + parts + "\r\nConnection: close\r\n"));
        return readUntil(client, "[never]");
    }

    std::size_t crashes() const
    {
        return static_cast<std::size_t>(
            std::count_if(upstreams.begin(), upstreams.end(), [](const auto &each) { return each->hasCrashed; }));
    }

    unsigned requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(prompt_quarantine_suite, crashing_engines_fixture)

// Guards against callers' requests with one prompt part crashing engine after engine, while sound prompts with the same
// beginning are served as before.
BOOST_AUTO_TEST_CASE(partThatCrashesEngines_inManyRequests_isHeldBackAndSoundPromptsAreServed)
{
    for (unsigned i = 0; i < 12; ++i) {
        BOOST_TEST(has(chat("chat", "5a:100," + std::to_string(100 + i % 3) + ":60," + std::to_string(200 + i) + ":9"), lastChunkText));
        chat("chat", "5a:100,dead:50," + std::to_string(300 + i) + ":9");
    }
    BOOST_TEST(crashes() <= maxCrashes);
    const std::string answer = chat("chat", "7b:80,dead:50,400:9");
    BOOST_TEST(has(answer, "HTTP/1.1 503 "));
    BOOST_TEST(has(answer, "Retry-After: "));
}

// Guards against one request crashing several engines, because its stream is resumed at the next one each time.
BOOST_AUTO_TEST_CASE(partThatCrashesEngines_inAResumableStream_isNotCarriedToAnotherEngine)
{
    BOOST_TEST(has(chat("resumable-chat", "5a:100,101:60,200:9"), lastChunkText));
    chat("resumable-chat", "5a:100,dead:50,300:9");
    BOOST_TEST(crashes() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
