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
    return mixHash(mixHash(hashText(object.name), object.revision.number), object.revision.era);
}

} // namespace

object_follower::object_follower(follower_options options)
    : m_options(std::move(options))
    , m_guard(m_options.keepAfterRestore)
{
}

void object_follower::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    std::visit([&](const auto &each) { on(now, each, effects); }, input);
}

void object_follower::startCall(time_point now, std::vector<effect> &effects)
{
    if (m_needsList || m_isInDoubt) {
        startList(now, effects);
    } else {
        startWatch(now, effects);
    }
}

void object_follower::startList(time_point now, std::vector<effect> &effects)
{
    m_callStartedAt = now;
    m_phase = phase::listing;
    m_isInDoubt = false;
    m_listed.clear();
    m_listedAsOf.reset();
    effects.emplace_back(follower_effect::read_page {});
}

void object_follower::startWatch(time_point now, std::vector<effect> &effects)
{
    m_callStartedAt = now;
    m_phase = phase::watching;
    // An early answer shows that the API is available again.
    const duration watchTimeout = m_failures > 0 ? limits::watchTimeoutAfterFailure : m_options.watchTimeout;
    m_watchedSince = m_asOf;
    effects.emplace_back(follower_effect::watch_changes {m_asOf, watchTimeout});
}

store_revision object_follower::withEra(store_revision revision) const
{
    return revision.era == 0 ? store_revision(m_asOf.era, revision.number) : revision;
}

void object_follower::paceNextCall(time_point now, bool hasProgress)
{
    const bool isFruitless = !hasProgress && now - m_callStartedAt < limits::minCallBackoff;
    if (!isFruitless) {
        m_fruitless = 0;
        return;
    }
    const unsigned doublings = std::min(m_fruitless, 5U);
    ++m_fruitless;
    m_nextCallAt = std::max(m_nextCallAt, now + std::min(limits::maxCallBackoff, limits::minCallBackoff * (1U << doublings)));
}

