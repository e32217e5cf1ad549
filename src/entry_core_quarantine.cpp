// The part of entry_core that holds back prompts which crash engines: checks of upstreams that broke off answers, evidence, and what
// is told to logs.
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>

namespace nutmegtally
{

namespace
{

/// The shared parts of the prompts in hexadecimal, separated by commas; at most limits::maxLoggedParts.
std::string sharedPartsText(const std::vector<crash_suspect> &suspects)
{
    std::string text;
    std::size_t left = limits::maxLoggedParts;
    for (const crash_suspect &suspect : suspects) {
        for (std::size_t i = 0; i + 1 < suspect.prompt.size() && left > 0; ++i, --left) {
            text.append(text.empty() ? "" : ",").append(toHex(suspect.prompt[i].id));
        }
    }
    return text;
}

} // namespace

bool entry_core::passesQuarantine(time_point now, exchange_id id, exchange &work)
{
    if (!work.route->carriesPrompt || !m_options.mechanisms.has(mechanism::promptQuarantine)) {
        return true;
    }
    const part_verdict verdict = m_quarantine.judge(work.request.parts, now);
    work.heldFor = verdict.heldFor;
    work.isSuspected = verdict.standing == part_standing::suspected;
    if (verdict.standing == part_standing::clear) {
        return true;
    }
    if (verdict.standing == part_standing::quarantined) {
        work.lastPlacement = placement_outcome::quarantined;
        return false;
    }
    exchange_id &trial = m_trials[verdict.part];
    const auto found = m_exchanges.find(trial);
    const exchange *running = found == m_exchanges.end() || trial == id ? nullptr : &found->second;
    const bool isUndecided
        = running != nullptr && !running->isPastStart && (running->state != phase::waiting || running->checkedUpstream != noUpstreamNumber);
    if (isUndecided || verdict.heldFor > duration(0)) {
        work.lastPlacement = placement_outcome::onTrial;
        return false;
    }
    trial = id;
    return true;
}

void entry_core::recordSurvival(time_point now, const exchange &work, std::vector<effect> &effects)
{
    if (work.route->carriesPrompt) {
        m_quarantine.recordSurvival(work.request.parts, now);
        logQuarantine(effects);
    }
}

void entry_core::checkUpstream(exchange &work, attempt_failure failure, std::vector<effect> &effects)
{
    const upstream_entry *upstream = m_upstreams.find(work.upstream);
    const bool mayHaveCrashed = failure == attempt_failure::lost && work.route->carriesPrompt && !work.isPastStart && upstream != nullptr;
    if (!mayHaveCrashed || !m_options.mechanisms.has(mechanism::promptQuarantine)) {
        return;
    }
    const auto [check, isNew] = m_checks.try_emplace(work.upstream);
    if (isNew) {
        check->second.instance = upstream->record.instance;
        check->second.crash = crashIdOf(upstream->record.instance, upstream->record.incarnation);
        effects.push_back(entry_effect::check_upstream {work.upstream, upstream->record.address});
    }
    check->second.suspects.push_back({work.request.parts, work.sentAt});
    if (!m_quarantine.isProven(work.request.parts)) {
        work.checkedUpstream = work.upstream;
    }
}

void entry_core::followCheck(time_point now, exchange_id id, exchange &work, bool isDown, std::vector<effect> &effects)
{
    work.checkedUpstream = noUpstreamNumber;
    if (isDown) {
        refuse(now, id, work, refusal_reason::upstreamFailed, effects); // it might crash the next upstream too
    } else if (!work.isResume) {
        placeOrWait(now, id, work, effects);
    } else if (!place(now, id, work, effects)) {
        cut(now, id, work, "stream_broken", effects);
    }
}

void entry_core::on(time_point now, const entry_event::upstream_checked &input, std::vector<effect> &effects)
{
    const auto found = m_checks.find(input.upstream);
    if (found == m_checks.end()) {
        return;
    }
    const upstream_check check = std::move(found->second);
    m_checks.erase(found);
    if (input.isDown) {
        log_line line;
        line.with("upstream", check.instance).with("requests", check.suspects.size()).with("parts", sharedPartsText(check.suspects));
        effects.push_back(log_record {log_event::upstreamCrashed, line.take()});
        m_quarantine.recordCrash(check.crash, check.suspects, now);
        m_upstreams.recordResult(input.upstream, attempt_result::unreachable, now);
        logQuarantine(effects);
    }
    for (const exchange_id id : openIds()) {
        const auto waiting = m_exchanges.find(id);
        if (waiting != m_exchanges.end() && waiting->second.checkedUpstream == input.upstream) {
            followCheck(now, id, waiting->second, input.isDown, effects);
        }
    }
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::part_evidence_received &input, std::vector<effect> &effects)
{
    m_quarantine.merge(input.evidence, now);
    logQuarantine(effects);
}

void entry_core::on(time_point now, const entry_event::part_released &input, std::vector<effect> &effects)
{
    m_quarantine.release(input.part, now);
    logQuarantine(effects);
    placeWaiting(now, effects);
}

void entry_core::logQuarantine(std::vector<effect> &effects)
{
    for (const part_verdict &verdict : m_quarantine.takeChanges()) {
        log_line line;
        line.with("part", toHex(verdict.part)).with("crashes", verdict.crashes).with("for_ms", verdict.heldFor);
        effects.push_back(log_record {verdict.standing == part_standing::quarantined ? log_event::partQuarantined : log_event::partReleased,
                                      line.take()});
    }
}

} // namespace nutmegtally
