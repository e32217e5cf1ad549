#include "limits.h"

#include <nutmegtally/restore_guard.h>

#include <algorithm>

namespace nutmegtally
{

time_point restore_guard::endOfKeeping(time_point now) const
{
    return m_keepTime ? now + *m_keepTime : time_point::max();
}

time_point restore_guard::endOfHolding(time_point now) const
{
    return m_keepTime ? now + std::max(*m_keepTime, limits::minHeldBackTime) : time_point::max();
}

void restore_guard::recordRemoval(const std::string &name, const content_version &content, std::uint64_t era, time_point now)
{
    removal &known = m_removals[name];
    known.content = std::max(known.content, content);
    known.era = era;
    known.at = now;
    if (m_removals.size() > limits::maxRemovals) {
        m_removals.erase(
            std::min_element(m_removals.begin(), m_removals.end(), [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
}

bool restore_guard::wasRemovedIn(const std::string &name, std::uint64_t era) const
{
    const auto removed = m_removals.find(name);
    return removed != m_removals.end() && removed->second.era == era;
}

bool restore_guard::holdsBack(const stored_object *known, const stored_object &incoming, time_point now)
{
    bool isOlder = false;
    if (known != nullptr) {
        isOlder = known->revision.era < incoming.revision.era && known->content > incoming.content;
    } else if (const auto removed = m_removals.find(incoming.name); removed != m_removals.end()) {
        // Without a version in its content, an object that comes back cannot be told from a new one.
        isOlder = removed->second.era < incoming.revision.era && incoming.content != content_version()
                  && removed->second.content >= incoming.content;
    }
    if (!isOlder) {
        return false;
    }
    const auto [held, isNew] = m_heldBack.try_emplace(incoming.name, held_object {incoming, endOfHolding(now)});
    held->second.object = incoming;
    return true;
}

void restore_guard::keep(const std::string &name, time_point now)
{
    m_kept.try_emplace(name, endOfKeeping(now));
}

void restore_guard::settle(const std::string &name)
{
    m_kept.erase(name);
    m_heldBack.erase(name);
    m_removals.erase(name);
}

std::vector<std::string> restore_guard::takeExpired(time_point now)
{
    std::vector<std::string> names;
    for (const auto &[name, until] : m_kept) {
        if (until <= now) {
            names.push_back(name);
        }
    }
    for (const std::string &name : names) {
        m_kept.erase(name);
    }
    return names;
}

std::vector<stored_object> restore_guard::takeReleased(time_point now)
{
    std::vector<stored_object> objects;
    for (const auto &[name, held] : m_heldBack) {
        if (held.until <= now) {
            objects.push_back(held.object);
        }
    }
    for (const stored_object &object : objects) {
        settle(object.name);
    }
    return objects;
}

} // namespace nutmegtally
