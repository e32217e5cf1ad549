// A router's view of the upstreams: what the platform lists, what answers say of their load, what this router has in
// flight there, and how often they failed. Chooses the upstream for a request.
#pragma once

#include <nutmegtally/load_notice.h>
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
struct choice_request {
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
    std::uint64_t unreadTokens = 0; // of the prompt, which the chosen one has to read
    unsigned candidates = 0;
    time_point pausedUntil; // with allPaused: when the first of the pauses ends
};

/// How a request ended at an upstream, as far as it says something about the upstream.
enum class upstream_verdict : std::uint8_t {
    good,
    refused, // said that it did not run the request
    failed, // an error answer
    unreachable, // no connection
    lost, // the connection ended, or the answer was damaged
    overdue, // no answer within the usual time
    unknown, // nothing learnt: the caller left
    count
};

/// Other routers' requests at an upstream, as a teller told last.
struct told_share {
    std::uint32_t teller = 0; // index in the set's table of tellers
    notice_scope scope = notice_scope::router;
    std::uint32_t inFlight = 0;
    std::uint32_t pendingTokens = 0;
    time_point toldAt;
};

/// One listed incarnation and what this router knows of it.
struct upstream_entry {
    upstream_record record;
    std::uint64_t hash = 0; // of the instance's name
    upstream_number number = noUpstreamNumber;
    time_point coldUntil;
    unsigned inFlight = 0; // this router's requests there
    std::uint64_t pendingTokens = 0; // that it has to read for this router's requests without a first event
    std::uint64_t heldTokens = 0; // prompt and output tokens of this router's requests
    upstream_load reported;
    time_point reportedAt;
    unsigned inFlightAtReport = 0;
    bool hasReport = false;
    std::vector<told_share> told; // by other routers
    double failureRate = 0; // moving average over answers, 0 to 1
    unsigned failuresInRow = 0; // without an answer between them
    time_point avoidedUntil;
    double coldTokens = 0; // token bucket of starts while cold
    time_point coldRefilledAt;
    bool saidLeaving = false; // in an answer; holds until its process starts anew, whatever the list says
    time_point saidLeavingAt;
    time_point pausedUntil; // it asked this router for a pause; unlike avoidedUntil this holds without an alternative too
    bool isProbed = false; // after a pause: one request at a time until one was served
    bool missing = false; // absent from the list, kept until missingUntil
    time_point missingUntil;
};

class upstream_set
{
public:
    /// @param ownDomain Failure domain of this router; ties go to upstreams in it.
    explicit upstream_set(std::string ownDomain);

    /// Takes over an entry of the platform's list.
    /// @return True if something other than the age changed.
    bool list(const upstream_record &record, time_point now);

    /// Takes an upstream off the list.
    /// @param grace Keeps it usable for this long: the list may have lost it while the platform was away.
    void unlist(const std::string &instance, time_point now, duration grace);

    /// Removes what stayed missing beyond its grace. @return The instances that were removed.
    std::vector<std::string> expire(time_point now);

    /// Domains that get nothing new.
    void setClosedDomains(std::unordered_set<std::string> domains);

    /// Routers that share the starts of a cold upstream.
    void setRouters(std::string self, std::vector<std::string> live);

    placement choose(const choice_request &request, const traffic_rules &rules, time_point now);

    /// Counts a request that is sent now.
    /// @param unreadTokens Of its prompt, as in placement.
    /// @param heldTokens Prompt and output tokens.
    void start(upstream_number number, const prompt_parts &parts, std::uint64_t unreadTokens, std::uint64_t heldTokens, time_point now);

    /// First event of the request's answer, or its whole answer.
    void firstAnswer(upstream_number number, std::uint64_t unreadTokens);

    /// Takes over what another router told.
    /// @param isCounted False for requests that another notice counts as well; the rest of the notice is taken.
    void hear(const load_notice &notice, bool isCounted, time_point now);

    /// A lead passes on what the routers of its domain and other domains' leads tell it. A change of roles forgets all that was told,
    /// as sums hold what single notices held before.
    void setLead(bool isLead);

    /// Requests of this router.
    load_notice ownNotice(time_point now) const;

    /// Requests of the routers that told their own, with this one's.
    load_notice domainNotice(time_point now) const;

    /// Requests of all routers.
    load_notice fleetNotice(time_point now) const;

    /// The same without what one of them told of its own.
    load_notice withoutOwn(load_notice fleet, const std::string &router) const;

