#include "limits.h"

#include <nutmegtally/router_core.h>

#include <algorithm>
#include <cmath>

namespace nutmegtally::detail
{

namespace
{

/// Whether another upstream may accept work that was refused with this code.
bool isRetryableElsewhere(error_code code)
{
    switch (code) {
    case error_code::overloaded:
    case error_code::targetUnreachable:
    case error_code::domainClosed:
    case error_code::upstreamLeaving:
    case error_code::upstreamCold:
    case error_code::shuttingDown:
    case error_code::configurationUnknown:
    case error_code::notOwner:
    case error_code::upstreamFailed:
        return true;
    default:
        return false;
    }
}

/// Whether the refusal corrects the router's view, so that the same upstream is not tried again. Such retries cannot
/// accumulate and are exempt from the retry budget.
bool correctsRouterView(error_code code)
{
    return code == error_code::domainClosed || code == error_code::upstreamLeaving || code == error_code::shuttingDown
           || code == error_code::notOwner;
}

/// Run state that a refusal implies: with these codes, an earlier attempt with the same key may have run.
run_state runStateOf(error_code code)
{
    const bool mayHaveRun = code == error_code::keyExpired || code == error_code::keyInProgress || code == error_code::outcomeUnknown;
    return mayHaveRun ? run_state::unknown : run_state::notRun;
}

std::uint64_t targetOf(const request_info &info)
{
    return info.model.isValid() ? info.model.value() : info.service.value();
}

} // namespace

router_base::router_base(router_options options)
    : m_options(options)
    , m_random(m_options.seed)
    , m_cacheHints(limits::cacheHintEntries)
{
}

std::optional<placement_job> router_base::handle(time_point now, const event &input, std::vector<effect> &effects)
{
    return std::visit([&](const auto &e) { return on(now, e, effects); }, input);
}

router_base::pool_key router_base::keyOf(std::uint64_t target, region_id region) const
{
    return {target, m_options.region.isValid() ? region : region_id()};
}

upstream_pool *router_base::poolFor(const request_info &info)
{
    const std::uint64_t target = targetOf(info);
    const auto own = m_pools.find(keyOf(target, m_options.region));
    if (own != m_pools.end() && own->second.usableCount > 0) {
        return &own->second;
    }
    for (auto it = m_pools.lower_bound({target, region_id()}); it != m_pools.end() && it->first.target == target; ++it) {
        if (it->second.usableCount > 0) {
            return &it->second;
        }
    }
    return own == m_pools.end() ? nullptr : &own->second;
}

const upstream_pool *router_base::findPool(model_id model, service_id service) const
{
    const auto found = m_pools.find(keyOf(model.isValid() ? model.value() : service.value(), m_options.region));
    return found == m_pools.end() ? nullptr : &found->second;
}

upstream_slot *router_base::slotOf(upstream_id upstream)
{
    const auto found = m_slotRefs.find(upstream);
    return found == m_slotRefs.end() ? nullptr : &m_pools[found->second.pool].slots[found->second.slot];
}

void router_base::addSlot(time_point now, const upstream_info &info)
{
    const std::uint64_t target = info.model.isValid() ? info.model.value() : info.service.value();
    const pool_key key = keyOf(target, info.region);
    upstream_pool &pool = m_pools[key];
    upstream_slot slot;
    slot.info = info;
    const auto flap = m_flaps.find(info.upstream);
    if (flap != m_flaps.end()) {
        slot.penalty = flap->second.penalty;
        slot.penaltyAt = flap->second.at;
    }
    m_slotRefs[info.upstream] = {key, pool.size()};
    pool.keys.push_back(info.upstream.value());
    pool.loads.push_back(0);
    pool.scaledLoads.push_back(0);
    pool.usable.push_back(0);
    pool.slots.push_back(std::move(slot));
    pool.version = ++m_poolVersion;
    refreshUsable(now, pool);
}

void router_base::removeSlot(time_point now, upstream_id upstream)
{
    const auto found = m_slotRefs.find(upstream);
    if (found == m_slotRefs.end()) {
        return;
    }
    upstream_pool &pool = m_pools[found->second.pool];
    const std::size_t slot = found->second.slot;
    const std::size_t last = pool.size() - 1;
    if (slot != last) {
        pool.keys[slot] = pool.keys[last];
        pool.loads[slot] = pool.loads[last];
        pool.scaledLoads[slot] = pool.scaledLoads[last];
        pool.slots[slot] = std::move(pool.slots[last]);
        m_slotRefs[pool.slots[slot].info.upstream].slot = slot;
    }
    pool.keys.pop_back();
    pool.loads.pop_back();
    pool.scaledLoads.pop_back();
    pool.usable.pop_back();
    pool.slots.pop_back();
    pool.version = ++m_poolVersion;
    m_slotRefs.erase(found);
    refreshUsable(now, pool);
}

void router_base::refreshUsable(time_point now)
{
    for (auto &[key, pool] : m_pools) {
        refreshUsable(now, pool);
    }
}

void router_base::refreshUsable(time_point now, upstream_pool &pool)
{
    pool.usableCount = 0;
    const auto mark = [&](bool withFailed) {
        for (std::size_t i = 0; i < pool.size(); ++i) {
            const upstream_slot &slot = pool.slots[i];
            const bool isOpen = !m_config || m_config->isOpen(slot.info.domain);
            const bool isLive = slot.info.state == upstream_state::live && isOpen && slot.avoidedUntil <= now;
            pool.usable[i] = isLive && (withFailed || slot.pausedUntil <= now) ? 1 : 0;
            pool.usableCount += pool.usable[i];
        }
    };
    mark(false);
    if (pool.usableCount == 0) {
        mark(true); // if all upstreams failed, the fault may be in this router
    }
    pool.meanAt.reset();
}

void router_base::refreshLoad(time_point now, upstream_id upstream)
{
    const auto found = m_slotRefs.find(upstream);
    if (found == m_slotRefs.end()) {
        return;
    }
    upstream_pool &pool = m_pools[found->second.pool];
    const upstream_slot &slot = pool.slots[found->second.slot];
    const bool isFresh = slot.reportedAt && now - *slot.reportedAt <= m_options.loadReportLifetime;
    const std::uint32_t reported = isFresh ? slot.report.running + slot.report.queued + slot.attemptsSinceReport : 0;
    const auto load = static_cast<float>(std::max(reported, slot.outstanding));
    pool.loads[found->second.slot] = load;
    const bool isWindowBelowMean = isFresh && slot.report.window > 0 && slot.report.window < pool.mean.load;
    pool.scaledLoads[found->second.slot]
        = isWindowBelowMean ? (load + 1) * static_cast<float>(pool.mean.load) / static_cast<float>(slot.report.window) : load;
}

const mean_load_estimate &router_base::refreshMean(time_point now, upstream_pool &pool)
{
    // In a large pool, a scan for each decision would dominate the cost of the decision.
    if (pool.meanAt
        && (now == *pool.meanAt || (pool.size() > limits::smallPoolSize && now - *pool.meanAt < limits::meanLoadRefreshInterval))) {
        return pool.mean;
    }
    pool.meanAt = now;
    pool.mean = {};
    double rateSum = 0;
    unsigned rates = 0;
    for (std::size_t i = 0; i < pool.size(); ++i) {
        const upstream_slot &slot = pool.slots[i];
        if (pool.usable[i] == 0 || !slot.reportedAt || now - *slot.reportedAt > m_options.loadReportLifetime) {
            continue;
        }
        pool.mean.load += pool.loads[i];
        ++pool.mean.samples;
        pool.mean.age = std::max(pool.mean.age, now - *slot.reportedAt);
        if (slot.report.prefillTokensPerSecond > 0) {
            rateSum += slot.report.prefillTokensPerSecond;
            ++rates;
        }
    }
    if (pool.mean.samples > 0) {
        pool.mean.load /= pool.mean.samples;
    }
    pool.prefillTokensPerSecond = rates > 0 ? rateSum / rates : 0;
    return pool.mean;
}

mean_load_estimate router_base::meanOf(time_point now, const request_info &info)
{
    upstream_pool *pool = poolFor(info);
    return pool != nullptr ? refreshMean(now, *pool) : mean_load_estimate();
}

void router_base::applyLoadReport(time_point now, upstream_id upstream, const load_report &report)
{
    upstream_slot *slot = slotOf(upstream);
    if (slot == nullptr || report.incarnation < slot->info.incarnation) {
        return;
    }
    if (report.incarnation > slot->info.incarnation) {
        slot->info.incarnation = report.incarnation;
        slot->hitRatio = 1.0;
    }
    slot->report = report;
    slot->reportedAt = now;
    slot->attemptsSinceReport = 0;
    slot->uncachedTokensSinceReport = 0;
    refreshLoad(now, upstream);
    if (upstream_pool &pool = m_pools[m_slotRefs[upstream].pool]; pool.size() <= limits::smallPoolSize) {
        pool.meanAt.reset();
    }
}

void router_base::addFlapPenalty(time_point now, upstream_id upstream, std::vector<effect> &effects)
{
    flap_record &flap = m_flaps[upstream];
    const double age = std::chrono::duration<double>(now - flap.at) / m_options.flapHalfLife;
    flap.penalty = std::min(limits::maxFlapPenalty, flap.penalty * std::exp2(-std::max(0.0, age)) + 1);
    flap.at = now;
    if (upstream_slot *slot = slotOf(upstream)) {
        slot->penalty = flap.penalty;
        slot->penaltyAt = now;
    }
    if (flap.penalty >= 2 && flap.penalty < limits::maxFlapPenalty) {
        effects.emplace_back(log_record {log_event::upstreamDamped, "upstream=" + toHex(upstream.value())});
    }
}

router_base::placement router_base::on(time_point now, const router_event::config_changed &input, std::vector<effect> &)
{
    if (input.config && (!m_config || input.config->version >= m_config->version)) {
        m_config = input.config;
        refreshUsable(now);
    }
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::upstream_changed &input, std::vector<effect> &effects)
{
    const upstream_info &info = input.info;
    upstream_slot *slot = slotOf(info.upstream);
    if (info.state == upstream_state::gone) {
        if (slot != nullptr && info.incarnation >= slot->info.incarnation) {
            const bool wasLive = slot->info.state == upstream_state::live;
            removeSlot(now, info.upstream);
            if (wasLive) {
                addFlapPenalty(now, info.upstream, effects);
            }
        }
        return {};
    }
    if (slot == nullptr) {
        addSlot(now, info);
        return {};
    }
    if (info.incarnation < slot->info.incarnation) {
        return {};
    }
    if (info.incarnation > slot->info.incarnation) {
        slot->hitRatio = 1.0;
        slot->avoidedUntil = {};
        slot->pausedUntil = {};
        addFlapPenalty(now, info.upstream, effects);
    }
    slot->info = info;
    refreshUsable(now, m_pools[m_slotRefs[info.upstream].pool]);
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::load_reported &input, std::vector<effect> &)
{
    applyLoadReport(now, input.upstream, input.report);
    return {};
}

router_base::placement router_base::on(time_point, const router_event::cache_reported &input, std::vector<effect> &)
{
    m_cacheHints[input.chat.value() % m_cacheHints.size()] = {input.chat, input.upstream, input.cachedTokens};
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::request_arrived &input, std::vector<effect> &effects)
{
    request_state &state = m_requests[input.request];
    state.info = input.info;
    if (input.info.deadline <= now) {
        finishWithError(input.request, error_code::deadlineExceeded, run_state::notRun, {}, effects);
        return {};
    }
    m_deadlines.emplace(input.info.deadline, input.request);
    if (input.info.kind == work_kind::booking) {
        const upstream_id owner = shardOwner(input.info);
        if (slotOf(owner) != nullptr) {
            sendTo(now, input.request, state, owner, duration(0), effects);
            return {};
        }
    }
    upstream_pool *pool = poolFor(input.info);
    if (pool == nullptr) {
        finishWithError(input.request, error_code::noUpstream, run_state::notRun, limits::ejectionAfterRefusal, effects);
        return {};
    }
    return makePlacementJob(now, input.request, state, *pool, duration(0));
}

placement_job router_base::makePlacementJob(time_point now, request_id request, const request_state &state, upstream_pool &pool,
                                            duration delay)
{
    placement_job job;
    job.request = request;
    job.pool = &pool;
    job.delay = delay;
    job.isService = state.info.service.isValid();
    job.input.chat = state.info.chat;
    job.input.promptTokens = state.info.promptTokens;
    job.input.candidates = std::min(m_options.candidates, limits::maxCandidates);
    job.input.now = now;
    const class_config *entry = m_config ? m_config->findClass(state.info.workClass) : nullptr;
    if (entry != nullptr) {
        job.target = entry->target.firstToken.value_or(duration(0));
    }
    const double bound = entry != nullptr ? entry->loadBound : limits::defaultLoadBound;
    job.input.loadLimit = std::max(limits::loadFloorRequests, bound * refreshMean(now, pool).load);
    const auto slotIn = [&](upstream_id upstream) {
        const auto found = m_slotRefs.find(upstream);
        return found != m_slotRefs.end() && &m_pools[found->second.pool] == &pool ? found->second.slot : noSlot;
    };
    const cache_hint &hint = m_cacheHints[state.info.chat.value() % m_cacheHints.size()];
    if (hint.chat.isValid() && hint.chat == state.info.chat) {
        job.input.prefixes[0] = {slotIn(hint.upstream), hint.cachedTokens};
    }
    if (const std::optional<routing_token> token = decodeToken(state.info.token)) {
        const std::array<prefix_place, 2> places = {token->last, token->previous};
        for (std::size_t i = 0; i < places.size(); ++i) {
            const std::size_t slot = slotIn(places[i].upstream);
            if (slot != noSlot && pool.slots[slot].info.incarnation == places[i].incarnation) {
                job.input.prefixes[i + 1] = {slot, static_cast<std::uint32_t>(places[i].cachedTokens * pool.slots[slot].hitRatio)};
            }
        }
    }
    for (std::size_t i = 0; i < std::min(state.tried.size(), job.input.excluded.size()); ++i) {
        job.input.excluded[i] = slotIn(state.tried[i]);
    }
    return job;
}

void router_base::applyPlacement(time_point now, const placement_job &job, std::size_t slot, std::vector<effect> &effects)
{
    const auto found = m_requests.find(job.request);
    if (found == m_requests.end()) {
        return;
    }
    if (slot == noSlot) {
        const run_state state = found->second.mayHaveReachedUpstream ? run_state::unknown : run_state::notRun;
        finishWithError(job.request, error_code::noUpstream, state, limits::ejectionAfterRefusal, effects);
        return;
    }
    request_state &state = found->second;
    // A retry that loses the cached prefix prefills more than the refused attempt, and a retry that would miss the
    // target too only adds load. Both made more requests miss their target than they saved.
    const bool losesPrefix = state.cachedTokens * 2 > state.info.promptTokens && job.input.cachedOn(slot) * 2 < state.info.promptTokens;
    const bool isLate = job.target > duration(0) && detail::expectedDelay(*job.pool, job.input, slot) > job.target;
    if (job.originalRefusal && (losesPrefix || isLate)) {
        finishWithError(job.request, job.originalRefusal->code, state.mayHaveReachedUpstream ? run_state::unknown : run_state::notRun,
                        std::max(job.originalRefusal->retryAfter, limits::minRetryAfter), effects);
        return;
    }
    state.cachedTokens = job.input.cachedOn(slot);
    sendTo(now, job.request, state, job.pool->slots[slot].info.upstream, job.delay, effects);
}

void router_base::sendTo(time_point now, request_id request, request_state &state, upstream_id upstream, duration delay,
                         std::vector<effect> &effects)
{
    upstream_slot &slot = *slotOf(upstream);
    state.upstream = upstream;
    state.started = false;
    state.tried.push_back(upstream);
    state.uncachedTokens = state.info.promptTokens - std::min(state.info.promptTokens, state.cachedTokens);
    ++state.attempts;
    ++slot.attemptsSinceReport;
    slot.uncachedTokensSinceReport += state.uncachedTokens;
    ++slot.outstanding;
    refreshLoad(now, upstream);
    router_effect::send_attempt send;
    send.attempt = {request, state.attempts};
    send.upstream = upstream;
    send.delay = delay;
    send.mean = refreshMean(now, m_pools[m_slotRefs[upstream].pool]);
    send.expectedCachedTokens = state.cachedTokens;
    if (state.info.kind == work_kind::chat) {
        send.nextToken = encodeToken(nextToken(decodeToken(state.info.token),
                                               {upstream, slot.info.incarnation, state.info.promptTokens + state.info.expectedTokens}));
    }
    effects.emplace_back(std::move(send));
}

router_base::request_state *router_base::currentAttempt(const attempt_ref &attempt)
{
    const auto found = m_requests.find(attempt.request);
    return found != m_requests.end() && found->second.attempts == attempt.attempt ? &found->second : nullptr;
}

void router_base::releaseAttempt(time_point now, request_state &request)
{
    upstream_slot *slot = slotOf(request.upstream);
    if (slot != nullptr && slot->outstanding > 0) {
        --slot->outstanding;
        refreshLoad(now, request.upstream);
    }
    request.upstream = {};
}

void router_base::finishWithError(request_id request, error_code code, run_state state, std::optional<duration> retryAfter,
                                  std::vector<effect> &effects)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end()) {
        m_deadlines.erase({found->second.info.deadline, request});
        m_requests.erase(found);
    }
    effects.emplace_back(router_effect::reply_error {request, code, state, retryAfter});
}

