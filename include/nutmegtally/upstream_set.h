// Upstreams as a router sees them, and placement of requests on them. The state of an upstream combines the platform's list,
// the load that it reports in answers, the requests in flight from this and other routers, and its recent failures.
#pragma once

#include <nutmegtally/leaving_incarnations.h>
#include <nutmegtally/load_update.h>
#include <nutmegtally/mechanism.h>
#include <nutmegtally/prefix_map.h>
#include <nutmegtally/request_limits.h>
#include <nutmegtally/rollout_control.h>
#include <nutmegtally/time.h>
#include <nutmegtally/traffic_rules.h>
#include <nutmegtally/upstream_speed.h>
#include <nutmegtally/version_filter.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace nutmegtally
{

namespace detail
{
struct score_terms;
} // namespace detail

/// An upstream's entry in the platform's list.
struct upstream_record {
    std::string instance; // unique name; the upstream refuses requests that name another instance
    std::string service;
    std::string address; // IP number and port
    std::string domain;
    unsigned slots = 1; // requests that it runs at once
    bool isLeaving = false; // finishes its requests and gets no new ones
    duration coldFor {0}; // remaining time of the cold start
    std::uint64_t incarnation = 0; // identifies a start of the process; a new one has empty caches and counters
    std::string version {}; // of its software
    store_revision listedAt {}; // revision at which this entry was last changed

    bool operator==(const upstream_record &) const = default;
};

/// Load that an upstream reports in an answer.
struct upstream_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    std::optional<double> timePercent {}; // time that work takes on its machine now; 100 is usual
};

/// Properties of a request that placement uses.
struct placement_query {
    std::string_view service;
    const prompt_parts *parts = nullptr; // null or empty for plain services
    std::uint64_t tieBreak = 0; // seed of the choice between upstreams with equal scores
    const std::vector<upstream_number> *tried = nullptr; // upstreams that are not chosen again
    const request_limits *limits = nullptr; // upstreams that are at their limits are not chosen
    const version_filter *versions = nullptr; // null: upstreams of all versions are allowed
    permit_claim claim; // for permits of upstreams with limits
    bool avoidsLimits = false; // no upstream with a limit is chosen
    duration target {0}; // while others are at their limits, no engine is chosen that is expected to miss it
};

/// Why no upstream was chosen.
enum class placement_outcome : std::uint8_t {
    chosen,
    noneListed, // no upstream of the service is known, or all are leaving or in closed domains
    allFull, // no upstream has room for another request
    allCold, // those with room are cold and have reached their request rate
    allTried, // the request was already sent to every eligible upstream
    allPaused, // those with room asked for a pause
    allLimited, // all with room state limits, and no permit is to be had yet
    unverified, // the process was paused, and its state is not verified yet
    cachesUnknown, // the process has just started, and engines have not told yet what they have cached
    quarantined, // a part of the prompt crashes engines
    onTrial, // a part of the prompt is suspected to crash engines, and another request with it is not past its beginning
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(placement_outcome::count)> placementOutcomeNames = {
    "chosen",      "none_listed", "all_full",       "all_cold",    "all_tried", "all_paused",
    "all_limited", "unverified",  "caches_unknown", "quarantined", "on_trial",
};

constexpr std::string_view nameOf(placement_outcome outcome)
{
    return placementOutcomeNames[static_cast<std::size_t>(outcome)];
}

struct placement {
    placement_outcome outcome = placement_outcome::noneListed;
    upstream_number upstream = noUpstreamNumber;
    double score = 0; // expected delay in milliseconds
    double learnedMs = 0; // of the score, because of the learned speed of the upstream
    double slowness = 1; // learned factor of the upstream's answer times
    double load = 0; // estimated requests at the upstream before this one
    duration loadAge {0}; // since the upstream's last load report
    std::uint64_t cachedTokens = 0; // of the prompt, that the upstream probably has cached
    std::string fetchFrom; // address of an upstream that has more of the prompt cached; empty if none does
    std::uint64_t fetchTokens = 0; // cached there beyond cachedTokens
    std::uint64_t prefillTokens = 0; // of the prompt, that the chosen upstream has to prefill
    unsigned candidates = 0; // eligible upstreams that were compared
    time_point pausedUntil; // with allPaused: end of the earliest pause; with allLimited: when the first permit may be had
    double limitedPerSecond = 0; // sum of the limits of the eligible upstreams that state one
};

/// Result of an attempt, as far as it indicates the health of the upstream.
enum class attempt_result : std::uint8_t {
    succeeded,
    refused, // the upstream stated that it did not run the request
    failed, // an error answer
    unreachable, // no connection
    lost, // the connection ended, or the answer was damaged
    overdue, // no answer within the expected time
    unknown, // no information, for example because the caller left
    count
};

/// Requests of other routers at an upstream, from the last load update of one source.
struct peer_usage {
    std::uint32_t source = 0; // index of the source, as in upstream_set::m_sourceIndex
    load_scope scope = load_scope::router;
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillTokens = 0;
    time_point receivedAt;
    slowness_figure slowness {};
    std::uint32_t occupiedTokens = 0; // 0 if the source does not state it
};

/// State of one listed incarnation of an upstream.
struct upstream_entry {
    /// As statements of limits name it.
    limited_upstream limitKey() const
    {
        return {static_cast<std::uint32_t>(hash >> 32), static_cast<std::uint32_t>(record.incarnation)};
    }

