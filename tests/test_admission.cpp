// Admission reducer: guards against work beyond the window or the load bound, a wrong notRun, unfair queueing and work
// started in a closed failure domain.
#include <nutmegtally/admission.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

struct admission_fixture {
    admission_options options;
    std::optional<admission_core> core;
    time_point now;
    std::vector<admission_core::effect> effects;
    std::uint64_t nextRequest = 1;

    admission_fixture()
    {
        options.domain = domain_id::fromName("d1");
        create();
    }

    void create()
    {
        core.emplace(options);
        configure(domain_state::open, 1);
    }

    void configure(domain_state state, std::uint64_t version)
    {
        auto config = std::make_shared<fleet_config>();
        config->version = version;
        config->domains[options.domain] = {"d1", "r", state, ""};
        class_config quick;
        quick.priority = 0;
        quick.target.firstToken = 570ms;
        config->classes[class_id::fromName("quick")] = quick;
        class_config draft;
        draft.target.firstToken = 10s;
        config->classes[class_id::fromName("draft")] = draft;
        apply(admission_event::config_changed {config});
    }

    void apply(const admission_core::event &event)
    {
        effects.clear();
        core->apply(now, event, effects);
    }

    /// Produces tokens of one answer at a constant interval, so that the mean interval is known.
    attempt_ref runAtNormalPace()
    {
        options.initialWindow = 16;
        create();
        const attempt_ref running = offer();
        apply(admission_event::first_token {running});
        for (int i = 0; i < 40; ++i) {
            now += 10ms;
            apply(admission_event::token {running});
        }
        return running;
    }

    attempt_ref offer(const char *workClass = "draft", const char *account = "a", double mean = 0)
    {
        admission_event::work_offered offered;
        offered.attempt = {request_id(nextRequest++), 1};
        offered.info.workClass = class_id::fromName(workClass);
        offered.info.account = account_id::fromName(account);
        offered.info.promptTokens = 100;
        offered.info.deadline = now + 30s;
        if (mean > 0) {
            offered.mean = {mean, 5, 0ms};
        }
        apply(offered);
        return offered.attempt;
    }

    template<typename Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const admission_core::effect &effect : effects) {
            if (const Effect *match = std::get_if<Effect>(&effect)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    std::optional<error_code> refusal() const
    {
        const auto refused = all<admission_effect::refuse_work>();
        return refused.empty() ? std::nullopt : std::optional(refused.back().reason.code);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_suite, admission_fixture)

BOOST_AUTO_TEST_CASE(admission_coldUpstream_neverBeyondWindow)
{
    for (int i = 0; i < 10; ++i) {
        offer();
        const load_report report = core->report(now);
        BOOST_TEST(report.running + report.queued <= report.window);
    }
    BOOST_TEST((refusal() == error_code::upstreamCold));
}

BOOST_AUTO_TEST_CASE(admission_refusal_namesTimeToComeBack)
{
    offer();
    offer();
    offer();
    BOOST_REQUIRE(refusal());
    BOOST_TEST((all<admission_effect::refuse_work>().front().reason.retryAfter > 0ms));
}

BOOST_AUTO_TEST_CASE(admission_loadAtBound_refuses)
{
    options.initialWindow = 100;
    create();
    for (int i = 0; i < 10; ++i) {
        offer("draft", "a", 8.0);
        BOOST_TEST(!refusal());
    }
    offer("draft", "a", 8.0);
    BOOST_TEST((refusal() == error_code::overloaded));
}

BOOST_AUTO_TEST_CASE(admission_closedDomain_refusesNotRun)
{
    configure(domain_state::closed, 2);
    offer();
    BOOST_TEST((refusal() == error_code::domainClosed));
    configure(domain_state::open, 1);
    offer();
    BOOST_TEST((refusal() == error_code::domainClosed));
}

BOOST_AUTO_TEST_CASE(admission_draining_finishesRunningWork)
{
    const attempt_ref first = offer();
    apply(admission_event::drain_requested {});
    BOOST_TEST(all<admission_effect::drained>().empty());
    offer();
    BOOST_TEST((refusal() == error_code::upstreamLeaving));
    apply(admission_event::work_finished {first, true, 5});
    BOOST_TEST(all<admission_effect::drained>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(admission_newIncarnation_startsSmallAgain)
{
    options.initialWindow = 50;
    options.maxWindow = 50;
    create();
    apply(admission_event::upstream_restarted {2});
    BOOST_TEST(core->report(now).window == 50U);
    BOOST_TEST(core->report(now).cold);
    BOOST_TEST(core->report(now).incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(admission_runningWorkCancelled_cancelsAtUpstream)
{
    const attempt_ref first = offer();
    apply(admission_event::work_cancelled {first});
    BOOST_TEST(all<admission_effect::cancel_work>().size() == 1U);
    BOOST_TEST(core->report(now).running == 0U);
}

// Guards against the failure in scenario p2-cold-start: an engine becomes cold without notice, and queued work is
// still sent to it until the first tokens are late.
BOOST_AUTO_TEST_CASE(tokens_becomeSlow_holdWaitingWorkBeforeAnyFirstTokenIsLate)
{
    const attempt_ref running = runAtNormalPace();
    offer();
    BOOST_TEST(all<admission_effect::start_work>().size() == 1U); // tokens come at the normal interval
    now += 60ms; // the next token is overdue; nothing else has changed
    offer();
    BOOST_TEST(all<admission_effect::start_work>().size() == 0U);
    now += 5ms;
    apply(admission_event::token {running}); // a slow token
    BOOST_TEST(all<admission_effect::start_work>().size() == 0U);
    now += 10ms;
    apply(admission_event::token {running}); // normal again: it was only a short stall
    BOOST_TEST(all<admission_effect::start_work>().size() == 1U);
    BOOST_TEST(core->report(now).window == 16U);
}

BOOST_AUTO_TEST_CASE(tokens_staySlow_collapseTheWindow)
{
    const attempt_ref running = runAtNormalPace();
    bool collapsed = false;
    for (int i = 0; i < 4 && !collapsed; ++i) {
        now += 50ms;
        apply(admission_event::token {running});
        collapsed = std::any_of(effects.begin(), effects.end(), [](const admission_core::effect &effect) {
            const auto *record = std::get_if<log_record>(&effect);
            return record != nullptr && record->event == log_event::windowCollapsed;
        });
    }
    BOOST_TEST(collapsed);
}

BOOST_AUTO_TEST_SUITE_END()
