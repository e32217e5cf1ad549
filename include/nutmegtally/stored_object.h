// An object of the platform's object API as routers cache it and pass it on: uninterpreted text with its revision.
#pragma once

#include <nutmegtally/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Change counter of the object store. It increases with each change of any object, until the store is restored from an older copy:
/// then an era begins in which numbers are given out again. So revisions are comparable only together with their era.
struct store_revision {
    std::uint64_t era = 0; // 0 if the store does not tell
    std::uint64_t number = 0; // 0 for none

    constexpr store_revision() = default;

    /// A revision of a store that does not tell its era.
    constexpr store_revision(std::uint64_t plainNumber)
        : number(plainNumber)
    {
    }

    constexpr store_revision(std::uint64_t storeEra, std::uint64_t plainNumber)
        : era(storeEra)
        , number(plainNumber)
    {
    }

    auto operator<=>(const store_revision &) const = default;
};

/// What the content of an object says of its age itself, so that it is comparable across eras. Zeros if it says nothing.
struct content_version {
    std::uint64_t incarnation = 0; // of the writer
    std::uint64_t number = 0; // increases with each change by this incarnation

    auto operator<=>(const content_version &) const = default;
};

struct stored_object {
    std::string name;
    store_revision revision; // of the object's last change
    std::string text; // stored value, JSON
    bool isDeleted = false; // only set in changes
    content_version content {};
    std::string status {}; // that the routers have written, JSON; empty for none
    std::uint64_t createdAt = 0; // number of the revision at which the object was created; 0 if it is not known

    bool operator==(const stored_object &) const = default;
};

/// State of all objects of a kind, or the changes since a revision.
struct object_snapshot {
    store_revision since; // contains only changes after this revision; none for the complete state
    store_revision asOf; // revision of the store that the snapshot reflects
    std::vector<stored_object> objects; // those of an earlier era than asOf are kept although the store lost them
    std::vector<std::string> removed; // names of deleted objects; only used if since is set
    // Objects that are missing may only have expired during an outage of the API; see follower_effect::object_removed.
    duration missingGrace {0};
};

} // namespace nutmegtally
