#include "decay.h"
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

log_record record(log_event event, log_line &line)
{
    return {event, line.take()};
}

/// Weighted choice of one of the route's services by the hash of the request id, so that a retry by the caller at another
/// router goes to the same service.
const std::string &serviceFor(const route_rule &route, const std::string &requestId)
{
    double total = 0;
    for (const service_share &share : route.shares) {
        total += share.weight;
    }
    const double unit = static_cast<double>(hashText(requestId, 1) >> 11) / static_cast<double>(1ULL << 53);
    double left = unit * total;
    for (const service_share &share : route.shares) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return route.shares.back().service;
}

} // namespace

log_line entry_core::attemptLogLine(time_point now, const exchange &work) const
{
    const upstream_entry *upstream = m_upstreams.find(work.upstream);
    log_line line;
    line.with("request", work.request.requestId)
        .with("upstream", upstream ? std::string_view(upstream->record.instance) : "gone")
        .with("after_ms", now - work.sentAt);
    return line;
}

void entry_core::addAnswerEnd(log_line &line, const answer_end &end)
{
    line.with("framing", nameOf(end.framing)).with("unfinished_bytes", end.unfinishedBytes);
}

entry_core::entry_core(entry_options options)
    : m_options(std::move(options))
    , m_upstreams(m_options.domain, m_options.mechanisms)
    , m_cacheRecovery(m_options.queriesCaches && m_options.mechanisms.has(mechanism::cacheQueries))
    , m_quarantine(hashText(m_options.name))
    , m_rollouts(m_options.rollouts, m_options.name)
    , m_order(schemeFor(m_options.mechanisms))
{
    m_upstreams.setRouters(m_options.name, {});
    m_limits.setRouters(m_options.name, {});
}

void entry_core::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    detectPause(now, effects);
    std::visit([&](const auto &each) { on(now, each, effects); }, input);
}

void entry_core::on(time_point now, const entry_event::rules_changed &input, std::vector<effect> &effects)
{
    const std::uint64_t before = m_rules ? m_rules->version : 0;
    log_line line;
    line.with("version", input.rules->version).with("previous", before);
    if (m_rules && input.rules->version <= before) {
        effects.push_back(record(log_event::configurationIgnored, line));
        return;
    }
    m_rules = input.rules;
    line.with("routes", m_rules->routes.size()).with("accounts", m_rules->accounts.size());
    effects.push_back(record(log_event::configurationApplied, line));
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::upstream_listed &input, std::vector<effect> &effects)
{
    const bool isChanged = m_upstreams.upsert(input.record, now);
    const upstream_record &listed = m_upstreams.find(input.record.instance)->record;
    m_rollouts.listUpstream(
        {listed.instance, listed.service, listed.version, listed.domain, listed.slots, listed.isLeaving, listed.listedAt}, now);
    if (!isChanged) {
        return;
    }
    log_line line;
    line.with("upstream", listed.instance)
        .with("service", listed.service)
        .with("address", listed.address)
        .with("domain", listed.domain)
        .with("version", listed.version)
        .with("leaving", listed.isLeaving)
        .with("cold_ms", listed.coldFor);
    effects.push_back(record(listed.isLeaving ? log_event::upstreamLeaving : log_event::upstreamListed, line));
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::upstream_unlisted &input, std::vector<effect> &effects)
{
    m_upstreams.remove(input.instance, now, input.grace);
    if (input.grace.count() == 0) {
        m_limits.forget(limitedUpstreamOf(input.instance, 0).key);
        m_rollouts.unlistUpstream(input.instance);
    }
    log_line line;
    line.with("upstream", input.instance).with("grace_ms", input.grace);
    effects.push_back(record(log_event::upstreamUnlisted, line));
}

void entry_core::on(time_point now, const entry_event::closures_changed &input, std::vector<effect> &effects)
{
    m_upstreams.setClosedDomains({input.domains.begin(), input.domains.end()});
    m_rollouts.setClosedDomains({input.domains.begin(), input.domains.end()});
    std::string names;
    for (const std::string &domain : input.domains) {
        names += (names.empty() ? "" : ",") + domain;
    }
    log_line line;
    line.with("closed", names);
    effects.push_back(record(log_event::domainsClosed, line));
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::routers_changed &input, std::vector<effect> &effects)
{
    const std::size_t before = m_upstreams.routers();
    m_upstreams.setRouters(m_options.name, input.live);
    m_quarantine.setRouters(hashesOf(input.live));
    m_limits.setRouters(m_options.name, input.live);
    m_rollouts.setRouters(input.live);
    m_order.setRouters(m_upstreams.routers());
    log_line line;
    line.with("live", m_upstreams.routers()).with("previous", before);
    effects.push_back(record(log_event::routersChanged, line));
    static_cast<void>(now);
}

