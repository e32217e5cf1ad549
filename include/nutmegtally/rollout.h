// Rollouts of a new software version of a service: the operator's order, its status in the object store, and the counts by which
// routers judge the version. Plain data; rollout_control decides.
#pragma once

#include <nutmegtally/stored_object.h>
#include <nutmegtally/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Bounds of the whole fleet on the traffic of a version that is not found good yet.
struct rollout_bounds {
    double trialShare = 0.1; // of the requests that reach the service between the order and its deadline
    double trialSlack = 50; // requests beyond that share
};

/// What the status of an order in the object store says. Only completed and rolledBack are final.
enum class rollout_status : std::uint8_t {
    none, // no status yet, or that of another target or of an earlier object of the same name
    trial,
    shift, // all requests go to the target version
    completed,
    rolledBack,
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_status::count)> rolloutStatusNames = {
    "none", "trial", "shift", "completed", "rolled_back",
};

constexpr std::string_view nameOf(rollout_status status)
{
    return rolloutStatusNames[static_cast<std::size_t>(status)];
}

/// An operator's order to move the traffic of a service to the upstreams of one version.
struct rollout_order {
    std::string service;
    std::string target; // version of the upstreams' software
    duration ramp {0}; // time until the deadline, from the order on
    std::uint64_t id = 0; // hash of service, target, ramp and the revision at which the object was created
    rollout_status status = rollout_status::none;
    store_revision revision; // of the object's last change; a write of the status is conditional on it

    bool operator==(const rollout_order &) const = default;
};

/// Result of a write of a status.
enum class rollout_write_result : std::uint8_t {
    written,
    conflict, // the object has changed since
    missing, // the order was removed
    refused, // nothing was done
    unknown, // no answer: it may have been written, or may still be
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_write_result::count)> rolloutWriteResultNames = {
    "written", "conflict", "missing", "refused", "unknown",
};

constexpr std::string_view nameOf(rollout_write_result result)
{
    return rolloutWriteResultNames[static_cast<std::size_t>(result)];
}

/// Why a version was found bad.
enum class rollout_fault : std::uint8_t {
    none,
    failures,
    slow,
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_fault::count)> rolloutFaultNames = {
    "none",
    "failures",
    "slow",
};

constexpr std::string_view nameOf(rollout_fault fault)
{
    return rolloutFaultNames[static_cast<std::size_t>(fault)];
}

/// Answers of the upstreams of one version, since the order.
struct version_counts {
    std::uint32_t answers = 0;
    std::uint32_t bad = 0; // of them, failures of the upstream
    std::uint32_t timed = 0; // good answers whose time counts
    std::uint32_t slow = 0; // of them, those that took several times as long as the base version's usually do on the same route
    double logSlowness = 0; // sum over the timed answers of the natural logarithm of the time, divided by the expected time

    bool operator==(const version_counts &) const = default;
};

struct route_counts {
    std::uint32_t route = 0; // hash of the route's name
    version_counts base;
    version_counts target;

    bool operator==(const route_counts &) const = default;
};

/// Counts of one order, in load updates: those of one router, or sums over several.
struct rollout_counts {
    std::uint32_t service = 0; // hash of the service's name
    std::uint32_t order = 0; // upper half of rollout_order::id
    duration age {0}; // of the order, the largest that any of the routers knows of
    rollout_fault fault = rollout_fault::none; // a router found the version bad
    std::uint32_t routersShifted = 0; // routers that send no new requests to base upstreams
    std::uint32_t baseInFlight = 0; // requests at base upstreams
    duration longestBaseAnswer {0}; // longest time that a request lately spent at a base upstream
    std::vector<route_counts> routes;

    bool operator==(const rollout_counts &) const = default;
};

} // namespace nutmegtally
