#include "limits.h"

#include <nutmegtally/log_line.h>
#include <nutmegtally/router_news.h>

#include <algorithm>

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
            notices.push_back({name, other.address, other.loadAddress, now - other.heardAt});
        }
    }
    return notices;
}

void router_news::note(const std::string &name, const std::string &address, const std::string &loadAddress, time_point heardAt)
{
    if (name == m_options.name || name.empty()) {
        return;
    }
    router &known = m_routers[name];
    if (known.address.empty() || heardAt > known.heardAt) {
        known.address = address;
        known.loadAddress = loadAddress;
        known.heardAt = heardAt;
        m_targets[address];
    }
}

void router_news::on(time_point now, const news_event::heard &input, std::vector<effect> &effects)
{
    note(input.name, input.address, input.loadAddress, now);
    target &teller = m_targets[input.address];
    teller.failures = 0;
    teller.notBefore = now;
    for (const router_notice &notice : input.known) {
        if (notice.age < limits::routerCountedFor) {
            note(notice.name, notice.address, notice.loadAddress, now - notice.age);
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
    if (now - *known.newerSince >= limits::behindBeforeAsking) {
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
    m_nextAsk = now + (input.hasContact && !m_routers.empty() ? limits::askInterval : limits::askIntervalAlone);
    // The one that was asked longest ago; addresses of routers that are gone drop out with their pauses.
    auto next = m_targets.end();
    for (auto it = m_targets.begin(); it != m_targets.end(); ++it) {
        if (it->first != m_options.address && now >= it->second.notBefore
            && (next == m_targets.end() || it->second.askedAt < next->second.askedAt)) {
            next = it;
        }
    }
    if (next != m_targets.end()) {
        ask(now, next->first, effects);
    }
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