void router_base::decayBudget(time_point now)
{
    const double halfLives = std::chrono::duration<double>(now - m_budgetAt) / limits::retryBudgetHalfLife;
    const double factor = std::exp2(-std::max(0.0, halfLives));
    m_successes *= factor;
    m_retries *= factor;
    m_budgetAt = now;
}

bool router_base::consumeRetryBudget(time_point now, request_id request, request_state &state, std::vector<effect> &effects)
{
    decayBudget(now);
    if (m_retries + 1 > m_options.retryBudgetFloor + m_options.retryBudgetShare * m_successes) {
        effects.emplace_back(log_record {log_event::retryBudgetEmpty, "request=" + toHex(request.value())});
        return false;
    }
    m_retries += 1;
    ++state.retries;
    return true;
}

router_base::placement router_base::retry(time_point now, request_id request, request_state &state, const refusal &reason,
                                          std::vector<effect> &effects)
{
    const run_state answer = state.mayHaveReachedUpstream ? run_state::unknown : runStateOf(reason.code);
    const duration wait = std::max(reason.retryAfter, limits::minRetryAfter);
    const bool isExemptFromBudget = correctsRouterView(reason.code);
    if (!isRetryableElsewhere(reason.code) || state.attempts >= m_options.maxAttempts) {
        finishWithError(request, reason.code, answer, wait, effects);
        return {};
    }
    if (state.info.deadline <= now) {
        finishWithError(request, error_code::deadlineExceeded, answer, wait, effects);
        return {};
    }
    upstream_pool *pool = poolFor(state.info);
    if (pool == nullptr || pool->usableCount == 0) {
        finishWithError(request, error_code::noUpstream, answer, wait, effects);
        return {};
    }
    if (!isExemptFromBudget && !consumeRetryBudget(now, request, state, effects)) {
        finishWithError(request, reason.code, answer, wait, effects);
        return {};
    }
    duration delay {0};
    if (state.retries >= 2) {
        delay = std::chrono::duration_cast<duration>(m_options.retryJitter * m_random.fraction());
    }
    placement_job job = makePlacementJob(now, request, state, *pool, delay);
    if (reason.code == error_code::targetUnreachable) {
        job.originalRefusal = reason;
    }
    return job;
}

