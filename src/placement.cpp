#include "limits.h"

#include <nutmegtally/idempotency_key.h>
#include <nutmegtally/placement.h>

#include <cmath>

namespace nutmegtally
{

namespace
{

// Lengths in hexadecimal digits.
constexpr std::size_t placeLength = 40; // engine 16, incarnation 16, prefix length 8
constexpr std::size_t bodyLength = 2 * placeLength;
constexpr std::size_t tokenLength = bodyLength + 8;

std::string encodePlace(const prefix_place &place)
{
    return toHex(place.upstream.value()) + toHex(place.incarnation) + toHex(place.cachedTokens).substr(8);
}

prefix_place decodePlace(std::string_view text)
{
    prefix_place place;
    place.upstream = upstream_id(fromHex(text.substr(0, 16)));
    place.incarnation = fromHex(text.substr(16, 16));
    place.cachedTokens = static_cast<std::uint32_t>(fromHex(text.substr(32, 8)));
    return place;
}

std::string tokenHash(std::string_view body)
{
    return toHex(hashText(body)).substr(8);
}

/// Key of the rendezvous ranking: the chat's id, or a random value for a request outside any chat.
std::uint64_t rankingKey(const placement_request &request, random_source &random)
{
    return request.chat.isValid() ? request.chat.value() : random.next();
}

} // namespace

routing_token nextToken(const std::optional<routing_token> &previousToken, const prefix_place &now)
{
    if (!previousToken) {
        return {now, {}};
    }
    return {now, previousToken->last.upstream == now.upstream ? previousToken->previous : previousToken->last};
}

std::string encodeToken(const routing_token &token)
{
    const std::string body = encodePlace(token.last) + encodePlace(token.previous);
    return body + tokenHash(body);
}

std::optional<routing_token> decodeToken(std::string_view text)
{
    if (text.size() != tokenLength || tokenHash(text.substr(0, bodyLength)) != text.substr(bodyLength)) {
        return {};
    }
    return routing_token {decodePlace(text.substr(0, placeLength)), decodePlace(text.substr(placeLength, placeLength))};
}

unsigned ledgerShard(std::string_view idempotencyKey, unsigned shards)
{
    // Same mapping of keys to shards as in the ledger. The shard of a malformed key does not matter, because every
    // agent refuses it.
    const std::optional<idempotency_key> key = idempotency_key::fromText(idempotencyKey);
    return key ? key->shard(std::max(1U, shards)) : 0;
}

std::size_t upstream_pool::find(upstream_id upstream) const
{
    const auto found = std::find(keys.begin(), keys.end(), upstream.value());
    return found == keys.end() ? noSlot : static_cast<std::size_t>(found - keys.begin());
}

double penaltyAt(const upstream_slot &slot, time_point now)
{
    if (slot.penalty == 0) {
        return 0;
    }
    const double halfLives = std::chrono::duration<double>(now - slot.penaltyAt) / limits::flapPenaltyHalfLife;
    return slot.penalty * std::exp2(-std::max(0.0, halfLives));
}

namespace detail
{

ranking rank(const upstream_pool &pool, const placement_request &request, random_source &random, std::size_t count)
{
    ranking result;
    std::array<std::uint64_t, 8> hashes {};
    count = std::min(count, result.slots.size());
    const std::uint64_t key = rankingKey(request, random);
    std::uint64_t lowestHash = 0; // hash of the last entry once the ranking is full
    for (std::size_t slot = 0; slot < pool.size(); ++slot) {
        const std::uint64_t hash = mixHash(key, pool.keys[slot]);
        if (hash < lowestHash || !request.allows(pool, slot)) {
            continue;
        }
        std::size_t place = result.count < count ? result.count++ : count - 1;
        for (; place > 0 && hashes[place - 1] < hash; --place) {
            hashes[place] = hashes[place - 1];
            result.slots[place] = result.slots[place - 1];
        }
        hashes[place] = hash;
        result.slots[place] = slot;
        lowestHash = result.count == count ? hashes[count - 1] : 0;
    }
    return result;
}

std::size_t randomSlot(const upstream_pool &pool, const placement_request &request, random_source &random)
{
    if (pool.usableCount == 0) {
        return noSlot;
    }
    const std::size_t start = random.below(pool.size());
    for (std::size_t i = 0; i < pool.size(); ++i) {
        // Random draws keep the choice uniform; after 8 of them, a linear scan ends the search if few slots are
        // usable.
        const std::size_t slot = i < 8 ? random.below(pool.size()) : (start + i) % pool.size();
        if (request.allows(pool, slot)) {
            return slot;
        }
    }
    for (std::size_t slot = 0; slot < pool.size(); ++slot) {
        if (request.allows(pool, slot)) {
            return slot;
        }
    }
    return noSlot;
}

std::size_t leastLoaded(const upstream_pool &pool, const placement_request &request, random_source &random)
{
    // Compares scaled loads: an upstream with a small, full window has the lowest load and would attract requests that
    // it has to refuse.
    std::size_t best = noSlot;
    const std::size_t start = pool.size() == 0 ? 0 : random.below(pool.size());
    for (std::size_t i = 0; i < pool.size(); ++i) {
        const std::size_t slot = start + i < pool.size() ? start + i : start + i - pool.size();
        if ((best == noSlot || pool.scaledLoads[slot] < pool.scaledLoads[best]) && request.allows(pool, slot)) {
            best = slot;
        }
    }
    return best;
}

bool isWindowFull(const upstream_pool &pool, std::size_t slot)
{
    const load_report &report = pool.slots[slot].report;
    return report.window > 0 && pool.loads[slot] + 1 > static_cast<float>(report.window);
}

bool hasRoom(const upstream_pool &pool, const placement_request &request, std::size_t slot)
{
    return pool.loads[slot] + 1 <= request.loadLimit && !isWindowFull(pool, slot);
}

namespace
{

double microsecondsToFirstToken(const upstream_pool &pool, const placement_request &request, std::size_t slot, double uncachedWeight)
{
    const upstream_slot &state = pool.slots[slot];
    double rate = state.report.prefillTokensPerSecond > 0 ? state.report.prefillTokensPerSecond : pool.prefillTokensPerSecond;
    if (rate <= 0) {
        rate = limits::assumedPrefillTokensPerSecond;
    }
    const double uncached = request.promptTokens - request.cachedOn(slot);
    const double pending = static_cast<double>(state.report.pendingPrefillTokens) + state.uncachedTokensSinceReport;
    return static_cast<double>(state.report.queueDelay.count()) + (pending + uncachedWeight * uncached) / rate * 1e6;
}

} // namespace

duration expectedDelay(const upstream_pool &pool, const placement_request &request, std::size_t slot)
{
    return duration(static_cast<std::int64_t>(microsecondsToFirstToken(pool, request, slot, 1.0)));
}

double placementCost(const upstream_pool &pool, const placement_request &request, std::size_t slot)
{
    const auto penalty = std::chrono::duration<double, std::micro>(limits::flapPenaltyDelay) * penaltyAt(pool.slots[slot], request.now);
    return microsecondsToFirstToken(pool, request, slot, limits::recomputeCost) + penalty.count();
}

} // namespace detail

std::size_t random_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    return detail::randomSlot(pool, request, random);
}