void entry_core::on(time_point, const entry_event::role_changed &input, std::vector<effect> &effects)
{
    if (m_upstreams.setLeader(input.isLeader)) {
        m_rollouts.forgetUpdates();
        m_order.forgetUpdates();
    }
    log_line line;
    line.with("lead", input.isLeader);
    effects.push_back(record(log_event::roleChanged, line));
}

void entry_core::on(time_point now, const entry_event::request_received &input, std::vector<effect> &effects)
{
    exchange &work = m_exchanges[input.exchange];
    work.request = input.request;
    work.rules = m_rules;
    work.arrivedAt = now;
    work.deadlineAt = now + input.request.deadline;
    work.timeoutAt = work.deadlineAt;
    if (!m_rules) {
        refuse(now, input.exchange, work, refusal_reason::noRules, effects);
        return;
    }
    work.route = m_rules->match(input.request.host, input.request.path);
    if (work.route == nullptr) {
        refuse(now, input.exchange, work, refusal_reason::noRoute, effects);
        return;
    }
    work.priority = work.route->priority;
    if (m_rules->needsKeys() && !work.route->isPublic) {
        const account_rule *account = input.request.key ? m_rules->accountFor(*input.request.key) : nullptr;
        if (account == nullptr) {
            refuse(now, input.exchange, work, refusal_reason::unknownKey, effects);
            return;
        }
        work.account = account->name;
        work.priority = account->hasPriority ? account->priority : work.priority;
    }
    if (m_drainingSince && now - *m_drainingSince > limits::drainAcceptTime) {
        refuse(now, input.exchange, work, refusal_reason::draining, effects);
        return;
    }
    if (work.route->timeout.count() > 0) {
        work.timeoutAt = std::min(work.deadlineAt, now + work.route->timeout);
    }
    work.service = serviceFor(*work.route, input.request.requestId);
    work.queueUntil = std::min(work.timeoutAt - limits::minAttemptTime, now + scaled(work.route->target, limits::queueTargetShare));
    m_retryBudgets[work.service].addRequest(now);
    noteArrival(now, input.exchange, work);
    queryCaches(now, effects);
    placeOrWait(now, input.exchange, work, effects);
}

bool entry_core::place(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects)
{
    if (!passesQuarantine(now, id, work)) {
        return false;
    }
    if (m_unverifiedUntil && now < *m_unverifiedUntil) {
        work.lastPlacement = placement_outcome::unverified;
        return false;
    }
    if (awaitsCacheState(now, work)) {
        work.lastPlacement = placement_outcome::cachesUnknown;
        return false;
    }
    if (!isTurnOf(now, id, work)) {
        return false;
    }
    static const prompt_parts noParts;
    const prompt_parts &parts = work.route->carriesPrompt ? work.request.parts : noParts;
    placement_query wanted;
    wanted.service = work.service;
    // A suspected prompt goes where the fewest requests would be lost with the engine, wherever it is cached.
    wanted.parts = work.route->carriesPrompt && !work.isSuspected ? &parts : nullptr;
    wanted.tieBreak = hashText(work.request.requestId, work.sends);
    wanted.tried = &work.tried;
    wanted.limits = m_limits.isEmpty() ? nullptr : &m_limits;
    wanted.claim = claimOf(work);
    wanted.target = work.route->target;
    for (;;) {
        wanted.avoidsLimits = work.permitDenials >= limits::maxPermitDenials;
        const placement choice = chooseAllowed(now, wanted, work);
        work.lastPlacement = choice.outcome;
        work.pausedUntil = choice.pausedUntil;
        work.limitedPerSecond = choice.limitedPerSecond;
        if (choice.outcome != placement_outcome::chosen) {
            return false;
        }
        const permit_result permit = obtainPermit(now, id, work, choice, effects);
        if (permit == permit_result::granted) {
            startAttempt(now, id, work, choice, effects);
        }
        if (permit != permit_result::denied) {
            return true;
        }
        ++work.permitDenials;
    }
}

