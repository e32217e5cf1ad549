// Queue of an agent, ordered by class priority, then by deficit round robin over client accounts, then by deadline
// within an account. Round robin takes precedence over deadlines because deadlines are almost never equal: as a mere
// tie-break it would never apply, and a surging account would delay all others.
#pragma once

#include <nutmegtally/ids.h>
#include <nutmegtally/time.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace nutmegtally::detail
{

/// @tparam Work Has attempt, info.account, info.deadline, uncachedTokens and priority.
template<typename Work>
class fair_queue
{
public:
    std::size_t size() const
    {
        return m_size;
    }

    std::size_t sizeOf(account_id account) const
    {
        const auto found = m_byAccount.find(account);
        return found == m_byAccount.end() ? 0 : found->second;
    }

    /// Number of queued entries of each account that has any.
    const std::map<account_id, std::size_t> &accounts() const
    {
        return m_byAccount;
    }

    void push(Work work)
    {
        const account_id account = work.info.account;
        priority_level &level = m_levels[work.priority];
        account_queue &queue = level.accounts[account];
        if (queue.entries.empty()) {
            level.roundRobin.push_back(account);
        }
        queue.entries.emplace(work.info.deadline, std::move(work));
        ++m_byAccount[account];
        ++m_size;
    }

    /// Removes and returns the next work whose account may start work.
    /// @param share Returns the weight of an account.
    /// @param mayStart Returns whether work of an account may start now.
    template<typename Share, typename MayStart>
    std::optional<Work> pop(Share share, MayStart mayStart)
    {
        for (auto &[priority, level] : m_levels) {
            if (std::optional<Work> work = popLevel(level, share, mayStart)) {
                return work;
            }
        }
        return {};
    }

    /// Removes one entry that matches. @return The entry, if any.
    template<typename Match>
    std::optional<Work> remove(Match match)
    {
        for (auto &[priority, level] : m_levels) {
            for (auto &[account, queue] : level.accounts) {
                for (auto it = queue.entries.begin(); it != queue.entries.end(); ++it) {
                    if (match(it->second)) {
                        return extract(level, account, queue, it);
                    }
                }
            }
        }
        return {};
    }

    /// Removes and returns the account's entry with the lowest priority and, among those, the latest deadline.
    std::optional<Work> removeLast(account_id account)
    {
        for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
            const auto found = level->second.accounts.find(account);
            if (found != level->second.accounts.end()) {
                return extract(level->second, account, found->second, std::prev(found->second.entries.end()));
            }
        }
        return {};
    }

    /// Number of entries expected to leave before a new one of this account and priority. Round robin lets an account
    /// with few entries overtake the others: the new entry waits for its account's own entries and for at most one
    /// more than that of each other account.
    std::size_t countAhead(unsigned priority, account_id account) const
    {
        std::size_t count = 0;
        for (const auto &[value, level] : m_levels) {
            if (value > priority) {
                break;
            }
            const auto found = level.accounts.find(account);
            const std::size_t ownQueued = found == level.accounts.end() ? 0 : found->second.entries.size();
            for (const auto &[id, queue] : level.accounts) {
                count
                    += value < priority ? queue.entries.size() : std::min(queue.entries.size(), id == account ? ownQueued : ownQueued + 1);
            }
        }
        return count;
    }

    /// Calls visit(work) for each entry.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[priority, level] : m_levels) {
            for (const auto &[account, queue] : level.accounts) {
                for (const auto &[deadline, work] : queue.entries) {
                    visit(work);
                }
            }
        }
    }

private:
    static constexpr double quantumTokens = 1024; // added to an account's deficit per round and unit of share
    static constexpr double requestCostTokens = 256; // fixed part of a request's cost, in addition to its uncached tokens

    struct account_queue {
        std::multimap<time_point, Work> entries;
        double deficit = 0;
    };

    struct priority_level {
        std::map<account_id, account_queue> accounts; // only those with entries
        std::deque<account_id> roundRobin;
    };

    template<typename Share, typename MayStart>
    std::optional<Work> popLevel(priority_level &level, Share share, MayStart mayStart)
    {
        std::size_t blocked = 0;
        while (blocked < level.roundRobin.size()) {
            const account_id account = level.roundRobin.front();
            account_queue &queue = level.accounts.at(account);
            if (!mayStart(account)) {
                ++blocked;
                rotate(level);
                continue;
            }
            const auto first = queue.entries.begin();
            const double cost = requestCostTokens + first->second.uncachedTokens;
            if (queue.deficit < cost) {
                queue.deficit += quantumTokens * share(account);
                blocked = 0;
                rotate(level);
                continue;
            }
            queue.deficit -= cost;
            return extract(level, account, queue, first);
        }
        return {};
    }

    static void rotate(priority_level &level)
    {
        level.roundRobin.push_back(level.roundRobin.front());
        level.roundRobin.pop_front();
    }

    Work extract(priority_level &level, account_id account, account_queue &queue, typename std::multimap<time_point, Work>::iterator entry)
    {
        Work work = std::move(entry->second);
        queue.entries.erase(entry);
        if (queue.entries.empty()) {
            level.accounts.erase(account);
            std::erase(level.roundRobin, account);
        }
        if (--m_byAccount[account] == 0) {
            m_byAccount.erase(account);
        }
        --m_size;
        return work;
    }

    std::map<unsigned, priority_level> m_levels; // by priority, 0 first
    std::map<account_id, std::size_t> m_byAccount;
    std::size_t m_size = 0;
};

} // namespace nutmegtally::detail
