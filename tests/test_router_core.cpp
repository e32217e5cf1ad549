// Router reducer: guards against retries that are not allowed, attempts at closed or leaving upstreams, routing tokens
// that affect more than cache reuse, and chats that move to other engines when views differ or reports are late.
#include <nutmegtally/router_core.h>

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

struct router_fixture {
    router_core core {router_options {}};
    time_point now;
    std::vector<router_core::effect> effects;
    model_id model = model_id::fromName("tally-llm");
    service_id service = service_id::fromName("dispatch-app");
    std::uint64_t nextRequest = 1;

    router_fixture()
    {
        configure({});
        for (const char *name : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
            changeUpstream(name, upstream_state::live);
        }
    }

    void configure(const std::string &closedDomain, std::uint64_t version = 1)
    {
        auto config = std::make_shared<fleet_config>();
        config->version = version;
        config->domains[domain_id::fromName("d1")] = {"d1", "r", domain_state::open, ""};
        if (!closedDomain.empty()) {
            config->domains[domain_id::fromName(closedDomain)] = {closedDomain, "r", domain_state::closed, ""};
        }
        class_config quick;
        quick.model = model;
        config->classes[class_id::fromName("quick")] = quick;
        apply(router_event::config_changed {config});
    }

    static std::string domainOf(const std::string &name)
    {
        return name < "e4" ? "d1" : "d2";
    }

    void changeUpstream(const std::string &name, upstream_state state, std::uint64_t incarnation = 1)
    {
        upstream_info info;
        info.upstream = upstream_id::fromName(name);
        info.name = name;
        info.domain = domain_id::fromName(domainOf(name));
        if (name.front() == 's') {
            info.service = service;
        } else {
            info.model = model;
        }
        info.incarnation = incarnation;
        info.state = state;
        apply(router_event::upstream_changed {info});
    }

    void apply(const router_core::event &event)
    {
        effects.clear();
        core.apply(now, event, effects);
    }

    request_info chat(const std::string &name, std::string token = {}) const
    {
        request_info info;
        info.workClass = class_id::fromName("quick");
        info.chat = chat_id::fromName(name);
        info.model = model;
        info.promptTokens = 4000;
        info.token = std::move(token);
        info.deadline = now + 30s;
        return info;
    }

    template<typename Effect>
    const Effect *find() const
    {
        for (const router_core::effect &effect : effects) {
            if (const Effect *found = std::get_if<Effect>(&effect)) {
                return found;
            }
        }
        return nullptr;
    }

    router_effect::send_attempt sendRequest(const request_info &info)
    {
        apply(router_event::request_arrived {request_id(nextRequest++), info});
        const auto *sent = find<router_effect::send_attempt>();
        BOOST_REQUIRE(sent != nullptr);
        return *sent;
    }

    load_report reportWithLoad(std::uint32_t running) const
    {
        load_report report;
        report.incarnation = 1;
        report.running = running;
        report.window = 64;
        return report;
    }