router_base::placement router_base::on(time_point now, const router_event::attempt_refused &input, std::vector<effect> &effects)
{
    request_state *state = currentAttempt(input.attempt);
    if (state == nullptr) {
        return {};
    }
    const upstream_id upstream = state->upstream;
    releaseAttempt(now, *state);
    effects.emplace_back(log_record {log_event::attemptRefused, "request=" + toHex(input.attempt.request.value())
                                                                    + " code=" + std::string(errorInfo(input.reason.code).name)});
    upstream_slot *slot = slotOf(upstream);
    if (correctsRouterView(input.reason.code) && input.reason.code != error_code::notOwner && slot != nullptr) {
        slot->avoidedUntil = now + limits::ejectionAfterRefusal;
        refreshUsable(now, m_pools[m_slotRefs[upstream].pool]);
    }
    if (input.reason.code == error_code::notOwner && slotOf(input.owner) != nullptr && state->attempts < m_options.maxAttempts) {
        const service_config *service = m_config ? m_config->findService(state->info.service) : nullptr;
        const unsigned shards = service != nullptr ? service->shards : 1;
        m_shardOwners[{state->info.service, ledgerShard(state->info.idempotencyKey, shards)}] = input.owner;
        sendTo(now, input.attempt.request, *state, input.owner, duration(0), effects);
        return {};
    }
    return retry(now, input.attempt.request, *state, input.reason, effects);
}

