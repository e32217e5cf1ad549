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
struct router_place {
    std::string name;
    std::string domain;
    std::string address; // of its listener for other routers
    std::string loadAddress; // where it takes notices
};

class router_leads
{
public:
    router_leads(std::string self, std::string domain);

    /// Takes over the routers that live, without this one.
    void setRouters(std::vector<router_place> live);

    /// A notice of another router came in.
    /// @param isLead It says that it is a lead.
    /// @param hasContact It says that the platform answers it.
    /// @param routersSummed Routers whose load is in its sum.
    /// @param interval Time between its notices.
    void heard(std::string_view name, bool isLead, bool hasContact, std::size_t routersSummed, duration interval, time_point now);

    /// Decides anew whether this router is a lead. @return True if that changed.
    bool update(time_point now);

    bool isLead() const
    {
        return m_isLead;
    }

    /// True if the load that @p name sums up is the one to use: of the domain's leads it has heard of most routers.
    bool isBestOf(std::string_view name, time_point now) const;

    /// The other leads of this router's domain: those that say so, and those that the ranking names.
    std::vector<const router_place *> ownLeads(time_point now) const;

    /// The same for all other domains.
    std::vector<const router_place *> foreignLeads(time_point now) const;

    /// The other routers of this router's domain.
    std::vector<const router_place *> neighbours() const;

    /// Failure domain of a router; empty if it is not known.
    std::string_view domainOf(std::string_view name) const;

    /// True if this router is one of the few that wait only briefly for changes of a kind of object, so that a wait that was
    /// lost without a sign is noticed soon.
    bool isProbing(std::string_view kind) const;

private:
    struct lead_state {
        time_point heardAt; // as a lead that the platform answers
        std::size_t routersSummed = 0;
        duration interval {0}; // between its notices
    };

    struct member {
        router_place place;
        std::uint64_t rank = 0; // the lowest ones of a domain are its leads
    };

    bool isActive(const std::string &name, time_point now) const;
    std::vector<const router_place *> leadsAmong(const std::vector<member> &members, time_point now) const;

    std::string m_self;
    std::string m_domain;
    std::uint64_t m_rank; // of this router
    std::map<std::string, std::vector<member>, std::less<>> m_domains; // sorted by rank; without this router
    std::map<std::string, std::string, std::less<>> m_domainOf; // by name
    std::map<std::string, lead_state, std::less<>> m_leads; // by name; those that ever said that they are
    bool m_isLead = true;
    bool m_isAlone = true; // a lead since its start because it knew of no other; steps back as soon as there are enough
    std::optional<time_point> m_missingSince; // too few leads with a lower rank
    std::optional<time_point> m_enoughSince; // as many as needed, while this router is one beyond them
};

} // namespace nutmegtally
