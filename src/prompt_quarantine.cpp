#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/prompt_quarantine.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace nutmegtally
{

namespace
{

/// Length of a quarantine after so many crashes of engines.
duration termAfter(unsigned crashes)
{
    constexpr std::size_t levels = std::size(limits::quarantineTerms);
    if (crashes < limits::minQuarantineCrashes) {
        return duration(0);
    }
    return limits::quarantineTerms[std::min<std::size_t>(crashes - limits::minQuarantineCrashes, levels - 1)];
}

/// An engine that survived a part once weighs as much as some crashes: the part was in a prompt that crashed it by another one.
unsigned suspicion(unsigned crashes, bool isProven)
{
    return isProven ? crashes - std::min(crashes, limits::crashesOutweighedBySurvival) : crashes;
}

} // namespace

crash_id crashIdOf(std::string_view instance, std::uint64_t incarnation)
{
    return static_cast<crash_id>(hashText(instance, incarnation) >> 32);
}

std::optional<time_point> prompt_quarantine::survivalOf(std::uint64_t part) const
{
    for (const auto *generation : {&m_survivals, &m_olderSurvivals}) {
        if (const auto found = generation->find(part); found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

bool prompt_quarantine::isProven(const prompt_parts &prompt) const
{
    const std::vector<std::uint64_t> parts = sharedPartsOf(prompt);
    return std::all_of(parts.begin(), parts.end(), [this](std::uint64_t part) { return survivalOf(part).has_value(); });
}

bool prompt_quarantine::addCrash(std::uint64_t part, std::uint32_t depth, crash_id id, const crash_record &crash)
{
    const auto [found, isNew] = m_records.try_emplace(part);
    part_record &record = found->second;
    if (isNew) {
        record.survivedAt = survivalOf(part);
    }
    record.depth = std::max(record.depth, depth);
    if (record.survivedAt && crash.at <= *record.survivedAt) {
        return false;
    }
    const auto [known, isAdded] = record.crashes.try_emplace(id, crash);
    known->second.sentAt = std::min(known->second.sentAt, crash.sentAt);
    if (record.crashes.size() > limits::maxCrashesPerPart) {
        record.crashes.erase(std::min_element(record.crashes.begin(), record.crashes.end(),
                                              [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
    return isAdded;
}

bool prompt_quarantine::addSurvival(std::uint64_t part, time_point at)
{
    if (const std::optional<time_point> known = survivalOf(part); known && *known >= at) {
        return false;
    }
    m_survivals[part] = at;
    if (m_survivals.size() > limits::maxSurvivedParts / 2) {
        m_olderSurvivals = std::move(m_survivals);
        m_survivals.clear();
    }
    const auto found = m_records.find(part);
    if (found == m_records.end()) {
        return false;
    }
    part_record &record = found->second;
    record.survivedAt = at;
    return std::erase_if(record.crashes, [at](const auto &crash) { return crash.second.at <= at; }) > 0;
}

bool prompt_quarantine::addToldSurvival(std::uint64_t part, time_point at)
{
    // The time on the way makes the same survival look newer at each router that passes it on.
    const std::optional<time_point> known = survivalOf(part);
    return (!known || at > *known + limits::survivalRefreshInterval) && addSurvival(part, at);
}

void prompt_quarantine::recordCrash(crash_id id, const std::vector<crash_suspect> &suspects, time_point now)
{
    bool isNews = false;
    for (const crash_suspect &suspect : suspects) {
        const std::vector<std::uint64_t> parts = sharedPartsOf(suspect.prompt);
        for (std::size_t depth = 0; depth < parts.size(); ++depth) {
            isNews = addCrash(parts[depth], static_cast<std::uint32_t>(depth), id, {now, suspect.sentAt}) || isNews;
        }
    }
    noteNews(isNews, now);
}

void prompt_quarantine::recordSurvival(const prompt_parts &prompt, time_point now)
{
    bool isNews = false;
    for (const std::uint64_t part : sharedPartsOf(prompt)) {
        isNews = addSurvival(part, now) || isNews;
    }
    noteNews(isNews, now);
}

void prompt_quarantine::release(std::uint64_t part, time_point now)
{
    std::vector<std::uint64_t> released {part};
    if (const auto found = m_records.find(part); found != m_records.end()) {
        for (const auto &[other, record] : m_records) {
            const bool sharesCrash = std::any_of(record.crashes.begin(), record.crashes.end(),
                                                 [&](const auto &crash) { return found->second.crashes.contains(crash.first); });
            if (sharesCrash && other != part) {
                released.push_back(other);
            }
        }
    }
    bool isNews = false;
    for (const std::uint64_t each : released) {
        isNews = addSurvival(each, now) || isNews;
    }
    noteNews(isNews, now);
}

void prompt_quarantine::merge(const std::vector<part_evidence> &evidence, time_point now)
{
    bool isNews = false;
    for (const part_evidence &each : evidence) {
        isNews = (each.survivalAge && addToldSurvival(each.part, now - *each.survivalAge)) || isNews;
        for (const part_evidence::crash &crash : each.crashes) {
            isNews = addCrash(each.part, each.depth, crash.id, {now - crash.age, now - crash.sendAge}) || isNews;
        }
    }
    noteNews(isNews, now);
}

void prompt_quarantine::noteNews(bool isNews, time_point now)
{
    if (isNews) {
        m_hasNews = true;
        attribute(now);
    }
}

void prompt_quarantine::tick(time_point now)
{
    if (!m_records.empty() && now >= m_nextSweepAt) {
        m_nextSweepAt = now + limits::quarantineSweepInterval;
        attribute(now);
    }
}

void prompt_quarantine::expire(time_point now)
{
    for (auto &[part, record] : m_records) {
        std::erase_if(record.crashes, [now](const auto &crash) { return now - crash.second.at >= limits::crashLifetime; });
    }
    std::erase_if(m_records, [now](const auto &each) {
        const part_record &record = each.second;
        const bool isTold = !record.survivedAt || now - *record.survivedAt >= limits::survivalShareTime;
        return record.crashes.empty() && record.reported == 0 && isTold;
    });
    while (m_records.size() > limits::maxSuspectedParts) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
            return std::tie(a.second.unexplained, a.second.lastCrashAt) < std::tie(b.second.unexplained, b.second.lastCrashAt);
        }));
    }
}

unsigned prompt_quarantine::occasionsWithout(const part_record &record, const std::unordered_set<crash_id> &explained)
{
    std::vector<crash_record> crashes;
    for (const auto &[id, crash] : record.crashes) {
        if (!explained.contains(id)) {
            crashes.push_back(crash);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const crash_record &a, const crash_record &b) { return a.at < b.at; });
    unsigned count = 0;
    time_point last;
    for (const crash_record &crash : crashes) {
        if (count == 0 || crash.sentAt > last) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

void prompt_quarantine::attribute(time_point now)
{
    // Of parts that were in the same crashes, the one that no engine ever survived, and then the one that fewer prompts share.
    using gravity = std::tuple<unsigned, bool, std::uint32_t, std::uint64_t>;
    std::vector<std::pair<gravity, part_record *>> order;
    order.reserve(m_records.size());
    for (auto &[part, record] : m_records) {
        const bool isProven = record.survivedAt.has_value();
        order.push_back({gravity(suspicion(occasionsWithout(record, {}), isProven), !isProven, record.depth, part), &record});
    }
    std::sort(order.begin(), order.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::unordered_set<crash_id> explained;
    for (const auto &[rank, each] : order) {
        const std::uint64_t part = std::get<std::uint64_t>(rank);
        part_record &record = *each;
        record.unexplained = occasionsWithout(record, explained);
        for (const auto &[id, crash] : record.crashes) {
            record.lastCrashAt = std::max(record.lastCrashAt, crash.at);
        }
        record.term = termAfter(suspicion(record.unexplained, record.survivedAt.has_value()));
        if (record.term == duration(0)) {
            if (std::exchange(record.reported, 0) > 0) {
                m_changes.push_back(verdictOn(part, record, now));
            }
            continue;
        }
        for (const auto &[id, crash] : record.crashes) {
            explained.insert(id);
        }
        if (record.unexplained > record.reported) {
            record.reported = record.unexplained;
            m_changes.push_back(verdictOn(part, record, now));
        }
    }
    expire(now);
}

part_verdict prompt_quarantine::verdictOn(std::uint64_t part, const part_record &record, time_point now) const
{
    part_verdict verdict {part, part_standing::clear, record.unexplained};
    if (suspicion(record.unexplained, record.survivedAt.has_value()) == 0) {
        return verdict;
    }
    const auto rank = static_cast<duration::rep>(rankAmong(m_self, m_routers, part));
    const duration turn = std::min(rank * limits::trialStagger, limits::maxTrialWait);
    verdict.heldFor = std::max(duration(0), record.lastCrashAt + record.term + turn - now);
    const bool isInTerm = now < record.lastCrashAt + record.term;
    verdict.standing = isInTerm ? part_standing::quarantined : part_standing::suspected;
    return verdict;
}

part_verdict prompt_quarantine::judge(const prompt_parts &prompt, time_point now) const
{
    part_verdict gravest;
    if (m_records.empty()) {
        return gravest;
    }
    for (const std::uint64_t part : sharedPartsOf(prompt)) {
        const auto found = m_records.find(part);
        if (found == m_records.end()) {
            continue;
        }
        const part_verdict verdict = verdictOn(part, found->second, now);
        if (std::tie(verdict.standing, verdict.heldFor) > std::tie(gravest.standing, gravest.heldFor)) {
            gravest = verdict;
        }
    }
    return gravest;
}

std::vector<part_evidence> prompt_quarantine::evidence(time_point now) const
{
    std::vector<const part_records::value_type *> order;
    for (const auto &each : m_records) {
        const part_record &record = each.second;
        const bool isRecentlyCleared = record.survivedAt && now - *record.survivedAt < limits::survivalShareTime;
        const bool isRecent = now - record.lastCrashAt < limits::crashShareTime;
        if (isRecentlyCleared || (!record.crashes.empty() && (isRecent || record.unexplained > 1))) {
            order.push_back(&each);
        }
    }
    if (order.size() > limits::maxSharedEvidence) {
        std::sort(order.begin(), order.end(), [](const auto *a, const auto *b) {
            return std::tie(a->second.unexplained, a->second.lastCrashAt) > std::tie(b->second.unexplained, b->second.lastCrashAt);
        });
        order.resize(limits::maxSharedEvidence);
    }
    std::vector<part_evidence> list;
    for (const auto *each : order) {
        const part_record &record = each->second;
        part_evidence entry {each->first, record.depth, std::nullopt, {}};
        if (record.survivedAt) {
            entry.survivalAge = now - *record.survivedAt;
        }
        for (const auto &[id, crash] : record.crashes) {
            entry.crashes.push_back({id, now - crash.at, now - crash.sentAt});
        }
        list.push_back(std::move(entry));
    }
    return list;
}

std::vector<part_verdict> prompt_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<part_verdict> prompt_quarantine::verdicts(time_point now) const
{
    std::vector<part_verdict> list;
    for (const auto &[part, record] : m_records) {
        const part_verdict verdict = verdictOn(part, record, now);
        if (verdict.standing != part_standing::clear) {
            list.push_back(verdict);
        }
    }
    return list;
}

} // namespace nutmegtally
