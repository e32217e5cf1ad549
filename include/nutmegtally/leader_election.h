// Leader election in each failure domain. Leaders watch the platform's objects and aggregate the load of their domain; the
// other routers of the domain get both from them. So the number of API calls and the traffic grow with the number of
// domains, not of routers.
//
// Every router ranks the routers of a domain by the same hash; the lowest ranks are its planned leaders. There is no vote:
// two routers may disagree for a while. Too many leaders only cost API calls, while too few make state stale, so a router
// that misses heartbeats of its leaders becomes a leader itself, in the order of ranks.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Name, failure domain and addresses of a live router.
struct router_endpoint {
    std::string name;
    std::string domain;
    std::string address; // IP number and port of its listener for syncs
    std::string loadAddress; // UDP endpoint for load updates
};

class leader_election
{
public:
    leader_election(std::string self, std::string domain);

    /// Sets the routers that are live. An entry of this router itself is ignored.
    void setRouters(std::vector<router_endpoint> live);

    /// Records a load update of another router, which is also its heartbeat.
    /// @param isLeader Whether the router is a leader.
    /// @param isApiReachable Whether the object API answers the router.
    /// @param routersCovered Number of sources in the router's load sum.
    /// @param interval Time between its updates.
    void recordHeartbeat(std::string_view name, bool isLeader, bool isApiReachable, std::size_t routersCovered, duration interval,
                         time_point now);

    /// Reevaluates whether this router is a leader. @return True if that changed.
    bool update(time_point now);

    bool isLeader() const
    {
        return m_isLeader;
    }

    /// True if the load sum of leader @p name is the one to use: of its domain's active leaders it covers the most routers.
    bool isPreferredLeader(std::string_view name, time_point now) const;

    /// Domain of a live router; empty for one that is not known.
    std::string domainOf(std::string_view name) const;

    /// The other leaders of this router's domain: the planned ones and all active ones.
    std::vector<const router_endpoint *> ownLeaders(time_point now) const;

    /// The leaders of all other domains: the planned ones and all active ones.
    std::vector<const router_endpoint *> remoteLeaders(time_point now) const;

    /// The other routers of this router's domain.
    std::vector<const router_endpoint *> domainPeers() const;

private:
    struct leader_state {
        time_point lastSeenAt; // last heartbeat as a leader that reaches the object API
        std::size_t routersCovered = 0;
        duration interval {0}; // between its heartbeats
    };

    struct member {
        router_endpoint endpoint;
        std::uint64_t rank = 0; // the members with the lowest ranks are the domain's planned leaders
    };

    bool isActive(const std::string &name, time_point now) const;
    std::vector<const router_endpoint *> leadersAmong(const std::vector<member> &members, time_point now) const;

    std::string m_self;
    std::string m_domain;
    std::uint64_t m_rank; // of this router
    std::map<std::string, std::vector<member>, std::less<>> m_domains; // sorted by rank; without this router
    std::map<std::string, std::string, std::less<>> m_domainOf; // by name
    std::map<std::string, leader_state, std::less<>> m_leaders; // by name; the others that announced themselves, active or not
    bool m_isLeader = true;
    bool m_isProvisional = true; // a leader only because it knew no other at its start; steps down without stepDownDelay
    std::optional<time_point> m_tooFewLeadersSince; // fewer than leadersPerDomain active leaders with a lower rank
    std::optional<time_point> m_enoughLeadersSince; // enough of them, while this router is not a planned leader
};

} // namespace nutmegtally