router_base::placement router_base::on(time_point now, const router_event::attempt_failed &input, std::vector<effect> &effects)
{
    request_state *state = currentAttempt(input.attempt);
    if (state == nullptr) {
        return {};
    }
    const upstream_id upstream = state->upstream;
    releaseAttempt(now, *state);
    addFlapPenalty(now, upstream, effects);
    effects.emplace_back(
        log_record {log_event::attemptFailed, "request=" + toHex(input.attempt.request.value()) + " upstream=" + toHex(upstream.value())});
    if (upstream_slot *slot = slotOf(upstream)) {
        // An upstream that fails all requests has the lowest load and would attract all retries without a pause.
        const double factor = std::exp2(slot->penalty - 1);
        slot->pausedUntil = now + std::chrono::duration_cast<duration>(limits::failureBackoff * factor);
        refreshUsable(now, m_pools[m_slotRefs[upstream].pool]);
    }
    state->mayHaveReachedUpstream = state->mayHaveReachedUpstream || input.state != run_state::notRun;
    if (input.answerStarted || state->started) {
        finishWithError(input.attempt.request, error_code::streamLost, run_state::unknown, limits::minRetryAfter, effects);
        return {};
    }
    // Chats and reads change only caches, so they may be retried. A booking may be retried only if no byte was sent,
    // or if the service itself executes each idempotency key at most once.
    const service_config *service = m_config ? m_config->findService(state->info.service) : nullptr;
    const bool checksKeys = service != nullptr && service->checksKeys;
    if (state->info.kind == work_kind::booking && input.state != run_state::notRun && !checksKeys) {
        finishWithError(input.attempt.request, error_code::outcomeUnknown, run_state::unknown, limits::minRetryAfter, effects);
        return {};
    }
    return retry(now, input.attempt.request, *state, {error_code::upstreamFailed, limits::minRetryAfter}, effects);
}

