// A router's view of the upstreams: what the platform lists, what answers say of their load, what this router has in
// flight there, and how often they failed. Chooses the upstream for a request.
#pragma once

#include <nutmegtally/load_update.h>
#include <nutmegtally/prefix_map.h>
#include <nutmegtally/time.h>
#include <nutmegtally/traffic_rules.h>

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

/// What the platform's list says of one upstream.
struct upstream_record {
    std::string instance; // unique name; the upstream refuses requests meant for another instance
    std::string service;
    std::string address; // IP number and port
    std::string domain;
    unsigned slots = 1; // requests that it runs at once
    bool isLeaving = false;
    duration coldFor {0}; // remaining time of the cold start
    std::uint64_t incarnation = 0; // start of the process; another value means that caches and counts are gone

    bool operator==(const upstream_record &) const = default;
};

/// Load as the upstream stated it in an answer.
struct upstream_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// Number of one incarnation of an upstream. Never used again, so late events of an earlier one match nothing.
using upstream_number = std::uint32_t;
inline constexpr upstream_number noUpstreamNumber = 0;

/// What placement needs to know of a request.
struct placement_query {
    std::string_view service;
    const prompt_parts *parts = nullptr; // null or empty for plain services
    std::uint64_t tieBreak = 0; // spreads equal choices
    const std::vector<upstream_number> *tried = nullptr; // not chosen again
};

/// Why no upstream was chosen.
enum class placement_outcome : std::uint8_t {
    chosen,
    noneListed, // no upstream of the service is known, or all are leaving or in closed domains
    allFull, // each one has as much work as it may get
    allCold, // the ones with room are cold and have got their requests of this second
    allTried,
    allPaused, // the ones with room asked for a pause
    unverified, // this router was paused and does not know yet what it missed
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(placement_outcome::count)> placementOutcomeNames = {
    "chosen", "none_listed", "all_full", "all_cold", "all_tried", "all_paused", "unverified",
};

constexpr std::string_view nameOf(placement_outcome outcome)
{
    return placementOutcomeNames[static_cast<std::size_t>(outcome)];
}

struct placement {
    placement_outcome outcome = placement_outcome::noneListed;
    upstream_number upstream = noUpstreamNumber;
    double score = 0; // expected delay in milliseconds
    double load = 0; // estimated requests at the upstream before this one
    duration loadAge {0}; // since the upstream's last own statement
    std::uint64_t cachedTokens = 0; // that the upstream probably keeps
    std::string fetchFrom; // address of an upstream that keeps more of the prompt; empty if none does
    std::uint64_t fetchTokens = 0; // what it keeps beyond the chosen one
    std::uint64_t prefillTokens = 0; // of the prompt, which the chosen one has to read
    unsigned candidates = 0;
    time_point pausedUntil; // with allPaused: when the first of the pauses ends
};

/// How a request ended at an upstream, as far as it says something about the upstream.
enum class attempt_result : std::uint8_t {
    succeeded,
    refused, // said that it did not run the request
    failed, // an error answer
    unreachable, // no connection
    lost, // the connection ended, or the answer was damaged
    overdue, // no answer within the usual time
    unknown, // nothing learnt: the caller left
    count
};

/// Other routers' requests at an upstream, as a teller told last.
struct peer_usage {
    std::uint32_t source = 0; // index in the set's table of tellers
    load_scope scope = load_scope::router;
    std::uint32_t inFlight = 0;
    std::uint32_t pendingPrefillTokens = 0;
    time_point receivedAt;
};

/// One listed incarnation and what this router knows of it.
struct upstream_entry {
    upstream_record record;
    std::uint64_t hash = 0; // of the instance's name
    upstream_number number = noUpstreamNumber;
    time_point coldUntil;
    unsigned inFlight = 0; // this router's requests there
    std::uint64_t pendingPrefillTokens = 0; // that it has to read for this router's requests without a first event
    std::uint64_t kvTokens = 0; // prompt and output tokens of this router's requests
    upstream_load reported;
    time_point reportedAt;
    unsigned inFlightAtReport = 0;
    bool hasReport = false;
    std::vector<peer_usage> fromPeers; // by other routers
    double failureRate = 0; // moving average over answers, 0 to 1
    unsigned consecutiveFailures = 0; // without an answer between them
    time_point ejectedUntil;
    double coldBucket = 0; // token bucket of starts while cold
    time_point coldBucketRefilledAt;
    bool isLeavingAnnounced = false; // in an answer; holds until its process starts anew, whatever the list says
    time_point leavingAnnouncedAt;
    time_point pausedUntil; // it asked this router for a pause; unlike ejectedUntil this holds without an alternative too
    bool isHalfOpen = false; // after a pause: one request at a time until one was served
    bool isMissing = false; // absent from the list, kept until missingUntil
    time_point missingUntil;
};

class upstream_set
{
public:
    /// @param ownDomain Failure domain of this router; ties go to upstreams in it.
    explicit upstream_set(std::string ownDomain);

