// Model of several routers whose engines state limits of requests: the real entry_core of each router in virtual time, answers
// after a fixed time, and messages between the routers.
#pragma once

#include "entry_fixture.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace nutmegtally::test
{

/// The bound that the operators state: in any window, one and a half times what the limit allows and a few requests more, from
/// contactTime after the first statement on, summed over the routers that passed on such an answer toldTime before.
inline constexpr duration limitWindow = 4s;
inline constexpr double limitExcess = 1.5;
inline constexpr double limitSlack = 5;
inline constexpr duration contactTime = 3s;
inline constexpr duration toldTime = 500ms;

struct limited_fleet {
    static constexpr duration step = 5ms;
    static constexpr duration firstEventTime = 60ms;
    static constexpr duration answerTime = 800ms;
    static constexpr duration hopTime = 3ms; // of a datagram to another router
    static constexpr std::size_t contexts = 40;

    struct arrival {
        time_point at;
        std::size_t router = 0;
        bool isFromTold = false;
        int priority = 0;
        std::string account;
    };

    struct engine {
        std::optional<double> stated; // requests a second
        time_point statedSince;
        std::map<std::size_t, time_point> toldAt; // by router
        std::vector<arrival> arrivals;
    };

    explicit limited_fleet(std::size_t routerCount, std::size_t engineCount, std::uint64_t seed = 1)
        : random(seed)
    {
        for (std::size_t i = 0; i < routerCount; ++i) {
            names.push_back("router-" + std::to_string(i));
            isCut.push_back(false);
        }
        for (const std::string &name : names) {
            entry_fixture &router = routers.emplace_back();
            router.core = entry_core(entry_options {name, "domain", {}, false});
            addAccounts(*router.rules);
            router.start(0, 0);
            router.apply(entry_event::routers_changed {names});
        }
        for (std::size_t i = 0; i < engineCount; ++i) {
            list("engine-" + std::to_string(i));
        }
    }

    static void addAccounts(traffic_rules &rules)
    {
        for (const char *name : {"large", "small"}) {
            rules.accountOfKey[name] = rules.accounts.size();
            rules.accounts.push_back({name, false, 0});
        }
    }

    void list(const std::string &name, std::uint64_t incarnation = 0)
    {
        engines[name] = {};
        for (entry_fixture &router : routers) {
            upstream_record record = router.record(name, "engines", 64);
            record.incarnation = incarnation;
            router.apply(entry_event::upstream_listed {record});
        }
    }

    void state(const std::string &name, std::optional<double> perSecond)
    {
        engine &each = engines.at(name);
        each.stated = perSecond;
        each.statedSince = now;
        each.toldAt.clear();
        each.arrivals.clear();
    }

    void at(duration after, std::function<void()> action)
    {
        agenda.emplace(now + after, std::move(action));
    }

    /// Carries out what a router decided about its last event.
    void follow(std::size_t router)
    {
        const std::vector<entry_core::effect> effects = std::move(routers[router].effects);
        routers[router].effects.clear();
        for (const entry_core::effect &each : effects) {
            std::visit([this, router](const auto &effect) { carryOut(router, effect); }, each);
        }
    }

    template<typename Event>
    void post(std::size_t router, const Event &event)
    {
        routers[router].now = now;
        routers[router].apply(event);
        follow(router);
    }

    void carryOut(std::size_t router, const entry_effect::start_attempt &attempt)
    {
        engine &target = engines.at(attempt.instance);
        const auto told = target.toldAt.find(router);
        const bool isFromTold = told != target.toldAt.end() && now - told->second >= toldTime;
        target.arrivals.push_back({now, router, isFromTold, attempt.priority, attempt.account});
        const exchange_id id = attempt.exchange;
        at(firstEventTime, [this, router, id, &target] {
            if (target.stated) {
                target.toldAt.try_emplace(router, now);
            }
            answer_summary answer {200, false, true, std::nullopt};
            answer.requestsPerSecond = target.stated;
            post(router, entry_event::answer_received {id, answer});
        });
        at(answerTime, [this, router, id] {
            ++served;
            post(router, entry_event::answer_finished {id, {}});
        });
    }

    void carryOut(std::size_t router, const entry_effect::send_permit_message &message)
    {
        ++permitMessages;
        const auto target = static_cast<std::size_t>(std::find(names.begin(), names.end(), message.router) - names.begin());
        if (isCut[router] || isCut[target]) {
            return;
        }
        at(hopTime, [this, router, target, content = message.message] {
            if (const auto *request = std::get_if<permit_request>(&content)) {
                post(target, entry_event::permit_requested {names[router], *request});
            } else {
                post(target, entry_event::permit_answered {std::get<permit_answer>(content)});
            }
        });
    }

    /// Statements travel as in heartbeats: over leaders, so that all have them after a heartbeat or two.
    void exchangeLimits()
    {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            const std::vector<limit_statement> statements = routers[i].core.takeLimits(now);
            for (std::size_t j = 0; j < routers.size() && !statements.empty() && !isCut[i]; ++j) {
                if (j != i && !isCut[j]) {
                    post(j, entry_event::limits_received {statements});
                }
            }
        }
    }

    void carryOut(std::size_t, const entry_effect::refuse &refused)
    {
        ++refusals;
        retryAfters.push_back(now + refused.retryAfter.value_or(duration(0)));
    }

    template<typename Effect>
    void carryOut(std::size_t, const Effect &)
    {
    }

    /// Sends one request of a route on a random context through a router.
    void send(std::size_t router, const std::string &route, const char *key = "key")
    {
        const std::uint64_t context = std::uniform_int_distribution<std::uint64_t>(0, contexts - 1)(random);
        ++sent;
        routers[router].now = now;
        routers[router].request(route, {{1, 100}, {1000 + context, 2000}, {1'000'000 + sent, 100}}, 10s, key);
        follow(router);
    }

    /// Runs for a time with so many requests a second in the whole fleet, spread over its routers.
    void run(duration span, double perSecond, const std::function<void(std::size_t router)> &request)
    {
        const time_point end = now + span;
        std::poisson_distribution<unsigned> arrivals(perSecond * std::chrono::duration<double>(step).count());
        std::uniform_int_distribution<std::size_t> anyRouter(0, routers.size() - 1);
        while (now < end) {
            now += step;
            while (!agenda.empty() && agenda.begin()->first <= now) {
                const std::function<void()> action = std::move(agenda.begin()->second);
                agenda.erase(agenda.begin());
                action();
            }
            if ((now.time_since_epoch() / step) % 4 == 0) {
                for (std::size_t i = 0; i < routers.size(); ++i) {
                    post(i, entry_event::tick {});
                }
            }
            if (now >= nextExchangeAt) {
                nextExchangeAt = now + heartbeatTime;
                exchangeLimits();
            }
            for (unsigned i = arrivals(random); i > 0; --i) {
                request(anyRouter(random));
            }
        }
    }

    void run(duration span, double perSecond)
    {
        run(span, perSecond, [this](std::size_t router) { send(router, sent % 3 == 0 ? "brief" : "reply"); });
    }

    /// By how many requests the fullest window of an engine exceeds what its limit allows; negative if it stays below.
    double excess(const std::string &name) const
    {
        const engine &each = engines.at(name);
        std::deque<time_point> window;
        std::size_t most = 0;
        for (const arrival &one : each.arrivals) {
            if (!one.isFromTold || one.at - each.statedSince < contactTime) {
                continue;
            }
            window.push_back(one.at);
            while (one.at - window.front() >= limitWindow) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        const double seconds = std::chrono::duration<double>(limitWindow).count();
        return static_cast<double>(most) - limitExcess * seconds * each.stated.value_or(0) - limitSlack;
    }

    /// Requests a second that reached an engine within the last span.
    double rateOf(const std::string &name, duration span) const
    {
        const auto &arrivals = engines.at(name).arrivals;
        const auto recent = std::count_if(arrivals.begin(), arrivals.end(), [&](const arrival &each) { return now - each.at < span; });
        return static_cast<double>(recent) / std::chrono::duration<double>(span).count();
    }

    std::mt19937_64 random;
    time_point now {};
    std::vector<std::string> names;
    std::vector<bool> isCut; // by router: its messages to and from other routers are lost
    std::deque<entry_fixture> routers;
    std::map<std::string, engine> engines;
    std::multimap<time_point, std::function<void()>> agenda;
    std::vector<time_point> retryAfters; // of refused requests: when their callers come back
    duration heartbeatTime = 200ms; // of a statement to all routers
    time_point nextExchangeAt;
    std::size_t permitMessages = 0;
    std::size_t served = 0;
    std::size_t refusals = 0;
    std::uint64_t sent = 0;
};

} // namespace nutmegtally::test
