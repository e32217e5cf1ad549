// Placement of requests on upstreams: the routing token, the router's view of the upstreams of one model or service,
// and the placement policies. A policy only reads the view; the router core maintains it.
#pragma once

#include <nutmegtally/ids.h>
#include <nutmegtally/time.h>
#include <nutmegtally/work.h>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegtally
{

/// An engine whose cache holds a prefix of a chat.
struct prefix_place {
    upstream_id upstream; // invalid for none
    std::uint64_t incarnation = 0;
    std::uint32_t cachedTokens = 0; // length of the prefix

    bool operator==(const prefix_place &) const = default;
};

/// Identifies the engine that last served a chat and the one that served it before. When the load bound sends one turn
/// to another engine, the previous engine still caches all but that turn. The token is only a hint: a wrong token
/// costs cache reuse and nothing else.
struct routing_token {
    prefix_place last;
    prefix_place previous;

    bool operator==(const routing_token &) const = default;
};

/// Token to return with an answer that the engine @p now serves.
routing_token nextToken(const std::optional<routing_token> &previousToken, const prefix_place &now);

std::string encodeToken(const routing_token &token);

/// @return The token, or nothing if @p text is malformed or its hash does not match.
std::optional<routing_token> decodeToken(std::string_view text);

/// Ledger shard of an idempotency key. Routers and agents must compute the same value.
unsigned ledgerShard(std::string_view idempotencyKey, unsigned shards);

/// Generator for sampling and jitter (splitmix64). Seeded by the owner, so that a run can be repeated.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        return mixHash(m_state += 0x9e3779b97f4a7c15ULL, 0);
    }

    /// @return A value below @p bound, which must not be 0.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(next() % bound);
    }

    /// @return A value in [0, 1).
    double fraction()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t m_state;
};

inline constexpr std::size_t noSlot = std::numeric_limits<std::size_t>::max();

/// What a router knows about one upstream.
struct upstream_slot {
    upstream_info info;
    load_report report;
    std::optional<time_point> reportedAt;
    std::uint32_t attemptsSinceReport = 0; // this router's attempts that the report does not include yet
    std::uint32_t uncachedTokensSinceReport = 0; // uncached prompt tokens of these attempts
    std::uint32_t outstanding = 0; // this router's unfinished attempts
    double hitRatio = 1.0; // cached tokens found, as a fraction of those expected; moving average
    double penalty = 0; // flap penalty as of penaltyAt
    time_point penaltyAt;
    time_point pausedUntil; // no new work until then, after a failed attempt
    time_point avoidedUntil; // the agent refused as closed or leaving before the configuration said so
};

/// The upstreams of one model or service in one region. The vectors are parallel arrays indexed by slot. Those that
/// every decision scans hold only the scanned value, because a decision over 3,500 upstreams has to take less than 20
/// microseconds.
struct upstream_pool {
    std::vector<std::uint64_t> keys; // upstream id values, input of the rendezvous hash
    std::vector<float> loads; // requests, from the load report and the router's own attempts in upstream_slot
    std::vector<float> scaledLoads; // loads, scaled up for an upstream whose window is below the mean load
    std::vector<std::uint8_t> usable; // live, in an open domain, not avoided; not paused either, unless that leaves none
    std::vector<upstream_slot> slots;
    std::size_t usableCount = 0;
    std::uint64_t version = 0; // changes when an upstream is added or removed
    mean_load_estimate mean; // over the usable upstreams with a fresh report
    std::optional<time_point> meanAt;
    double prefillTokensPerSecond = 0; // mean of the reports, 0 if none

    std::size_t size() const
    {
        return keys.size();
    }

    std::size_t find(upstream_id upstream) const;
};

/// Input of one decision.
struct placement_request {
    chat_id chat; // invalid for a request outside any chat
    std::uint32_t promptTokens = 0;
    /// Engines that probably cache a prefix: the one named by a cache event, which comes first because it corrects the
    /// token, then the token's last and previous engines if their incarnation is still running.
    struct prefix_hint {
        std::size_t slot = noSlot;
        std::uint32_t cachedTokens = 0;
    };

