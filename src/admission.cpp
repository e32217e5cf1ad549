#include "limits.h"

#include <nutmegtally/admission.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace nutmegtally
{

namespace
{

window_options windowOptions(const admission_options &options)
{
    return {options.initialWindow, options.maxWindow, options.windowGrowth, options.windowInterval, options.latencyJump};
}

duration fromSeconds(double seconds)
{
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

admission_core::admission_core(admission_options options)
    : m_options(options)
    , m_window(windowOptions(options))
    , m_incarnation(options.incarnation)
{
}

void admission_core::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    std::visit([&](const auto &e) { on(now, e, effects); }, input);
}

load_report admission_core::report(time_point) const
{
    load_report report;
    report.incarnation = m_incarnation;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.window = m_window.size();
    double pending = pendingPrefill(std::numeric_limits<unsigned>::max());
    m_queue.forEach([&](const queued_work &work) { pending += work.uncachedTokens; });
    report.pendingPrefillTokens = static_cast<std::uint32_t>(std::min(pending, 4e9));
    report.prefillTokensPerSecond = m_window.firstTokens().tokensPerSecond();
    const bool isFull = m_running.size() >= m_window.size();
    report.queueDelay = isFull ? fromSeconds(completionInterval() * static_cast<double>(m_queue.size() + 1)) : duration(0);
    report.cold = m_window.isCold();
    return report;
}

bool admission_core::isClosed() const
{
    return m_config && !m_config->isOpen(m_options.domain);
}

void admission_core::addMeanLoad(time_point now, const mean_load_estimate &mean)
{
    if (mean.samples == 0 || mean.age > limits::meanLoadLifetime) {
        return;
    }
    if (m_meanAt) {
        const double factor = std::exp2(-(std::chrono::duration<double>(now - *m_meanAt) / limits::meanLoadHalfLife));
        m_meanSum *= factor;
        m_meanWeight *= factor;
    }
    m_meanSum += mean.load * mean.samples;
    m_meanWeight += mean.samples;
    m_meanAt = now;
}

double admission_core::meanLoad(time_point now) const
{
    return m_meanAt && now - *m_meanAt <= limits::meanLoadLifetime && m_meanWeight > 0 ? m_meanSum / m_meanWeight : 0;
}

double admission_core::loadLimit(time_point now, const class_config *entry) const
{
    if (!m_options.enforceLoadBound) {
        return std::numeric_limits<double>::max();
    }
    const double bound = entry != nullptr ? entry->loadBound : limits::defaultLoadBound;
    return std::max<double>(m_options.loadFloor, bound * meanLoad(now));
}

std::uint32_t admission_core::runningOf(account_id account) const
{
    const auto found = m_runningByAccount.find(account);
    return found == m_runningByAccount.end() ? 0 : found->second;
}

double admission_core::fairShare(account_id account) const
{
    const auto weight = [&](account_id id) {
        const account_config *entry = m_config ? m_config->findAccount(id) : nullptr;
        return entry != nullptr ? entry->share : 1.0;
    };
    double sum = 0;
    bool isListed = false;
    for (const auto &[id, count] : m_runningByAccount) {
        sum += weight(id);
        isListed = isListed || id == account;
    }
    for (const auto &[id, count] : m_queue.accounts()) {
        if (!m_runningByAccount.contains(id)) {
            sum += weight(id);
            isListed = isListed || id == account;
        }
    }
    if (!isListed) {
        sum += weight(account);
    }
    return weight(account) / sum;
}

double admission_core::allowance(account_id account) const
{
    const double share = fairShare(account) * m_window.size();
    return share + limits::shareBurst * std::sqrt(share) + 1;
}

bool admission_core::isOverShare(account_id account) const
{
    return static_cast<double>(runningOf(account)) + static_cast<double>(m_queue.sizeOf(account)) > allowance(account);
}

double admission_core::pendingPrefill(unsigned enginePriority) const
{
    double sum = 0;
    for (const auto &[priority, tokens] : m_pendingPrefill) {
        sum += priority <= enginePriority ? static_cast<double>(tokens) : 0.0;
    }
    return sum;
}

unsigned admission_core::enginePriority(const queued_work &work) const
{
    // Work of accounts over their fair share gets a lower engine priority than all other work. Otherwise the prompts
    // of a surge would delay the lower classes of accounts within their share.
    const bool isOver = runningOf(work.info.account) + 1 > allowance(work.info.account);
    return work.priority + (isOver ? limits::overSharePriority : 0U);
}

duration admission_core::expectedPrefill(const queued_work &work) const
{
    // The engine prefills by priority, so work of a lower priority does not delay this work.
    const unsigned priority = enginePriority(work);
    return m_window.firstTokens().expected(priority, pendingPrefill(priority) + work.uncachedTokens);
}

double admission_core::completionInterval() const
{
    return m_serviceSeconds / std::max(1U, m_window.size());
}

bool admission_core::mayStart(account_id account) const
{
    if (m_running.size() >= m_window.size()) {
        return false;
    }
    // Accounts over their fair share leave a part of the window free, so that others need not wait until running work
    // ends.
    const std::size_t free = m_window.size() - m_running.size();
    const auto reserve = static_cast<std::size_t>(m_window.size() * limits::shareReserve);
    return free > reserve || runningOf(account) + 1 <= allowance(account);
}

duration admission_core::expectedWait(const queued_work &work) const
{
    if (mayStart(work.info.account) && m_queue.sizeOf(work.info.account) == 0) {
        return duration(0);
    }
    return fromSeconds(completionInterval() * static_cast<double>(m_queue.countAhead(work.priority, work.info.account) + 1));
}

duration admission_core::retryAfter() const
{
    const double seconds = completionInterval() * static_cast<double>(m_queue.size() + 1);
    return std::max(limits::minRetryAfter, fromSeconds(seconds));
}

void admission_core::refuse(time_point, const attempt_ref &attempt, error_code code, std::vector<effect> &effects)
{
    effects.emplace_back(admission_effect::refuse_work {attempt, {code, retryAfter()}});
    effects.emplace_back(
        log_record {log_event::workRefused, "request=" + toHex(attempt.request.value()) + " code=" + std::string(errorInfo(code).name)});
}

void admission_core::refuseQueue(time_point now, error_code code, std::vector<effect> &effects)
{
    while (std::optional<queued_work> work = m_queue.remove([](const queued_work &) { return true; })) {
        refuse(now, work->attempt, code, effects);
    }
}

std::optional<error_code> admission_core::refusalReason(time_point now, const queued_work &work, const class_config *entry)
{
    if (isClosed()) {
        return error_code::domainClosed;
    }
    if (m_draining) {
        return error_code::upstreamLeaving;
    }
    if (work.info.deadline <= now) {
        return error_code::deadlineExceeded;
    }
    const std::size_t load = m_running.size() + m_queue.size();
    if (m_window.isCold() && load >= m_window.size()) {
        return error_code::upstreamCold;
    }
    // One request may exceed the limit: at small loads, a limit that includes this request would never let the mean
    // rise.
    if (static_cast<double>(load) >= loadLimit(now, entry) || m_queue.size() >= m_options.maxQueue) {
        return error_code::overloaded;
    }
    if (m_running.size() < m_window.size() && !mayStart(work.info.account)) {
        // In the queue, it would raise the load of this upstream, and routers would send the chats of other accounts
        // elsewhere.
        return error_code::accountOverShare;
    }
    if (now + expectedWait(work) > work.startBy && !isProbe(now, work)) {
        // accountOverShare is returned only if the account waits behind its own work; with targetUnreachable the
        // router tries another engine.
        const bool waitsBehindOwnWork = m_queue.sizeOf(work.info.account) > 0 && isOverShare(work.info.account);
        return waitsBehindOwnWork ? error_code::accountOverShare : error_code::targetUnreachable;
    }
    return {};
}

bool admission_core::isProbe(time_point now, const queued_work &work) const
{
    // The latency model learns only from started work: without probes, it would refuse a priority forever after a slow
    // period.
    const auto last = m_lastStart.find(enginePriority(work));
    const bool isDue = last == m_lastStart.end() || now - last->second > limits::probeInterval;
    return isDue && m_queue.size() == 0 && m_running.size() < m_window.size();
}

bool admission_core::evictOverShare(time_point now, account_id arriving, std::vector<effect> &effects)
{
    if (isOverShare(arriving)) {
        return false;
    }
    account_id worst;
    std::size_t waiting = 0;
    for (const auto &[account, count] : m_queue.accounts()) {
        if (account != arriving && count > waiting && isOverShare(account)) {
            worst = account;
            waiting = count;
        }
    }
    const std::optional<queued_work> work = worst.isValid() ? m_queue.removeLast(worst) : std::nullopt;
    if (!work) {
        return false;
    }
    refuse(now, work->attempt, error_code::accountOverShare, effects);
    return true;
}

void admission_core::on(time_point now, const admission_event::work_offered &input, std::vector<effect> &effects)
{
    addMeanLoad(now, input.mean);
    queued_work work;
    work.attempt = input.attempt;
    work.info = input.info;
    work.arrived = now;
    work.uncachedTokens = input.info.promptTokens - std::min(input.info.promptTokens, input.expectedCachedTokens);
    const class_config *entry = m_config ? m_config->findClass(input.info.workClass) : nullptr;
    work.priority = entry != nullptr ? entry->priority : 1;
    work.startBy = input.info.deadline;
    if (entry != nullptr && entry->target.firstToken) {
        work.startBy = std::min(work.startBy, now + *entry->target.firstToken - expectedPrefill(work));
    }
    std::optional<error_code> reason = refusalReason(now, work, entry);
    if (reason == error_code::overloaded && evictOverShare(now, input.info.account, effects)) {
        reason = refusalReason(now, work, entry);
    }
    if (reason) {
        refuse(now, input.attempt, *reason, effects);
        return;
    }
    if (work.startBy < now) {
        work.startBy = work.info.deadline; // a probe is admitted although it cannot meet the target
    }
    m_queue.push(std::move(work));
    startQueued(now, effects);
}

void admission_core::startQueued(time_point now, std::vector<effect> &effects)
{
    const auto share = [&](account_id account) {
        const account_config *entry = m_config ? m_config->findAccount(account) : nullptr;
        return entry != nullptr ? entry->share : 1.0;
    };
    // An upstream that slows down may have become cold, so that the present window may be too large.
    while (m_running.size() < m_window.size() && m_pace.isNormal(now)) {
        std::optional<queued_work> work = m_queue.pop(share, [&](account_id account) { return mayStart(account); });
        if (!work) {
            return;
        }
        start(now, std::move(*work), effects);
    }
}

void admission_core::start(time_point now, queued_work work, std::vector<effect> &effects)
{
    running_work running;
    running.account = work.info.account;
    running.uncachedTokens = work.uncachedTokens;
    running.priority = enginePriority(work);
    running.load = pendingPrefill(running.priority) + work.uncachedTokens;
    running.started = now;
    if (const class_config *entry = m_config ? m_config->findClass(work.info.workClass) : nullptr) {
        running.betweenTokensTarget = entry->target.betweenTokens;
    }
    m_lastStart[running.priority] = now;
    m_pendingPrefill[running.priority] += work.uncachedTokens;
    ++m_runningByAccount[work.info.account];
    m_running.emplace(work.attempt, running);
    effects.emplace_back(admission_effect::start_work {work.attempt, running.priority});
}

void admission_core::on(time_point now, const admission_event::first_token &input, std::vector<effect> &effects)
{
    const auto found = m_running.find(input.attempt);
    if (found == m_running.end() || found->second.firstTokenAt) {
        return;
    }
    running_work &work = found->second;
    work.firstTokenAt = now;
    work.tokenAt = now;
    work.seenAt = now;
    ++m_streamingAnswers;
    m_pendingPrefill[work.priority] -= work.uncachedTokens;
    m_window.recordFirstToken(work.priority, work.load, now - work.started);
    on(now, admission_event::tick {}, effects);
}

void admission_core::on(time_point now, const admission_event::token &input, std::vector<effect> &effects)
{
    const auto found = m_running.find(input.attempt);
    if (found == m_running.end() || !found->second.firstTokenAt) {
        return;
    }
    m_pace.addSample(now, now - std::exchange(found->second.tokenAt, now));
    if (m_pace.hasSlowedDown(now)) {
        const std::uint32_t before = m_window.size();
        m_window.collapse(now);
        m_pace.restart();
        effects.emplace_back(log_record {log_event::windowCollapsed,
                                         "from=" + std::to_string(before) + " to=" + std::to_string(m_window.size()) + " reason=tokens"});
    }
    if (m_queue.size() > 0) {
        startQueued(now, effects);
    }
}

void admission_core::on(time_point now, const admission_event::progress &input, std::vector<effect> &)
{
    const auto found = m_running.find(input.attempt);
    if (found == m_running.end() || !found->second.firstTokenAt || input.generatedTokens <= found->second.seenTokens) {
        return;
    }
    running_work &work = found->second;
    if (work.betweenTokensTarget) {
        m_window.recordBetweenTokens((now - work.seenAt) / (input.generatedTokens - work.seenTokens), *work.betweenTokensTarget);
    }
    work.seenAt = now;
    work.seenTokens = input.generatedTokens;
}

void admission_core::on(time_point now, const admission_event::work_finished &input, std::vector<effect> &effects)
{
    const auto found = m_running.find(input.attempt);
    if (found == m_running.end()) {
        return;
    }
    if (!input.ok) {
        m_window.recordFailure();
    } else if (found->second.firstTokenAt) {
        on(now, admission_event::progress {input.attempt, input.generatedTokens}, effects);
    }
    const double serviceSeconds = std::chrono::duration<double>(now - found->second.started).count();
    m_serviceSeconds
        = m_serviceSeconds > 0 ? m_serviceSeconds + limits::latencyModelWeight * (serviceSeconds - m_serviceSeconds) : serviceSeconds;
    if (!found->second.firstTokenAt) {
        m_pendingPrefill[found->second.priority] -= found->second.uncachedTokens;
    } else if (--m_streamingAnswers == 0) {
        m_pace.pause();
    }
    if (--m_runningByAccount[found->second.account] == 0) {
        m_runningByAccount.erase(found->second.account);
    }
    m_running.erase(found);
    on(now, admission_event::tick {}, effects);
}

void admission_core::on(time_point now, const admission_event::work_cancelled &input, std::vector<effect> &effects)
{
    if (m_running.contains(input.attempt)) {
        effects.emplace_back(admission_effect::cancel_work {input.attempt});
        on(now, admission_event::work_finished {input.attempt, true, 0}, effects);
        return;
    }
    m_queue.remove([&](const queued_work &work) { return work.attempt == input.attempt; });
    checkDrained(effects);
}

void admission_core::on(time_point now, const admission_event::config_changed &input, std::vector<effect> &effects)
{
    if (!input.config || (m_config && input.config->version < m_config->version)) {
        return;
    }
    m_config = input.config;
    if (isClosed()) {
        refuseQueue(now, error_code::domainClosed, effects);
    }
}

void admission_core::on(time_point now, const admission_event::upstream_restarted &input, std::vector<effect> &effects)
{
    if (input.incarnation <= m_incarnation) {
        return;
    }
    m_incarnation = input.incarnation;
    m_window.restart(now);
    m_pace.restart();
    effects.emplace_back(log_record {log_event::upstreamRestarted, "incarnation=" + std::to_string(input.incarnation)});
    // Queued work was accepted for a warm upstream; what exceeds the new window is refused.
    while (m_queue.size() > 0 && m_running.size() + m_queue.size() > m_window.size()) {
        const std::optional<queued_work> work = m_queue.remove([](const queued_work &) { return true; });
        refuse(now, work->attempt, error_code::upstreamCold, effects);
    }
}

void admission_core::on(time_point, const admission_event::upstream_load_reported &input, std::vector<effect> &)
{
    // The reported load lags, while the agent counts its own work exactly, so it is kept for status only.
    m_reportedRunning = input.running;
}

void admission_core::on(time_point now, const admission_event::mean_load_reported &input, std::vector<effect> &)
{
    addMeanLoad(now, input.mean);
}

void admission_core::on(time_point now, const admission_event::drain_requested &, std::vector<effect> &effects)
{
    if (!m_draining) {
        effects.emplace_back(log_record {log_event::drainStarted, "running=" + std::to_string(m_running.size())});
    }
    m_draining = true;
    refuseQueue(now, error_code::upstreamLeaving, effects);
    checkDrained(effects);
}

void admission_core::on(time_point, const admission_event::drain_aborted &, std::vector<effect> &)
{
    m_draining = false;
    m_drainReported = false;
}

void admission_core::refuseOverdue(time_point now, std::vector<effect> &effects)
{
    while (std::optional<queued_work> work = m_queue.remove([&](const queued_work &entry) { return entry.startBy < now; })) {
        refuse(now, work->attempt, error_code::targetUnreachable, effects);
    }
}

void admission_core::on(time_point now, const admission_event::tick &, std::vector<effect> &effects)
{
    const std::uint32_t before = m_window.size();
    if (m_window.advance(now, static_cast<std::uint32_t>(m_running.size()))) {
        effects.emplace_back(
            log_record {log_event::windowCollapsed, "from=" + std::to_string(before) + " to=" + std::to_string(m_window.size())});
    }
    refuseOverdue(now, effects);
    startQueued(now, effects);
    checkDrained(effects);
}

void admission_core::checkDrained(std::vector<effect> &effects)
{
    if (!m_draining || m_drainReported || !m_running.empty() || m_queue.size() > 0) {
        return;
    }
    m_drainReported = true;
    effects.emplace_back(admission_effect::drained {});
    effects.emplace_back(log_record {log_event::drainFinished, ""});
}

} // namespace nutmegtally