    upstream_record record;
    std::uint64_t hash = 0; // of the instance's name, which stands for it in load updates
    upstream_number number = noUpstreamNumber;
    time_point coldUntil;
    unsigned inFlight = 0; // this router's requests there
    std::uint64_t pendingPrefillTokens = 0; // of this router's requests that have no first event yet
    std::uint64_t kvTokens = 0; // KV memory of this router's requests: prompt and output tokens
    upstream_load reported;
    time_point reportedAt;
    unsigned inFlightAtReport = 0; // this router's requests that are included in the report
    bool hasReport = false;
    std::vector<peer_usage> fromPeers; // requests of other routers, one entry per source
    double failureRate = 0; // moving average over answers, 0 to 1
    unsigned consecutiveFailures = 0; // attempts without an answer in between
    time_point ejectedUntil; // not chosen until then, unless all eligible upstreams are ejected
    double coldBucket = 0; // token bucket that limits the request rate while cold
    time_point coldBucketRefilledAt;
    bool isLeavingAnnounced = false; // in an answer; holds until the next incarnation, whatever the list says
    time_point leavingAnnouncedAt;
    time_point pausedUntil; // end of a pause that it asked for; unlike ejectedUntil it holds without an alternative too
    bool isHalfOpen = false; // after a pause: one request at a time until one succeeds
    bool isMissing = false; // absent from the list, usable until missingUntil
    time_point missingUntil;
};

class upstream_set
{
public:
    /// @param ownDomain Failure domain of this router; its upstreams are preferred if scores are nearly equal.
    explicit upstream_set(std::string ownDomain, mechanism_set mechanisms = {});

    /// Adds or updates an upstream from the platform's list. One that announced that it leaves stays leaving until its next incarnation.
    /// @return True if anything but coldFor and listedAt changed.
    bool upsert(upstream_record record, time_point now);

    /// Removes an upstream that is no longer listed.
    /// @param grace Keeps it usable for this long: its entry may have expired while the object API was unavailable.
    void remove(const std::string &instance, time_point now, duration grace);

    /// Removes upstreams whose grace is over. @return The instances that were removed.
    std::vector<std::string> expire(time_point now);

    /// Sets the failure domains whose upstreams get no new requests.
    void setClosedDomains(std::unordered_set<std::string> domains);

    /// Sets the live routers, which share the connections and the cold request rate of each upstream.
    void setRouters(std::string self, std::vector<std::string> live);

    /// Chooses the eligible upstream with the lowest score: the expected delay with penalties, see src/placement_score.h.
    placement choose(const placement_query &request, const traffic_rules &rules, time_point now);

    /// Counts a request that is being sent.
    /// @param prefillTokens As in placement.
    /// @param kvTokens Prompt and output tokens of the request.
    /// @return What the upstream has to do for it, for recordSpeed().
    attempt_size start(upstream_number number, const prompt_parts &parts, std::uint64_t prefillTokens, std::uint64_t kvTokens,
                       time_point now);

    /// Ends the prefill of a request: its first event, or its whole answer, was received.
    void markFirstEvent(upstream_number number, std::uint64_t prefillTokens);

    /// Learns from the time of a successful answer, or of the first event of a stream.
    void recordSpeed(upstream_number number, const speed_sample &sample, time_point now);

    /// An upstream with its learned factor.
    struct speed_change {
        std::string instance;
        double factor = 1;
        unsigned inFlight = 0; // this router's requests there
    };

    /// Upstreams whose factor left the usual range or came back to it since the last call.
    std::vector<speed_change> takeSpeedChanges();

    /// Upstreams whose factor is not 1.
    std::vector<speed_change> unusualSpeeds() const;

    /// Applies a load update of another router.
    /// @param isCounted False if another update counts the same requests; then only prompts and leaving upstreams are applied.
    void applyUpdate(const load_update &update, bool isCounted, time_point now);

    /// Sets whether this router is a leader, which relays prompts from the routers of its domain and from other domains' leaders.
    /// A change discards the counts of all load updates: sums contain requests that single updates counted before.
    /// @return True if it changed.
    bool setLeader(bool isLeader);

