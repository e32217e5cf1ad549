// Gossip between routers: tracks which routers are live, and decides when to sync with which of them (anti-entropy). A sync
// sends digests to one other router and gets the objects that this router lacks, so state also reaches routers that cannot
// read it from the object API. A reducer: calls are effects, their results events.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/reducer.h>

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
};

struct gossip_options {
    std::string name;
    std::string address;
    std::string domain;
    std::vector<std::string> seeds; // addresses for the first syncs; may be stale or include this router's own
    bool joinsRunningSystem = false; // engines have prompts cached, so that this router soon needs what others know
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
};

/// The state digests in another router's load update were compared with this router's own.
struct digest_compared {
    std::string name;
    bool isNewer = false; // the other router has newer state
    bool isWatching = false; // a leader that watches the object API, while this router does not
};

/// Routers that another router saw recently.
struct liveness_received {
    std::vector<std::uint32_t> routers; // nameKey() of their names
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

    /// Keys of the routers seen within limits::recentlySeenTime, with this one's.
    /// @param domain Only those of this failure domain; empty for all.
    std::vector<std::uint32_t> recentlySeen(std::string_view domain, time_point now) const;

private:
    struct peer {
        std::string address;
        std::string loadAddress;
        std::string domain;
        time_point lastSeenAt;
        std::optional<time_point> aheadSince; // its digests have been newer than this router's since then
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
    void updatePeer(const peer_info &info, time_point lastSeenAt);
    const std::string *nextTarget(time_point now) const;
    void addSeeds(const std::vector<std::string> &seeds);
    void sync(time_point now, const std::string &address, std::vector<effect> &effects);
    void publishLive(time_point now, std::vector<effect> &effects);

    gossip_options m_options;
    std::map<std::string, peer> m_peers; // by name, without this one
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