void entry_core::startAttempt(time_point now, exchange_id id, exchange &work, const placement &choice, std::vector<effect> &effects)
{
    static const prompt_parts noParts;
    const prompt_parts &parts = work.route->carriesPrompt ? work.request.parts : noParts;
    const upstream_entry &upstream = *m_upstreams.find(choice.upstream);
    if (work.sends > 0) {
        m_retryBudgets[work.service].addRetry(now);
    }
    ++work.sends;
    work.state = phase::sent;
    work.upstream = choice.upstream;
    work.tried.push_back(choice.upstream);
    work.sentAt = now;
    work.awaitsFirstEvent = true;
    work.isPastStart = false;
    work.wasOverdue = false;
    work.prefillTokens = choice.prefillTokens;
    noteVersionStart(work, upstream, choice);
    noteAdmission(now, id, work);
    work.size = m_upstreams.start(choice.upstream, parts, work.prefillTokens, work.request.promptTokens + work.request.outputTokens, now);
    work.size.isMeasurable = work.size.isMeasurable && choice.fetchFrom.empty() && !work.isResume;

    entry_effect::start_attempt attempt;
    attempt.exchange = id;
    attempt.instance = upstream.record.instance;
    attempt.address = upstream.record.address;
    attempt.timeLeft = work.timeoutAt - now;
    attempt.priority = m_options.mechanisms.has(mechanism::requestPriority) ? work.priority : limits::neutralPriority;
    attempt.account = work.account;
    attempt.isStream = work.route->kind == request_kind::streaming;
    attempt.isResumable = work.route->isResumable;
    attempt.isResume = work.isResume;
    attempt.fetchFrom = choice.fetchFrom;
    effects.push_back(attempt);

    log_line line;
    line.with("request", work.request.requestId)
        .with("route", work.route->name)
        .with("version", work.rules->version)
        .with("upstream", upstream.record.instance)
        .with("send", work.sends)
        .with("score_ms", choice.score)
        .with("load", choice.load)
        .with("slowness", choice.slowness)
        .with("limit_per_s", m_limits.limitOf(upstream.limitKey()).value_or(0))
        .with("load_age_ms", choice.loadAge)
        .with("candidates", choice.candidates)
        .with("context", affinityKeyOf(parts))
        .with("cached_tokens", choice.cachedTokens)
        .with("fetch_tokens", choice.fetchTokens)
        .with("prompt_tokens", work.request.promptTokens)
        .with("waited_ms", now - work.arrivedAt)
        .with("returned", work.isReturned)
        .with("left_ms", attempt.timeLeft);
    effects.push_back(record(log_event::attemptStarted, line));
}

bool entry_core::mayRetry(time_point now, exchange &work, std::vector<effect> &effects)
{
    if (work.sends == 0) {
        return true;
    }
    if (work.sends >= work.route->maxUpstreams || work.timeoutAt - now < limits::minAttemptTime) {
        return false;
    }
    if (!m_retryBudgets[work.service].allows(now, m_options.retries, m_upstreams.routers())) {
        log_line line;
        line.with("request", work.request.requestId).with("service", work.service).with("routers", m_upstreams.routers());
        effects.push_back(record(log_event::retryBudgetEmpty, line));
        return false;
    }
    return true;
}

void entry_core::endAttempt(time_point now, exchange &work, attempt_result result)
{
    m_upstreams.finish(work.upstream, work.prefillTokens, work.request.promptTokens + work.request.outputTokens, work.awaitsFirstEvent);
    m_upstreams.recordResult(work.upstream, result, now);
    if (const upstream_entry *upstream = m_upstreams.find(work.upstream)) {
        m_rollouts.recordEnd(work.service, upstream->record.version, now - work.sentAt, now);
    }
    work.upstream = noUpstreamNumber;
    work.awaitsFirstEvent = false;
}

void entry_core::applyUpstreamSignals(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects)
{
    if (answer.isLeaving && m_upstreams.markLeaving(work.upstream, now)) {
        log_line line = attemptLogLine(now, work);
        line.with("said_by", "answer");
        effects.push_back(record(log_event::upstreamLeaving, line));
    }
    if (answer.pauseFor) {
        m_upstreams.pause(work.upstream, *answer.pauseFor, now);
        log_line line = attemptLogLine(now, work);
        line.with("pause_ms", *answer.pauseFor);
        effects.push_back(record(log_event::upstreamPaused, line));
    }
    recordLimit(now, work, answer, effects);
}

