// Traffic rules: which requests a router accepts, which service each route uses, and the limits of each. One value holds one
// version of the rules and is not modified once it is in force.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

/// Whether a request may be retried. Set by the route, not derived from the request's method or path.
enum class request_kind : std::uint8_t {
    idempotent,
    nonIdempotent,
    streaming,
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(request_kind::count)> requestKindNames = {
    "idempotent",
    "non_idempotent",
    "streaming",
};

constexpr std::string_view nameOf(request_kind kind)
{
    return requestKindNames[static_cast<std::size_t>(kind)];
}

/// Part of a route's traffic that goes to one service.
struct service_share {
    std::string service;
    double weight = 1; // relative to the other shares of the route
};

struct route_rule {
    std::string name;
    std::string host; // lower case, without a port
    std::string pathPrefix; // begins and ends with a slash
    request_kind kind = request_kind::nonIdempotent;
    duration timeout {0}; // upper bound of the time to the end of the answer; 0 for none
    duration target {0}; // latency target for the whole answer; for streams for the first event
    int priority = 0; // 0 is the highest
    unsigned maxUpstreams = 1; // upstreams to which one request may be sent
    bool isPublic = false; // needs no key
    bool isResumable = false; // a broken stream may continue at another upstream, after the last event that was relayed
    bool carriesPrompt = false; // requests have a prompt whose parts engines cache
    std::vector<service_share> shares; // at least one

    /// True if a second run of the same request does no harm.
    bool mayRepeat() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && isResumable);
    }
};

struct service_rule {
    std::string name;
    unsigned maxConnections = 0; // to one upstream from all routers; 0 means no bound
    double coldRequestsPerSecond = 0; // that a cold upstream tolerates; 0 means no bound
    unsigned engineSlots = 0; // requests that an engine runs at once; 0 for plain services
    std::uint64_t cacheTokens = 0; // KV memory of an engine for running requests and cached parts
};

struct account_rule {
    std::string name;
    bool hasPriority = false;
    int priority = 0; // overrides the route's priority
};

/// Bounds on what a caller may send and on how long it may take.
struct caller_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the rules with its lookup tables.
class traffic_rules
{
public:
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<account_rule> accounts;
    bool listsAccounts = false; // the configuration has a list of accounts; if it is empty, no key is valid
    std::unordered_map<std::string, std::size_t> accountOfKey; // key to index in accounts
    caller_limits limits;

    /// Builds the lookup tables. Call once after the members were filled.
    void index();

    /// Finds the route of @p host with the longest prefix of @p path.
    /// @param host As in the request; case and port are ignored.
    /// @param path Target of the request; a query is ignored.
    /// @return nullptr if no route matches.
    const route_rule *match(std::string_view host, std::string_view path) const;

    /// @return nullptr if no account holds @p key.
    const account_rule *accountFor(const std::string &key) const;

    /// @return nullptr if the rules name no such service.
    const service_rule *service(std::string_view name) const;

    /// True if callers need a key on routes that are not public.
    bool needsKeys() const
    {
        return listsAccounts || !accounts.empty();
    }

private:
    std::unordered_map<std::string, std::size_t> m_routeOf; // host, newline, prefix to index in routes
};

} // namespace nutmegtally
