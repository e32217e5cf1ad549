// The part of entry_core that finds out which engines have which prompts cached.
#include "decay.h"
#include "limits.h"

#include <nutmegtally/entry_core.h>
#include <nutmegtally/log_line.h>

namespace nutmegtally
{

void entry_core::on(time_point now, const entry_event::prompt_locations_received &input, std::vector<effect> &)
{
    m_upstreams.addPromptLocations(input.prompts, now);
}

void entry_core::on(time_point now, const entry_event::held_parts_read &input, std::vector<effect> &effects)
{
    log_line line;
    line.with("upstream", input.instance).with("parts", input.parts.size());
    effects.push_back(log_record {log_event::heldPartsRead, line.take()});
    m_upstreams.addHeldParts(input.instance, input.parts, m_announcesHeldParts, now);
    m_cacheRecovery.setAnswered(input.instance, now);
    placeWaiting(now, effects);
}

void entry_core::on(time_point now, const entry_event::held_parts_unread &input, std::vector<effect> &effects)
{
    m_cacheRecovery.setAnswered(input.instance, now);
    placeWaiting(now, effects);
}

void entry_core::queryCaches(time_point now, std::vector<effect> &effects)
{
    if (!m_rules || m_upstreams.size() == 0) {
        return;
    }
    m_cacheRecovery.begin(now);
    if (!m_cacheRecovery.isQueryDue(now)) {
        return;
    }
    const upstream_set::cache_query query = m_upstreams.enginesToQuery(*m_rules);
    m_announcesHeldParts = !query.asksAll;
    std::vector<std::string> instances;
    for (const upstream_record &engine : query.engines) {
        if (m_limits.limitOf(limitedUpstreamOf(engine.instance, engine.incarnation))) {
            continue; // a list is a request, too
        }
        effects.push_back(entry_effect::list_held_parts {engine.instance, engine.address});
        instances.push_back(engine.instance);
    }
    m_cacheRecovery.setQueried(instances, query.asksAll, now);
}

bool entry_core::awaitsCacheState(time_point now, const exchange &work) const
{
    return work.route->carriesPrompt && work.sends == 0 && !m_cacheRecovery.isOver(now)
           && now - work.arrivedAt < scaled(work.route->target, limits::cacheWaitTargetShare);
}

} // namespace nutmegtally
