// Keeps a copy of all objects of one kind in the platform's object API by list and watch: it lists the objects once, then
// watches for changes, and lists again when the API no longer has the changes since its revision. Snapshots from other
// routers are applied as well, so that the copy stays current while the API does not answer, or at a router that makes no
// calls. A store that was restored from an older copy begins an era: its revisions say nothing about those of earlier eras, and
// what it lost stays in force until it is written again. A reducer: calls are effects, their results events.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>
#include <nutmegtally/restore_guard.h>
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
    /// After which a watch without changes returns. A watch whose answer was lost looks like one without changes until its end, so this
    /// bounds how long a router misses a change, also if no other router is left to tell it. Changes take effect three seconds after an
    /// outage.
    duration watchTimeout = std::chrono::milliseconds(1400);
    duration initialListDelay {0}; // before the first list, to get a snapshot from another router instead
    duration watchDelay {0}; // between changes and the next watch, so that one call returns several changes
    /// How long an object that is missing after an outage stays usable, from the last failed call on. Entries that expired in
    /// the outage return within two seconds of the API, which returns up to one call backoff after the last failed call. Drains
    /// must take effect three seconds after the outage.
    duration missingGrace = std::chrono::milliseconds(2800);
    /// How long an object that a restored store lacks stays in force; nothing: until it is written again.
    std::optional<duration> keepAfterRestore = std::chrono::milliseconds(2800);
};

namespace follower_event
{

/// One page of the list.
struct page_received {
    std::vector<stored_object> objects;
    bool hasMore = false;
    store_revision asOf; // without an era if the answer does not tell
    unsigned unreadable = 0; // objects whose name or revision could not be read
};

/// Result of a watch; no objects if nothing changed within its timeout.
struct changes_received {
    std::vector<stored_object> objects;
    store_revision asOf; // as in page_received
    unsigned unreadable = 0; // as in page_received
};

/// The API no longer has the changes since the revision of the watch.
struct history_expired {
};

struct call_failed {
    std::string why;
};

/// Another router's copy of the objects, or what changed in it.
struct snapshot_received {
    object_snapshot snapshot;
    std::string from;
};

/// Another router's copy differs although it is of the same revision: one of the two is wrong.
struct copy_differs {
    std::string from;
};

/// Whether the API serves other routers steadily, as api_availability::isSteady().
struct availability_changed {
    bool servesOthers = false;
};

/// Whether this router calls the API on behalf of others.
struct role_changed {
    bool watchesApi = true; // false: it gets snapshots from routers that do
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
    store_revision since;
    duration watchTimeout {0};
};

struct object_changed {
    stored_object object;
};

struct object_removed {
    std::string name;
    duration grace {0}; // for which it stays usable: it may only have expired while the API was unavailable
};

} // namespace follower_effect

class object_follower
{
public:
    using event = std::variant<follower_event::page_received, follower_event::changes_received, follower_event::history_expired,
                               follower_event::call_failed, follower_event::snapshot_received, follower_event::copy_differs,
                               follower_event::availability_changed, follower_event::role_changed, follower_event::tick>;
    using effect = std::variant<follower_effect::read_page, follower_effect::watch_changes, follower_effect::object_changed,
                                follower_effect::object_removed, log_record>;