void entry_core::on(time_point now, const entry_event::answer_received &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end() || found->second.state != phase::sent) {
        return;
    }
    exchange &work = found->second;
    const answer_summary &answer = input.answer;
    recordLoad(now, work, answer, effects);
    applyUpstreamSignals(now, work, answer, effects);
    log_line line = attemptLogLine(now, work);
    line.with("status", answer.status).with("not_run", answer.notRun).with("signed", answer.isSigned);
    if (answer.requestsPerSecond) {
        line.with("limit_per_s", *answer.requestsPerSecond);
    }
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    if (answer.notRun) {
        effects.push_back(record(log_event::attemptRefused, line));
        endAttempt(now, work, attempt_result::refused);
        work.lastFailure = refusal_reason::upstreamRefused;
        work.state = phase::waiting;
        if (mayRetry(now, work, effects)) {
            placeOrWait(now, input.exchange, work, effects);
        } else {
            refuse(now, input.exchange, work, refusal_reason::upstreamRefused, effects);
        }
        return;
    }
    if (work.isResume && !isSuccess) {
        effects.push_back(record(log_event::attemptFailed, line));
        countVersionAnswer(now, work, answer_quality::bad);
        endAttempt(now, work, attempt_result::failed);
        cut(now, input.exchange, work, "resume_failed", effects);
        return;
    }
    const bool isServerFault = answer.status >= 500 || answer.status == 429 || answer.status == 408 || answer.status == 421;
    if (isServerFault || (isSuccess && !answer.isSigned)) {
        effects.push_back(record(log_event::attemptFailed, line));
        countVersionAnswer(now, work, answer_quality::bad);
        work.lastFailure = refusal_reason::upstreamFailed;
        work.mayHaveRun = refusal_reason::upstreamFailed;
        if (work.route->mayRepeat() && mayRetry(now, work, effects)) {
            endAttempt(now, work, attempt_result::failed);
            work.state = phase::waiting;
            placeOrWait(now, input.exchange, work, effects);
            return;
        }
        // Statuses that promise that the request did not run must not be relayed.
        const bool isRelayable
            = answer.isSigned && !isSuccess && answer.status != 503 && answer.status != 429 && answer.status != 408 && answer.status != 421;
        if (!isRelayable) {
            endAttempt(now, work, attempt_result::failed);
            refuse(now, input.exchange, work, refusal_reason::upstreamFailed, effects);
            return;
        }
        m_upstreams.recordResult(work.upstream, attempt_result::failed, now);
    } else {
        work.wasOverdue = false;
        effects.push_back(record(log_event::answerReceived, line));
        noteGoodAnswer(now, work, isSuccess);
    }
    work.state = phase::relaying;
    work.isSuccess = isSuccess;
    effects.push_back(entry_effect::relay_answer {input.exchange});
}

void entry_core::on(time_point now, const entry_event::attempt_failed &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end() || found->second.state != phase::sent) {
        return;
    }
    exchange &work = found->second;
    log_line line = attemptLogLine(now, work);
    line.with("failure", nameOf(input.failure));
    effects.push_back(record(log_event::attemptFailed, line));
    const bool wasSent = input.failure != attempt_failure::unreachable;
    if (wasSent) {
        countVersionAnswer(now, work, input.failure == attempt_failure::damaged ? answer_quality::bad : answer_quality::broken);
    }
    noteVersionUnreachable(work, input.failure);
    checkUpstream(work, input.failure, effects);
    endAttempt(now, work, wasSent ? attempt_result::lost : attempt_result::unreachable);
    work.state = phase::waiting;
    if (!wasSent) {
        --work.sends;
        if (work.sends == 0) {
            work.lastFailure = refusal_reason::noUpstream;
        }
    } else {
        work.lastFailure = refusal_reason::upstreamFailed;
        work.mayHaveRun = refusal_reason::upstreamFailed;
        if (!work.route->mayRepeat() || !mayRetry(now, work, effects)) {
            refuse(now, input.exchange, work, refusal_reason::upstreamFailed, effects);
            return;
        }
    }
    if (work.checkedUpstream == noUpstreamNumber) {
        placeOrWait(now, input.exchange, work, effects);
    }
}

