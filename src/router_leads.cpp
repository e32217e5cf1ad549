#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/router_leads.h>
#include <nutmegtally/router_rank.h>

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

router_leads::router_leads(std::string self, std::string domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_rank(rankIn(m_domain, m_self))
{
}

void router_leads::setRouters(std::vector<router_place> live)
{
    m_domains.clear();
    m_domainOf.clear();
    for (router_place &place : live) {
        if (place.name == m_self) {
            continue;
        }
        m_domainOf[place.name] = place.domain;
        const std::uint64_t rank = rankIn(place.domain, place.name);
        std::vector<member> &members = m_domains[place.domain];
        members.push_back({std::move(place), rank});
    }
    for (auto &[domain, members] : m_domains) {
        std::sort(members.begin(), members.end(), [](const member &a, const member &b) { return a.rank < b.rank; });
    }
    std::erase_if(m_leads, [this](const auto &entry) { return !m_domainOf.contains(entry.first); });
}

void router_leads::heard(std::string_view name, bool isLead, bool hasContact, std::size_t routersSummed, duration interval, time_point now)
{
    const auto known = m_leads.find(name);
    if (!isLead || !hasContact) {
        if (known != m_leads.end()) {
            m_leads.erase(known);
        }
        return;
    }
    if (m_domainOf.contains(name)) {
        m_leads[std::string(name)] = {now, routersSummed, interval};
    }
}

bool router_leads::isActive(const std::string &name, time_point now) const
{
    const auto known = m_leads.find(name);
    return known != m_leads.end()
           && now - known->second.heardAt < std::max(limits::leadSilence, known->second.interval * limits::leadSilentNotices);
}

bool router_leads::update(time_point now)
{
    std::size_t ahead = 0;
    std::size_t activeAhead = 0;
    if (const auto own = m_domains.find(m_domain); own != m_domains.end()) {
        for (const member &each : own->second) {
            if (each.rank < m_rank) {
                ++ahead;
                activeAhead += isActive(each.place.name, now) ? 1 : 0;
            }
        }
    }
    const bool before = m_isLead;
    if (ahead < limits::leadsPerDomain) {
        m_isLead = true;
        m_isAlone = m_isAlone && ahead == 0;
        m_missingSince.reset();
        m_enoughSince.reset();
    } else if (activeAhead < limits::leadsPerDomain) {
        m_enoughSince.reset();
        m_missingSince = m_missingSince.value_or(now);
        // The next in rank first: its notices stop those behind it. Silence was waited for already.
        const auto turn = static_cast<std::int64_t>(ahead - limits::leadsPerDomain);
        m_isLead = m_isLead || now - *m_missingSince >= limits::leadTurn * turn;
    } else {
        m_missingSince.reset();
        m_enoughSince = m_enoughSince.value_or(now);
        m_isLead = m_isLead && !m_isAlone && now - *m_enoughSince < limits::leadOverlap;
    }
    m_isAlone = m_isAlone && m_isLead;
    return m_isLead != before;
}

bool router_leads::isBestOf(std::string_view name, time_point now) const
{
    const auto teller = m_leads.find(name);
    const auto domain = m_domainOf.find(name);
    if (teller == m_leads.end() || domain == m_domainOf.end()) {
        return false;
    }
    const auto members = m_domains.find(domain->second);
    for (const member &each : members->second) {
        const auto other = m_leads.find(each.place.name);
        if (each.place.name == name || other == m_leads.end()
            || now - other->second.heardAt >= std::max(limits::leadStale, other->second.interval * 2)) {
            continue;
        }
        const bool isAhead = each.rank < rankIn(domain->second, name);
        const std::size_t summed = teller->second.routersSummed;
        if (other->second.routersSummed > summed || (other->second.routersSummed == summed && isAhead)) {
            return false;
        }
    }
    return true;
}

std::vector<const router_place *> router_leads::leadsAmong(const std::vector<member> &members, time_point now) const
{
    std::vector<const router_place *> leads;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (i < limits::leadsPerDomain || isActive(members[i].place.name, now)) {
            leads.push_back(&members[i].place);
        }
    }
    return leads;
}

std::vector<const router_place *> router_leads::ownLeads(time_point now) const
{
    const auto own = m_domains.find(m_domain);
    return own == m_domains.end() ? std::vector<const router_place *>() : leadsAmong(own->second, now);
}

std::vector<const router_place *> router_leads::foreignLeads(time_point now) const
{
    std::vector<const router_place *> leads;
    for (const auto &[domain, members] : m_domains) {
        if (domain != m_domain) {
            const std::vector<const router_place *> more = leadsAmong(members, now);
            leads.insert(leads.end(), more.begin(), more.end());
        }
    }
    return leads;
}

std::vector<const router_place *> router_leads::neighbours() const
{
    std::vector<const router_place *> places;
    if (const auto own = m_domains.find(m_domain); own != m_domains.end()) {
        for (const member &each : own->second) {
            places.push_back(&each.place);
        }
    }
    return places;
}

std::string_view router_leads::domainOf(std::string_view name) const
{
    const auto known = m_domainOf.find(name);
    return known == m_domainOf.end() ? std::string_view() : std::string_view(known->second);
}

bool router_leads::isProbing(std::string_view kind) const
{
    // By kind, among those that the ranking names as leads, so that one router does not carry all short waits.
    std::vector<std::uint64_t> leads;
    bool isNamed = true;
    for (const auto &[domain, members] : m_domains) {
        std::size_t left = limits::leadsPerDomain;
        if (domain == m_domain) {
            const auto ahead = std::count_if(members.begin(), members.end(), [this](const member &each) { return each.rank < m_rank; });
            isNamed = static_cast<std::size_t>(ahead) < limits::leadsPerDomain;
            left -= isNamed ? 1 : 0;
        }
        for (std::size_t i = 0; i < std::min(left, members.size()); ++i) {
            leads.push_back(hashText(members[i].place.name));
        }
    }
    return isNamed && isAmongFirst(hashText(m_self), leads, hashText(kind), limits::probingRouters);
}

} // namespace nutmegtally