    explicit object_follower(follower_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// True once all objects are known, from a list or from another router.
    bool isComplete() const
    {
        return m_isComplete;
    }

    /// True unless the last call failed.
    bool isApiReachable() const
    {
        return m_failures == 0;
    }

    /// Changes that bring a router from the state at revision @p since to this one; all objects if removals are not known that
    /// far back.
    object_snapshot snapshotSince(store_revision since, time_point now) const;

    /// True if another router's set of objects, at revision @p asOf and with content hash @p hash, is newer and different.
    /// @param keepsLost As keepsLost() of the other router.
    bool isBehind(store_revision asOf, std::uint64_t hash, bool keepsLost = false) const
    {
        const store_revision theirs = withEra(asOf);
        const bool mayLack = theirs > m_asOf || (keepsLost && theirs.era == m_asOf.era);
        return mayLack && (m_asOf == store_revision() || hash != contentHash());
    }

    /// True if another router's set of objects, with content hash @p hash, should be equal to this one but is not.
    /// @param asOf Revision of the other set.
    /// @param keepsLost As keepsLost() of the other router.
    bool differsFrom(store_revision asOf, std::uint64_t hash, bool keepsLost) const
    {
        return m_isComplete && withEra(asOf) == m_asOf && hash != contentHash() && !keepsLost && !this->keepsLost();
    }

    /// True if objects are in force that the store lost when it was restored, and that nobody has written again.
    bool keepsLost() const
    {
        return m_guard.isActive();
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
        store_revision revision; // of the state without the object
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
    void on(time_point now, const follower_event::copy_differs &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::availability_changed &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::role_changed &input, std::vector<effect> &effects);
    void on(time_point now, const follower_event::tick &input, std::vector<effect> &effects);

    void recordAnswer(time_point now, std::vector<effect> &effects);
    void logUnreadable(unsigned objects, std::vector<effect> &effects) const;
    /// Lists if the copy is incomplete or in doubt, else watches.
    void startCall(time_point now, std::vector<effect> &effects);
    void startList(time_point now, std::vector<effect> &effects);
    void startWatch(time_point now, std::vector<effect> &effects);
    /// Adds the known era to a revision that comes without one, from a store that does not tell or a router of an earlier version.
    store_revision withEra(store_revision revision) const;
    /// Repeats a call that brought nothing later, and the later the more often that happens.
    void paceNextCall(time_point now, bool hasProgress);
    void enterEra(time_point now, store_revision asOf, std::vector<effect> &effects);
    /// False if a change or removal at this revision was superseded. An answer may be older than the copy: while a call was running,
    /// another router's snapshot may have arrived. A present object is known as of its last change, an absent one as of m_asOf.
    bool isNews(const std::string &name, store_revision revision) const;
    /// Takes the complete state at a revision that is not below m_asOf.
    void replaceAll(time_point now, const std::vector<stored_object> &objects, store_revision asOf, duration grace,
                    std::vector<effect> &effects);
    void takeChange(time_point now, const stored_object &object, std::vector<effect> &effects);
    void applyChange(const stored_object &object, std::vector<effect> &effects);
    void applyRemoval(time_point now, const std::string &name, store_revision revision, duration grace, std::vector<effect> &effects);
    void recordRemoval(const std::string &name, store_revision revision);
    /// Takes another router's changes since a revision that is not above m_asOf.
    void applyDifference(time_point now, const object_snapshot &difference, duration grace, std::vector<effect> &effects);
    /// Takes what another router of the same era keeps in force.
    void mergeKept(time_point now, const std::vector<stored_object> &objects, std::vector<effect> &effects);
    void endKeeping(time_point now, std::vector<effect> &effects);
    void logMended(bool wasActive, std::vector<effect> &effects) const;
    /// How long objects that vanish now stay usable. None while other routers are served: then only this router is refused.
    duration missingGrace(time_point now) const;

    follower_options m_options;
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_contentHash = 0; // over names and revisions of m_objects; updated incrementally
    std::vector<stored_object> m_listed; // pages received of the running list
    std::optional<store_revision> m_listedAsOf; // lowest revision of these pages: later changes may be missing in some of them
    store_revision m_asOf; // m_objects is the state at this revision or later; never decreases
    store_revision m_watchedSince; // of the running watch
    unsigned m_fruitless = 0; // answered calls in a row that brought nothing, and came at once
    restore_guard m_guard;
    phase m_phase = phase::idle;
    bool m_isComplete = false;
    bool m_needsList = true; // the API may not have the changes since m_asOf
    bool m_isInDoubt = false; // another router's copy differs: to be listed again, also by a router that makes no calls
    time_point m_nextDoubtAt; // until then, differences are ignored: the last one was followed by a list
    unsigned m_failures = 0; // calls that failed in a row
    bool m_watchesApi = true;
    std::deque<removal> m_removals; // in the order of their revisions, at most limits::maxRemovals
    store_revision m_removalsSince; // all removals after this revision are in m_removals
    time_point m_nextCallAt;
    bool m_isStarted = false; // the first tick was received
    time_point m_failingSince;
    time_point m_callStartedAt; // start of the running call
    time_point m_lastFailedAt; // start of the last failed call; the API may have been available again since then
    bool m_servesOthers = false; // as in availability_changed
    std::optional<time_point> m_restoredAt; // start of the era, if this router knew an earlier one
    bool m_hadOutage = false; // the failures before the last answer lasted for limits::minOutage
};

} // namespace nutmegtally