std::size_t least_outstanding_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    return detail::leastLoaded(pool, request, random);
}

std::size_t power_of_two_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    const std::size_t first = detail::randomSlot(pool, request, random);
    const std::size_t second = detail::randomSlot(pool, request, random);
    return first != noSlot && pool.loads[second] < pool.loads[first] ? second : first;
}

const consistent_hash_policy::ring &consistent_hash_policy::ringOf(const upstream_pool &pool)
{
    ring &result = m_rings[&pool];
    if (result.version == pool.version && !result.points.empty()) {
        return result;
    }
    result.version = pool.version;
    result.points.clear();
    for (std::size_t slot = 0; slot < pool.size(); ++slot) {
        for (std::uint64_t copy = 0; copy < limits::ringPointsPerUpstream; ++copy) {
            result.points.push_back({mixHash(pool.keys[slot], copy), static_cast<std::uint32_t>(slot)});
        }
    }
    std::sort(result.points.begin(), result.points.end(), [](const point &a, const point &b) { return a.position < b.position; });
    return result;
}

std::size_t consistent_hash_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random)
{
    const std::vector<point> &points = ringOf(pool).points;
    const std::uint64_t position = mixHash(rankingKey(request, random), 1);
    const auto start = std::lower_bound(points.begin(), points.end(), position,
                                        [](const point &entry, std::uint64_t value) { return entry.position < value; });
    const auto offset = static_cast<std::size_t>(start - points.begin());
    for (std::size_t i = 0; i < points.size(); ++i) {
        const std::size_t slot = points[(offset + i) % points.size()].slot;
        if (request.allows(pool, slot)) {
            return slot;
        }
    }
    return noSlot;
}