    /// Load update with the requests of this router.
    load_update ownLoad(time_point now) const;

    /// Load update with the requests of this router and of those that sent their own.
    load_update domainLoad(time_point now) const;

    /// Load update with the requests of all routers.
    load_update fleetLoad(time_point now) const;

    /// The sum @p fleet without the requests that @p router reported itself.
    load_update excludingRouter(load_update fleet, const std::string &router) const;

    /// Number of routers and domains whose last load update is still valid, fleet sums not included.
    std::size_t activeSources(time_point now) const;

    /// Prompts to announce to other routers.
    struct outgoing_prompts {
        std::vector<prompt_location> fromOwnDomain; // sent by routers of this domain
        std::vector<prompt_location> fromOtherDomains; // from other domains' leaders; to be relayed within this domain only
    };

    /// True if takePrompts() would return any.
    bool hasPromptsToAnnounce() const;

    /// Takes the prompts to announce since the last call, at most limits::partsPerUpdate parts of each list.
    outgoing_prompts takePrompts();

    /// Records the load that an upstream reported in an answer.
    void recordReport(upstream_number number, const upstream_load &load, time_point now);

    /// Ends a request that start() counted.
    /// @param awaitsFirstEvent True if markFirstEvent() was not called for it.
    void finish(upstream_number number, std::uint64_t prefillTokens, std::uint64_t kvTokens, bool awaitsFirstEvent);

    /// Where prompts are probably cached, for a router that has just started.
    std::vector<prompt_location> knownPrompts(time_point now) const;

    /// Adds cached parts that another router reported.
    void addPromptLocations(const std::vector<prompt_location> &prompts, time_point now);

    /// Adds the cached parts that an engine listed.
    /// @param announces Whether other routers are told; false if they ask the engine themselves.
    void addHeldParts(const std::string &instance, const prompt_parts &parts, bool announces, time_point now);

    /// Engines to ask for their cached parts.
    struct cache_query {
        std::vector<upstream_record> engines;
        bool asksAll = false; // every router asks all engines of a small fleet, so the answers are not announced
    };

    /// Engines whose cached parts this router should query: no router reported any, and, in a large fleet, the query is this
    /// router's duty.
    cache_query enginesToQuery(const traffic_rules &rules) const;

    /// Records that an upstream announced that it is leaving. @return True if that is new.
    bool markLeaving(upstream_number number, time_point now);

    /// Records that an answer asked for a pause: choose() skips the upstream until it is over.
    void pause(upstream_number number, duration span, time_point now);

    /// Updates the failure statistics of an upstream, its ejection and its half-open state.
    void recordResult(upstream_number number, attempt_result result, time_point now);

    /// @return nullptr if the number is no longer listed.
    const upstream_entry *find(upstream_number number) const;

    /// @return nullptr if the instance is not listed.
    const upstream_entry *find(const std::string &instance) const;

    /// @return nullptr if no such incarnation is listed.
    const upstream_entry *find(limited_upstream upstream) const;

    /// True if a request that was placed a moment ago may still be sent there.
    bool mayReceive(upstream_number number, time_point now) const;

    std::size_t size() const
    {
        return m_upstreams.size();
    }

    std::size_t routers() const
    {
        return m_routers.empty() ? 1 : m_routers.size();
    }

    /// This router's requests at upstreams of a service of other versions than @p target, and all routers' at all of its upstreams.
    version_load loadOfVersions(std::string_view service, std::string_view target, time_point now) const;

    /// Estimated number of requests at an upstream: this router's own, and those of others according to their load updates or
    /// the upstream's last report, whichever is higher.
    double estimatedLoad(const upstream_entry &upstream, time_point now) const;

private:
    /// Engines with the highest ranks for an affinity key, the first one first; contexts that nobody has cached go there.
    using preferred_list = std::array<const upstream_entry *, 2>;

    /// An eligible upstream with its estimated load.
    struct candidate {
        upstream_entry *state = nullptr;
        double load = 0;
        bool isLimited = false; // states a limit of requests
        learned_speed speed {};
        bool isHeldBack = false; // as in upstream_speed::heldBack()
    };

    /// Cache state of one prompt.
    struct prompt_cache_view {
        preferred_list preferred {};
        std::vector<prefix_match> matches;
        const upstream_entry *holder = nullptr; // healthy engine with the longest cached prefix; null if there is none
        std::uint64_t kvTokens = 0; // length of that prefix
    };

