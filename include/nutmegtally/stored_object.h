// An object of the platform's object API as routers cache it and pass it on: uninterpreted text with its revision.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// Change counter of the object store. Increases with each change of any object.
using store_revision = std::uint64_t;

struct stored_object {
    std::string name;
    store_revision revision = 0; // of the object's last change
    std::string text; // stored value, JSON
    bool isDeleted = false; // only set in changes

    bool operator==(const stored_object &) const = default;
};

/// State of all objects of a kind, or the changes since a revision.
struct object_snapshot {
    store_revision since = 0; // contains only changes after this revision; 0 for the complete state
    store_revision asOf = 0; // revision of the store that the snapshot reflects
    std::vector<stored_object> objects;
    std::vector<std::string> removed; // names of deleted objects; only used if since is not 0
    // Objects that are missing may only have expired during an outage of the API; see follower_effect::object_removed.
    duration missingGrace {0};
};

} // namespace nutmegtally
