// Guards against two lease holders at the same time, and against an engine without a check of its own that gets an order
// with a lower fencing token than an earlier one. Inputs are random sequences of lost responses, delayed orders, pauses
// and restarts of the agent.
#include <nutmegtally/orders.h>

#include <rapidcheck.h>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

struct orders_simulation {
    static constexpr std::size_t coreCount = 3;

    orders_simulation()
    {
        for (std::size_t i = 0; i < coreCount; ++i) {
            cores.emplace_back(order_options {"watcher-" + std::to_string(i), i + 1});
        }
    }

    /// @param fault 0: none, 1: the response is lost, 2: the platform refuses the call.
    void post(std::size_t core, const order_core::event &event, unsigned fault)
    {
        std::vector<order_core::effect> effects;
        cores[core].apply(now, event, effects);
        for (const order_core::effect &effect : effects) {
            if (const auto *read = std::get_if<order_effect::read_object>(&effect)) {
                const object_status found = version > 0 ? object_status::ok : object_status::missing;
                post(core,
                     order_event::object_read {read->operation, fault == 2 ? object_status::unavailable : found, value,
                                               std::to_string(version)},
                     fault);
            } else if (const auto *write = std::get_if<order_effect::write_object>(&effect)) {
                const bool isCurrentVersion = fault != 2 && write->ifVersion == (version > 0 ? std::to_string(version) : "");
                if (isCurrentVersion) {
                    value = write->value;
                    ++version;
                }
                const object_status status = fault == 1         ? object_status::unknown
                                             : fault == 2       ? object_status::unavailable
                                             : isCurrentVersion ? object_status::ok
                                                                : object_status::conflict;
                post(core, order_event::object_written {write->operation, status, std::to_string(version)}, fault);
            } else if (const auto *send = std::get_if<order_effect::send_order>(&effect)) {
                inFlight.emplace_back(core, *send);
            }
        }
    }

    void deliver(std::size_t pick)
    {
        if (inFlight.empty()) {
            return;
        }
        const auto at = inFlight.begin() + static_cast<std::ptrdiff_t>(pick % inFlight.size());
        const auto [core, send] = *at;
        inFlight.erase(at);
        const order_result result = guard.check(send.fencingToken);
        if (result == order_result::done) {
            RC_ASSERT(send.fencingToken >= highestExecutedToken);
            highestExecutedToken = send.fencingToken;
            ++executions;
        }
        post(core, order_event::order_answered {send.order.number, result}, 0);
    }

    void step(unsigned action, unsigned pick)
    {
        const std::size_t core = pick % coreCount;
        switch (action) {
        case 0: // only this process gets a tick, as if the others were paused
            now += std::chrono::seconds(pick % 8);
            post(core, order_event::tick(), 0);
            break;
        case 1:
            post(core, order_event::tick(), 1 + pick / 8 % 2);
            break;
        case 2:
            post(core,
                 order_event::order_requested {{++orders, upstream_id(1 + pick % 2), order_kind::changeRole, "prefill", model_id(1), 0}},
                 0);
            break;
        case 3:
            deliver(pick);
            break;
        case 4:
            guard = order_fencing_guard(); // the agent restarts
            break;
        case 5:
            if (version > 0) {
                guard.updateFromLease(decodeLease(value));
            }
            break;
        default:
            post(core, order_event::upstream_warm {upstream_id(1 + pick % 2)}, 0);
            break;
        }
        unsigned holders = 0;
        for (const order_core &candidate : cores) {
            holders += candidate.isHolder(now) ? 1 : 0;
        }
        RC_ASSERT(holders <= 1U);
    }

    time_point now {1h};
    std::vector<order_core> cores;
    order_fencing_guard guard;
    std::uint64_t version = 0;
    std::string value;
    std::uint64_t orders = 0;
    std::uint64_t highestExecutedToken = 0;
    unsigned executions = 0;
    std::vector<std::pair<std::size_t, order_effect::send_order>> inFlight;
};

} // namespace

int main()
{
    const bool passed = rc::check("one holder, no order of a former holder", [] {
        using step = std::pair<unsigned, unsigned>;
        const auto action = rc::gen::resize(rc::kNominalSize,
                                            rc::gen::weightedElement<unsigned>({{12, 0}, {3, 1}, {4, 2}, {5, 3}, {1, 4}, {2, 5}, {2, 6}}));
        const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<unsigned>(0, 4096));
        const auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<step>>(rc::gen::pair(action, number)));
        orders_simulation simulation;
        for (const auto &[what, pick] : steps) {
            simulation.step(what, pick);
        }
        RC_CLASSIFY(simulation.executions > 0, "order carried out");
        RC_CLASSIFY(simulation.highestExecutedToken > 1, "order of a later holder carried out");
    });
    return passed ? 0 : 1;
}