void object_follower::enterEra(time_point now, store_revision asOf, std::vector<effect> &effects)
{
    log_line line;
    line.with("kind", m_options.kind)
        .with("era", asOf.era)
        .with("as_of", asOf.number)
        .with("previous_era", m_asOf.era)
        .with("previous", m_asOf.number);
    effects.emplace_back(log_record {log_event::storeRestored, line.take()});
    m_restoredAt = now; // entries may also have expired while the store was away
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

void object_follower::logUnreadable(unsigned objects, std::vector<effect> &effects) const
{
    if (objects > 0) {
        log_line line;
        line.with("kind", m_options.kind).with("objects", objects).with("why", "no name or revision");
        effects.emplace_back(log_record {log_event::entryUnreadable, line.take()});
    }
}

void object_follower::on(time_point now, const follower_event::page_received &input, std::vector<effect> &effects)
{
    if (m_phase != phase::listing) {
        return;
    }
    const store_revision pageAsOf = withEra(input.asOf);
    if (pageAsOf.era < m_asOf.era || (m_listedAsOf && pageAsOf.era != m_listedAsOf->era)) {
        on(now, follower_event::call_failed {"the answer is of an earlier era, or its pages are of two"}, effects);
        return;
    }
    recordAnswer(now, effects);
    logUnreadable(input.unreadable, effects);
    // A change between two pages is in none of them, so the watch has to begin at the first one.
    const store_revision asOf = m_listedAsOf ? std::min(*m_listedAsOf, pageAsOf) : pageAsOf;
    m_listedAsOf = asOf;
    for (const stored_object &object : input.objects) {
        m_listed.push_back(object);
        m_listed.back().revision.era = asOf.era;
    }
    if (input.hasMore && !input.objects.empty()) {
        effects.emplace_back(follower_effect::read_page {input.objects.back().name});
        return;
    }
    log_line line;
    line.with("kind", m_options.kind)
        .with("objects", m_listed.size())
        .with("era", asOf.era)
        .with("as_of", asOf.number)
        .with("previous", m_asOf.number);
    effects.emplace_back(log_record {log_event::listRead, line.take()});
    m_needsList = false;
    m_nextCallAt = now;
    paceNextCall(now, asOf > m_asOf);
    if (asOf >= m_asOf) {
        if (m_isComplete && asOf.era > m_asOf.era) {
            enterEra(now, asOf, effects);
        }
        replaceAll(now, m_listed, asOf, missingGrace(now), effects);
    }
    m_listed.clear();
    m_isComplete = true;
    m_phase = phase::idle;
    if (m_watchesApi && m_nextCallAt == now) {
        startCall(now, effects);
    }
}

void object_follower::on(time_point now, const follower_event::changes_received &input, std::vector<effect> &effects)
{
    if (m_phase != phase::watching) {
        return;
    }
    const store_revision asOf = withEra(input.asOf);
    recordAnswer(now, effects);
    if (asOf.era != m_watchedSince.era) {
        // Changes since a revision that means another state now: only a list tells what changed.
        m_needsList = true;
        m_phase = phase::idle;
        m_nextCallAt = now;
        paceNextCall(now, false);
        return;
    }
    logUnreadable(input.unreadable, effects);
    const bool wasKeeping = m_guard.isActive();
    const store_revision newAsOf = std::max(m_asOf, asOf);
    for (stored_object object : input.objects) {
        object.revision.era = asOf.era;
        if (!object.isDeleted) {
            if (isNews(object.name, object.revision)) {
                takeChange(now, object, effects);
            }
            continue;
        }
        const auto known = m_objects.find(object.name);
        const bool isKnownAtRemoval = known != m_objects.end() && known->second.revision == object.revision;
        if (!isKnownAtRemoval && !isNews(object.name, object.revision)) {
            continue;
        }
        m_guard.settle(object.name);
        m_guard.recordRemoval(object.name, object.content, asOf.era, now);
        if (known != m_objects.end()) {
            applyRemoval(now, object.name, newAsOf, missingGrace(now), effects);
        } else {
            recordRemoval(object.name, newAsOf); // other routers may have the object
        }
    }
    logMended(wasKeeping, effects);
    m_nextCallAt = now + (input.objects.empty() ? duration(0) : m_options.watchDelay);
    paceNextCall(now, asOf > m_asOf || !input.objects.empty());
    m_asOf = newAsOf;
    m_phase = phase::idle;
    if (m_watchesApi && m_nextCallAt == now) {
        startCall(now, effects);
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
    m_phase = phase::idle;
    m_nextCallAt = now;
    paceNextCall(now, false);
    if (m_fruitless <= 1) {
        startList(now, effects);
    }
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
        line.with("kind", m_options.kind).with("why", input.why).with("as_of", m_asOf.number);
        effects.emplace_back(log_record {log_event::platformUnreachable, line.take()});
    }
}

void object_follower::on(time_point now, const follower_event::snapshot_received &input, std::vector<effect> &effects)
{
    object_snapshot snapshot = input.snapshot;
    snapshot.asOf = withEra(snapshot.asOf);
    snapshot.since = snapshot.since == store_revision() ? snapshot.since : withEra(snapshot.since);
    for (stored_object &object : snapshot.objects) {
        object.revision = withEra(object.revision);
    }
    if (snapshot.asOf <= m_asOf && snapshot.asOf.era == m_asOf.era && snapshot.since == store_revision()) {
        mergeKept(now, snapshot.objects, effects);
    }
    if (snapshot.asOf <= m_asOf || snapshot.since > m_asOf) {
        return;
    }
    log_line line;
    line.with("kind", m_options.kind)
        .with("from", input.from)
        .with("era", snapshot.asOf.era)
        .with("as_of", snapshot.asOf.number)
        .with("previous", m_asOf.number)
        .with("since", snapshot.since.number)
        .with("objects", snapshot.objects.size())
        .with("removed", snapshot.removed.size());
    effects.emplace_back(log_record {log_event::newsTaken, line.take()});
    if (m_isComplete && snapshot.asOf.era > m_asOf.era) {
        enterEra(now, snapshot.asOf, effects);
    }
    const duration grace = std::max(snapshot.missingGrace, missingGrace(now));
    if (snapshot.since == store_revision()) {
        replaceAll(now, snapshot.objects, snapshot.asOf, grace, effects);
    } else {
        applyDifference(now, snapshot, grace, effects);
    }
    m_isComplete = true;
    m_needsList = false;
}

void object_follower::applyDifference(time_point now, const object_snapshot &difference, duration grace, std::vector<effect> &effects)
{
    const bool wasKeeping = m_guard.isActive();
    for (const std::string &name : difference.removed) {
        const auto known = m_objects.find(name);
        if (known == m_objects.end() || known->second.revision <= difference.asOf) {
            m_guard.settle(name);
            applyRemoval(now, name, difference.asOf, grace, effects);
        }
    }
    for (const stored_object &object : difference.objects) {
        if (isNews(object.name, object.revision)) {
            takeChange(now, object, effects);
        }
    }
    m_asOf = difference.asOf;
    logMended(wasKeeping, effects);
}

void object_follower::mergeKept(time_point now, const std::vector<stored_object> &objects, std::vector<effect> &effects)
{
    for (const stored_object &object : objects) {
        const auto known = m_objects.find(object.name);
        const bool isLacking
            = known == m_objects.end() && !m_guard.isHeldBack(object.name) && !m_guard.wasRemovedIn(object.name, m_asOf.era);
        const bool isNewer = known != m_objects.end() && object.content > known->second.content;
        if (object.revision.era == m_asOf.era || !(isLacking || isNewer)) {
            continue;
        }
        if (isNewer) {
            const stored_object older = known->second;
            applyChange(object, effects);
            m_guard.holdsBack(&object, older, now);
        } else {
            applyChange(object, effects);
            m_guard.keep(object.name, now);
        }
    }
}

object_snapshot object_follower::snapshotSince(store_revision since, time_point now) const
{
    object_snapshot snapshot;
    snapshot.asOf = m_asOf;
    snapshot.missingGrace = missingGrace(now);
    // What the store lost is only in whole snapshots: its revisions are of an earlier era.
    const bool isDifference = since.era == m_asOf.era && since >= m_removalsSince && !m_guard.isActive();
    snapshot.since = isDifference ? since : store_revision();
    for (const auto &[name, object] : m_objects) {
        if (!isDifference || object.revision > snapshot.since) {
            snapshot.objects.push_back(object);
        }
    }
    if (isDifference) {
        for (const removal &each : m_removals) {
            if (each.revision > snapshot.since && !m_objects.contains(each.name)) {
                snapshot.removed.push_back(each.name);
            }
        }
    }
    return snapshot;
}

void object_follower::on(time_point now, const follower_event::copy_differs &input, std::vector<effect> &effects)
{
    if (now < m_nextDoubtAt) {
        return;
    }
    m_isInDoubt = true;
    m_nextDoubtAt = now + limits::minDoubtInterval;
    log_line line;
    line.with("kind", m_options.kind)
        .with("from", input.from)
        .with("era", m_asOf.era)
        .with("as_of", m_asOf.number)
        .with("objects", m_objects.size());
    effects.emplace_back(log_record {log_event::copyDiffers, line.take()});
}

void object_follower::on(time_point, const follower_event::availability_changed &input, std::vector<effect> &)
{
    m_servesOthers = input.servesOthers;
}

void object_follower::on(time_point now, const follower_event::role_changed &input, std::vector<effect> &)
{
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
    endKeeping(now, effects);
    // Until it has all objects, every router lists them itself: the routers that could send them may have started with it.
    const bool makesCalls = m_watchesApi || !m_isComplete || m_isInDoubt;
    if (m_phase == phase::idle && now >= m_nextCallAt && makesCalls) {
        startCall(now, effects);
    }
}

bool object_follower::isNews(const std::string &name, store_revision revision) const
{
    const auto known = m_objects.find(name);
    return revision > (known == m_objects.end() ? m_asOf : known->second.revision);
}

void object_follower::replaceAll(time_point now, const std::vector<stored_object> &objects, store_revision asOf, duration grace,
                                 std::vector<effect> &effects)
{
    m_asOf = asOf;
    const bool wasKeeping = m_guard.isActive();
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
        const store_revision known = m_objects.at(name).revision;
        if (known.era < m_asOf.era) {
            m_guard.keep(name, now);
        } else if (known <= m_asOf) {
            applyRemoval(now, name, m_asOf, grace, effects);
        }
    }
    for (const stored_object &object : objects) {
        takeChange(now, object, effects);
    }
    if (!wasKeeping && m_guard.isActive()) {
        log_line line;
        line.with("kind", m_options.kind).with("era", m_asOf.era).with("kept", m_guard.kept()).with("held_back", m_guard.heldBack());
        effects.emplace_back(log_record {log_event::lostObjectsKept, line.take()});
    }
    logMended(wasKeeping, effects);
    // Objects that were added and removed between the two states were never seen here, so earlier removals are incomplete.
    m_removals.clear();
    m_removalsSince = m_asOf;
}

