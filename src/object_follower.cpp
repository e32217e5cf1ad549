#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/object_follower.h>

#include <algorithm>
#include <unordered_set>

namespace nutmegtally
{

namespace
{

/// An object's part of the content hash. The parts are combined by exclusive or, so that one can be removed again.
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
    m_callStartedAt = now;
    m_phase = phase::listing;
    m_listed.clear();
    effects.emplace_back(follower_effect::read_page {});
}

void object_follower::startWatch(time_point now, std::vector<effect> &effects)
{
    m_callStartedAt = now;
    m_phase = phase::watching;
    duration watchTimeout = m_usesShortWatches ? m_options.shortWatchTimeout : m_options.watchTimeout;
    if (m_failures > 0) {
        watchTimeout = limits::watchTimeoutAfterFailure; // an early answer shows that the API is available again
    }
    effects.emplace_back(follower_effect::watch_changes {m_asOf, watchTimeout});
}

void object_follower::recordAnswer(time_point now, std::vector<effect> &effects)
{
    if (m_failures == 0) {
        return;
    }
    m_hadOutage = now - m_failingSince >= limits::minOutage;
    log_line line;
    line.with("kind", m_options.kind).with("failures", m_failures).with("away_ms", now - m_failingSince);
    effects.emplace_back(log_record {log_event::platformReachable, line.take()});
    m_failures = 0;
}

void object_follower::on(time_point now, const follower_event::page_received &input, std::vector<effect> &effects)
{
    if (m_phase != phase::listing) {
        return;
    }
    recordAnswer(now, effects);
    m_listed.insert(m_listed.end(), input.objects.begin(), input.objects.end());
    if (input.hasMore && !input.objects.empty()) {
        effects.emplace_back(follower_effect::read_page {input.objects.back().name});
        return;
    }
    log_line line;
    line.with("kind", m_options.kind)
        .with("objects", m_listed.size())
        .with("era", input.era)
        .with("as_of", input.asOf)
        .with("previous", m_asOf);
    effects.emplace_back(log_record {log_event::listRead, line.take()});
    m_needsList = false;
    if (input.asOf >= m_asOf) {
        // Later pages may have newer objects than the first; the watch that follows repeats the changes made meanwhile.
        m_asOf = input.asOf;
        replaceAll(m_listed, missingGrace(now), effects);
    }
    m_listed.clear();
    m_isComplete = true;
    m_phase = phase::idle;
    m_nextCallAt = now;
    if (m_watchesApi) {
        startWatch(now, effects);
    }
}

void object_follower::on(time_point now, const follower_event::changes_received &input, std::vector<effect> &effects)
{
    if (m_phase != phase::watching) {
        return;
    }
    recordAnswer(now, effects);
    for (const stored_object &object : input.objects) {
        if (object.isDeleted) {
            const auto known = m_objects.find(object.name);
            if (known != m_objects.end() && known->second.revision <= object.revision) {
                applyRemoval(object.name, object.revision, missingGrace(now), effects);
            } else if (known == m_objects.end()) {
                recordRemoval(object.name, object.revision); // other routers may have the object
            }
        } else {
            applyChange(object, effects);
        }
    }
    m_asOf = std::max(m_asOf, input.asOf);
    m_phase = phase::idle;
    m_nextCallAt = now + (input.objects.empty() ? duration(0) : m_options.watchDelay);
    if (m_watchesApi && m_nextCallAt == now) {
        startWatch(now, effects);
    }
}

void object_follower::on(time_point now, const follower_event::history_expired &, std::vector<effect> &effects)
{
    if (m_phase != phase::watching) {
        on(now, follower_event::call_failed {"the list call was answered with an expired history, which only a watch can have"}, effects);
        return;
    }
    recordAnswer(now, effects);
    m_needsList = true;
    startList(now, effects);
}

void object_follower::on(time_point now, const follower_event::call_failed &input, std::vector<effect> &effects)
{
    if (m_phase == phase::idle) {
        return;
    }
    if (!m_watchesApi && m_isComplete) {
        m_needsList = m_needsList || m_phase == phase::listing;
        m_phase = phase::idle;
        return;
    }
    // The first failure may only be a closed connection: it is retried soon, and only a second one in a row is logged.
    if (m_failures == 0) {
        m_failingSince = now;
    }
    m_lastFailedAt = m_callStartedAt;
    m_needsList = m_needsList || m_phase == phase::listing;
    m_phase = phase::idle;
    const unsigned doublings = std::min(m_failures, 5U);
    ++m_failures;
    m_nextCallAt = now + std::min(limits::maxCallBackoff, limits::minCallBackoff * (1U << doublings));
    if (m_failures == 2) {
        log_line line;
        line.with("kind", m_options.kind).with("why", input.why).with("as_of", m_asOf);
        effects.emplace_back(log_record {log_event::platformUnreachable, line.take()});
    }
}

void object_follower::on(time_point now, const follower_event::snapshot_received &input, std::vector<effect> &effects)
{
    const object_snapshot &snapshot = input.snapshot;
    if (snapshot.asOf <= m_asOf || snapshot.since > m_asOf) {
        return;
    }
    log_line line;
    line.with("kind", m_options.kind)
        .with("from", input.from)
        .with("as_of", snapshot.asOf)
        .with("previous", m_asOf)
        .with("since", snapshot.since)
        .with("objects", snapshot.objects.size())
        .with("removed", snapshot.removed.size());
    effects.emplace_back(log_record {log_event::newsTaken, line.take()});
    const duration grace = std::max(snapshot.missingGrace, missingGrace(now));
    if (snapshot.since == 0) {
        m_asOf = snapshot.asOf;
        replaceAll(snapshot.objects, grace, effects);
    } else {
        for (const std::string &name : snapshot.removed) {
            applyRemoval(name, snapshot.asOf, grace, effects);
        }
        for (const stored_object &object : snapshot.objects) {
            applyChange(object, effects);
        }
        m_asOf = snapshot.asOf;
    }
    m_isComplete = true;
    m_needsList = false;
}

object_snapshot object_follower::snapshotSince(store_revision since, time_point now) const
{
    object_snapshot snapshot;
    snapshot.asOf = m_asOf;
    snapshot.missingGrace = missingGrace(now);
    snapshot.since = since >= m_removalsSince ? since : 0;
    for (const auto &[name, object] : m_objects) {
        if (object.revision > snapshot.since) {
            snapshot.objects.push_back(object);
        }
    }
    if (snapshot.since > 0) {
        for (const removal &each : m_removals) {
            if (each.revision > snapshot.since && !m_objects.contains(each.name)) {
                snapshot.removed.push_back(each.name);
            }
        }
    }
    return snapshot;
}

void object_follower::on(time_point now, const follower_event::role_changed &input, std::vector<effect> &)
{
    m_usesShortWatches = input.usesShortWatches;
    if (m_watchesApi == input.watchesApi) {
        return;
    }
    m_watchesApi = input.watchesApi;
    if (!m_watchesApi) {
        m_failures = 0; // failed calls of this router no longer matter
    }
    m_nextCallAt = now;
}

void object_follower::on(time_point now, const follower_event::tick &, std::vector<effect> &effects)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_nextCallAt = std::max(m_nextCallAt, now + m_options.initialListDelay);
    }
    // Until it has all objects, every router lists them itself: the routers that could send them may have started with it.
    if (m_phase != phase::idle || now < m_nextCallAt || (!m_watchesApi && m_isComplete)) {
        return;
    }
    if (m_needsList) {
        startList(now, effects);
    } else {
        startWatch(now, effects);
    }
}