    /// @param outgoing Receives the prompts to announce to other routers; null for none.
    void recordPrompts(const std::vector<prompt_location> &prompts, std::vector<prompt_location> *outgoing, time_point now);
    void applyUsage(const load_update &update, time_point now);
    upstream_usage ownUsage(const upstream_entry &state, time_point now) const;
    load_update sumOfLoads(load_scope scope, time_point now) const;
    void addLeaving(load_update &update, time_point now) const;
    const upstream_number *numberOf(std::uint64_t hash) const;
    bool isEligible(const upstream_entry &upstream) const;
    bool mayStartCold(upstream_entry &upstream, const service_rule &rule, time_point now) const;
    std::vector<candidate> candidatesFor(const placement_query &request, placement &result, double &totalFailures, time_point now);
    /// Load that no engine without a limit should exceed. Those with a limit take fewer requests, whatever the others hold.
    double loadBound(const std::vector<candidate> &eligible) const;
    prompt_cache_view viewPromptCache(const std::vector<candidate> &eligible, const prompt_parts &parts, time_point now) const;
    const std::vector<upstream_entry *> &ofService(std::string_view service);
    /// @param details Receives how many tokens of the prompt the engine has cached, could fetch, and has to prefill.
    detail::score_terms scoreEngine(const candidate &option, const prompt_parts &parts, const service_rule &rule,
                                    const prompt_cache_view &prompt, placement &details, time_point now) const;
    std::uint64_t pendingPrefillTokens(const upstream_entry &upstream, time_point now) const;
    /// An amount that decays with limits::recentSumHalfLife, from which its rate follows.
    struct recent_sum {
        double amount = 0;
        time_point at; // last update of amount
    };

    static void addRecent(recent_sum &sum, double amount, time_point now);
    /// Estimated amount per upstream that other routers have placed but not reported yet.
    double unreportedByOthers(const recent_sum &own, std::size_t upstreams, time_point now) const;
    /// Estimated prefill time per engine of the prompts that other routers have placed but not reported yet.
    double unreportedPrefillMs(std::string_view service, std::size_t engines, time_point now) const;
    /// Estimated requests that other routers have started at each upstream of a service but not reported yet.
    double unreportedStarts(std::string_view service, std::size_t upstreams, time_point now) const;
    upstream_entry *mutableState(upstream_number number);
    void refreshSpeeds(std::string_view service, time_point now);
    /// Memory of an engine that the requests of all routers occupy, in tokens.
    /// @param load Estimated requests there.
    double occupiedTokens(const upstream_entry &upstream, double load, time_point now) const;
    /// According to other routers.
    static slowness_figure peerSlowness(const upstream_entry &upstream, time_point now);
    learned_speed speedOf(const upstream_entry &upstream) const;
    engine_speed usualSpeedOf(std::string_view service) const;
    void holdBackUnproven(std::vector<candidate> &eligible, time_point now) const;
    std::vector<speed_change> named(const std::vector<upstream_speed::change> &changes) const;

    std::string m_ownDomain;
    mechanism_set m_mechanisms;
    std::map<std::string, upstream_entry> m_upstreams; // by instance
    std::unordered_map<std::string, std::vector<upstream_entry *>> m_byService; // into m_upstreams
    bool m_servicesChanged = false; // m_byService has to be built again
    std::unordered_map<upstream_number, std::string> m_instanceOf;
    leaving_incarnations m_leaving; // also of upstreams that are no longer listed
    std::unordered_set<std::string> m_closedDomains;
    std::string m_self;
    std::vector<std::string> m_routers; // live ones, with this one
    std::uint64_t m_selfHash = 0; // of m_self
    std::vector<std::uint64_t> m_routerHashes; // of m_routers
    prefix_map m_prefixes; // prompts of this router and those that others reported
    std::unordered_map<std::uint32_t, upstream_number> m_numberOf; // by the upper half of the hash of the instance's name
    std::unordered_map<std::string, std::uint32_t> m_sourceIndex; // by source of a load update
    /// Last load update of one source.
    struct last_update {
        std::vector<upstream_number> upstreams;
        load_scope scope = load_scope::router;
        time_point at;
    };

    std::unordered_map<std::uint32_t, last_update> m_lastUpdates;
    std::vector<prompt_location> m_outgoingPrompts; // prompts sent by routers of this domain, for other routers
    std::vector<prompt_location> m_outgoingLists; // whole lists of engines; sent after the prompts, which are about new contexts
    std::vector<prompt_location> m_outgoingRemotePrompts; // prompts of other domains, for the routers of this one
    bool m_isLeader = true; // until other routers are known, as in leader_election
    std::unordered_set<upstream_number> m_cacheKnown; // engines whose cached parts another router or they themselves listed
    upstream_number m_lastNumber = noUpstreamNumber;
    std::unordered_map<std::string, recent_sum> m_recentStarts; // of this router's requests, by service
    recent_sum m_recentPrefillTokens; // of this router's requests
    upstream_speed m_speeds;
    duration m_updateInterval {0}; // moving average of the time between two load updates of one source
};

} // namespace nutmegtally
