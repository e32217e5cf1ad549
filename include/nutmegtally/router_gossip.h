// Which routers live, and when to ask which of them for newer state. Every router asks one other a second; the answer
// carries what the asker lacks, so state spreads also to routers that cannot read it themselves. A reducer.
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

/// A router as others tell of it.
struct peer_info {
    std::string name;
    std::string address; // IP number and port of its listener for other routers
    std::string loadAddress; // where it takes load notices
    std::string domain; // its failure domain
    duration age {0}; // since the teller heard of it
};

struct gossip_options {
    std::string name;
    std::string address;
    std::string domain;
    std::vector<std::string> seeds; // addresses to start with; may be stale or this router's own
};

namespace gossip_event
{

/// Another router asked or answered.
struct message_received {
    std::string name;
    std::string address;
    std::string loadAddress;
    std::string domain;
    std::vector<peer_info> knownPeers;
};

/// A router's datagram compared with what this router knows.
struct digest_compared {
    std::string name;
    bool isNewer = false; // the other router knows more
    bool isWatching = false; // it reads for this router, which does not read itself
};

/// Routers that another router heard of lately.
struct liveness_received {
    std::vector<std::uint32_t> routers; // router_gossip::nameKey their names
};

/// Whom to ask: routers whose answers are the freshest. Without any, all are asked in turn.
struct leaders_changed {
    std::vector<std::string> addresses;
};

/// The router that was asked has answered.
struct sync_completed {
};

/// The settings were read again.
struct seeds_changed {
    std::vector<std::string> seeds;
};

struct sync_failed {
    std::string address;
};

struct tick {
    bool isApiReachable = true; // the platform answers this router
};

} // namespace gossip_event

namespace gossip_effect
{

struct sync {
    std::string address;
};

/// Routers that share limits, with this one.
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

    /// What this router tells of the others.
    std::vector<peer_info> knownPeers(time_point now) const;

    /// Names of routers in notices; two routers with one key live as long as one of them does.
    static std::uint32_t nameKey(std::string_view name);

    /// Keys of the routers heard of within the last second or so, with this one's.
    /// @param domain Only those of this failure domain; empty for all.
    std::vector<std::uint32_t> recentlySeen(std::string_view domain, time_point now) const;

private:
    struct peer {
        std::string address;
        std::string loadAddress;
        std::string domain;
        time_point lastSeenAt;
        std::optional<time_point> aheadSince; // it tells of newer state since then
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
    std::vector<std::string> m_live; // as last told
    std::vector<std::string> m_leaders; // addresses
    std::optional<time_point> m_startedAt; // first tick
    unsigned m_syncCount = 0; // questions on the clock
    bool m_isSyncing = false; // one question at a time: answers may be large and links narrow
    time_point m_nextSyncAt;
    bool m_hasPublished = false;
};

} // namespace nutmegtally
