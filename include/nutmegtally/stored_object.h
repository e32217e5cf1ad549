// An object of the platform's object API as routers keep it and pass it on: uninterpreted text with its revision.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtally
{

/// The store's change counter. Grows with each change of any object.
using store_revision = std::uint64_t;

struct stored_object {
    std::string name;
    store_revision revision = 0; // of its last change
    std::string text; // what its writer stored, as JSON
    bool isDeleted = false; // in changes only

    bool operator==(const stored_object &) const = default;
};

/// State of one kind of object, or what changed of it.
struct object_snapshot {
    store_revision since = 0; // only what changed after this revision; 0 for the whole state
    store_revision asOf = 0;
    std::vector<stored_object> objects;
    std::vector<std::string> removed; // with a since only
    duration missingGrace {0}; // objects that are missing may only have lapsed; as in follower_effect::object_removed
};

} // namespace nutmegtally