void object_follower::takeChange(time_point now, const stored_object &object, std::vector<effect> &effects)
{
    const auto known = m_objects.find(object.name);
    if (known != m_objects.end() && known->second.revision >= object.revision) {
        return;
    }
    const bool isKeptElsewhere = object.revision.era < m_asOf.era;
    if (isKeptElsewhere && m_guard.wasRemovedIn(object.name, m_asOf.era)) {
        return;
    }
    if (m_guard.holdsBack(known == m_objects.end() ? nullptr : &known->second, object, now)) {
        return;
    }
    m_guard.settle(object.name);
    if (isKeptElsewhere) {
        m_guard.keep(object.name, now);
    }
    applyChange(object, effects);
}

void object_follower::applyChange(const stored_object &object, std::vector<effect> &effects)
{
    stored_object &known = m_objects[object.name];
    // After a restore the store lists all objects with revisions of the new era, most of them unchanged.
    const bool isSame = known.name == object.name && known.text == object.text && known.revision.era != object.revision.era;
    m_contentHash ^= known.name.empty() ? 0 : hashOf(known); // an empty name: the object is new
    m_contentHash ^= hashOf(object);
    known = object;
    if (!isSame) {
        effects.emplace_back(follower_effect::object_changed {object});
    }
}

void object_follower::applyRemoval(time_point now, const std::string &name, store_revision revision, duration grace,
                                   std::vector<effect> &effects)
{
    if (const auto known = m_objects.find(name); known != m_objects.end()) {
        m_guard.recordRemoval(name, known->second.content, revision.era, now);
        m_contentHash ^= hashOf(known->second);
        m_objects.erase(known);
    }
    recordRemoval(name, revision);
    effects.emplace_back(follower_effect::object_removed {name, grace});
}

void object_follower::endKeeping(time_point now, std::vector<effect> &effects)
{
    const bool wasKeeping = m_guard.isActive();
    for (const std::string &name : m_guard.takeExpired(now)) {
        applyRemoval(now, name, m_asOf, duration(0), effects);
    }
    for (const stored_object &object : m_guard.takeReleased(now)) {
        applyChange(object, effects);
    }
    logMended(wasKeeping, effects);
}

void object_follower::logMended(bool wasActive, std::vector<effect> &effects) const
{
    if (wasActive && !m_guard.isActive()) {
        log_line line;
        line.with("kind", m_options.kind).with("era", m_asOf.era).with("as_of", m_asOf.number);
        effects.emplace_back(log_record {log_event::lostObjectsSettled, line.take()});
    }
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
    const bool isOutage = (m_failures > 0 || m_hadOutage) && !m_servesOthers;
    const duration afterOutage = isOutage ? m_options.missingGrace - (now - m_lastFailedAt) : duration(0);
    const duration afterRestore = m_restoredAt ? m_options.missingGrace - (now - *m_restoredAt) : duration(0);
    return std::max({duration(0), afterOutage, afterRestore});
}

} // namespace nutmegtally
