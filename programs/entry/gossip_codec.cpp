#include "entry/gossip_codec.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/reducer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace nutmegtally
{

using nlohmann::json;

namespace
{

constexpr double limitUnitsPerRequest = 1000; // limits are sent as whole numbers of this unit
constexpr double maxSentRequestsPerSecond = 4e6; // what fits in a message; more bounds nothing
constexpr std::uint32_t noLimit = std::numeric_limits<std::uint32_t>::max();
constexpr double slownessUnits = 1024; // in which logarithms of slowness are sent
constexpr std::size_t maxSentRolloutRoutes = 64; // of one service; 3 KB
constexpr std::uint32_t prefillTokenUnit = 64; // tokens; finer steps would not change the placement score

// Figures of the speed of upstreams: one byte for the logarithm of the factor, from a quarter to eight times the usual time, and one
// for the logarithm of the weight, up to 60,000 answers.
constexpr double lowestLog2Factor = -2;
constexpr double log2FactorUnits = 51;
constexpr double log2WeightUnits = 16;

/// Appends a number in little-endian byte order. A value that does not fit is clamped to the maximum of the type.
template<typename Number>
void appendNumber(std::string &bytes, std::uint64_t value)
{
    value = std::min<std::uint64_t>(value, std::numeric_limits<Number>::max());
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes += static_cast<char>((value >> (8 * i)) & 0xff);
    }
}

template<typename Number>
Number readNumber(std::string_view &bytes)
{
    if (bytes.size() < sizeof(Number)) {
        throw std::runtime_error("a number is cut");
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= std::uint64_t(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(sizeof(Number));
    return static_cast<Number>(value);
}

/// Element of an array that routers of an earlier version do not send.
template<typename Value>
Value newerElement(const json &array, std::size_t index, Value fallback)
{
    return index < array.size() ? array.at(index).get<Value>() : fallback;
}

json promptsToJson(const std::vector<prompt_location> &prompts)
{
    json list = json::array();
    for (const prompt_location &prompt : prompts) {
        list.push_back({prompt.upstream, prompt.parts});
    }
    return list;
}

std::vector<prompt_location> promptsFromJson(const json &list)
{
    std::vector<prompt_location> prompts;
    for (const json &prompt : list) {
        prompts.push_back({prompt.at(0).get<std::uint64_t>(), prompt.at(1).get<std::vector<std::uint64_t>>()});
    }
    return prompts;
}

std::int64_t millisecondsOf(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Routers: name key, heartbeat counter, age in milliseconds.
std::string livenessToBytes(const std::vector<router_liveness> &routers)
{
    std::string bytes;
    for (const router_liveness &each : routers) {
        appendNumber<std::uint32_t>(bytes, each.router);
        appendNumber<std::uint64_t>(bytes, each.counter);
        appendNumber<std::uint16_t>(bytes, static_cast<std::uint64_t>(millisecondsOf(each.age)));
    }
    return bytes;
}

std::vector<router_liveness> livenessFromBytes(std::string_view bytes)
{
    std::vector<router_liveness> routers;
    while (!bytes.empty()) {
        router_liveness each;
        each.router = readNumber<std::uint32_t>(bytes);
        each.counter = readNumber<std::uint64_t>(bytes);
        each.age = std::chrono::milliseconds(readNumber<std::uint16_t>(bytes));
        routers.push_back(each);
    }
    return routers;
}

json evidenceToJson(const std::vector<part_evidence> &evidence)
{
    json list = json::array();
    for (const part_evidence &each : evidence) {
        json crashes = json::array();
        for (const part_evidence::crash &crash : each.crashes) {
            crashes.push_back({crash.id, millisecondsOf(crash.age), millisecondsOf(crash.sendAge)});
        }
        json survival = each.survivalAge ? json(millisecondsOf(*each.survivalAge)) : json();
        list.push_back({each.part, each.depth, std::move(survival), std::move(crashes)});
    }
    return list;
}

std::vector<part_evidence> evidenceFromJson(const json &list)
{
    std::vector<part_evidence> evidence;
    for (const json &item : list) {
        part_evidence each {item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint32_t>(), std::nullopt, {}};
        if (!item.at(2).is_null()) {
            each.survivalAge = std::chrono::milliseconds(item.at(2).get<std::uint32_t>());
        }
        for (const json &crash : item.at(3)) {
            each.crashes.push_back({crash.at(0).get<crash_id>(), std::chrono::milliseconds(crash.at(1).get<std::uint32_t>()),
                                    std::chrono::milliseconds(crash.at(2).get<std::uint32_t>())});
        }
        evidence.push_back(std::move(each));
    }
    return evidence;
}

/// Statements of limits: key, incarnation, requests a second in thousandths, age in milliseconds.
std::string limitsToBytes(const std::vector<limit_statement> &statements)
{
    std::string bytes;
    for (const limit_statement &each : statements) {
        appendNumber<std::uint32_t>(bytes, each.upstream.key);
        appendNumber<std::uint32_t>(bytes, each.upstream.incarnation);
        const double perSecond = std::min(each.perSecond.value_or(0), maxSentRequestsPerSecond);
        appendNumber<std::uint32_t>(bytes, each.perSecond ? static_cast<std::uint32_t>(perSecond * limitUnitsPerRequest) : noLimit);
        appendNumber<std::uint32_t>(bytes, static_cast<std::uint64_t>(millisecondsOf(each.age)));
    }
    return bytes;
}

std::vector<limit_statement> limitsFromBytes(std::string_view bytes)
{
    std::vector<limit_statement> statements;
    while (!bytes.empty()) {
        limit_statement each;
        each.upstream.key = readNumber<std::uint32_t>(bytes);
        each.upstream.incarnation = readNumber<std::uint32_t>(bytes);
        const auto units = readNumber<std::uint32_t>(bytes);
        if (units != noLimit) {
            each.perSecond = static_cast<double>(units) / limitUnitsPerRequest;
        }
        each.age = std::chrono::milliseconds(readNumber<std::uint32_t>(bytes));
        statements.push_back(each);
    }
    return statements;
}

void appendCounts(std::string &bytes, const version_counts &counts)
{
    appendNumber<std::uint32_t>(bytes, counts.answers);
    appendNumber<std::uint32_t>(bytes, counts.bad);
    appendNumber<std::uint32_t>(bytes, counts.timed);
    appendNumber<std::uint32_t>(bytes, counts.slow);
    const double units = std::clamp<double>(std::round(counts.logSlowness * slownessUnits), std::numeric_limits<std::int32_t>::min(),
                                            std::numeric_limits<std::int32_t>::max());
    appendNumber<std::uint32_t>(bytes, static_cast<std::uint32_t>(static_cast<std::int32_t>(units)));
}

version_counts readCounts(std::string_view &bytes)
{
    version_counts counts;
    counts.answers = readNumber<std::uint32_t>(bytes);
    counts.bad = readNumber<std::uint32_t>(bytes);
    counts.timed = readNumber<std::uint32_t>(bytes);
    counts.slow = readNumber<std::uint32_t>(bytes);
    counts.logSlowness = static_cast<std::int32_t>(readNumber<std::uint32_t>(bytes)) / slownessUnits;
    return counts;
}

std::string rolloutsToBytes(const std::vector<rollout_counts> &rollouts)
{
    std::string bytes;
    for (const rollout_counts &each : rollouts) {
        appendNumber<std::uint32_t>(bytes, each.service);
        appendNumber<std::uint32_t>(bytes, each.order);
        appendNumber<std::uint32_t>(bytes, static_cast<std::uint64_t>(millisecondsOf(each.age)));
        appendNumber<std::uint8_t>(bytes, static_cast<std::uint64_t>(each.fault));
        appendNumber<std::uint16_t>(bytes, each.routersShifted);
        appendNumber<std::uint32_t>(bytes, each.baseInFlight);
        appendNumber<std::uint32_t>(bytes, static_cast<std::uint64_t>(millisecondsOf(each.longestBaseAnswer)));
        const std::size_t routes = std::min(each.routes.size(), maxSentRolloutRoutes);
        appendNumber<std::uint8_t>(bytes, routes);
        for (std::size_t i = 0; i < routes; ++i) {
            appendNumber<std::uint32_t>(bytes, each.routes[i].route);
            appendCounts(bytes, each.routes[i].base);
            appendCounts(bytes, each.routes[i].target);
        }
    }
    return bytes;
}

std::vector<rollout_counts> rolloutsFromBytes(std::string_view bytes)
{
    std::vector<rollout_counts> rollouts;
    while (!bytes.empty()) {
        rollout_counts each;
        each.service = readNumber<std::uint32_t>(bytes);
        each.order = readNumber<std::uint32_t>(bytes);
        each.age = std::chrono::milliseconds(readNumber<std::uint32_t>(bytes));
        const auto fault = readNumber<std::uint8_t>(bytes);
        if (fault >= static_cast<std::uint8_t>(rollout_fault::count)) {
            throw std::runtime_error("a rollout with an unknown fault");
        }
        each.fault = static_cast<rollout_fault>(fault);
        each.routersShifted = readNumber<std::uint16_t>(bytes);
        each.baseInFlight = readNumber<std::uint32_t>(bytes);
        each.longestBaseAnswer = std::chrono::milliseconds(readNumber<std::uint32_t>(bytes));
        each.routes.resize(readNumber<std::uint8_t>(bytes));
        for (route_counts &route : each.routes) {
            route.route = readNumber<std::uint32_t>(bytes);
            route.base = readCounts(bytes);
            route.target = readCounts(bytes);
        }
        rollouts.push_back(std::move(each));
    }
    return rollouts;
}

/// Costs are sent in these parts of a token, or of a request of a plain service: shares of a few requests must differ.
constexpr double costUnits = 64;
constexpr std::uint8_t overShareBit = 0x80; // of the byte that holds a priority

void appendCost(std::string &bytes, double cost)
{
    appendNumber<std::uint32_t>(bytes, static_cast<std::uint64_t>(std::max(0.0, std::round(cost * costUnits))));
}

double readCost(std::string_view &bytes)
{
    return readNumber<std::uint32_t>(bytes) / costUnits;
}

json admissionToJson(const admission_counts &counts)
{
    std::string backlog;
    for (const backlog_count &each : counts.backlog) {
        appendNumber<std::uint32_t>(backlog, each.service);
        appendNumber<std::uint8_t>(backlog, each.place.priority | (each.place.isOverShare ? overShareBit : 0U));
        appendNumber<std::uint16_t>(backlog, each.waiting);
        appendCost(backlog, each.cost);
    }
    std::string uses;
    for (const account_use &each : counts.uses) {
        appendNumber<std::uint32_t>(uses, each.account);
        appendCost(uses, each.cost);
    }
    std::string returns;
    for (const return_count &each : counts.returns) {
        appendNumber<std::uint32_t>(returns, each.service);
        appendNumber<std::uint8_t>(returns, each.priority);
        appendNumber<std::uint32_t>(returns, each.account);
        appendNumber<std::uint16_t>(returns, each.count);
    }
    std::string rates;
    for (const start_rate &each : counts.rates) {
        appendNumber<std::uint32_t>(rates, each.service);
        appendCost(rates, each.perSecond);
    }
    return json::array({std::move(backlog), std::move(uses), std::move(returns), std::move(rates)});
}

admission_counts admissionFromJson(const json &document)
{
    admission_counts counts;
    const auto bytesAt = [&document](std::size_t index) { return std::string_view(document.at(index).get_ref<const std::string &>()); };
    for (std::string_view rest = bytesAt(0); !rest.empty();) {
        backlog_count each;
        each.service = readNumber<std::uint32_t>(rest);
        const auto place = readNumber<std::uint8_t>(rest);
        each.place = {static_cast<std::uint8_t>(place & ~overShareBit), (place & overShareBit) != 0};
        each.waiting = readNumber<std::uint16_t>(rest);
        each.cost = readCost(rest);
        counts.backlog.push_back(each);
    }
    for (std::string_view rest = bytesAt(1); !rest.empty();) {
        const auto account = readNumber<std::uint32_t>(rest);
        counts.uses.push_back({account, readCost(rest)});
    }
    for (std::string_view rest = bytesAt(2); !rest.empty();) {
        return_count each;
        each.service = readNumber<std::uint32_t>(rest);
        each.priority = readNumber<std::uint8_t>(rest);
        each.account = readNumber<std::uint32_t>(rest);
        each.count = readNumber<std::uint16_t>(rest);
        counts.returns.push_back(each);
    }
    for (std::string_view rest = bytesAt(3); !rest.empty();) {
        const auto service = readNumber<std::uint32_t>(rest);
        counts.rates.push_back({service, readCost(rest)});
    }
    return counts;
}

/// The speed and the occupied memory of each upstream, in the order of the list of their usage; empty if none is known.
std::string figuresToBytes(const std::vector<upstream_usage> &usage)
{
    const bool isAnyKnown = std::any_of(usage.begin(), usage.end(),
                                        [](const upstream_usage &each) { return each.slowness.weight > 0 || each.occupiedTokens > 0; });
    if (!isAnyKnown) {
        return {};
    }
    const auto unitsOf = [](double value, double units) { return static_cast<std::uint64_t>(std::lround(std::max(0.0, value) * units)); };
    std::string bytes;
    for (const upstream_usage &each : usage) {
        appendNumber<std::uint8_t>(bytes, unitsOf(each.slowness.log2Factor - lowestLog2Factor, log2FactorUnits));
        appendNumber<std::uint8_t>(bytes, unitsOf(std::log2(1.0 + each.slowness.weight), log2WeightUnits));
        appendNumber<std::uint32_t>(bytes, each.occupiedTokens);
    }
    return bytes;
}

void figuresFromBytes(std::string_view bytes, std::vector<upstream_usage> &usage)
{
    if (bytes.empty()) {
        return;
    }
    for (upstream_usage &each : usage) {
        each.slowness.log2Factor = readNumber<std::uint8_t>(bytes) / log2FactorUnits + lowestLog2Factor;
        each.slowness.weight = std::exp2(readNumber<std::uint8_t>(bytes) / log2WeightUnits) - 1.0;
        each.occupiedTokens = readNumber<std::uint32_t>(bytes);
    }
    if (!bytes.empty()) {
        throw std::runtime_error("figures of more upstreams than have a usage");
    }
}

limit_statement limitFromBytes(std::string_view bytes)
{
    const std::vector<limit_statement> statements = limitsFromBytes(bytes);
    if (statements.size() != 1) {
        throw std::runtime_error("a message about a permit names no upstream");
    }
    return statements.front();
}

/// First element of a datagram that is no heartbeat, whose first element is a name.
enum class datagram_kind : std::uint8_t {
    permitRequest,
    permitAnswer,
};

permit_message permitMessageFromJson(const json &document)
{
    permit_message message;
    message.name = document.at(1).get<std::string>();
    const auto number = document.at(2).get<std::uint64_t>();
    const limit_statement statement = limitFromBytes(document.at(3).get_ref<const std::string &>());
    const permit_claim claim {document.at(4).get<int>(), document.at(5).get<std::uint32_t>()};
    switch (static_cast<datagram_kind>(document.at(0).get<std::uint8_t>())) {
    case datagram_kind::permitRequest:
        message.content = permit_request {number, statement, claim};
        return message;
    case datagram_kind::permitAnswer:
        message.content = permit_answer {number, statement, document.at(6).get<bool>(),
                                         std::chrono::microseconds(document.at(7).get<std::uint32_t>()), claim};
        return message;
    }
    throw std::runtime_error("a datagram of an unknown kind");
}

} // namespace

std::string encodeGossipMessage(const gossip_message &message)
{
    json routers = json::array();
    for (const peer_info &peer : message.routers) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(peer.age).count();
        routers.push_back({peer.name, peer.address, peer.loadAddress, peer.domain, age, peer.counter});
    }
    json digests = json::object();
    for (const kind_digest &digest : message.digests) {
        digests[digest.kind] = {digest.asOf.number, digest.hash, digest.asOf.era, digest.keepsLost};
    }
    json document = {{"name", message.name},     {"address", message.address},    {"loadAddress", message.loadAddress},
                     {"domain", message.domain}, {"routers", std::move(routers)}, {"digests", std::move(digests)}};
    document["counter"] = message.counter;
    if (message.wantsPrompts) {
        document["wantsPrompts"] = true;
    }
    if (!message.prompts.empty()) {
        document["prompts"] = promptsToJson(message.prompts);
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

gossip_message decodeGossipMessage(const std::string &body)
{
    const json document = json::parse(body);
    gossip_message message;
    message.name = document.at("name").get<std::string>();
    message.address = document.at("address").get<std::string>();
    message.loadAddress = document.at("loadAddress").get<std::string>();
    message.domain = document.at("domain").get<std::string>();
    message.counter = document.value("counter", std::uint64_t(0));
    for (const json &item : document.at("routers")) {
        const std::chrono::milliseconds age(item.at(4).get<std::int64_t>());
        message.routers.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), item.at(2).get<std::string>(),
                                   item.at(3).get<std::string>(), age, newerElement<std::uint64_t>(item, 5, 0)});
    }
    for (const auto &[kind, digest] : document.at("digests").items()) {
        message.digests.push_back({kind,
                                   {newerElement<std::uint64_t>(digest, 2, 0), digest.at(0).get<std::uint64_t>()},
                                   digest.at(1).get<std::uint64_t>(),
                                   newerElement(digest, 3, false)});
    }
    message.wantsPrompts = document.value("wantsPrompts", false);
    if (const auto prompts = document.find("prompts"); prompts != document.end()) {
        message.prompts = promptsFromJson(*prompts);
    }
    return message;
}

std::string encodeQuarantine(const std::vector<part_verdict> &verdicts)
{
    json list = json::array();
    for (const part_verdict &each : verdicts) {
        list.push_back({{"part", toHex(each.part)},
                        {"standing", nameOf(each.standing)},
                        {"crashes", each.crashes},
                        {"heldForMs", millisecondsOf(each.heldFor)}});
    }
    return list.dump() + '\n';
}

std::string encodeSnapshot(const kind_snapshot &snapshot)
{
    json objects = json::array();
    for (const stored_object &object : snapshot.state.objects) {
        objects.push_back({object.name, object.revision.number, object.text, object.revision.era, object.content.incarnation,
                           object.content.number, object.status, object.createdAt});
    }
    const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(snapshot.state.missingGrace).count();
    const json document = {{"kind", snapshot.kind},
                           {"since", snapshot.state.since.number},
                           {"asOf", snapshot.state.asOf.number},
                           {"era", snapshot.state.asOf.era},
                           {"objects", std::move(objects)},
                           {"removed", snapshot.state.removed},
                           {"graceMs", grace}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

kind_snapshot decodeSnapshot(const std::string &text)
{
    const json document = json::parse(text);
    kind_snapshot snapshot;
    snapshot.kind = document.at("kind").get<std::string>();
    const auto era = document.value<std::uint64_t>("era", 0);
    snapshot.state.asOf = {era, document.at("asOf").get<std::uint64_t>()};
    // A difference never reaches into an earlier era.
    const auto since = document.at("since").get<std::uint64_t>();
    snapshot.state.since = since == 0 ? store_revision() : store_revision(era, since);
    snapshot.state.missingGrace = std::chrono::milliseconds(document.at("graceMs").get<std::int64_t>());
    for (const json &object : document.at("objects")) {
        snapshot.state.objects.push_back({object.at(0).get<std::string>(),
                                          {newerElement<std::uint64_t>(object, 3, 0), object.at(1).get<std::uint64_t>()},
                                          object.at(2).get<std::string>(),
                                          false,
                                          {newerElement<std::uint64_t>(object, 4, 0), newerElement<std::uint64_t>(object, 5, 0)},
                                          newerElement<std::string>(object, 6, {}),
                                          newerElement<std::uint64_t>(object, 7, 0)});
    }
    snapshot.state.removed = document.at("removed").get<std::vector<std::string>>();
    return snapshot;
}

std::string joinMessageParts(const std::vector<std::string> &parts)
{
    std::string body;
    for (const std::string &part : parts) {
        appendNumber<std::uint32_t>(body, part.size());
        body += part;
    }
    return body;
}

std::vector<std::string> splitMessageParts(std::string_view body)
{
    std::vector<std::string> parts;
    while (!body.empty()) {
        const std::size_t size = readNumber<std::uint32_t>(body);
        if (size > body.size()) {
            throw std::runtime_error("a part of a message is cut");
        }
        parts.emplace_back(body.substr(0, size));
        body.remove_prefix(size);
    }
    return parts;
}

std::string encodeHeartbeat(const router_heartbeat &heartbeat)
{
    const load_update &load = heartbeat.load;
    std::string usageBytes;
    for (const upstream_usage &entry : load.usage) {
        appendNumber<std::uint32_t>(usageBytes, entry.upstream >> 32);
        appendNumber<std::uint16_t>(usageBytes, entry.inFlight);
        appendNumber<std::uint16_t>(usageBytes, (entry.pendingPrefillTokens + prefillTokenUnit - 1) / prefillTokenUnit);
    }
    std::string prompts;
    for (const prompt_location &prompt : load.prompts) {
        appendNumber<std::uint32_t>(prompts, prompt.upstream >> 32);
        const std::size_t count = std::min<std::size_t>(prompt.parts.size(), std::numeric_limits<std::uint16_t>::max());
        appendNumber<std::uint16_t>(prompts, count);
        for (std::size_t i = 0; i < count; ++i) {
            appendNumber<std::uint64_t>(prompts, prompt.parts[i]);
        }
    }
    json digests = json::array();
    for (const kind_digest &digest : heartbeat.digests) {
        digests.push_back({digest.kind, digest.asOf.number, digest.hash, digest.asOf.era, digest.keepsLost});
    }
    json leaving = json::array();
    for (const leaving_upstream &each : load.leaving) {
        leaving.push_back({each.upstream, each.incarnation});
    }
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(heartbeat.interval).count();
    json sinceApiAnswer; // null if there is none
    if (heartbeat.sinceApiAnswer) {
        sinceApiAnswer = std::chrono::duration_cast<std::chrono::milliseconds>(*heartbeat.sinceApiAnswer).count();
    }
    std::string bytes;
    json::to_msgpack(json::array({heartbeat.name,
                                  heartbeat.isLeader,
                                  heartbeat.isApiReachable,
                                  heartbeat.routersCovered,
                                  interval,
                                  load.source,
                                  static_cast<unsigned>(load.scope),
                                  usageBytes,
                                  prompts,
                                  std::move(leaving),
                                  std::move(digests),
                                  "", // earlier versions expect a list of routers here
                                  evidenceToJson(heartbeat.evidence),
                                  limitsToBytes(heartbeat.limits),
                                  std::move(sinceApiAnswer),
                                  rolloutsToBytes(load.rollouts),
                                  admissionToJson(load.admission),
                                  figuresToBytes(load.usage),
                                  heartbeat.counter,
                                  livenessToBytes(heartbeat.recentRouters)}),
                     bytes);
    return bytes;
}

namespace
{

router_heartbeat heartbeatFromJson(const json &document)
{
    router_heartbeat heartbeat;
    load_update &load = heartbeat.load;
    heartbeat.name = document.at(0).get<std::string>();
    heartbeat.isLeader = document.at(1).get<bool>();
    heartbeat.isApiReachable = document.at(2).get<bool>();
    heartbeat.routersCovered = document.at(3).get<std::uint32_t>();
    heartbeat.interval = std::chrono::milliseconds(document.at(4).get<std::uint32_t>());
    load.source = document.at(5).get<std::string>();
    const auto scope = document.at(6).get<unsigned>();
    if (scope >= static_cast<unsigned>(load_scope::count)) {
        throw std::runtime_error("a notice of an unknown scope");
    }
    load.scope = static_cast<load_scope>(scope);
    const auto &usageBytes = document.at(7).get_ref<const std::string &>();
    for (std::string_view rest = usageBytes; !rest.empty();) {
        upstream_usage entry;
        entry.upstream = std::uint64_t(readNumber<std::uint32_t>(rest)) << 32;
        entry.inFlight = readNumber<std::uint16_t>(rest);
        entry.pendingPrefillTokens = readNumber<std::uint16_t>(rest) * prefillTokenUnit;
        load.usage.push_back(entry);
    }
    const auto &prompts = document.at(8).get_ref<const std::string &>();
    for (std::string_view rest = prompts; !rest.empty();) {
        prompt_location prompt;
        prompt.upstream = std::uint64_t(readNumber<std::uint32_t>(rest)) << 32;
        prompt.parts.resize(readNumber<std::uint16_t>(rest));
        for (std::uint64_t &part : prompt.parts) {
            part = readNumber<std::uint64_t>(rest);
        }
        load.prompts.push_back(std::move(prompt));
    }
    for (const json &each : document.at(9)) {
        load.leaving.push_back({each.at(0).get<std::uint64_t>(), each.at(1).get<std::uint64_t>()});
    }
    for (const json &digest : document.at(10)) {
        heartbeat.digests.push_back({digest.at(0).get<std::string>(),
                                     {newerElement<std::uint64_t>(digest, 3, 0), digest.at(1).get<std::uint64_t>()},
                                     digest.at(2).get<std::uint64_t>(),
                                     newerElement(digest, 4, false)});
    }
    // Element 11: routers of an earlier version list others there, without anything that shows how old that is.
    if (document.size() > 12) { // routers of an earlier version send none
        heartbeat.evidence = evidenceFromJson(document.at(12));
    }
    if (document.size() > 13) {
        heartbeat.limits = limitsFromBytes(document.at(13).get_ref<const std::string &>());
    }
    if (document.size() > 14 && !document.at(14).is_null()) {
        heartbeat.sinceApiAnswer = std::chrono::milliseconds(document.at(14).get<std::uint32_t>());
    }
    if (document.size() > 15) {
        load.rollouts = rolloutsFromBytes(document.at(15).get_ref<const std::string &>());
    }
    if (document.size() > 16 && !document.at(16).is_null()) {
        load.admission = admissionFromJson(document.at(16));
    }
    if (document.size() > 17) {
        figuresFromBytes(document.at(17).get_ref<const std::string &>(), load.usage);
    }
    heartbeat.counter = newerElement<std::uint64_t>(document, 18, 0);
    if (document.size() > 19) {
        heartbeat.recentRouters = livenessFromBytes(document.at(19).get_ref<const std::string &>());
    }
    return heartbeat;
}

} // namespace

std::string encodePermitMessage(const permit_message &message)
{
    const auto toJson = overloaded {
        [&](const permit_request &request) {
            return json::array({static_cast<unsigned>(datagram_kind::permitRequest), message.name, request.number,
                                limitsToBytes({request.statement}), request.claim.priority, request.claim.account});
        },
        [&](const permit_answer &answer) {
            return json::array({static_cast<unsigned>(datagram_kind::permitAnswer), message.name, answer.number,
                                limitsToBytes({answer.statement}), answer.claim.priority, answer.claim.account, answer.isGranted,
                                answer.wait.count()});
        },
    };
    std::string bytes;
    json::to_msgpack(std::visit(toJson, message.content), bytes);
    return bytes;
}

std::variant<router_heartbeat, permit_message> decodeDatagram(const char *data, std::size_t size)
{
    const json document = json::from_msgpack(data, data + size);
    if (document.at(0).is_string()) {
        return heartbeatFromJson(document);
    }
    return permitMessageFromJson(document);
}

} // namespace nutmegtally