    /// Routers and domains that told their requests lately.
    std::size_t tellers(time_point now) const;

    /// Prompts to tell of, since the last call.
    struct untold_prompts {
        std::vector<prompt_notice> ofDomain; // sent by routers of this domain
        std::vector<prompt_notice> ofOthers; // told by other domains' leads; for this domain only
    };

    untold_prompts takePrompts();

    void reportLoad(upstream_number number, const upstream_load &load, time_point now);

    /// Ends a request that start() counted.
    /// @param awaitsFirst True if firstAnswer() was not called for it.
    void finish(upstream_number number, std::uint64_t unreadTokens, std::uint64_t heldTokens, bool awaitsFirst);

    /// Where prompts are cached, for a router that has just started.
    std::vector<prompt_notice> knownPrompts(time_point now) const;

    /// Takes over what another router or an engine itself told of cached parts.
    void learnPrompts(const std::vector<prompt_notice> &prompts, time_point now);

    /// Takes over an engine's own list of cached parts, and tells it on.
    void learnHeld(const std::string &instance, std::vector<std::uint64_t> parts, time_point now);

    /// Engines whose cached parts this router should list: no router told of them, and it is this one's turn.
    std::vector<upstream_record> unknownEngines(const traffic_rules &rules) const;

    /// An answer said that the upstream leaves. @return True if that is new.
    bool noteLeaving(upstream_number number, time_point now);

    /// An answer asked for a pause: choose() leaves the upstream out until it is over.
    void pause(upstream_number number, duration span, time_point now);

    void judge(upstream_number number, upstream_verdict verdict, time_point now);

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
    static constexpr std::size_t homes = 2;
    using home_list = std::array<const upstream_entry *, homes>;

    /// An upstream that takes part in a choice.
    struct candidate {
        upstream_entry *state = nullptr;
        double load = 0;
    };

    /// What a choice needs to know of its prompt.
    struct prompt_view {
        home_list ranked {};
        std::vector<prompt_holding> holdings;
        const upstream_entry *holder = nullptr; // keeps most of the prompt and answers; null if nobody does
        std::uint64_t heldTokens = 0; // that it keeps
    };

    /// @param untold Where to put those that are news to others; null for nowhere.
    void notePrompts(const std::vector<prompt_notice> &prompts, std::vector<prompt_notice> *untold, time_point now);
    void takeShares(const load_notice &notice, time_point now);
    load_notice sumOf(notice_scope scope, time_point now) const;
    void addLeaving(load_notice &notice, time_point now) const;
    const upstream_number *numberOf(std::uint64_t hash) const;
    bool isOpen(const upstream_entry &upstream) const;
    bool mayStartCold(upstream_entry &upstream, const service_rule &rule, time_point now) const;
    std::vector<candidate> candidatesFor(const choice_request &request, placement &result, double &totalLoad, double &totalFailures,
                                         time_point now);
    prompt_view viewPrompt(const std::vector<candidate> &open, const prompt_parts &parts, time_point now) const;
    const std::vector<upstream_entry *> &ofService(std::string_view service);
    double scoreEngine(const candidate &option, const choice_request &request, const service_rule &rule, const prompt_view &prompt,
                       placement &details, time_point now) const;
    std::uint64_t pendingTokens(const upstream_entry &upstream, time_point now) const;
    /// Time that an engine needs for prompts of which no notice has told yet.
    double unseenReadingMs(std::size_t engines, time_point now) const;
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
    std::unordered_map<std::string, std::uint32_t> m_tellers; // index of each teller of a notice
    /// Last notice of another router.
    struct told_notice {
        std::vector<upstream_number> upstreams;
        notice_scope scope = notice_scope::router;
        time_point at;
    };

    std::unordered_map<std::uint32_t, told_notice> m_toldBy;
    std::vector<prompt_notice> m_untold; // prompts sent by routers of this domain, for other routers
    std::vector<prompt_notice> m_untoldHere; // prompts of other domains, for the routers of this one
    bool m_isLead = true; // until others are known, as in router_leads
    std::unordered_set<upstream_number> m_learnt; // engines of which another router or they themselves told all they keep
    upstream_number m_lastNumber = noUpstreamNumber;
    double m_startedTokens = 0; // to be read for this router's requests; halved with limits::readingHalfLife
    time_point m_startedAt; // of m_startedTokens
    duration m_noticeInterval {0}; // moving average of the time between two notices of one router
};

} // namespace nutmegtally
