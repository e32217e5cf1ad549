// Placement of requests on upstreams: the routing token, the router's view of the upstreams of one model or service,
// and the placement policies. A policy only reads the view; the router core keeps it.
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

/// An engine that holds a prefix of a chat.
struct prefix_place {
    upstream_id upstream; // invalid for none
    std::uint64_t incarnation = 0;
    std::uint32_t cachedTokens = 0; // length of the prefix

    bool operator==(const prefix_place &) const = default;
};

/// Names the engine that last served a chat, and the one that did before it moved. When the load bound sends one turn
/// to another engine, the former one still holds all but that turn. A hint only: a wrong token costs cache reuse and
/// nothing else.
struct routing_token {
    prefix_place last;
    prefix_place previous;

    bool operator==(const routing_token &) const = default;
};

/// Token of the answer that @p now serves.
routing_token nextToken(const std::optional<routing_token> &previousToken, const prefix_place &now);

std::string encodeToken(const routing_token &token);

/// @return The token, or nothing if @p text is malformed or its hash does not match.
std::optional<routing_token> decodeToken(std::string_view text);

/// Ledger shard of an idempotency key. Routers and agents must agree on it.
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

/// What a router knows of one upstream.
struct upstream_slot {
    upstream_info info;
    load_report report;
    std::optional<time_point> reportedAt;
    std::uint32_t attemptsSinceReport = 0; // own attempts that the report does not count yet
    std::uint32_t uncachedTokensSinceReport = 0; // their prompt tokens that are not cached
    std::uint32_t outstanding = 0; // own attempts without an end
    double hitRatio = 1.0; // cached tokens found, as a share of those expected; moving average
    double penalty = 0; // flap damping at penaltyAt
    time_point penaltyAt;
    time_point pausedUntil; // an attempt failed there
    time_point avoidedUntil; // the agent said that it is closed or leaving, ahead of the configuration
};

/// The upstreams of one model or service in one region. The vectors run in parallel; the ones that every decision
/// scans hold nothing else, because a decision at 3,500 upstreams has to stay below 20 microseconds.
struct upstream_pool {
    std::vector<std::uint64_t> keys; // handle values, input of the rendezvous hash
    std::vector<float> loads; // requests, see upstream_slot
    std::vector<float> scaledLoads; // the same, scaled up for an upstream whose window is below the mean load
    std::vector<std::uint8_t> usable; // live, in an open domain and not avoided
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
    /// Engines that probably hold a prefix: the token's last and previous one if their incarnation still runs, and
    /// the one that a cache event named, which comes first because it corrects the token.
    struct prefix_hint {
        std::size_t slot = noSlot;
        std::uint32_t cachedTokens = 0;
    };

    std::array<prefix_hint, 3> prefixes;
    double loadLimit = 0; // load that an upstream may reach, including this request
    std::size_t candidates = 4;
    std::array<std::size_t, 4> excluded = {noSlot, noSlot, noSlot, noSlot}; // tried already
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

/// The first allowed slots in the order of the chat's rendezvous ranking.
struct ranking {
    std::array<std::size_t, 8> slots;
    std::size_t count = 0;
};

ranking rank(const upstream_pool &pool, const placement_request &request, random_source &random, std::size_t count);

std::size_t randomSlot(const upstream_pool &pool, const placement_request &request, random_source &random);

std::size_t leastLoaded(const upstream_pool &pool, const placement_request &request, random_source &random);

/// Whether one more request would have to wait for the upstream's window.
bool isWindowFull(const upstream_pool &pool, std::size_t slot);

/// Whether one more request keeps the load bound and the window.
bool hasRoom(const upstream_pool &pool, const placement_request &request, std::size_t slot);

/// Expected time to the first token at this upstream.
duration expectedDelay(const upstream_pool &pool, const placement_request &request, std::size_t slot);

/// Expected microseconds to the first token at this upstream, with the request's own prefill weighted by recomputeCost.
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

/// Hash ring with virtual points, without regard to load.
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

/// The chat's home, without regard to load.
struct rendezvous_policy {
    static constexpr std::string_view name = "rendezvous";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// The first upstream of the chat's ranking that has room. No routing token.
struct bounded_rendezvous_policy {
    static constexpr std::string_view name = "bounded_rendezvous";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

/// The token's engine, the home and the next of the ranking; the lowest expected delay among those with room.
/// Requests without a cached prefix fill the less loaded upstreams, which keeps room for those that have one.
class affinity_policy
{
public:
    static constexpr std::string_view name = "affinity";
    std::size_t choose(const upstream_pool &pool, const placement_request &request, random_source &random) const;

private:
    std::size_t chooseWithoutPrefix(const upstream_pool &pool, const placement_request &request, random_source &random) const;
};

} // namespace nutmegtally