std::size_t rendezvous_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    const detail::ranking ranking = detail::rank(pool, request, random, 1);
    return ranking.count == 0 ? noSlot : ranking.slots[0];
}

std::size_t bounded_rendezvous_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    const detail::ranking ranking = detail::rank(pool, request, random, request.candidates);
    for (std::size_t i = 0; i < ranking.count; ++i) {
        if (detail::hasRoom(pool, request, ranking.slots[i])) {
            return ranking.slots[i];
        }
    }
    return detail::leastLoaded(pool, request, random);
}

std::size_t affinity_policy::chooseWithoutPrefix(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    const detail::ranking ranking = detail::rank(pool, request, random, request.candidates);
    std::size_t best = noSlot;
    for (std::size_t i = 0; i < ranking.count; ++i) {
        const std::size_t slot = ranking.slots[i];
        if (!detail::hasRoom(pool, request, slot)) {
            continue;
        }
        if (pool.scaledLoads[slot] <= pool.mean.load) {
            return slot;
        }
        if (best == noSlot || pool.scaledLoads[slot] < pool.scaledLoads[best]) {
            best = slot;
        }
    }
    return best != noSlot ? best : detail::leastLoaded(pool, request, random);
}

std::size_t affinity_policy::choose(const upstream_pool &pool, const placement_request &request, random_source &random) const
{
    if (!request.chat.isValid()) {
        return detail::leastLoaded(pool, request, random);
    }
    if (!request.hasPrefix()) {
        return chooseWithoutPrefix(pool, request, random);
    }
    detail::ranking candidates = detail::rank(pool, request, random, std::max<std::size_t>(1, request.candidates - 2));
    for (const placement_request::prefix_hint &hint : request.prefixes) {
        const std::size_t extra = hint.slot;
        const auto end = candidates.slots.begin() + static_cast<std::ptrdiff_t>(candidates.count);
        const bool isNew = extra != noSlot && std::find(candidates.slots.begin(), end, extra) == end;
        if (isNew && candidates.count < candidates.slots.size() && request.allows(pool, extra)) {
            candidates.slots[candidates.count++] = extra;
        }
    }
    std::size_t best = noSlot;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.count; ++i) {
        const std::size_t slot = candidates.slots[i];
        if (!detail::hasRoom(pool, request, slot)) {
            continue;
        }
        const double cost = detail::placementCost(pool, request, slot);
        if (best == noSlot || cost < bestCost) {
            best = slot;
            bestCost = cost;
        }
    }
    return best != noSlot ? best : detail::leastLoaded(pool, request, random);
}

static_assert(placement_policy<random_policy> && placement_policy<least_outstanding_policy> && placement_policy<power_of_two_policy>);
static_assert(placement_policy<consistent_hash_policy> && placement_policy<rendezvous_policy>);
static_assert(placement_policy<bounded_rendezvous_policy> && placement_policy<affinity_policy>);

} // namespace nutmegtally