router_base::placement router_base::on(time_point now, const router_event::attempt_started &input, std::vector<effect> &)
{
    request_state *state = currentAttempt(input.attempt);
    if (state != nullptr) {
        state->started = true;
        state->mayHaveReachedUpstream = true;
        applyLoadReport(now, state->upstream, input.report);
    }
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::attempt_finished &input, std::vector<effect> &)
{
    request_state *state = currentAttempt(input.attempt);
    if (state == nullptr) {
        return {};
    }
    applyLoadReport(now, state->upstream, input.report);
    if (upstream_slot *slot = slotOf(state->upstream); slot != nullptr && state->cachedTokens > 0) {
        const double found = std::min(1.0, static_cast<double>(input.cachedTokens) / state->cachedTokens);
        slot->hitRatio += limits::hitRatioWeight * (found - slot->hitRatio);
    }
    releaseAttempt(now, *state);
    decayBudget(now);
    m_successes += 1;
    m_deadlines.erase({state->info.deadline, input.attempt.request});
    m_requests.erase(input.attempt.request);
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::request_cancelled &input, std::vector<effect> &effects)
{
    const auto found = m_requests.find(input.request);
    if (found == m_requests.end()) {
        return {};
    }
    if (found->second.upstream.isValid()) {
        effects.emplace_back(router_effect::cancel_attempt {{input.request, found->second.attempts}});
        releaseAttempt(now, found->second);
    }
    m_deadlines.erase({found->second.info.deadline, input.request});
    m_requests.erase(found);
    return {};
}