    /// Takes over an entry of the platform's list.
    /// @return True if something other than the age changed.
    bool upsert(const upstream_record &record, time_point now);

    /// Takes an upstream off the list.
    /// @param grace Keeps it usable for this long: the list may have lost it while the platform was away.
    void remove(const std::string &instance, time_point now, duration grace);

    /// Removes what stayed missing beyond its grace. @return The instances that were removed.
    std::vector<std::string> expire(time_point now);

    /// Domains that get nothing new.
    void setClosedDomains(std::unordered_set<std::string> domains);

    /// Routers that share the starts of a cold upstream.
    void setRouters(std::string self, std::vector<std::string> live);

    placement choose(const placement_query &request, const traffic_rules &rules, time_point now);

    /// Counts a request that is sent now.
    /// @param prefillTokens Of its prompt, as in placement.
    /// @param kvTokens Prompt and output tokens.
    void start(upstream_number number, const prompt_parts &parts, std::uint64_t prefillTokens, std::uint64_t kvTokens, time_point now);

    /// First event of the request's answer, or its whole answer.
    void markFirstEvent(upstream_number number, std::uint64_t prefillTokens);

    /// Takes over what another router told.
    /// @param isCounted False for requests that another notice counts as well; the rest of the notice is taken.
    void applyUpdate(const load_update &update, bool isCounted, time_point now);

    /// A lead passes on what the routers of its domain and other domains' leads tell it. A change of roles forgets all that was told,
    /// as sums hold what single notices held before.
    void setLeader(bool isLeader);

    /// Requests of this router.
    load_update ownLoad(time_point now) const;

    /// Requests of the routers that told their own, with this one's.
    load_update domainLoad(time_point now) const;

    /// Requests of all routers.
    load_update fleetLoad(time_point now) const;

    /// The same without what one of them told of its own.
    load_update excludingRouter(load_update fleet, const std::string &router) const;

    /// Routers and domains that told their requests lately.
    std::size_t activeSources(time_point now) const;

    /// Prompts to tell of, since the last call.
    struct outgoing_prompts {
        std::vector<prompt_location> fromOwnDomain; // sent by routers of this domain
        std::vector<prompt_location> fromOtherDomains; // told by other domains' leads; for this domain only
    };

    outgoing_prompts takePrompts();

    void recordReport(upstream_number number, const upstream_load &load, time_point now);

    /// Ends a request that start() counted.
    /// @param awaitsFirstEvent True if markFirstEvent() was not called for it.
    void finish(upstream_number number, std::uint64_t prefillTokens, std::uint64_t kvTokens, bool awaitsFirstEvent);

    /// Where prompts are cached, for a router that has just started.
    std::vector<prompt_location> knownPrompts(time_point now) const;

    /// Takes over what another router or an engine itself told of cached parts.
    void addPromptLocations(const std::vector<prompt_location> &prompts, time_point now);

    /// Takes over an engine's own list of cached parts, and tells it on.
    void addHeldParts(const std::string &instance, std::vector<std::uint64_t> parts, time_point now);

    /// Engines whose cached parts this router should list: no router told of them, and it is this one's turn.
    std::vector<upstream_record> enginesToQuery(const traffic_rules &rules) const;

    /// An answer said that the upstream leaves. @return True if that is new.
    bool markLeaving(upstream_number number, time_point now);

    /// An answer asked for a pause: choose() leaves the upstream out until it is over.
    void pause(upstream_number number, duration span, time_point now);

    void recordResult(upstream_number number, attempt_result result, time_point now);

    /// @return nullptr if the number is no longer listed.
    const upstream_entry *find(upstream_number number) const;