    void finish(const router_effect::send_attempt &sent, std::uint32_t running, std::uint32_t cached = 0)
    {
        apply(router_event::attempt_finished {sent.attempt, reportWithLoad(running), cached, 4000});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(router_suite, router_fixture)

BOOST_AUTO_TEST_CASE(router_returningChat_goesToTokenEngine)
{
    const auto first = sendRequest(chat("c"));
    finish(first, 1);
    BOOST_TEST((sendRequest(chat("c", first.nextToken)).upstream == first.upstream));
}

// A forged or damaged token must cost nothing but cache reuse.
BOOST_AUTO_TEST_CASE(router_forgedToken_routesToHome)
{
    const auto home = sendRequest(chat("c"));
    finish(home, 1);
    for (const std::string &token : {std::string("x"), std::string(88, '0'), home.nextToken.substr(1) + "0"}) {
        const auto sent = sendRequest(chat("c", token));
        BOOST_TEST((sent.upstream == home.upstream));
        finish(sent, 1);
    }
}

BOOST_AUTO_TEST_CASE(router_closedDomain_getsNoAttempt)
{
    configure("d1", 2);
    for (int i = 0; i < 50; ++i) {
        const auto sent = sendRequest(chat("c" + std::to_string(i)));
        BOOST_TEST((core.findPool(model)->slots[core.findPool(model)->find(sent.upstream)].info.domain == domain_id::fromName("d2")));
    }
}

BOOST_AUTO_TEST_CASE(router_olderConfiguration_isIgnored)
{
    configure("d1", 2);
    configure("", 1);
    BOOST_TEST(core.findPool(model)->usableCount == 3U);
}

BOOST_AUTO_TEST_CASE(router_refusalNotRun_triesAnotherUpstream)
{
    const auto first = sendRequest(chat("c"));
    apply(router_event::attempt_refused {first.attempt, {error_code::overloaded, 10ms}, {}});
    const auto *second = find<router_effect::send_attempt>();
    BOOST_REQUIRE(second != nullptr);
    BOOST_TEST((second->upstream != first.upstream));
    BOOST_TEST(second->attempt.attempt == 2U);
}

// Without a retry budget, an overloaded fleet would get every request several times.
BOOST_AUTO_TEST_CASE(router_retryBudgetEmpty_answersRefusalAtOnce)
{
    unsigned refused = 0;
    for (int i = 0; i < 20; ++i) {
        const auto sent = sendRequest(chat("c" + std::to_string(i)));
        apply(router_event::attempt_refused {sent.attempt, {error_code::overloaded, 700ms}, {}});
        if (const auto *reply = find<router_effect::reply_error>()) {
            ++refused;
            BOOST_TEST((reply->state == run_state::notRun));
            BOOST_TEST((reply->retryAfter >= 700ms));
        }
    }
    BOOST_TEST(refused == 17U); // retryBudgetFloor allows three retries
}

BOOST_AUTO_TEST_CASE(router_bookingMayHaveRun_isNotSentAgain)
{
    changeUpstream("s1", upstream_state::live);
    changeUpstream("s2", upstream_state::live);
    request_info info;
    info.kind = work_kind::booking;
    info.service = service;
    info.idempotencyKey = "k";
    info.deadline = now + 10s;
    const auto sent = sendRequest(info);
    apply(router_event::attempt_failed {sent.attempt, run_state::unknown, false});
    BOOST_TEST(find<router_effect::send_attempt>() == nullptr);
    const auto *reply = find<router_effect::reply_error>();
    BOOST_REQUIRE(reply != nullptr);
    BOOST_TEST((reply->state == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(router_startedAnswerBreaks_isNotSentAgain)
{
    const auto sent = sendRequest(chat("c"));
    apply(router_event::attempt_started {sent.attempt, reportWithLoad(1)});
    apply(router_event::attempt_failed {sent.attempt, run_state::unknown, true});
    BOOST_TEST(find<router_effect::send_attempt>() == nullptr);
    BOOST_TEST((find<router_effect::reply_error>()->code == error_code::streamLost));
}

BOOST_AUTO_TEST_CASE(router_bookingAtWrongOwner_followsOwner)
{
    changeUpstream("s1", upstream_state::live);
    changeUpstream("s2", upstream_state::live);
    request_info info;
    info.kind = work_kind::booking;
    info.service = service;
    info.idempotencyKey = "k";
    info.deadline = now + 10s;
    const auto sent = sendRequest(info);
    const upstream_id owner = upstream_id::fromName(sent.upstream == upstream_id::fromName("s1") ? "s2" : "s1");
    apply(router_event::attempt_refused {sent.attempt, {error_code::notOwner, 0ms}, owner});
    BOOST_TEST((find<router_effect::send_attempt>()->upstream == owner));
    BOOST_TEST((sendRequest(info).upstream == owner));
}

BOOST_AUTO_TEST_CASE(router_deadlinePassed_answersOnce)
{
    sendRequest(chat("c"));
    now += 31s;
    apply(router_event::tick {});
    BOOST_TEST((find<router_effect::reply_error>()->code == error_code::deadlineExceeded));
    BOOST_TEST(find<router_effect::cancel_attempt>() != nullptr);
    apply(router_event::tick {});
    BOOST_TEST(effects.empty());
}

// An engine that fails all requests has the lowest load and would attract every request.
BOOST_AUTO_TEST_CASE(router_failedUpstream_pausesAndReturns)
{
    const auto first = sendRequest(chat("c"));
    apply(router_event::attempt_failed {first.attempt, run_state::unknown, false});
    for (int i = 0; i < 30; ++i) {
        BOOST_TEST((sendRequest(chat("n" + std::to_string(i))).upstream != first.upstream));
    }
    now += 5s;
    apply(router_event::tick {});
    BOOST_TEST(core.findPool(model)->usableCount == 6U);
}

// Without damping, a flapping engine would get its chats back each time it returns.
BOOST_AUTO_TEST_CASE(router_flappingUpstream_keepsPenaltyAcrossAbsence)
{
    for (std::uint64_t i = 1; i <= 3; ++i) {
        changeUpstream("e1", upstream_state::gone, i);
        changeUpstream("e1", upstream_state::live, i + 1);
    }
    const upstream_pool &pool = *core.findPool(model);
    const upstream_slot &slot = pool.slots[pool.find(upstream_id::fromName("e1"))];
    BOOST_TEST(penaltyAt(slot, now) > 2.0);
    BOOST_TEST(penaltyAt(slot, now + 30s) < 0.6 * penaltyAt(slot, now));
}

// A cache event must only correct the expected prefix length, also if it is late or names an unknown engine.
BOOST_AUTO_TEST_CASE(router_lateCacheEvent_doesNotBlockRouting)
{
    const auto first = sendRequest(chat("c"));
    finish(first, 1);
    apply(router_event::cache_reported {upstream_id::fromName("missing"), chat_id::fromName("c"), 4000});
    BOOST_TEST((sendRequest(chat("c", first.nextToken)).upstream == first.upstream));
}

// A chat that moved while its failure domain was closed must stay where it is after the reopening: moving back would
// lose its cached prefix a second time.
BOOST_AUTO_TEST_CASE(router_reopenedDomain_movedChatStays)
{
    std::string name;
    router_effect::send_attempt home;
    for (int i = 0; name.empty(); ++i) {
        home = sendRequest(chat("c" + std::to_string(i)));
        finish(home, 1);
        const upstream_pool &pool = *core.findPool(model);
        if (pool.slots[pool.find(home.upstream)].info.domain == domain_id::fromName("d1")) {
            name = "c" + std::to_string(i);
        }
        BOOST_REQUIRE(i < 100);
    }
    configure("d1", 2);
    request_info second = chat(name, home.nextToken);
    second.promptTokens = 4500; // each turn repeats the chat so far and adds to it
    const auto moved = sendRequest(second);
    finish(moved, 1, 0);
    configure("", 3);
    BOOST_TEST((moved.upstream != home.upstream));
    request_info third = chat(name, moved.nextToken);
    third.promptTokens = 5000;
    BOOST_TEST((sendRequest(third).upstream == moved.upstream));
}

BOOST_AUTO_TEST_SUITE_END()
