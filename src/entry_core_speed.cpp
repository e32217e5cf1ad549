// The part of entry_core that learns the speed of upstreams from their answers.
#include <nutmegtally/entry_core.h>

namespace nutmegtally
{

void entry_core::recordLoad(time_point now, const exchange &work, const answer_summary &answer, std::vector<effect> &effects)
{
    if (answer.load) {
        upstream_load load = *answer.load;
        // The figure of an answer without the work done, or without a signature, may come from another machine.
        load.timePercent = answer.notRun || !answer.isSigned || answer.status >= 500 ? std::nullopt : load.timePercent;
        m_upstreams.recordReport(work.upstream, load, now);
    }
    if (!answer.unreadableTime.empty()) {
        log_line line = attemptLogLine(now, work);
        line.with("text", answer.unreadableTime);
        effects.push_back(log_record {log_event::loadFigureUnreadable, line.take()});
    }
}

void entry_core::noteGoodAnswer(time_point now, exchange &work, bool isSuccess)
{
    if (isSuccess) { // an upstream may reject a request without doing the work
        learnSpeed(now, work, false);
    }
    m_upstreams.markFirstEvent(work.upstream, work.prefillTokens);
    work.awaitsFirstEvent = false;
    countVersionAnswer(now, work, answer_quality::good);
    m_upstreams.recordResult(work.upstream, attempt_result::succeeded, now);
}

void entry_core::learnSpeed(time_point now, const exchange &work, bool isAtLeast)
{
    const std::string_view kind = work.route->carriesPrompt ? std::string_view() : std::string_view(work.route->name);
    m_upstreams.recordSpeed(work.upstream, {work.upstream, kind, work.size, now - work.sentAt, isAtLeast}, now);
}

void entry_core::logChanges(std::vector<effect> &effects)
{
    logQuarantine(effects);
    logSpeeds(effects);
}

void entry_core::logSpeeds(std::vector<effect> &effects)
{
    for (const upstream_set::speed_change &each : m_upstreams.takeSpeedChanges()) {
        log_line line;
        line.with("upstream", each.instance).with("slowness", each.factor).with("in_flight", each.inFlight);
        effects.push_back(log_record {log_event::upstreamSpeedChanged, line.take()});
    }
}

} // namespace nutmegtally
