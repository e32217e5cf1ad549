#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/leader_election.h>

#include <algorithm>

namespace nutmegtally
{

namespace
{

std::uint64_t rankIn(std::string_view domain, std::string_view name)
{
    return mixHash(hashText(name), hashText(domain));
}

} // namespace

leader_election::leader_election(std::string self, std::string domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_rank(rankIn(m_domain, m_self))
{
}

void leader_election::setRouters(std::vector<router_endpoint> live)
{
    m_domains.clear();
    m_domainOf.clear();
    for (router_endpoint &endpoint : live) {
        if (endpoint.name == m_self) {
            continue;
        }
        m_domainOf[endpoint.name] = endpoint.domain;
        const std::uint64_t rank = rankIn(endpoint.domain, endpoint.name);
        std::vector<member> &members = m_domains[endpoint.domain];
        members.push_back({std::move(endpoint), rank});
    }
    for (auto &[domain, members] : m_domains) {
        std::sort(members.begin(), members.end(), [](const member &a, const member &b) { return a.rank < b.rank; });
    }
    std::erase_if(m_leaders, [this](const auto &entry) { return !m_domainOf.contains(entry.first); });
}

void leader_election::recordHeartbeat(std::string_view name, bool isLeader, bool isApiReachable, std::size_t routersCovered,
                                      duration interval, time_point now)
{
    const auto known = m_leaders.find(name);
    if (!isLeader || !isApiReachable) {
        if (known != m_leaders.end()) {
            m_leaders.erase(known);
        }
        return;
    }
    if (m_domainOf.contains(name)) {
        m_leaders[std::string(name)] = {now, routersCovered, interval};
    }
}

bool leader_election::isActive(const std::string &name, time_point now) const
{
    const auto known = m_leaders.find(name);
    return known != m_leaders.end()
           && now - known->second.lastSeenAt < std::max(limits::leaderTimeout, known->second.interval * limits::leaderTimeoutIntervals);
}

bool leader_election::update(time_point now)
{
    std::size_t ahead = 0;
    std::size_t activeAhead = 0;
    if (const auto own = m_domains.find(m_domain); own != m_domains.end()) {
        for (const member &each : own->second) {
            if (each.rank < m_rank) {
                ++ahead;
                activeAhead += isActive(each.endpoint.name, now) ? 1 : 0;
            }
        }
    }
    const bool before = m_isLeader;
    if (ahead < limits::leadersPerDomain) {
        m_isLeader = true;
        m_isProvisional = m_isProvisional && ahead == 0;
        m_tooFewLeadersSince.reset();
        m_enoughLeadersSince.reset();
    } else if (activeAhead < limits::leadersPerDomain) {
        m_enoughLeadersSince.reset();
        m_tooFewLeadersSince = m_tooFewLeadersSince.value_or(now);
        // The next in rank takes over first, and its heartbeats stop those behind it. It does not wait again, as leaderTimeout
        // has passed already.
        const auto standbyIndex = static_cast<std::int64_t>(ahead - limits::leadersPerDomain);
        m_isLeader = m_isLeader || now - *m_tooFewLeadersSince >= limits::standbyStagger * standbyIndex;
    } else {
        m_tooFewLeadersSince.reset();
        m_enoughLeadersSince = m_enoughLeadersSince.value_or(now);
        m_isLeader = m_isLeader && !m_isProvisional && now - *m_enoughLeadersSince < limits::stepDownDelay;
    }
    m_isProvisional = m_isProvisional && m_isLeader;
    return m_isLeader != before;
}

std::string leader_election::domainOf(std::string_view name) const
{
    const auto domain = m_domainOf.find(name);
    return domain == m_domainOf.end() ? std::string() : domain->second;
}

bool leader_election::isPreferredLeader(std::string_view name, time_point now) const
{
    const auto leader = m_leaders.find(name);
    const auto domain = m_domainOf.find(name);
    if (leader == m_leaders.end() || domain == m_domainOf.end()) {
        return false;
    }
    const auto members = m_domains.find(domain->second);
    for (const member &each : members->second) {
        const auto other = m_leaders.find(each.endpoint.name);
        if (each.endpoint.name == name || other == m_leaders.end()
            || now - other->second.lastSeenAt >= std::max(limits::leaderLoadLifetime, other->second.interval * 2)) {
            continue;
        }
        const bool isAhead = each.rank < rankIn(domain->second, name);
        const std::size_t covered = leader->second.routersCovered;
        if (other->second.routersCovered > covered || (other->second.routersCovered == covered && isAhead)) {
            return false;
        }
    }
    return true;
}

std::vector<const router_endpoint *> leader_election::leadersAmong(const std::vector<member> &members, time_point now) const
{
    std::vector<const router_endpoint *> leaders;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (i < limits::leadersPerDomain || isActive(members[i].endpoint.name, now)) {
            leaders.push_back(&members[i].endpoint);
        }
    }
    return leaders;
}

std::vector<const router_endpoint *> leader_election::ownLeaders(time_point now) const
{
    const auto own = m_domains.find(m_domain);
    return own == m_domains.end() ? std::vector<const router_endpoint *>() : leadersAmong(own->second, now);
}

std::vector<const router_endpoint *> leader_election::remoteLeaders(time_point now) const
{
    std::vector<const router_endpoint *> leaders;
    for (const auto &[domain, members] : m_domains) {
        if (domain != m_domain) {
            const std::vector<const router_endpoint *> more = leadersAmong(members, now);
            leaders.insert(leaders.end(), more.begin(), more.end());
        }
    }
    return leaders;
}

std::vector<const router_endpoint *> leader_election::domainPeers() const
{
    std::vector<const router_endpoint *> endpoints;
    if (const auto own = m_domains.find(m_domain); own != m_domains.end()) {
        for (const member &each : own->second) {
            endpoints.push_back(&each.endpoint);
        }
    }
    return endpoints;
}

} // namespace nutmegtally
