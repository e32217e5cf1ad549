// Decisions of entry_core: refusals, retries, timeouts, resumed streams, pauses and cache queries.
#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;

BOOST_FIXTURE_TEST_SUITE(entry_core_suite, entry_fixture)

BOOST_AUTO_TEST_CASE(request_noRules_isRefusedAsNotRunWithRetryAfter)
{
    request("read");
    BOOST_TEST(refusedFor() == "no_rules");
    BOOST_TEST(infoOf(refusal_reason::noRules).status == 503);
    BOOST_TEST(effect<entry_effect::refuse>()->retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(request_unknownPath_isNoRoute)
{
    start(1, 1);
    request("nowhere");
    BOOST_TEST(refusedFor() == "no_route");
}

BOOST_AUTO_TEST_CASE(request_missingOrWrongKey_isRefused)
{
    start(1, 1);
    request("read", {}, 3s, nullptr);
    BOOST_TEST(refusedFor() == "unknown_key");
    request("read", {}, 3s, "other");
    BOOST_TEST(refusedFor() == "unknown_key");
}

BOOST_AUTO_TEST_CASE(request_publicRoute_needsNoKeyAndNamesNoAccount)
{
    start(1, 1);
    request("open", {}, 3s, nullptr);
    BOOST_REQUIRE(effect<entry_effect::start_attempt>() != nullptr);
    BOOST_TEST(effect<entry_effect::start_attempt>()->account.empty());
    request("read");
    BOOST_TEST(effect<entry_effect::start_attempt>()->account == "account");
}

BOOST_AUTO_TEST_CASE(request_noUpstream_isRefusedAtOnce)
{
    start(1, 0);
    request("booking");
    BOOST_TEST(refusedFor() == "no_upstream");
    BOOST_TEST((*effect<entry_effect::refuse>()->retryAfter > 0ms));
}

BOOST_AUTO_TEST_CASE(rules_olderVersion_isIgnored)
{
    start(1, 1);
    auto older = std::make_shared<traffic_rules>();
    older->version = 4;
    older->index();
    apply(entry_event::rules_changed {older});
    BOOST_TEST(core.rules()->version == 5);
    request("read");
    BOOST_TEST(sentTo() == "desk-0");
}

BOOST_AUTO_TEST_CASE(attempt_timeLeft_isTheShorterOfDeadlineAndTimeout)
{
    start(1, 1);
    request("read", {}, 800ms);
    BOOST_TEST((effect<entry_effect::start_attempt>()->timeLeft == 800ms));
    request("read", {}, 20s);
    BOOST_TEST((effect<entry_effect::start_attempt>()->timeLeft == 1500ms));
}

BOOST_AUTO_TEST_CASE(nonIdempotent_connectionLost_isNeverSentAgain)
{
    start(1, 3);
    const exchange_id id = request("booking");
    fail(id, attempt_failure::lost);
    BOOST_TEST(refusedFor() == "upstream_failed");
    BOOST_TEST(infoOf(refusal_reason::upstreamFailed).status == 502);
    BOOST_TEST(!infoOf(refusal_reason::upstreamFailed).promisesNotRun);
}

BOOST_AUTO_TEST_CASE(nonIdempotent_damagedAnswer_isNeverSentAgain)
{
    start(1, 3);
    const exchange_id id = request("booking");
    fail(id, attempt_failure::damaged);
    BOOST_TEST(sentTo() == "nobody");
    BOOST_TEST(refusedFor() == "upstream_failed");
}

BOOST_AUTO_TEST_CASE(nonIdempotent_nothingSent_isSentToAnotherUpstream)
{
    start(1, 3);
    const exchange_id id = request("booking");
    const std::string first = sentTo();
    fail(id, attempt_failure::unreachable);
    BOOST_TEST(sentTo() != "nobody");
    BOOST_TEST(sentTo() != first);
}

BOOST_AUTO_TEST_CASE(nonIdempotent_upstreamRefused_isRefusedAsNotRun)
{
    start(1, 3);
    const exchange_id id = request("booking");
    answer(id, 503, true);
    BOOST_TEST(refusedFor() == "upstream_refused");
    BOOST_TEST(infoOf(refusal_reason::upstreamRefused).status == 503);
}

BOOST_AUTO_TEST_CASE(nonIdempotent_503WithoutNotRun_becomes502)
{
    start(1, 3);
    const exchange_id id = request("booking");
    answer(id, 503, false);
    BOOST_TEST(refusedFor() == "upstream_failed");
}

BOOST_AUTO_TEST_CASE(nonIdempotent_500_isRelayed)
{
    start(1, 3);
    const exchange_id id = request("booking");
    answer(id, 500);
    BOOST_TEST(effect<entry_effect::relay_answer>() != nullptr);
}

BOOST_AUTO_TEST_CASE(success_withoutSignature_isNotRelayed)
{
    start(1, 3);
    const exchange_id id = request("booking");
    answer(id, 200, false, false);
    BOOST_TEST(effect<entry_effect::relay_answer>() == nullptr);
    BOOST_TEST(refusedFor() == "upstream_failed");
}

BOOST_AUTO_TEST_CASE(idempotent_500_isRetriedOnceThenRelayed)
{
    start(1, 3);
    for (int i = 0; i < 50; ++i) {
        const exchange_id answered = request("read");
        answer(answered, 200);
        apply(entry_event::answer_finished {answered});
    }
    const exchange_id id = request("read");
    const std::string first = sentTo();
    answer(id, 500);
    BOOST_TEST(sentTo() != "nobody");
    BOOST_TEST(sentTo() != first);
    answer(id, 500);
    BOOST_TEST(effect<entry_effect::relay_answer>() != nullptr);
}

BOOST_AUTO_TEST_CASE(idempotent_overdue_isSentToAnotherUpstream)
{
    start(1, 3);
    request("read");
    const std::string first = sentTo();
    tickAt(100ms);
    BOOST_TEST(sentTo() == "nobody");
    tickAt(200ms);
    BOOST_TEST(effect<entry_effect::stop_attempt>() != nullptr);
    BOOST_TEST(sentTo() != "nobody");
    BOOST_TEST(sentTo() != first);
}

BOOST_AUTO_TEST_CASE(nonIdempotent_overdue_waitsForItsAnswer)
{
    start(1, 3);
    const exchange_id id = request("booking");
    tickAt(1400ms);
    BOOST_TEST(effect<entry_effect::stop_attempt>() == nullptr);
    answer(id, 200);
    BOOST_TEST(effect<entry_effect::relay_answer>() != nullptr);
}

BOOST_AUTO_TEST_CASE(timeout_sentRequest_endsWith504WithoutRetryAfter)
{
    start(1, 3);
    request("booking");
    tickAt(1501ms);
    BOOST_TEST(effect<entry_effect::stop_attempt>() != nullptr);
    BOOST_TEST(refusedFor() == "timeout_unknown");
    BOOST_TEST(!effect<entry_effect::refuse>()->retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(timeout_runningStream_isCut)
{
    start(3, 0);
    const exchange_id id = request("brief", {{1, 100}, {2, 10}});
    answer(id, 200);
    tickAt(12001ms);
    BOOST_TEST(effect<entry_effect::cut_answer>() != nullptr);
    BOOST_TEST(core.openExchanges() == 0);
}

BOOST_AUTO_TEST_CASE(callerLeft_runningAttempt_isStopped)
{
    start(3, 0);
    const exchange_id id = request("brief");
    apply(entry_event::caller_left {id});
    BOOST_TEST(effect<entry_effect::stop_attempt>() != nullptr);
    BOOST_TEST(core.openExchanges() == 0);
}

BOOST_AUTO_TEST_CASE(streamBroken_resumable_isResumedAtAnotherUpstream)
{
    start(3, 0);
    const exchange_id id = request("reply", {{1, 100}, {2, 10}});
    const std::string first = sentTo();
    answer(id, 200);
    apply(entry_event::answer_progressed {id});
    apply(entry_event::stream_broken {id});
    BOOST_REQUIRE(effect<entry_effect::start_attempt>() != nullptr);
    BOOST_TEST(effect<entry_effect::start_attempt>()->isResume);
    BOOST_TEST(sentTo() != first);
}

BOOST_AUTO_TEST_CASE(streamBrokenAtItsBeginning_byAnEngineThatIsUp_isResumedAtAnotherUpstream)
{
    start(3, 0);
    const exchange_id id = request("reply", {{1, 100}, {2, 10}});
    const std::string first = sentTo();
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    BOOST_REQUIRE(effect<entry_effect::check_upstream>() != nullptr);
    BOOST_TEST(sentTo() == "nobody");
    apply(entry_event::upstream_checked {effect<entry_effect::check_upstream>()->upstream, false});
    BOOST_REQUIRE(effect<entry_effect::start_attempt>() != nullptr);
    BOOST_TEST(effect<entry_effect::start_attempt>()->isResume);
    BOOST_TEST(sentTo() != first);
}

// Guards against a prompt that crashed an engine being carried to the next one by the router itself.
BOOST_AUTO_TEST_CASE(streamBrokenAtItsBeginning_byAnEngineThatIsDown_isCut)
{
    start(3, 0);
    const exchange_id id = request("reply", {{1, 100}, {2, 10}});
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    BOOST_REQUIRE(effect<entry_effect::check_upstream>() != nullptr);
    apply(entry_event::upstream_checked {effect<entry_effect::check_upstream>()->upstream, true});
    BOOST_TEST(sentTo() == "nobody");
    BOOST_TEST(effect<entry_effect::cut_answer>() != nullptr);
}

// Guards against sound requests losing their second attempt with an engine that crashed on another prompt.
BOOST_AUTO_TEST_CASE(streamBrokenAtItsBeginning_ofAPromptThatEnginesSurvived_isResumedAtOnce)
{
    start(3, 0);
    const exchange_id before = request("reply", {{1, 100}, {2, 10}});
    answer(before, 200);
    apply(entry_event::answer_finished {before});
    const exchange_id id = request("reply", {{1, 100}, {3, 10}});
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    BOOST_TEST(effect<entry_effect::check_upstream>() != nullptr);
    BOOST_TEST(sentTo() != "nobody");
}

// A connection that went silent says nothing about the process behind it: a VM without power must not cast suspicion.
BOOST_AUTO_TEST_CASE(streamBrokenAtItsBeginning_bySilence_checksNoUpstream)
{
    start(3, 0);
    const exchange_id id = request("reply", {{1, 100}, {2, 10}});
    answer(id, 200);
    apply(entry_event::stream_broken {id, attempt_failure::silent});
    BOOST_TEST(effect<entry_effect::check_upstream>() == nullptr);
    BOOST_TEST(sentTo() != "nobody");
}

BOOST_AUTO_TEST_CASE(quarantinedPrompt_isRefusedAtOnceAsNotRunWithTheTimeToComeBack)
{
    start(3, 0);
    part_evidence evidence {7, 1, std::nullopt, {{1, 10ms, 1s}, {2, 2s, 3s}, {3, 4s, 5s}}};
    apply(entry_event::part_evidence_received {{evidence}});
    request("reply", {{1, 100}, {7, 50}, {2, 10}});
    BOOST_TEST(refusedFor() == "quarantined");
    const auto *refused = effect<entry_effect::refuse>();
    BOOST_TEST(infoOf(refused->reason).promisesNotRun);
    BOOST_TEST((refused->retryAfter.value_or(0ms) > 1s));
    request("reply", {{1, 100}, {7, 50}}); // the last part of a prompt belongs to its request alone
    BOOST_TEST(sentTo() != "nobody");
}

// Guards against a request waiting in vain for this router's turn to try its prompt, which comes after it would be refused.
BOOST_AUTO_TEST_CASE(suspectedPrompt_whoseTurnComesTooLate_isRefusedAtOnce)
{
    start(3, 0);
    const std::vector<std::string> routers {"self", "other-1", "other-2", "other-3", "other-4", "other-5", "other-6", "other-7"};
    apply(entry_event::routers_changed {routers});
    for (std::uint64_t part = 100; part < 120; ++part) {
        apply(entry_event::part_evidence_received {{part_evidence {part, 1, std::nullopt, {{1, 0ms, 1s}}}}});
        request("reply", {{1, 100}, {part, 50}, {2, 10}});
        const auto *refused = effect<entry_effect::refuse>();
        BOOST_TEST((sentTo() != "nobody" || refused != nullptr)); // turns are 0.3 s apart, the request waits for 0.125 s at most
        BOOST_TEST((refused == nullptr || refused->retryAfter.value_or(0ms) >= 300ms));
    }
}

BOOST_AUTO_TEST_CASE(suspectedPrompt_isSentOneRequestAtATime)
{
    start(3, 0);
    apply(entry_event::part_evidence_received {{part_evidence {7, 1, std::nullopt, {{1, 4s, 5s}}}}});
    const exchange_id first = request("reply", {{1, 100}, {7, 50}, {2, 10}});
    BOOST_TEST(sentTo() != "nobody");
    request("reply", {{1, 100}, {7, 50}, {3, 10}});
    BOOST_TEST(sentTo() == "nobody");
    BOOST_TEST(refusedFor() == "nothing");
    answer(first, 200);
    apply(entry_event::answer_progressed {first});
    BOOST_TEST(sentTo() != "nobody");
}

BOOST_AUTO_TEST_CASE(streamBroken_notResumable_isCut)
{
    start(3, 0);
    const exchange_id id = request("brief");
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    BOOST_TEST(sentTo() == "nobody");
    BOOST_TEST(effect<entry_effect::cut_answer>() != nullptr);
}

// The caller already has the head of a successful answer, so an error status cannot be sent any more.
BOOST_AUTO_TEST_CASE(resumedStream_errorAnswer_isCutAndNotRelayed)
{
    start(3, 0);
    const exchange_id id = request("reply");
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    answer(id, 500);
    BOOST_TEST(effect<entry_effect::relay_answer>() == nullptr);
    BOOST_TEST(effect<entry_effect::cut_answer>() != nullptr);
}

BOOST_AUTO_TEST_CASE(resumedStream_connectionFails_isCutAndNotRefused)
{
    start(3, 0);
    const exchange_id id = request("reply");
    answer(id, 200);
    apply(entry_event::stream_broken {id});
    fail(id, attempt_failure::lost);
    BOOST_TEST(effect<entry_effect::refuse>() == nullptr);
    BOOST_TEST(effect<entry_effect::cut_answer>() != nullptr);
}

BOOST_AUTO_TEST_CASE(leavingUpstream_getsNothingNew)
{
    start(0, 2);
    upstream_record leaving = record("desk-0", "desk", 6);
    leaving.isLeaving = true;
    apply(entry_event::upstream_listed {leaving});
    for (int i = 0; i < 5; ++i) {
        request("read");
        BOOST_TEST(sentTo() == "desk-1");
    }
}

BOOST_AUTO_TEST_CASE(closedDomain_getsNothingNewUntilItReopens)
{
    start(0, 1);
    apply(entry_event::closures_changed {{"domain"}});
    request("read");
    BOOST_TEST(refusedFor() == "no_upstream");
    apply(entry_event::closures_changed {{}});
    request("read");
    BOOST_TEST(sentTo() == "desk-0");
}

BOOST_AUTO_TEST_CASE(unlistedUpstream_withGrace_servesUntilItIsOver)
{
    start(0, 1);
    apply(entry_event::upstream_unlisted {"desk-0", 2s});
    request("read");
    BOOST_TEST(sentTo() == "desk-0");
    tickAt(1s);
    tickAt(2100ms);
    request("read");
    BOOST_TEST(refusedFor() == "no_upstream");
}

BOOST_AUTO_TEST_CASE(drain_longAfterItsStart_refusesAsNotRun)
{
    start(0, 1);
    apply(entry_event::drain_requested {});
    request("read");
    BOOST_TEST(sentTo() == "desk-0");
    now = time_point(3s);
    request("read");
    BOOST_TEST(refusedFor() == "draining");
    BOOST_TEST(infoOf(refusal_reason::draining).promisesNotRun);
}

BOOST_AUTO_TEST_CASE(retryBudget_usedUp_stopsRetries)
{
    start(0, 3);
    unsigned retries = 0;
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        const exchange_id id = request("read");
        answer(id, 500);
        retries += sentTo() == "nobody" ? 0 : 1;
        if (sentTo() != "nobody") {
            answer(id, 500);
        }
        apply(entry_event::answer_finished {id});
    }
    // The fleet's bound is 0.2 per request plus 50.
    BOOST_TEST(retries <= 0.2 * 400 + 50);
    BOOST_TEST(retries >= 50U);
}

BOOST_AUTO_TEST_CASE(retryBudget_manyRouters_sharesTheSlack)
{
    start(0, 3);
    std::vector<std::string> live;
    for (int i = 0; i < 10; ++i) {
        live.push_back("router-" + std::to_string(i));
    }
    apply(entry_event::routers_changed {live});
    unsigned retries = 0;
    for (int i = 0; i < 20; ++i) {
        const exchange_id id = request("read");
        answer(id, 500);
        retries += sentTo() == "nobody" ? 0 : 1;
        apply(entry_event::caller_left {id});
    }
    BOOST_TEST(retries <= 0.2 * 20 + 5);
}

BOOST_AUTO_TEST_CASE(connections_boundOfAnUpstream_isSharedByTheRouters)
{
    rules->services[1].maxConnections = 20;
    start(0, 1);
    apply(entry_event::routers_changed {{"a", "b", "c", "self"}});
    unsigned sent = 0;
    for (int i = 0; i < 10; ++i) {
        request("booking");
        sent += sentTo() == "nobody" ? 0 : 1;
    }
    BOOST_TEST(sent == 4U); // a quarter of four fifths of 20
}

BOOST_AUTO_TEST_CASE(queryCaches_firstStartOfTheSystem_queriesNoEngine)
{
    start(3, 0);
    tickAt(2s);
    BOOST_TEST(effect<entry_effect::list_held_parts>() == nullptr);
}

BOOST_AUTO_TEST_CASE(queryCaches_restart_queriesEnginesWithUnknownCaches)
{
    core = entry_core({"self", "domain", {}, true});
    start(3, 1);
    apply(entry_event::prompt_locations_received {{{hashText("engine-0"), {7}}}});
    tickAt(10ms);
    BOOST_TEST(effect<entry_effect::list_held_parts>() == nullptr);
    tickAt(900ms);
    unsigned queried = 0;
    for (const entry_core::effect &each : effects) {
        if (const auto *listed = std::get_if<entry_effect::list_held_parts>(&each)) {
            ++queried;
            BOOST_TEST(listed->instance != "engine-0");
        }
    }
    BOOST_TEST(queried == 2);
    tickAt(1800ms);
    BOOST_TEST(effect<entry_effect::list_held_parts>() == nullptr);
}

// Guards against skipping the cache query (found on plpic-tally-grown after a power loss of all routers): the first requests after
// the start made every engine count as known, so no router asked for the parts that it had cached before.
BOOST_AUTO_TEST_CASE(queryCaches_ownRequestsSinceTheStart_doNotPreventTheQuery)
{
    core = entry_core({"self", "domain", {}, true});
    start(1, 0);
    tickAt(10ms);
    request("brief", {{1, 500}, {2, 9000}, {3, 100}});
    BOOST_TEST(sentTo() == "nobody"); // waits for the caches, not longer than a part of its target
    BOOST_TEST(!core.hasCacheState(now));
    apply(entry_event::load_update_received {{"other", {}, {{hashText("engine-0"), {1, 2}}}}});
    tickAt(60ms);
    BOOST_TEST(effect<entry_effect::list_held_parts>() != nullptr);
    tickAt(900ms);
    BOOST_TEST(sentTo() == "engine-0");
    BOOST_TEST(core.hasCacheState(now));
}

BOOST_AUTO_TEST_CASE(leavingInAnAnswer_upstream_getsNoRequestsWhateverTheListSays)
{
    start(0, 2);
    const exchange_id id = request("read");
    const std::string leavingInstance = sentTo();
    answer_summary leavingAnswer {200, false, true, std::nullopt};
    leavingAnswer.isLeaving = true;
    apply(entry_event::answer_received {id, leavingAnswer});
    list(leavingInstance, "desk", 6); // its entry changed, but does not say yet that it is leaving
    for (int i = 0; i < 5; ++i) {
        request("read");
        BOOST_TEST(sentTo() != leavingInstance);
    }
    upstream_record restarted = record(leavingInstance, "desk", 6);
    restarted.incarnation = 1;
    apply(entry_event::upstream_listed {restarted});
    request("read");
    BOOST_TEST(sentTo() == leavingInstance); // idle, while the other one is busy
}

// Guards against requests at an upstream that leaves, after a write from before its announcement was executed late.
BOOST_AUTO_TEST_CASE(leavingInItsEntry_olderEntryReadLater_getsNoRequestsUntilTheNextIncarnation)
{
    start(0, 2);
    upstream_record entry = record("desk-0", "desk", 6);
    entry.incarnation = 5;
    entry.isLeaving = true;
    apply(entry_event::upstream_listed {entry});
    entry.isLeaving = false;
    apply(entry_event::upstream_listed {entry});
    for (int i = 0; i < 5; ++i) {
        request("read");
        BOOST_TEST(sentTo() == "desk-1");
    }
    entry.incarnation = 6;
    apply(entry_event::upstream_listed {entry});
    request("read");
    BOOST_TEST(sentTo() == "desk-0"); // idle, while the other one is busy
}

// Guards against the same after its entry was removed: what the upstream had announced was forgotten with the entry.
BOOST_AUTO_TEST_CASE(leavingInAnAnswer_entryRemovedAndListedAgain_getsNoRequests)
{
    start(0, 1);
    upstream_record entry = record("desk-1", "desk", 6);
    entry.incarnation = 5;
    apply(entry_event::upstream_listed {entry});
    exchange_id id = request("read");
    while (sentTo() != "desk-1") {
        id = request("read");
    }
    answer_summary leavingAnswer {200, false, true, std::nullopt};
    leavingAnswer.isLeaving = true;
    apply(entry_event::answer_received {id, leavingAnswer});
    apply(entry_event::upstream_unlisted {"desk-1"});
    apply(entry_event::upstream_listed {entry});
    for (int i = 0; i < 5; ++i) {
        request("read");
        BOOST_TEST(sentTo() == "desk-0");
    }
}

BOOST_AUTO_TEST_CASE(leavingFromAnotherRouter_upstream_getsNoRequests)
{
    start(0, 2);
    load_update update {"other", {}, {}, {{hashText("desk-0"), 0}, {hashText("desk-1"), 7}}}; // an earlier incarnation of desk-1
    apply(entry_event::load_update_received {update});
    for (int i = 0; i < 5; ++i) {
        request("read");
        BOOST_TEST(sentTo() == "desk-1");
    }
    BOOST_TEST(core.upstreams().ownLoad(now).leaving.size() == 1U);
    BOOST_TEST(core.upstreams().ownLoad(now + 60s).leaving.empty());
}

BOOST_AUTO_TEST_CASE(pauseRequested_onlyUpstream_getsNoRequestsAndRetryAfterIsSet)
{
    start(0, 1);
    const exchange_id id = request("read");
    answer_summary pauseAnswer {503, true, false, std::nullopt};
    pauseAnswer.pauseFor = 2s;
    apply(entry_event::answer_received {id, pauseAnswer});
    now += 100ms;
    request("read");
    BOOST_TEST(sentTo() == "nobody");
    BOOST_TEST(refusedFor() == "no_room"); // at once, as the pause is longer than the request may wait
    BOOST_TEST((effect<entry_effect::refuse>()->retryAfter.value() == 1900ms));
}

BOOST_AUTO_TEST_CASE(pauseOver_upstream_isHalfOpenUntilAnAnswer)
{
    start(0, 1);
    answer_summary pauseAnswer {503, true, false, std::nullopt};
    pauseAnswer.pauseFor = 2s;
    apply(entry_event::answer_received {request("read"), pauseAnswer});
    tickAt(1s); // a longer gap would count as a pause of the process
    tickAt(2s);
    const exchange_id first = request("read");
    BOOST_TEST(sentTo() == "desk-0");
    request("read");
    BOOST_TEST(sentTo() == "nobody");
    answer(first, 200);
    tickAt(2010ms);
    BOOST_TEST(sentTo() == "desk-0");
}

// An earlier attempt may have run, so the router must not promise "not run" because a later upstream refused the request.
BOOST_AUTO_TEST_CASE(answerLostThenRefused_idempotentRequest_isNotReportedAsNotRun)
{
    start(0, 2);
    const exchange_id id = request("read");
    fail(id, attempt_failure::lost);
    BOOST_REQUIRE(sentTo() != "nobody");
    answer(id, 503, true);
    BOOST_TEST(refusedFor() == "upstream_failed");
}

BOOST_AUTO_TEST_CASE(serverFaultThenUnreachable_idempotentRequest_isNotReportedAsNotRun)
{
    start(0, 2);
    const exchange_id id = request("read");
    answer(id, 500);
    BOOST_REQUIRE(sentTo() != "nobody");
    fail(id, attempt_failure::unreachable);
    BOOST_REQUIRE(refusedFor() != "nothing");
    BOOST_TEST(refusedFor() == "upstream_failed");
}

BOOST_AUTO_TEST_CASE(overdueThenRefused_idempotentRequest_isNotReportedAsNotRun)
{
    start(0, 2);
    const exchange_id id = request("read");
    tickAt(250ms);
    BOOST_REQUIRE(sentTo() != "nobody");
    answer(id, 503, true);
    BOOST_TEST(refusedFor() == "timeout_unknown");
}

// Guards against acting on stale state: a process that was stopped for some seconds continues with requests that arrived meanwhile,
// before it gets the changes that it missed.
BOOST_AUTO_TEST_CASE(pausedProcess_unverifiedState_sendsNothing)
{
    for (const duration pause : {2s, 5s, 20s}) {
        core = entry_core(entry_options {"self", "domain", {}, false});
        start(0, 1);
        tickAt(now.time_since_epoch() + 100ms);
        now += pause;
        request("booking");
        BOOST_TEST(sentTo() == "nobody");
        BOOST_TEST(refusedFor() == "nothing");
        upstream_record leaving = record("desk-0", "desk", 6);
        leaving.isLeaving = true;
        apply(entry_event::upstream_listed {leaving}); // what it missed
        apply(entry_event::state_verified {});
        BOOST_TEST(sentTo() == "nobody");
        tickAt(now.time_since_epoch() + 100ms);
        BOOST_TEST(refusedFor() == "no_upstream");
    }
}

BOOST_AUTO_TEST_CASE(pausedProcess_verifiedState_sendsAtOnce)
{
    start(0, 1);
    tickAt(100ms);
    now += 5s;
    request("booking");
    BOOST_TEST(sentTo() == "nobody");
    apply(entry_event::state_verified {});
    BOOST_TEST(sentTo() == "desk-0");
}

BOOST_AUTO_TEST_CASE(pausedProcess_noOtherRouter_sendsAfterTheTimeout)
{
    start(0, 1);
    tickAt(100ms);
    now += 5s;
    request("brief");
    now += 400ms;
    request("booking");
    BOOST_TEST(sentTo() == "desk-0");
}

// Guards against a request that waits for a permit at an old upstream when the order moves on, and is sent there afterwards: the old
// upstreams may stop at any time then.
BOOST_AUTO_TEST_CASE(permit_grantedAfterAllRequestsMovedToANewVersion_isNotUsed)
{
    core = entry_core(entry_options {"self", "domain", {}, false, {}, rollout_bounds {}});
    addRoute("transfer", request_kind::nonIdempotent, "desk", 300ms, 10s, 2, 1);
    rules->index();
    start(0, 0);
    apply(entry_event::routers_changed {{"self", "other"}});
    const auto listVersion = [&](const std::string &instance, const std::string &version) {
        upstream_record listed = record(instance, "desk", 6);
        listed.version = version;
        apply(entry_event::upstream_listed {listed});
    };
    entry_event::limits_received stated;
    for (unsigned i = 0; i < 8; ++i) {
        listVersion("old-" + std::to_string(i), "v1");
        stated.statements.push_back({limitedUpstreamOf("old-" + std::to_string(i), 0), 50.0, 0ms});
    }
    apply(stated);
    std::optional<permit_request> asked;
    for (unsigned i = 0; i < 20 && !asked; ++i) {
        request("transfer");
        if (const auto *message = effect<entry_effect::send_permit_message>()) {
            asked = std::get<permit_request>(message->message);
        }
    }
    BOOST_REQUIRE(asked.has_value());
    rollout_order order;
    order.service = "desk";
    order.target = "v2";
    order.ramp = 12s;
    order.id = 1ULL << 32;
    order.status = rollout_status::shift;
    apply(entry_event::rollout_ordered {order});
    listVersion("new-0", "v2");
    for (unsigned i = 0; i < 2; ++i) { // until the share of the new version has grown to all requests
        now += 1s;
        apply(entry_event::routers_changed {{"self", "other"}});
    }
    apply(entry_event::permit_answered {{asked->number, asked->statement, true, 0ms, asked->claim}});
    BOOST_TEST(sentTo() == "new-0");
}

// Guards against a second attempt at an old upstream after all requests have moved to a new version: the old ones may stop at any time.
BOOST_AUTO_TEST_CASE(retry_afterAllRequestsMovedToANewVersion_doesNotGoBack)
{
    core = entry_core(entry_options {"self", "domain", {}, false, {}, rollout_bounds {}});
    start(0, 0);
    rollout_order order;
    order.service = "desk";
    order.target = "v2";
    order.ramp = 12s;
    order.status = rollout_status::shift;
    apply(entry_event::rollout_ordered {order});
    for (const auto &[instance, version] : {std::pair {"old-0", "v1"}, std::pair {"new-0", "v2"}}) {
        upstream_record listed = record(instance, "desk", 6);
        listed.version = version;
        apply(entry_event::upstream_listed {listed});
    }
    tickAt(now.time_since_epoch() + 1s); // until the share of the new version has grown to all requests
    tickAt(now.time_since_epoch() + 1s);
    const exchange_id id = request("read");
    BOOST_TEST(sentTo() == "new-0");
    fail(id, attempt_failure::damaged);
    BOOST_TEST(sentTo() == "nobody");
    apply(entry_event::upstream_unlisted {"new-0", 0ms});
    request("read");
    BOOST_TEST(sentTo() == "old-0");
}

BOOST_AUTO_TEST_SUITE_END()
