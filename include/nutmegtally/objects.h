// Results of calls to the platform's object API, and the client interface that the configuration's change log uses.
#pragma once

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Result of one call to the object API.
enum class object_status : std::uint8_t {
    ok, // success; a blocking client also returns it for the read of a missing object, with version 0
    missing, // a read or delete found no object; not returned by blocking clients' reads
    conflict, // the object has another version than expected; nothing was written
    unavailable, // the call had no effect: the connection was refused or the status was 503
    unknown, // the write may have taken effect or may still do so: no response, time-out or broken connection
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(object_status::count)> objectStatusNames
    = {"ok", "missing", "conflict", "unavailable", "unknown"};

constexpr std::string_view name(object_status status)
{
    return objectStatusNames[static_cast<std::size_t>(status)];
}

struct object_reply {
    object_status status = object_status::unavailable;
    std::uint64_t version = 0; // of the object after the call; 0 if the object does not exist or its version is not known
    std::string value; // set by reads only
    bool changed = false; // set by watches only: false if the watch timed out
    std::string fault; // error message for logs; never contains the object's value
};

struct object_entry {
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t bytes = 0; // size of the value
};

struct object_list {
    object_status status = object_status::unavailable;
    std::vector<object_entry> entries;
};

/// A blocking client of the object API, or a fake for tests.
template<typename S>
concept object_store = requires(S store, const std::string &text, std::uint64_t version)
{
    {
        store.read(text)
        } -> std::same_as<object_reply>;
    {
        store.write(text, text, version)
        } -> std::same_as<object_reply>;
    {
        store.remove(text, version)
        } -> std::same_as<object_reply>;
    {
        store.list(text)
        } -> std::same_as<object_list>;
};

} // namespace nutmegtally
