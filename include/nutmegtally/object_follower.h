// Follows all objects of one kind in the platform's object API: reads the list, then waits for changes, and starts
// over when the history is gone or the API was away. A reducer; calls are effects, their results events. What other
// routers have read serves as well while the API does not answer.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/stored_object.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtally
{

struct follower_options {
    std::string kind; // for log lines
    duration watchTimeout = std::chrono::seconds(25); // longest time of one wait for changes
    duration shortWatchTimeout = std::chrono::seconds(1); // the same at a router that probes the API
    duration initialListDelay {0}; // before the first list, for other routers to tell the state
    duration watchDelay {0}; // after changes before the next wait, so that one call brings several
    /// How long an object stays usable that is missing after an outage, from the last failed call on: entries that lapsed are
    /// back two seconds after the API, which came back up to a call's pause later. Drains bind again after three seconds.
    duration missingGrace = std::chrono::milliseconds(2800);
};

namespace follower_event
{

/// One page of the list.
struct page_received {
    std::vector<stored_object> objects;
    bool hasMore = false;
    store_revision asOf = 0;
};

/// Result of a wait; no objects if nothing changed.
struct changes_received {
    std::vector<stored_object> objects;
    store_revision asOf = 0;
};

/// The API no longer has the changes since the revision that was asked for.
struct history_expired {
};

struct call_failed {
    std::string why;
};

/// Objects as another router read them.
struct snapshot_received {
    object_snapshot snapshot;
    std::string from;
};

/// What this router does for the others.
struct role_changed {
    bool watchesApi = true; // it calls the API itself; otherwise it learns from routers that do
    bool usesShortWatches = true; // its waits are short, so that one that was lost without a sign is noticed soon
};

struct tick {
};

} // namespace follower_event

namespace follower_effect
{

struct read_page {
    std::string after; // name of the last object of the page before; empty for the first page
};

struct watch_changes {
    store_revision since = 0;
    duration watchTimeout {0};
};

struct object_changed {
    stored_object object;
};

struct object_removed {
    std::string name;
    duration grace {0}; // it may only have lapsed while the API was away
};

} // namespace follower_effect

class object_follower
{
public:
    using event
        = std::variant<follower_event::page_received, follower_event::changes_received, follower_event::history_expired,
                       follower_event::call_failed, follower_event::snapshot_received, follower_event::role_changed, follower_event::tick>;
    using effect = std::variant<follower_effect::read_page, follower_effect::watch_changes, follower_effect::object_changed,
                                follower_effect::object_removed, log_record>;

    explicit object_follower(follower_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// The list was read at least once, here or by another router.
    bool isComplete() const
    {
        return m_isComplete;
    }

    /// The API answered the last call, or a wait is running.
    bool isApiReachable() const
    {
        return m_failures == 0;
    }

    /// What a router needs that has the state at @p since; all objects if its removals are not known that far back.
    object_snapshot snapshotSince(store_revision since, time_point now) const;

    /// True if another router knows a newer and different set of objects.
    bool isBehind(store_revision asOf, std::uint64_t hash) const
    {
        return asOf > m_asOf && (m_asOf == 0 || hash != contentHash());
    }

    store_revision asOf() const
    {
        return m_asOf;
    }

    /// Equal for equal sets of objects.
    std::uint64_t contentHash() const
    {
        return m_contentHash;
    }

    const std::map<std::string, stored_object> &objects() const
    {
        return m_objects;
    }

private:
    struct removal {
        std::string name;
        store_revision revision = 0; // of the state without the object
    };

    enum class phase : std::uint8_t {
        idle, // the next call is due at m_nextCallAt
        listing,
        watching,
    };

    void on(time_point now, const follower_event::page_received &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::changes_received &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::history_expired &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::call_failed &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::snapshot_received &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::role_changed &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::tick &input, std::vector<effect> &effects);

    void recordAnswer(time_point now, std::vector<effect> &effects);
    void startList(time_point now, std::vector<effect> &effects);
    void startWatch(time_point now, std::vector<effect> &effects);
    void replaceAll(const std::vector<stored_object> &objects, duration grace, std::vector<effect> &effects);
    void applyChange(const stored_object &object, std::vector<effect> &effects);
    void applyRemoval(const std::string &name, store_revision revision, duration grace, std::vector<effect> &effects);
    void recordRemoval(const std::string &name, store_revision revision);
    duration missingGrace(time_point now) const;

    follower_options m_options;
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_contentHash = 0; // over names and revisions of m_objects; changed with each of them
    std::vector<stored_object> m_listed; // pages of the list that is being read
    store_revision m_asOf = 0; // m_objects is the state at this revision or later; never falls
    phase m_phase = phase::idle;
    bool m_isComplete = false;
    bool m_needsList = true; // the history since m_asOf is not known to be there
    unsigned m_failures = 0; // calls that failed in a row
    bool m_watchesApi = true;
    bool m_usesShortWatches = true;
    std::deque<removal> m_removals; // in the order of their revisions, at most limits::maxRemovals
    store_revision m_removalsSince = 0; // all removals after this revision are in m_removals
    time_point m_nextCallAt;
    bool m_isStarted = false; // the first tick has come
    time_point m_failingSince;
    time_point m_callStartedAt; // start of the running call
    time_point m_lastFailedAt; // start of the last failed call; the API may be back since then
    bool m_hadOutage = false; // before the last answer
};

} // namespace nutmegtally
