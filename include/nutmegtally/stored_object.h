// An object of the platform's object API as routers keep it and pass it on: uninterpreted text with its revision.
#pragma once

#include <cstdint>
#include <string>

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

} // namespace nutmegtally
