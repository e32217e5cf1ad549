// The part of entry_core that keeps the limits of requests that upstreams state: permits before each send, their answers, and
// what is told to logs.
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>

#include <algorithm>

namespace nutmegtally
{

void entry_core::recordLimit(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects)
{
    if (!answer.unreadableLimit.empty()) {
        log_line line = attemptLogLine(now, work);
        line.with("text", answer.unreadableLimit);
        effects.push_back(log_record {log_event::limitUnreadable, line.take()});
    }
    const upstream_entry *upstream = m_upstreams.find(work.upstream);
    // An answer without a signature may be of something else at the address, and one with an unreadable limit does not end it.
    const bool isStatement = answer.requestsPerSecond || (answer.isSigned && answer.unreadableLimit.empty());
    if (upstream != nullptr && isStatement) {
        m_limits.recordStatement(upstream->limitKey(), answer.requestsPerSecond, work.sentAt, now);
        logLimits(effects);
    }
}

permit_claim entry_core::claimOf(const exchange &work)
{
    return {work.priority, static_cast<std::uint32_t>(hashText(work.account))};
}

entry_core::permit_result entry_core::obtainPermit(time_point now, exchange_id id, exchange &work, const placement &choice,
                                                   std::vector<effect> &effects)
{
    const limited_upstream upstream = m_upstreams.find(choice.upstream)->limitKey();
    if (!m_limits.limitOf(upstream)) {
        return permit_result::granted;
    }
    const std::optional<std::string> issuer = m_limits.issuerOf(upstream, now);
    if (!issuer) {
        m_limits.holdBack(upstream, now);
        return permit_result::denied;
    }
    const permit_request request = m_limits.ask(++m_lastPermit, upstream, claimOf(work), now);
    if (*issuer == m_options.name) {
        const permit_answer answer = m_limits.decide(request, now);
        m_limits.recordAnswer(answer, now);
        return answer.isGranted ? permit_result::granted : permit_result::denied;
    }
    effects.push_back(entry_effect::send_permit_message {*issuer, request});
    m_permits[request.number] = id;
    work.state = phase::waiting;
    work.permit = permit_wait {request.number, choice, *issuer, now + limits::permitTimeout};
    return permit_result::asked;
}

void entry_core::on(time_point now, const entry_event::permit_answered &input, std::vector<effect> &effects)
{
    m_limits.recordAnswer(input.answer, now);
    logLimits(effects);
    const auto asked = m_permits.find(input.answer.number);
    if (asked == m_permits.end()) {
        return; // too late, or its request is over
    }
    const exchange_id id = asked->second;
    exchange &work = m_exchanges.at(id);
    const placement choice = work.permit->choice;
    if (input.answer.isGranted && m_upstreams.mayReceive(choice.upstream, now) && mayUseVersion(now, work, choice.upstream)) {
        m_permits.erase(asked);
        work.permit.reset();
        startAttempt(now, id, work, choice, effects);
        return;
    }
    ++work.permitDenials;
    placeAfterPermit(now, id, work, effects);
}

void entry_core::placeAfterPermit(time_point now, exchange_id id, exchange &work, std::vector<effect> &effects)
{
    if (now >= work.permit->until) {
        log_line line;
        line.with("request", work.request.requestId).with("issuer", work.permit->issuer);
        effects.push_back(log_record {log_event::permitIssuerSilent, line.take()});
    }
    m_permits.erase(work.permit->number);
    work.permit.reset();
    if (!work.isResume) {
        placeOrWait(now, id, work, effects);
    } else if (!place(now, id, work, effects)) {
        cut(now, id, work, "stream_broken", effects);
    }
}

bool entry_core::isPermitLikely(time_point now, const exchange &work) const
{
    if (work.pausedUntil >= work.queueUntil) {
        return false;
    }
    const auto ahead = static_cast<double>(m_order.limitedAhead(work.priority, work.account));
    const double seconds = std::chrono::duration<double>(work.queueUntil - now).count();
    return ahead < std::max(1.0, work.limitedPerSecond * m_limits.ownShare() * seconds);
}

void entry_core::on(time_point now, const entry_event::limits_received &input, std::vector<effect> &effects)
{
    for (const limit_statement &statement : input.statements) {
        if (m_upstreams.find(statement.upstream) != nullptr) {
            m_limits.merge(statement, now);
        }
    }
    logLimits(effects);
}

void entry_core::on(time_point now, const entry_event::permit_requested &input, std::vector<effect> &effects)
{
    effects.push_back(entry_effect::send_permit_message {input.router, m_limits.decide(input.request, now)});
    logLimits(effects);
}

void entry_core::logLimits(std::vector<effect> &effects)
{
    for (const limit_statement &change : m_limits.takeChanges()) {
        const upstream_entry *upstream = m_upstreams.find(change.upstream);
        log_line line;
        line.with("upstream", upstream != nullptr ? std::string_view(upstream->record.instance) : "gone");
        if (change.perSecond) {
            line.with("limit_per_s", *change.perSecond);
        }
        effects.push_back(log_record {change.perSecond ? log_event::upstreamLimited : log_event::upstreamUnlimited, line.take()});
    }
}

std::map<std::string, entry_core::limited_service> entry_core::limitedServices() const
{
    std::map<std::string, limited_service> services;
    for (const limit_statement &each : m_limits.limitsInForce()) {
        if (const upstream_entry *upstream = m_upstreams.find(each.upstream); upstream != nullptr && each.perSecond) {
            limited_service &service = services[upstream->record.service];
            ++service.upstreams;
            service.perSecond += *each.perSecond;
        }
    }
    return services;
}

} // namespace nutmegtally
