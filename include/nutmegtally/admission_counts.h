// Counts of waiting requests, of the use of accounts and of announced returns, which routers send each other in load updates. Plain
// data; admission_order decides.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace nutmegtally
{

/// Place of a class of requests in the order of a service.
struct admission_class {
    std::uint8_t priority = 0; // at most 127
    bool isOverShare = false; // of accounts that have used more than others

    auto operator<=>(const admission_class &) const = default;
};

/// Requests of one service and class that wait for capacity.
struct backlog_count {
    std::uint32_t service = 0; // hash of the service's name
    admission_class place;
    std::uint32_t waiting = 0;
    double cost = 0; // tokens, or requests of a plain service

    bool operator==(const backlog_count &) const = default;
};

/// What a client account lately started at a service.
struct account_use {
    std::uint32_t account = 0; // hash of the names of service and account: tokens and requests cannot be added up
    double cost = 0; // decayed

    bool operator==(const account_use &) const = default;
};

/// Refused callers that were told to come back at about this time.
struct return_count {
    std::uint32_t service = 0; // hash of the service's name
    std::uint8_t priority = 0;
    std::uint32_t account = 0; // as in account_use
    std::uint32_t count = 0;

    bool operator==(const return_count &) const = default;
};

/// What is lately started at a service.
struct start_rate {
    std::uint32_t service = 0; // hash of the service's name
    double perSecond = 0; // cost

    bool operator==(const start_rate &) const = default;
};

/// Counts of one router, or sums over several.
struct admission_counts {
    std::vector<backlog_count> backlog;
    std::vector<account_use> uses;
    std::vector<return_count> returns;
    std::vector<start_rate> rates;

    bool operator==(const admission_counts &) const = default;
};

} // namespace nutmegtally
