// Which routers of each failure domain are its leads: they read the platform's objects and sum up the load, and the other
// routers of the domain learn both from them. So calls and traffic grow with the number of domains, not of routers.
//
// Leads follow from a ranking that every router computes for itself; nothing is agreed on. More leads than planned cost
// calls, fewer cost freshness, so a router that misses its leads becomes one, the next in rank first.
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

/// A live router and where it is.
struct router_endpoint {
    std::string name;
    std::string domain;
    std::string address; // of its listener for other routers
    std::string loadAddress; // where it takes notices
};

class leader_election
{
public:
    leader_election(std::string self, std::string domain);

    /// Takes over the routers that live, without this one.
    void setRouters(std::vector<router_endpoint> live);

    /// A notice of another router came in.
    /// @param isLeader It says that it is a lead.
    /// @param isApiReachable It says that the platform answers it.
    /// @param routersCovered Routers whose load is in its sum.
    /// @param interval Time between its notices.
    void recordHeartbeat(std::string_view name, bool isLeader, bool isApiReachable, std::size_t routersCovered, duration interval,
                         time_point now);

    /// Decides anew whether this router is a lead. @return True if that changed.
    bool update(time_point now);

    bool isLeader() const
    {
        return m_isLeader;
    }

    /// True if the load that @p name sums up is the one to use: of the domain's leads it has heard of most routers.
    bool isPreferredLeader(std::string_view name, time_point now) const;

    /// The other leads of this router's domain: those that say so, and those that the ranking names.
    std::vector<const router_endpoint *> ownLeaders(time_point now) const;

    /// The same for all other domains.
    std::vector<const router_endpoint *> remoteLeaders(time_point now) const;

    /// The other routers of this router's domain.
    std::vector<const router_endpoint *> domainPeers() const;

    /// Failure domain of a router; empty if it is not known.
    std::string_view domainOf(std::string_view name) const;

    /// True if this router is one of the few that wait only briefly for changes of a kind of object, so that a wait that was
    /// lost without a sign is noticed soon.
    bool usesShortWatches(std::string_view kind) const;

private:
    struct leader_state {
        time_point lastSeenAt; // as a lead that the platform answers
        std::size_t routersCovered = 0;
        duration interval {0}; // between its notices
    };

    struct member {
        router_endpoint endpoint;
        std::uint64_t rank = 0; // the lowest ones of a domain are its leads
    };

    bool isActive(const std::string &name, time_point now) const;
    std::vector<const router_endpoint *> leadersAmong(const std::vector<member> &members, time_point now) const;

    std::string m_self;
    std::string m_domain;
    std::uint64_t m_rank; // of this router
    std::map<std::string, std::vector<member>, std::less<>> m_domains; // sorted by rank; without this router
    std::map<std::string, std::string, std::less<>> m_domainOf; // by name
    std::map<std::string, leader_state, std::less<>> m_leaders; // by name; those that ever said that they are
    bool m_isLeader = true;
    bool m_isProvisional = true; // a lead since its start because it knew of no other; steps back as soon as there are enough
    std::optional<time_point> m_tooFewLeadersSince; // too few leads with a lower rank
    std::optional<time_point> m_enoughLeadersSince; // as many as needed, while this router is one beyond them
};

} // namespace nutmegtally
