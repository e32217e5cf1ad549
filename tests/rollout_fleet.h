// Fixture for tests of rollouts: routers that tell each other their counts, one store that holds an order, and upstreams that answer as
// a test says. Time is virtual.
#pragma once

#include "src/limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/rollout_control.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace nutmegtally
{

using namespace std::chrono_literals;

struct rollout_fleet {
    /// How an upstream answers one request.
    struct outcome {
        answer_quality quality = answer_quality::good;
        duration takes = 50ms;
    };

    struct router {
        std::string name;
        std::unique_ptr<rollout_control> control;
        bool isCutFromStore = false;
        bool isCutFromRouters = false;
        bool isDown = false;
        std::uint64_t starts = 0; // of this process, for the service
        std::map<std::string, unsigned> inFlight; // by version
        std::vector<rollout_control::effect> log;
    };

    struct running {
        time_point endsAt;
        std::size_t router;
        std::string version;
        std::string instance;
        std::string route;
        outcome result;
        time_point startedAt;
        unsigned incarnation;
    };

    static constexpr duration step = 50ms;
    static constexpr duration hop = 100ms; // until another router has an update
    static constexpr duration expected = 50ms;

    explicit rollout_fleet(std::size_t routerCount, double requestsPerSecond = 200, unsigned baseCount = 10, unsigned targetCount = 10)
        : perSecond(requestsPerSecond)
        , incarnations(routerCount)
    {
        for (std::size_t i = 0; i < routerCount; ++i) {
            names.push_back("router-" + std::to_string(i));
        }
        for (unsigned i = 0; i < baseCount; ++i) {
            upstreams.push_back(upstream("old-" + std::to_string(i), "v1"));
        }
        routers.resize(routerCount);
        for (std::size_t i = 0; i < routerCount; ++i) {
            start(i);
        }
        targets = targetCount;
    }

    static versioned_upstream upstream(const std::string &instance, const std::string &version)
    {
        return {instance, "desk", version, "domain", 64, false, store_revision(5)};
    }

    /// Starts a router, or starts one again without its state.
    void start(std::size_t index)
    {
        router &each = routers[index];
        each = router();
        ++incarnations[index];
        each.name = names[index];
        each.control = std::make_unique<rollout_control>(rollout_bounds {}, each.name);
        each.control->setRouters(names);
        for (const versioned_upstream &listed : upstreams) {
            each.control->listUpstream(listed, now);
        }
        if (order) {
            each.control->takeOrder(*order, now, each.log);
        }
        each.control->verify(store_revision(revision));
    }

    void writeOrder(duration ramp = 12s, const std::string &target = "v2")
    {
        rollout_order written;
        written.service = "desk";
        written.target = target;
        written.ramp = ramp;
        written.revision = store_revision(++revision);
        written.id = hashText(target, revision);
        order = written;
        orderedAt = now;
        publish();
        for (unsigned i = 0; i < targets; ++i) {
            list(upstream("new-" + std::to_string(i), target));
        }
    }

    void list(const versioned_upstream &listed)
    {
        upstreams.push_back(listed);
        for (router &each : routers) {
            each.control->listUpstream(listed, now);
        }
    }

    void unlist(const std::string &instance)
    {
        std::erase_if(upstreams, [&](const versioned_upstream &each) { return each.instance == instance; });
        for (router &each : routers) {
            each.control->unlistUpstream(instance);
        }
    }

    /// Tells the order to all routers that reach the store or another router.
    void publish()
    {
        for (router &each : routers) {
            if (order && !each.isDown && !(each.isCutFromStore && each.isCutFromRouters)) {
                each.control->takeOrder(*order, now, each.log);
            }
        }
    }

    void run(duration span)
    {
        const time_point end = now + span;
        while (now < end) {
            now += step;
            finishRequests();
            startRequests();
            exchangeCounts();
            tickRouters();
        }
    }

    void finishRequests()
    {
        std::erase_if(requests, [this](const running &each) {
            if (each.endsAt > now) {
                return false;
            }
            router &at = routers[each.router];
            if (at.isDown || incarnations[each.router] != each.incarnation) {
                return true;
            }
            --at.inFlight[each.version];
            const bool isBad = each.result.quality != answer_quality::good;
            const double slowness = static_cast<double>(each.result.takes.count())
                                    / static_cast<double>(std::chrono::duration_cast<duration>(expected).count());
            at.control->recordAnswer("desk", each.version, hashText(each.instance), each.route, each.result.quality, slowness, false, now);
            at.control->recordEnd("desk", each.version, now - each.startedAt, now);
            const bool isTarget = order && each.version == order->target;
            const bool isSlow = each.result.takes >= 3 * expected;
            if (isTarget && (isBad || isSlow) && ++badAnswers == 50) {
                fiftiethBadAt = now;
            }
            return true;
        });
    }

    void startRequests()
    {
        due += perSecond * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1) {
            const std::size_t index = random() % routers.size();
            router &at = routers[index];
            if (at.isDown) {
                continue;
            }
            const std::string route = random() % 4 == 0 ? "rare" : "usual";
            const versioned_upstream *chosen = choose(*at.control);
            if (chosen == nullptr) {
                ++refused;
                continue;
            }
            at.control->recordStart("desk", chosen->version, now);
            ++at.inFlight[chosen->version];
            ++allStarts;
            ++startsOf[chosen->version];
            lastStartOf[chosen->version] = now;
            if (order && now - orderedAt <= order->ramp) {
                ++startsInRamp;
                targetStartsInRamp += chosen->version == order->target ? 1 : 0;
            }
            const outcome result = answer(*chosen, route, loadOf(*chosen));
            requests.push_back({now + result.takes, index, chosen->version, chosen->instance, route, result, now, incarnations[index]});
        }
    }

    unsigned loadOf(const versioned_upstream &chosen) const
    {
        return static_cast<unsigned>(
            std::count_if(requests.begin(), requests.end(), [&](const running &each) { return each.instance == chosen.instance; }));
    }

    const versioned_upstream *choose(const rollout_control &control)
    {
        version_filters filters = control.filtersFor("desk", now);
        if (filters.empty()) {
            filters.push_back({{}, true, {}, false});
        }
        for (const version_filter &filter : filters) {
            std::vector<const versioned_upstream *> allowed;
            for (const versioned_upstream &each : upstreams) {
                if (filter.allows(each.version, hashText(each.instance))) {
                    allowed.push_back(&each);
                }
            }
            if (!allowed.empty()) {
                return allowed[random() % allowed.size()];
            }
        }
        return nullptr;
    }

    void exchangeCounts()
    {
        if (now < nextExchangeAt) {
            return;
        }
        nextExchangeAt = now + hop;
        for (router &from : routers) {
            for (router &to : routers) {
                const bool isCut = from.isCutFromRouters || to.isCutFromRouters || from.isDown || to.isDown;
                if (&from != &to && !isCut) {
                    load_update update;
                    update.source = from.name;
                    update.rollouts = from.control->ownCounts(now);
                    to.control->applyUpdate(update, true, false, from.name, now);
                }
            }
        }
    }

    void tickRouters()
    {
        for (router &each : routers) {
            if (each.isDown) {
                continue;
            }
            version_load load;
            for (const auto &[version, count] : each.inFlight) {
                load.base += order && version == order->target ? 0 : count;
            }
            load.all = static_cast<double>(requests.size());
            std::vector<rollout_control::effect> effects;
            each.control->tick(now, {{"desk", load}}, effects);
            for (const rollout_control::effect &effect : effects) {
                if (const auto *write = std::get_if<rollout_effect::write_status>(&effect)) {
                    writeStatus(each, *write);
                } else {
                    each.log.push_back(effect);
                }
            }
        }
    }

    void writeStatus(router &from, const rollout_effect::write_status &write)
    {
        ++writes;
        std::vector<rollout_control::effect> effects;
        if (isStoreDown || from.isCutFromStore) {
            from.control->takeWriteResult("desk", rollout_write_result::refused, now, effects);
            return;
        }
        if (!order || order->revision != write.order.revision) {
            from.control->takeWriteResult("desk", rollout_write_result::conflict, now, effects);
            return;
        }
        statuses.push_back(write.status);
        if (write.status == rollout_status::completed) {
            baseInFlightAtCompletion = 0;
            for (const running &each : requests) {
                baseInFlightAtCompletion += each.version == write.order.target ? 0 : 1;
            }
            completedAt = now;
        }
        order->status = write.status;
        order->revision = store_revision(++revision);
        publish();
        if (!losesAnswers) {
            from.control->takeWriteResult("desk", rollout_write_result::written, now, effects);
        }
    }

    bool isFinal() const
    {
        return order && (order->status == rollout_status::completed || order->status == rollout_status::rolledBack);
    }

    /// Requests that the target version got beyond the bound, negative if it kept the bound.
    double exposureAboveBound() const
    {
        return static_cast<double>(targetStartsInRamp) - 0.1 * static_cast<double>(startsInRamp) - 50;
    }

    time_point now {1h};
    std::mt19937 random {7};
    double perSecond;
    double due = 0;
    std::uint64_t revision = 10;
    std::vector<std::string> names;
    std::vector<unsigned> incarnations;
    std::vector<router> routers;
    std::vector<versioned_upstream> upstreams;
    std::vector<running> requests;
    std::optional<rollout_order> order;
    time_point orderedAt;
    time_point nextExchangeAt;
    unsigned targets = 0;
    bool isStoreDown = false;
    bool losesAnswers = false;
    std::function<outcome(const versioned_upstream &, const std::string &route, unsigned load)> answer
        = [](const versioned_upstream &, const std::string &, unsigned) { return outcome {}; };

    std::uint64_t allStarts = 0;
    std::uint64_t startsInRamp = 0;
    std::uint64_t targetStartsInRamp = 0;
    std::map<std::string, std::uint64_t> startsOf; // by version
    std::map<std::string, time_point> lastStartOf; // by version
    std::uint64_t refused = 0;
    unsigned badAnswers = 0; // of the target version
    std::optional<time_point> fiftiethBadAt;
    std::optional<time_point> completedAt;
    unsigned baseInFlightAtCompletion = 0;
    unsigned writes = 0;
    std::vector<rollout_status> statuses; // that were written
};

} // namespace nutmegtally