    /// False if the upstream left the list, is leaving, or its domain was closed.
    bool mayUse(upstream_number number) const;

    std::size_t size() const
    {
        return m_upstreams.size();
    }

    std::size_t routers() const
    {
        return m_routers.empty() ? 1 : m_routers.size();
    }

    /// Requests at an upstream: what it stated, corrected by what this router started and ended since.
    double estimatedLoad(const upstream_entry &upstream, time_point now) const;

private:
    /// A subject's upstreams by rank; new subjects go to one of the first two.
    static constexpr std::size_t preferredCount = 2;
    using preferred_list = std::array<const upstream_entry *, preferredCount>;

    /// An upstream that takes part in a choice.
    struct candidate {
        upstream_entry *state = nullptr;
        double load = 0;
    };

    /// What a choice needs to know of its prompt.
    struct prompt_cache_view {
        preferred_list preferred {};
        std::vector<prefix_match> matches;
        const upstream_entry *holder = nullptr; // keeps most of the prompt and answers; null if nobody does
        std::uint64_t kvTokens = 0; // that it keeps
    };

    /// @param untold Where to put those that are news to others; null for nowhere.
    void recordPrompts(const std::vector<prompt_location> &prompts, std::vector<prompt_location> *outgoing, time_point now);
    void applyUsage(const load_update &update, time_point now);
    load_update sumOfLoads(load_scope scope, time_point now) const;
    void addLeaving(load_update &update, time_point now) const;
    const upstream_number *numberOf(std::uint64_t hash) const;
    bool isEligible(const upstream_entry &upstream) const;
    bool mayStartCold(upstream_entry &upstream, const service_rule &rule, time_point now) const;
    std::vector<candidate> candidatesFor(const placement_query &request, placement &result, double &totalLoad, double &totalFailures,
                                         time_point now);
    prompt_cache_view viewPromptCache(const std::vector<candidate> &eligible, const prompt_parts &parts, time_point now) const;
    const std::vector<upstream_entry *> &ofService(std::string_view service);
    double scoreEngine(const candidate &option, const placement_query &request, const service_rule &rule, const prompt_cache_view &prompt,
                       placement &details, time_point now) const;
    std::uint64_t pendingPrefillTokens(const upstream_entry &upstream, time_point now) const;
    /// Time that an engine needs for prompts of which no notice has told yet.
    double unreportedPrefillMs(std::size_t engines, time_point now) const;
    static double scoreService(const candidate &option);
    upstream_entry *mutableState(upstream_number number);

    std::string m_ownDomain;
    std::map<std::string, upstream_entry> m_upstreams; // by instance
    std::unordered_map<std::string, std::vector<upstream_entry *>> m_byService; // into m_upstreams
    bool m_servicesChanged = false; // m_byService has to be built again
    std::unordered_map<upstream_number, std::string> m_instanceOf;
    std::unordered_set<std::string> m_closedDomains;
    std::string m_self;
    std::vector<std::string> m_routers; // live ones with this one
    std::uint64_t m_selfHash = 0; // of m_self
    std::vector<std::uint64_t> m_routerHashes; // of m_routers
    prefix_map m_prefixes; // prompts of this router and those that others told of
    std::unordered_map<std::uint32_t, upstream_number> m_numberOf; // by the upper half of the hash of the instance's name
    std::unordered_map<std::string, std::uint32_t> m_sourceIndex; // index of each teller of a notice
    /// Last notice of another router.
    struct last_update {
        std::vector<upstream_number> upstreams;
        load_scope scope = load_scope::router;
        time_point at;
    };

    std::unordered_map<std::uint32_t, last_update> m_lastUpdates;
    std::vector<prompt_location> m_outgoingPrompts; // prompts sent by routers of this domain, for other routers
    std::vector<prompt_location> m_outgoingRemotePrompts; // prompts of other domains, for the routers of this one
    bool m_isLeader = true; // until others are known, as in leader_election
    std::unordered_set<upstream_number> m_cacheKnown; // engines of which another router or they themselves told all they keep
    upstream_number m_lastNumber = noUpstreamNumber;
    double m_recentPrefillTokens = 0; // to be read for this router's requests; halved with limits::prefillRateHalfLife
    time_point m_recentPrefillAt; // of m_recentPrefillTokens
    duration m_updateInterval {0}; // moving average of the time between two notices of one router
};

} // namespace nutmegtally