void entry_core::on(time_point now, const entry_event::stream_broken &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end() || found->second.state != phase::relaying) {
        return;
    }
    exchange &work = found->second;
    log_line line = attemptLogLine(now, work);
    addAnswerEnd(line, input.end);
    effects.push_back(record(log_event::streamBroken, line));
    countVersionAnswer(now, work, input.failure == attempt_failure::damaged ? answer_quality::bad : answer_quality::broken);
    checkUpstream(work, input.failure, effects);
    endAttempt(now, work, attempt_result::lost);
    if (m_options.mechanisms.has(mechanism::streamResumption) && work.route->isResumable && mayRetry(now, work, effects)) {
        work.isResume = true;
        work.state = phase::waiting;
        if (work.checkedUpstream != noUpstreamNumber || place(now, input.exchange, work, effects)) {
            return;
        }
    }
    cut(now, input.exchange, work, "stream_broken", effects);
}

void entry_core::on(time_point now, const entry_event::answer_finished &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    exchange &work = found->second;
    if (work.isSuccess) {
        recordSurvival(now, work, effects);
    }
    endAttempt(now, work, attempt_result::unknown);
    log_line line;
    line.with("request", work.request.requestId)
        .with("route", work.route->name)
        .with("after_ms", now - work.arrivedAt)
        .with("sends", work.sends);
    addAnswerEnd(line, input.end);
    effects.push_back(record(log_event::requestAnswered, line));
    report(now, work, "answered", "", effects);
    finish(input.exchange);
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::answer_progressed &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end() || found->second.state != phase::relaying) {
        return;
    }
    found->second.isPastStart = true;
    recordSurvival(now, found->second, effects);
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::caller_left &input, std::vector<effect> &effects)
{
    const auto found = m_exchanges.find(input.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    exchange &work = found->second;
    if (work.upstream != noUpstreamNumber) {
        effects.push_back(entry_effect::stop_attempt {input.exchange});
        endAttempt(now, work, attempt_result::unknown);
    }
    log_line line;
    line.with("request", work.request.requestId).with("after_ms", now - work.arrivedAt).with("sends", work.sends);
    effects.push_back(record(log_event::callerGone, line));
    report(now, work, "left", "", effects);
    finish(input.exchange);
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::load_update_received &input, std::vector<effect> &)
{
    m_upstreams.applyUpdate(input.update, input.isCounted, now);
    m_rollouts.applyUpdate(input.update, input.isCounted, input.isSubstitute, input.covers.empty() ? input.update.source : input.covers,
                           now);
    m_order.applyUpdate(input.update, input.isCounted && m_options.mechanisms.has(mechanism::peerLoad), now);
}

void entry_core::detectPause(time_point now, std::vector<effect> &effects)
{
    if (m_lastEventAt && now - *m_lastEventAt >= limits::minProcessPause) {
        m_unverifiedUntil = now + limits::verifyTimeout;
        log_line line;
        line.with("pause_ms", now - *m_lastEventAt).with("waits_ms", limits::verifyTimeout);
        effects.push_back(record(log_event::stateUnverified, line));
    }
    m_lastEventAt = now;
}

void entry_core::on(time_point now, const entry_event::state_verified &, std::vector<effect> &effects)
{
    if (m_unverifiedUntil) {
        m_unverifiedUntil.reset();
        placeWaiting(now, effects);
    }
}

void entry_core::on(time_point now, const entry_event::drain_requested &, std::vector<effect> &)
{
    if (!m_drainingSince) {
        m_drainingSince = now;
    }
}

void entry_core::on(time_point now, const entry_event::tick &, std::vector<effect> &effects)
{
    for (const std::string &instance : m_upstreams.expire(now)) {
        m_rollouts.unlistUpstream(instance);
        log_line line;
        line.with("upstream", instance).with("grace_ms", 0);
        effects.push_back(record(log_event::upstreamUnlisted, line));
    }
    m_quarantine.tick(now);
    logChanges(effects);
    std::erase_if(m_trials, [this](const auto &trial) { return !m_exchanges.contains(trial.second); });
    queryCaches(now, effects);
    updateRollouts(now, effects);
    reportAdmission(now, effects);
    placeWaiting(now, effects);
    for (const exchange_id id : openIds()) {
        const auto found = m_exchanges.find(id);
        if (found != m_exchanges.end()) {
            checkTimeouts(now, id, found->second, effects);
        }
    }
}

std::vector<exchange_id> entry_core::openIds() const
{
    std::vector<exchange_id> ids;
    ids.reserve(m_exchanges.size());
    for (const auto &[id, work] : m_exchanges) {
        ids.push_back(id);
    }
    return ids;
}

void entry_core::checkTimeouts(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects)
{
    if (work.state == phase::waiting && work.permit) {
        if (now >= work.permit->until) {
            m_limits.recordSilence(work.permit->issuer, now);
            placeAfterPermit(now, id, work, effects);
        }
        return;
    }
    if (work.state == phase::waiting) {
        if (now >= (work.checkedUpstream == noUpstreamNumber ? work.queueUntil : work.timeoutAt)) {
            refuseUnplaced(now, id, work, effects);
        }
        return;
    }
    if (now >= work.timeoutAt) {
        effects.push_back(entry_effect::stop_attempt {id});
        const bool relaying = work.state == phase::relaying;
        countVersionAnswer(now, work, answer_quality::bad);
        endAttempt(now, work, relaying ? attempt_result::unknown : attempt_result::overdue);
        if (relaying) {
            cut(now, id, work, "timeout", effects);
        } else {
            refuse(now, id, work, refusal_reason::timeoutUnknown, effects);
        }
        return;
    }
    if (work.state != phase::sent || work.wasOverdue) {
        return;
    }
    const bool isStream = work.route->kind == request_kind::streaming;
    const duration overdueAfter = scaled(work.route->target, isStream ? limits::overdueStreamTargets : limits::overdueTargetShare);
    if (now - work.sentAt < overdueAfter) {
        return;
    }
    work.wasOverdue = true;
    log_line line = attemptLogLine(now, work);
    effects.push_back(record(log_event::attemptOverdue, line));
    countVersionAnswer(now, work, answer_quality::bad);
    const bool mayResend = m_options.mechanisms.has(mechanism::overdueResend) && work.route->mayRepeat();
    if (!mayResend || !mayRetry(now, work, effects)) {
        m_upstreams.recordResult(work.upstream, attempt_result::overdue, now);
        return;
    }
    effects.push_back(entry_effect::stop_attempt {id});
    learnSpeed(now, work, true);
    endAttempt(now, work, attempt_result::overdue);
    work.lastFailure = refusal_reason::timeoutUnknown;
    work.mayHaveRun = refusal_reason::timeoutUnknown;
    work.state = phase::waiting;
    placeOrWait(now, id, work, effects);
}

void entry_core::refuse(time_point now, exchange_id id, exchange &work, refusal_reason reason, std::vector<effect> &effects)
{
    if (work.isResume) {
        cut(now, id, work, infoOf(reason).name, effects); // the caller already has the head of a successful answer
        return;
    }
    if (work.mayHaveRun && infoOf(reason).promisesNotRun) {
        reason = *work.mayHaveRun;
    }
    entry_effect::refuse answer;
    answer.exchange = id;
    answer.reason = reason;
    answer.retryAfter = retryAfter(now, id, work, reason);
    effects.push_back(answer);
    log_line line;
    line.with("request", work.request.requestId)
        .with("reason", infoOf(reason).name)
        .with("status", infoOf(reason).status)
        .with("route", work.route ? work.route->name : "")
        .with("account", work.account)
        .with("priority", work.priority)
        .with("version", work.rules ? work.rules->version : 0)
        .with("placement", nameOf(work.lastPlacement))
        .with("sends", work.sends)
        .with("after_ms", now - work.arrivedAt)
        .with("left_ms", work.deadlineAt - now)
        .with("retry_after_ms", answer.retryAfter.value_or(duration(0)));
    effects.push_back(record(log_event::requestRefused, line));
    report(now, work, "refused", infoOf(reason).name, effects);
    finish(id);
}

void entry_core::cut(time_point now, exchange_id id, exchange &work, std::string_view why, std::vector<effect> &effects)
{
    effects.push_back(entry_effect::cut_answer {id});
    log_line line;
    line.with("request", work.request.requestId).with("reason", why).with("after_ms", now - work.arrivedAt).with("sends", work.sends);
    effects.push_back(record(log_event::answerCut, line));
    report(now, work, "cut", why, effects);
    finish(id);
}

void entry_core::report(time_point now, const exchange &work, std::string_view outcome, std::string_view reason,
                        std::vector<effect> &effects) const
{
    exchange_report summary;
    summary.kind = work.route ? work.route->kind : request_kind::nonIdempotent;
    summary.outcome = outcome;
    summary.reason = reason;
    summary.took = now - work.arrivedAt;
    effects.push_back(summary);
}

void entry_core::finish(exchange_id id)
{
    if (const auto found = m_exchanges.find(id); found != m_exchanges.end() && found->second.permit) {
        m_permits.erase(found->second.permit->number);
    }
    m_order.remove(id);
    m_exchanges.erase(id);
}

} // namespace nutmegtally
