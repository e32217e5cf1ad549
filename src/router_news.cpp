#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>
#include <nutmegtally/router_news.h>

#include <algorithm>
#include <unordered_set>

namespace nutmegtally
{

router_news::router_news(news_options options)
    : m_options(std::move(options))
{
    addSeeds(m_options.seeds);
}

void router_news::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        if (seed != m_options.address) {
            m_targets[seed];
        }
    }
}

void router_news::on(time_point, const news_event::seeds_changed &input, std::vector<effect> &)
{
    addSeeds(input.seeds);
}

void router_news::apply(time_point now, const event &input, std::vector<effect> &effects)
{
    std::visit([&](const auto &each) { on(now, each, effects); }, input);
}

std::vector<router_notice> router_news::known(time_point now) const
{
    std::vector<router_notice> notices;
    for (const auto &[name, other] : m_routers) {
        if (now - other.heardAt < limits::routerCountedFor) {
            notices.push_back({name, other.address, other.loadAddress, other.domain, now - other.heardAt});
        }
    }
    return notices;
}

std::uint32_t router_news::keyOf(std::string_view name)
{
    return static_cast<std::uint32_t>(hashText(name) >> 32);
}

std::vector<std::uint32_t> router_news::heardOfLately(std::string_view domain, time_point now) const
{
    std::vector<std::uint32_t> keys {keyOf(m_options.name)};
    for (const auto &[name, other] : m_routers) {
        if (now - other.heardAt < limits::heardLately && (domain.empty() || other.domain == domain)) {
            keys.push_back(keyOf(name));
        }
    }
    return keys;
}

void router_news::on(time_point now, const news_event::heard_of &input, std::vector<effect> &)
{
    const std::unordered_set<std::uint32_t> keys(input.routers.begin(), input.routers.end());
    for (auto &[name, other] : m_routers) {
        if (keys.contains(keyOf(name))) {
            other.heardAt = std::max(other.heardAt, now);
        }
    }
}

void router_news::note(const router_notice &notice, time_point heardAt)
{
    if (notice.name == m_options.name || notice.name.empty()) {
        return;
    }
    router &known = m_routers[notice.name];
    if (known.address.empty() || heardAt > known.heardAt) {
        known.address = notice.address;
        known.loadAddress = notice.loadAddress;
        known.domain = notice.domain;
        known.heardAt = heardAt;
        m_targets[notice.address];
    }
}

void router_news::on(time_point now, const news_event::heard &input, std::vector<effect> &effects)
{
    note({input.name, input.address, input.loadAddress, input.domain, duration(0)}, now);
    target &teller = m_targets[input.address];
    teller.failures = 0;
    teller.notBefore = now;
    for (const router_notice &notice : input.known) {
        if (notice.age < limits::routerCountedFor) {
            note(notice, now - notice.age);
        }
    }
    tellLive(now, effects);
}

void router_news::on(time_point now, const news_event::digest_compared &input, std::vector<effect> &effects)
{
    const auto teller = m_routers.find(input.name);
    if (teller == m_routers.end()) {
        return;
    }
    router &known = teller->second;
    known.heardAt = std::max(known.heardAt, now);
    if (!input.isNewer) {
        // Routers take changes one after the other: only state that stays newer means that this router misses something.
        known.newerSince.reset();
        return;
    }
    known.newerSince = known.newerSince.value_or(now);
    if (input.isReader || now - *known.newerSince >= limits::behindBeforeAsking) {
        known.newerSince = now;
        ask(now, known.address, effects);
    }
}

void router_news::ask(time_point now, const std::string &address, std::vector<effect> &effects)
{
    if (m_isAsking) {
        return;
    }
    m_isAsking = true;
    m_targets[address].askedAt = now;
    effects.emplace_back(news_effect::ask {address});
}

void router_news::on(time_point, const news_event::exchange_done &, std::vector<effect> &)
{
    m_isAsking = false;
}

void router_news::on(time_point now, const news_event::exchange_failed &input, std::vector<effect> &effects)
{
    m_isAsking = false;
    target &asked = m_targets[input.address];
    const unsigned doublings = std::min(asked.failures, 4U);
    ++asked.failures;
    // At a start of all routers the seeds may come up a moment later.
    const duration first = m_routers.empty() ? limits::askIntervalAlone : limits::firstAskPause;
    asked.notBefore = now + std::min(limits::longestAskPause, first * (1U << doublings));
    if (asked.failures == 1) {
        log_line line;
        line.with("address", input.address);
        effects.emplace_back(log_record {log_event::peerUnreachable, line.take()});
    }
}

void router_news::on(time_point now, const news_event::tick &input, std::vector<effect> &effects)
{
    std::erase_if(m_routers, [now](const auto &entry) { return now - entry.second.heardAt > limits::routerCountedFor; });
    tellLive(now, effects);
    if (now < m_nextAsk) {
        return;
    }
    m_startedAt = m_startedAt.value_or(now);
    const bool isSettled = now - *m_startedAt >= limits::askSettling && !m_leads.empty();
    const duration calm = isSettled ? limits::askIntervalSettled : limits::askInterval;
    m_nextAsk = now + (input.hasContact && !m_routers.empty() ? calm : limits::askIntervalAlone);
    if (const std::string *next = nextTarget(now)) {
        ++m_asked;
        ask(now, *next, effects);
    }
}

const std::string *router_news::nextTarget(time_point now) const
{
    // The one that was asked longest ago; addresses of routers that are gone drop out with their pauses. Every few questions go to
    // any router, so that parts of the fleet that know nothing of each other find together.
    const bool isAny = m_leads.empty() || m_asked % limits::asksOfLeads == 0;
    const std::string *next = nullptr;
    time_point askedAt;
    for (const auto &[address, known] : m_targets) {
        const bool isWanted = isAny || std::find(m_leads.begin(), m_leads.end(), address) != m_leads.end();
        if (isWanted && address != m_options.address && now >= known.notBefore && (next == nullptr || known.askedAt < askedAt)) {
            next = &address;
            askedAt = known.askedAt;
        }
    }
    return next;
}

void router_news::on(time_point, const news_event::leads_changed &input, std::vector<effect> &)
{
    m_leads = input.addresses;
}

void router_news::tellLive(time_point now, std::vector<effect> &effects)
{
    // Counted down late: a router that cannot hear others must not take their part of a shared limit.
    std::vector<std::string> live {m_options.name};
    for (const auto &[name, other] : m_routers) {
        if (now - other.heardAt < limits::routerCountedFor) {
            live.push_back(name);
        }
    }
    std::sort(live.begin(), live.end());
    if (live == m_live && m_toldOnce) {
        return;
    }
    m_live = live;
    m_toldOnce = true;
    effects.push_back(news_effect::routers_changed {std::move(live)});
}

} // namespace nutmegtally