void object_follower::replaceAll(const std::vector<stored_object> &objects, duration grace, std::vector<effect> &effects)
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
        applyRemoval(name, m_asOf, grace, effects);
    }
    for (const stored_object &object : objects) {
        applyChange(object, effects);
    }
    // Objects that were added and removed between the two states were never seen here, so earlier removals are incomplete.
    m_removals.clear();
    m_removalsSince = m_asOf;
}

void object_follower::applyChange(const stored_object &object, std::vector<effect> &effects)
{
    stored_object &known = m_objects[object.name];
    if (known.revision >= object.revision) {
        return;
    }
    m_contentHash ^= known.name.empty() ? 0 : hashOf(known); // an empty name: the object is new
    m_contentHash ^= hashOf(object);
    known = object;
    effects.emplace_back(follower_effect::object_changed {object});
}

void object_follower::applyRemoval(const std::string &name, store_revision revision, duration grace, std::vector<effect> &effects)
{
    if (const auto known = m_objects.find(name); known != m_objects.end()) {
        m_contentHash ^= hashOf(known->second);
        m_objects.erase(known);
    }
    recordRemoval(name, revision);
    effects.emplace_back(follower_effect::object_removed {name, grace});
}

void object_follower::recordRemoval(const std::string &name, store_revision revision)
{
    m_removals.push_back({name, revision});
    if (m_removals.size() > limits::maxRemovals) {
        m_removalsSince = std::max(m_removalsSince, m_removals.front().revision);
        m_removals.pop_front();
    }
}

duration object_follower::missingGrace(time_point now) const
{
    return m_failures > 0 || m_hadOutage ? std::max(duration(0), m_options.missingGrace - (now - m_lastFailedAt)) : duration(0);
}

} // namespace nutmegtally
