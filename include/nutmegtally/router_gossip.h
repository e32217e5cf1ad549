// Gossip between routers: tracks which routers are live, and decides when to sync with which of them (anti-entropy). A sync
// sends digests to one other router and gets the objects that this router lacks, so state also reaches routers that cannot
// read it from the object API. A reducer: calls are effects, their results events.
//
// Most routers hear of each other only through leaders. Each router has a heartbeat counter that nobody else raises; what another
// router tells of it counts as a sign of life only with a higher counter than any known before. So a router that is gone does not
// stay in the count of those that repeat each other's reports.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// A router as another one reports it.
struct peer_info {
    std::string name;
    std::string address; // IP number and port of its listener for syncs
    std::string loadAddress; // UDP endpoint for load updates
    std::string domain; // its failure domain
    duration age {0}; // since the reporting router last saw it
    std::uint64_t counter = 0; // its heartbeat counter then; 0 from routers of an earlier version
};

/// The same in short, for routers that the receiver knows already.
struct router_liveness {
    std::uint32_t router = 0; // router_gossip::nameKey() of its name
    std::uint64_t counter = 0;
    duration age {0};

    bool operator==(const router_liveness &) const = default;
};

struct gossip_options {
    std::string name;
    std::string address;
    std::string domain;
    std::vector<std::string> seeds; // addresses for the first syncs; may be stale or include this router's own
    bool joinsRunningSystem = false; // engines have prompts cached, so that this router soon needs what others know
    std::uint64_t startedAtMs = 0; // Unix time of the process's start: first value of its heartbeat counter
    time_point startedAt {}; // the same on the clock of the events
};

namespace gossip_event
{

/// The request or answer of a sync was received from another router.
struct message_received {
    std::string name;
    std::string address;
    std::string loadAddress;
    std::string domain;
    std::vector<peer_info> knownPeers;
    std::uint64_t counter = 0; // heartbeat counter of the sender
};

/// The state digests in another router's load update were compared with this router's own.
struct digest_compared {
    std::string name;
    bool isNewer = false; // the other router has newer state
    bool isWatching = false; // a leader that watches the object API, while this router does not
    std::uint64_t counter = 0; // heartbeat counter of the other router
};

/// Routers that another router saw recently, itself or through others.
struct liveness_received {
    std::vector<router_liveness> routers;
};

/// Leaders are the preferred sync targets, as their state is the newest. Without any, all routers are used in turn.
struct leaders_changed {
    std::vector<std::string> addresses;
};

/// The sync that was started got its answer.
struct sync_completed {
};

/// The settings were reloaded.
struct seeds_changed {
    std::vector<std::string> seeds;
};

struct sync_failed {
    std::string address;
};

struct tick {
    bool isApiReachable = true; // the object API answers this router
};

} // namespace gossip_event

namespace gossip_effect
{

/// Sync with the router at an address.
struct sync {
    std::string address;
};

/// The live routers, with this one. They share the limits of the fleet.
struct routers_changed {
    std::vector<std::string> live;
};

} // namespace gossip_effect

class router_gossip
{
public:
    using event = std::variant<gossip_event::message_received, gossip_event::digest_compared, gossip_event::sync_completed,
                               gossip_event::seeds_changed, gossip_event::sync_failed, gossip_event::leaders_changed,
                               gossip_event::liveness_received, gossip_event::tick>;
    using effect = std::variant<gossip_effect::sync, gossip_effect::routers_changed, log_record>;

    explicit router_gossip(gossip_options options);

    void apply(time_point now, const event &input, std::vector<effect> &effects);

    /// The other live routers, as this router reports them in a sync.
    std::vector<peer_info> knownPeers(time_point now) const;

    /// Short hash that stands for a router's name in load updates. Routers whose keys collide count as live as long as one of
    /// them is.
    static std::uint32_t nameKey(std::string_view name);

    /// The routers seen within limits::recentlySeenTime, with this one.
    /// @param domain Only those of this failure domain; empty for all.
    std::vector<router_liveness> recentlySeen(std::string_view domain, time_point now) const;

    /// Heartbeat counter of this router; grows by one in a millisecond.
    std::uint64_t counter(time_point now) const;

private:
    struct peer {
        std::string address;
        std::string loadAddress;
        std::string domain;
        time_point lastSeenAt; // a message of its own, or another router's report with a higher counter
        std::uint64_t counter = 0; // highest that was heard since its last message
        std::optional<time_point> aheadSince; // its digests have been newer than this router's since then
    };

    /// A router that was dropped. Others that drop it later still report it.
    struct departed_peer {
        std::uint64_t counter = 0; // the last one; only a higher one shows that the router is back
        time_point keptUntil;
    };

    struct sync_target {
        time_point lastSyncAt;
        time_point retryAt; // after failures
        unsigned failures = 0;
    };

    void on(time_point now, const gossip_event::message_received &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::digest_compared &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::sync_completed &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::seeds_changed &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::sync_failed &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::leaders_changed &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::liveness_received &input, std::vector<effect> &effects);
    void on(time_point now, const gossip_event::tick &input, std::vector<effect> &effects);
    void recordMessage(const peer_info &sender, time_point now);
    void recordReport(const peer_info &info, time_point now);
    /// Takes a report on a known router if its counter shows a new sign of life.
    static bool refresh(peer &known, std::uint64_t counter, time_point lastSeenAt);
    /// Continues above a counter that others know from an earlier process of this router, so that they believe reports on this one.
    void outrun(std::uint64_t counter, time_point now);
    void dropSilentPeers(time_point now, std::vector<effect> &effects);
    const std::string *nextTarget(time_point now) const;
    void addSeeds(const std::vector<std::string> &seeds);
    void sync(time_point now, const std::string &address, std::vector<effect> &effects);
    void publishLive(time_point now, std::vector<effect> &effects);

    gossip_options m_options;
    std::uint64_t m_counterBase; // this router's heartbeat counter at m_options.startedAt
    std::map<std::string, peer> m_peers; // by name, without this one; seen within limits::routerLifetime
    std::map<std::string, departed_peer> m_departed; // by name; none of them is in m_peers
    std::map<std::string, sync_target> m_targets; // by address
    std::vector<std::string> m_live; // as last published
    std::vector<std::string> m_leaders; // addresses
    std::optional<time_point> m_startedAt; // first tick
    unsigned m_syncCount = 0; // periodic syncs, without those that a digest caused
    bool m_isSyncing = false; // one sync at a time: answers may be large and links slow
    time_point m_nextSyncAt;
    bool m_hasPublished = false;
};

} // namespace nutmegtally