router_base::placement router_base::on(time_point now, const router_event::tick &, std::vector<effect> &effects)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_id request = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_requests.find(request);
        if (found == m_requests.end() || found->second.started) {
            continue; // a started answer is not cut at the deadline
        }
        if (found->second.upstream.isValid()) {
            effects.emplace_back(router_effect::cancel_attempt {{request, found->second.attempts}});
            releaseAttempt(now, found->second);
        }
        const run_state state = found->second.attempts > 0 ? run_state::unknown : run_state::notRun;
        finishWithError(request, error_code::deadlineExceeded, state, limits::minRetryAfter, effects);
    }
    for (auto &[key, pool] : m_pools) {
        refreshUsable(now, pool);
    }
    for (const auto &[upstream, slotRef] : m_slotRefs) {
        refreshLoad(now, upstream);
    }
    std::erase_if(m_flaps, [&](const auto &entry) { return now - entry.second.at > 10 * m_options.flapHalfLife; });
    return {};
}

upstream_id router_base::shardOwner(const request_info &info) const
{
    const service_config *service = m_config ? m_config->findService(info.service) : nullptr;
    const unsigned shard = ledgerShard(info.idempotencyKey, service != nullptr ? service->shards : 1);
    const auto found = m_shardOwners.find({info.service, shard});
    return found == m_shardOwners.end() ? upstream_id() : found->second;
}

} // namespace nutmegtally::detail
