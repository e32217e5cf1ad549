#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/object_follower.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>
#include <unordered_set>

namespace nutmegtally
{

namespace
{

/// An object's part of the content hash. The parts are joined by exclusive or, so that one can be taken out again.
std::uint64_t hashOf(const stored_object &object)
{
    return mixHash(hashText(object.name), object.revision);
}

} // namespace

object_follower::object_follower(follower_options options)
    : m_options(std::move(options))
{
}

void object_follower::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    std::visit([&](const auto &each) { on(now, each, effects); }, input);
}

void object_follower::startList(time_point now, std::vector<effect> &effects)
{
    m_calledAt = now;
    m_phase = phase::listing;
    m_listed.clear();
    effects.emplace_back(follower_effect::read_page {});
}

void object_follower::startWait(time_point now, std::vector<effect> &effects)
{
    m_calledAt = now;
    m_phase = phase::waiting;
    duration wait = m_isProbing ? m_options.probeWait : m_options.wait;
    if (m_failures > 0) {
        wait = limits::waitAfterFailure; // its answer tells that the API is back
    }
    effects.emplace_back(follower_effect::wait_for_changes {m_asOf, wait});
}

void object_follower::answered(time_point now, std::vector<effect> &effects)
{
    if (m_failures == 0) {
        return;
    }
    m_hadOutage = now - m_failingSince >= limits::outageAfter;
    log_line line;
    line.with("kind", m_options.kind).with("failures", m_failures).with("away_ms", now - m_failingSince);
    effects.emplace_back(log_record {log_event::platformReachable, line.take()});
    m_failures = 0;
}

void object_follower::on(time_point now, const follower_event::page_read &input, std::vector<effect> &effects)
{
    if (m_phase != phase::listing) {
        return;
    }
    answered(now, effects);
    m_listed.insert(m_listed.end(), input.objects.begin(), input.objects.end());
    if (input.hasMore && !input.objects.empty()) {
        effects.emplace_back(follower_effect::read_page {input.objects.back().name});
        return;
    }
    log_line line;
    line.with("kind", m_options.kind).with("objects", m_listed.size()).with("as_of", input.asOf).with("previous", m_asOf);
    effects.emplace_back(log_record {log_event::listRead, line.take()});
    m_mustList = false;
    if (input.asOf >= m_asOf) {
        // Later pages may hold newer objects than the first; the wait that follows repeats what changed meanwhile.
        m_asOf = input.asOf;
        replaceAll(now, m_listed, effects);
    }
    m_listed.clear();
    m_isComplete = true;
    startWait(now, effects);
}

void object_follower::on(time_point now, const follower_event::changes_read &input, std::vector<effect> &effects)
{
    if (m_phase != phase::waiting) {
        return;
    }
    answered(now, effects);
    for (const stored_object &object : input.objects) {
        if (object.isDeleted) {
            const auto known = m_objects.find(object.name);
            if (known != m_objects.end() && known->second.revision <= object.revision) {
                remove(now, object.name, effects);
            }
        } else {
            change(object, effects);
        }
    }
    m_asOf = std::max(m_asOf, input.asOf);
    if (input.objects.empty() || m_options.pause.count() == 0) {
        startWait(now, effects);
        return;
    }
    m_phase = phase::idle;
    m_callAt = now + m_options.pause;
}

void object_follower::on(time_point now, const follower_event::history_lost &, std::vector<effect> &effects)
{
    if (m_phase != phase::waiting) {
        on(now, follower_event::call_failed {"a list call was refused as if it were a wait"}, effects);
        return;
    }
    answered(now, effects);
    m_mustList = true;
    startList(now, effects);
}

void object_follower::on(time_point now, const follower_event::call_failed &input, std::vector<effect> &effects)
{
    if (m_phase == phase::idle) {
        return;
    }
    // A wait may just have been cut; only a second failure in a row is worth a pause.
    if (m_failures == 0) {
        m_failingSince = now;
    }
    m_lastFailedAt = m_calledAt;
    m_mustList = m_mustList || m_phase == phase::listing;
    m_phase = phase::idle;
    const unsigned doublings = std::min(m_failures, 5U);
    ++m_failures;
    m_callAt = now + std::min(limits::longestCallPause, limits::firstCallPause * (1U << doublings));
    if (m_failures == 2) {
        log_line line;
        line.with("kind", m_options.kind).with("why", input.why).with("as_of", m_asOf);
        effects.emplace_back(log_record {log_event::platformUnreachable, line.take()});
    }
}

void object_follower::on(time_point now, const follower_event::snapshot_received &input, std::vector<effect> &effects)
{
    if (input.asOf <= m_asOf) {
        return;
    }
    log_line line;
    line.with("kind", m_options.kind).with("from", input.from).with("as_of", input.asOf).with("previous", m_asOf);
    effects.emplace_back(log_record {log_event::newsTaken, line.take()});
    m_asOf = input.asOf;
    replaceAll(now, input.objects, effects);
    m_isComplete = true;
    m_mustList = false;
}

void object_follower::on(time_point, const follower_event::routers_changed &input, std::vector<effect> &)
{
    // By kind, so that one router does not carry all short waits.
    m_isProbing = isAmongFirst(hashText(input.self), hashesOf(input.live), hashText(m_options.kind), limits::probingRouters);
}

void object_follower::on(time_point now, const follower_event::tick &, std::vector<effect> &effects)
{
    if (m_phase != phase::idle || now < m_callAt) {
        return;
    }
    if (m_mustList) {
        startList(now, effects);
    } else {
        startWait(now, effects);
    }
}

void object_follower::replaceAll(time_point now, const std::vector<stored_object> &objects, std::vector<effect> &effects)
{
    std::unordered_set<std::string> listed;
    for (const stored_object &object : objects) {
        listed.insert(object.name);
    }
    std::vector<std::string> missing;
    for (const auto &[name, object] : m_objects) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        remove(now, name, effects);
    }
    for (const stored_object &object : objects) {
        change(object, effects);
    }
}

void object_follower::change(const stored_object &object, std::vector<effect> &effects)
{
    stored_object &known = m_objects[object.name];
    if (known.revision >= object.revision) {
        return;
    }
    m_contentHash ^= known.name.empty() ? 0 : hashOf(known); // empty: the object is new
    m_contentHash ^= hashOf(object);
    known = object;
    effects.emplace_back(follower_effect::object_changed {object});
}

void object_follower::remove(time_point now, const std::string &name, std::vector<effect> &effects)
{
    if (const auto known = m_objects.find(name); known != m_objects.end()) {
        m_contentHash ^= hashOf(known->second);
        m_objects.erase(known);
    }
    duration grace {0};
    if (m_failures > 0 || m_hadOutage) {
        grace = std::max(grace, m_options.missingGrace - (now - m_lastFailedAt));
    }
    effects.emplace_back(follower_effect::object_removed {name, grace});
}

} // namespace nutmegtally
