// Fixture for tests of entry_core: traffic rules, upstreams and requests.
#pragma once

#include <nutmegtally/entry_core.h>
#include <nutmegtally/ids.h>

#include <memory>
#include <string>
#include <vector>

namespace nutmegtally
{

using namespace std::chrono_literals;

/// An entry_core with engine routes and service routes of several kinds. Keeps the effects of the last event.
struct entry_fixture {
    entry_fixture()
    {
        rules->version = 5;
        addRoute("brief", request_kind::streaming, "engines", 1000ms, 12s, 1, 1);
        addRoute("reply", request_kind::streaming, "engines", 500ms, 10s, 0, 2).isResumable = true;
        addRoute("booking", request_kind::nonIdempotent, "desk", 300ms, 1500ms, 2, 1);
        addRoute("read", request_kind::idempotent, "desk", 300ms, 1500ms, 2, 2);
        addRoute("open", request_kind::idempotent, "desk", 300ms, 1500ms, 2, 2).isPublic = true;
        rules->services.push_back({"engines", 360, 8.9, 64, 400'000});
        rules->services.push_back({"desk", 100, 0, 0, 0});
        rules->accounts.push_back({"account", false, 0});
        rules->accountOfKey["key"] = 0;
        rules->index();
    }

    route_rule &addRoute(const std::string &name, request_kind kind, const std::string &service, duration target, duration timeout,
                         int priority, unsigned upstreams)
    {
        route_rule route;
        route.name = name;
        route.host = "h";
        route.pathPrefix = "/" + name + "/";
        route.kind = kind;
        route.target = target;
        route.timeout = timeout;
        route.priority = priority;
        route.maxUpstreams = upstreams;
        route.carriesPrompt = service == "engines";
        route.shares.push_back({service, 1});
        rules->routes.push_back(route);
        return rules->routes.back();
    }

    template<typename Event>
    void apply(const Event &event)
    {
        effects.clear();
        core.apply(now, event, effects);
    }

    void start(unsigned engines, unsigned desks)
    {
        apply(entry_event::rules_changed {rules});
        for (unsigned i = 0; i < engines; ++i) {
            list("engine-" + std::to_string(i), "engines", 64);
        }
        for (unsigned i = 0; i < desks; ++i) {
            list("desk-" + std::to_string(i), "desk", 6);
        }
    }

    upstream_record record(const std::string &instance, const std::string &service, unsigned slots) const
    {
        upstream_record upstream;
        upstream.instance = instance;
        upstream.service = service;
        upstream.address = instance + ":1";
        upstream.domain = "domain";
        upstream.slots = slots;
        return upstream;
    }

    void list(const std::string &instance, const std::string &service, unsigned slots)
    {
        apply(entry_event::upstream_listed {record(instance, service, slots)});
    }

    /// Receives a request on a route. @return Its number.
    exchange_id request(const std::string &route, prompt_parts parts = {}, duration deadline = 20s, const char *key = "key")
    {
        entry_event::request_received input;
        input.exchange = ++lastExchange;
        input.request.requestId = "request-" + std::to_string(lastExchange);
        input.request.host = "h";
        input.request.path = "/" + route + "/1";
        if (key != nullptr) {
            input.request.key = key;
        }
        input.request.deadline = deadline;
        input.request.promptTokens = totalTokens(parts);
        input.request.outputTokens = 100;
        input.request.parts = std::move(parts);
        apply(input);
        return lastExchange;
    }

    void answer(exchange_id id, int status, bool notRun = false, bool isSigned = true)
    {
        apply(entry_event::answer_received {id, {status, notRun, isSigned, std::nullopt}});
    }

    void fail(exchange_id id, attempt_failure failure)
    {
        apply(entry_event::attempt_failed {id, failure});
    }

    void tickAt(duration when)
    {
        now = time_point(when);
        apply(entry_event::tick {});
    }

    template<typename Effect>
    const Effect *effect() const
    {
        for (const entry_core::effect &each : effects) {
            if (const auto *found = std::get_if<Effect>(&each)) {
                return found;
            }
        }
        return nullptr;
    }

    /// Instance to which the last event sent a request; "nobody" if it sent none.
    std::string sentTo() const
    {
        const auto *attempt = effect<entry_effect::start_attempt>();
        return attempt == nullptr ? "nobody" : attempt->instance;
    }

    /// Reason of the refusal that the last event caused; "nothing" if it caused none.
    std::string_view refusedFor() const
    {
        const auto *refused = effect<entry_effect::refuse>();
        return refused == nullptr ? "nothing" : infoOf(refused->reason).name;
    }

    std::shared_ptr<traffic_rules> rules = std::make_shared<traffic_rules>();
    entry_core core {entry_options {"self", "domain", {}, false}};
    std::vector<entry_core::effect> effects;
    time_point now {};
    exchange_id lastExchange = 0;
};

} // namespace nutmegtally