    std::array<prefix_hint, 3> prefixes;
    double loadLimit = 0; // highest load that an upstream may reach, including this request
    std::size_t candidates = 4;
    std::array<std::size_t, 4> excluded = {noSlot, noSlot, noSlot, noSlot}; // slots already tried
    time_point now;

    bool allows(const upstream_pool &pool, std::size_t slot) const
    {
        return pool.usable[slot] != 0 && std::find(excluded.begin(), excluded.end(), slot) == excluded.end();
    }

    std::uint32_t cachedOn(std::size_t slot) const
    {
        for (const prefix_hint &hint : prefixes) {
            if (hint.slot == slot) {
                return std::min(hint.cachedTokens, promptTokens);
            }
        }
        return 0;
    }

    bool hasPrefix() const
    {
        return std::any_of(prefixes.begin(), prefixes.end(), [](const prefix_hint &hint) { return hint.slot != noSlot; });
    }
};

/// Chooses a slot of the pool, or noSlot if none is allowed.
template<typename P>
concept placement_policy = requires(P policy, const upstream_pool &pool, const placement_request &request, random_source &random)
{
    {
        policy.choose(pool, request, random)
        } -> std::same_as<std::size_t>;
};

namespace detail
{

/// The first allowed slots in rendezvous (highest random weight) order of the chat.
struct ranking {
    std::array<std::size_t, 8> slots;
    std::size_t count = 0;
};

ranking rank(const upstream_pool &pool, const placement_request &request, random_source &random, std::size_t count);

std::size_t randomSlot(const upstream_pool &pool, const placement_request &request, random_source &random);

std::size_t leastLoaded(const upstream_pool &pool, const placement_request &request, random_source &random);

/// Whether one more request would exceed the upstream's concurrency window.
bool isWindowFull(const upstream_pool &pool, std::size_t slot);

/// Whether one more request fits within the load bound and the window.
bool hasRoom(const upstream_pool &pool, const placement_request &request, std::size_t slot);

/// Expected time to first token at this upstream.
duration expectedDelay(const upstream_pool &pool, const placement_request &request, std::size_t slot);

/// Expected time to first token at this upstream in microseconds, with the request's own prefill weighted by
/// recomputeCost and the flap penalty added.
double placementCost(const upstream_pool &pool, const placement_request &request, std::size_t slot);

} // namespace detail

/// Flap penalty of an upstream at a time: halved every flapPenaltyHalfLife.
double penaltyAt(const upstream_slot &slot, time_point now);

/// Any usable upstream, with equal probability.
struct random_policy {
    static constexpr std::string_view name = "random";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// The upstream with the lowest known load; ties at random.
struct least_outstanding_policy {
    static constexpr std::string_view name = "least_outstanding";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// The less loaded of two random upstreams.
struct power_of_two_policy {
    static constexpr std::string_view name = "power_of_two";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// Consistent hash ring with virtual nodes; ignores load.
class consistent_hash_policy
{
public:
    static constexpr std::string_view name = "consistent_hash";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random);

private:
    struct point {
        std::uint64_t position;
        std::uint32_t slot;
    };

    struct ring {
        std::uint64_t version = 0;
        std::vector<point> points;
    };

    const ring &ringOf(const upstream_pool &pool);

    std::unordered_map<const upstream_pool *, ring> m_rings;
};

/// The first upstream of the chat's rendezvous ranking, its home; ignores load.
struct rendezvous_policy {
    static constexpr std::string_view name = "rendezvous";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// The first upstream of the chat's rendezvous ranking that has room; ignores the routing token.
struct bounded_rendezvous_policy {
    static constexpr std::string_view name = "bounded_rendezvous";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// Compares the engines that probably cache a prefix with the first upstreams of the chat's rendezvous ranking and
/// takes the lowest placement cost among those with room. Requests without a cached prefix go to less loaded
/// upstreams, which keeps room for those that have one.
class affinity_policy
{
public:
    static constexpr std::string_view name = "affinity";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;

private:
    std::size_t chooseWithoutPrefix(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

} // namespace nutmegtally
