// RapidCheck commands for a ledger_simulation: faults, advances of time and callers' requests in random order.
#pragma once

#include "ledger_simulation.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace nutmegtally::testing
{

enum class ledger_action {
    request,
    deliver,
    flow,
    lose,
    timeOut,
    refuseConnection,
    duplicate,
    crash,
    restart,
    pause,
    resume,
    hide,
    show,
    outage,
    outageEnd,
    advance,
    settle,
    count
};

inline constexpr std::array<const char *, static_cast<std::size_t>(ledger_action::count)> ledgerActionNames
    = {"request", "deliver", "flow", "lose", "timeOut", "refuseConnection", "duplicate", "crash", "restart",
       "pause",   "resume",  "hide", "show", "outage",  "outageEnd",        "advance",   "settle"};

/// Empty, because every command is valid in any state.
struct ledger_model {
};

template<ledger_policy Policy>
class ledger_command : public rc::state::Command<ledger_model, ledger_simulation<Policy>>
{
public:
    ledger_command(ledger_action action, unsigned first, unsigned second)
        : m_action(action)
        , m_first(first)
        , m_second(second)
    {
    }

    void run(const ledger_model &, ledger_simulation<Policy> &simulation) const override
    {
        const std::size_t agent = m_first % simulation.agentCount;
        switch (m_action) {
        case ledger_action::request:
            // One request in eight reuses the key for another body.
            simulation.requestThroughRouter(m_second % 2, m_first % simulation.keyCount, m_second % 8 == 7 ? 2 : 1);
            return;
        case ledger_action::deliver:
            simulation.deliver(m_first);
            return;
        case ledger_action::flow:
            simulation.deliverInOrder(m_first % 24);
            return;
        case ledger_action::lose:
            simulation.lose(simulation.pickKind(m_first, m_second));
            return;
        case ledger_action::timeOut:
            simulation.timeOut(simulation.pickKind(m_first, m_second));
            return;
        case ledger_action::refuseConnection:
            simulation.refuseConnection(m_first);
            return;
        case ledger_action::duplicate:
            simulation.duplicate(m_first);
            return;
        case ledger_action::crash:
            simulation.crash(agent);
            return;
        case ledger_action::restart:
            simulation.restart(agent);
            return;
        case ledger_action::pause:
            simulation.setPaused(agent, true);
            return;
        case ledger_action::resume:
            simulation.setPaused(agent, false);
            return;
        case ledger_action::hide:
            // Mostly removed from all other views at once, as after a lost connection to the VM, so that another agent takes
            // over.
            for (std::size_t viewer = 0; viewer < simulation.agentCount; ++viewer) {
                if (viewer != agent && (m_second % 4 != 0 || viewer == m_second / 4 % simulation.agentCount)) {
                    simulation.setView(viewer, agent, false);
                }
            }
            return;
        case ledger_action::show:
            simulation.setView(agent, m_second % simulation.agentCount, true);
            return;
        case ledger_action::outage:
            simulation.setOutage(true);
            return;
        case ledger_action::outageEnd:
            simulation.setOutage(false);
            return;
        case ledger_action::advance:
            // Mostly short, sometimes past every deadline, rarely past the keys' horizon.
            if (m_first % 64 == 1) {
                simulation.advance(70min);
            } else {
                simulation.advance(m_first % 8 == 0 ? 12s : m_first % 8 == 4 ? 3500ms : std::chrono::milliseconds(50 * (m_first % 32)));
            }
            return;
        case ledger_action::settle:
            simulation.settleByOperator(agent, m_second);
            return;
        case ledger_action::count:
            return;
        }
    }

    void show(std::ostream &out) const override
    {
        out << ledgerActionNames[static_cast<std::size_t>(m_action)] << '(' << m_first << ", " << m_second << ')';
    }

private:
    ledger_action m_action;
    unsigned m_first;
    unsigned m_second;
};

template<ledger_policy Policy>
auto generateLedgerCommand(const ledger_model &)
{
    using command = rc::state::Command<ledger_model, ledger_simulation<Policy>>;
    const auto action = rc::gen::weightedElement<ledger_action>({{14, ledger_action::request},
                                                                 {24, ledger_action::deliver},
                                                                 {24, ledger_action::flow},
                                                                 {8, ledger_action::lose},
                                                                 {4, ledger_action::timeOut},
                                                                 {2, ledger_action::refuseConnection},
                                                                 {3, ledger_action::duplicate},
                                                                 {2, ledger_action::crash},
                                                                 {6, ledger_action::restart},
                                                                 {3, ledger_action::pause},
                                                                 {6, ledger_action::resume},
                                                                 {4, ledger_action::hide},
                                                                 {4, ledger_action::show},
                                                                 {1, ledger_action::outage},
                                                                 {5, ledger_action::outageEnd},
                                                                 {12, ledger_action::advance},
                                                                 {3, ledger_action::settle}});
    // The fixed size gives the full range also in short sequences, which would else only pick the first message and agent.
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<unsigned>(0, 1U << 16));
    return rc::gen::map(rc::gen::tuple(action, number, number), [](const std::tuple<ledger_action, unsigned, unsigned> &parts) {
        return std::shared_ptr<const command>(
            std::make_shared<ledger_command<Policy>>(std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)));
    });
}

/// Runs one command sequence under the oracle, then ends all faults and checks the final state.
template<ledger_policy Policy>
void checkLedgerSequence(bool checksKeys)
{
    ledger_simulation<Policy> simulation(checksKeys);
    const auto commands = *rc::gen::scale(3.0, rc::state::gen::commands(ledger_model(), generateLedgerCommand<Policy>));
    rc::state::runAll(commands, ledger_model(), simulation);
    simulation.finish();
    RC_CLASSIFY(simulation.hasSuccess(), "booking succeeded");
    RC_CLASSIFY(simulation.wasLogged(log_event::shardLost), "owner fenced");
    RC_CLASSIFY(simulation.wasLogged(log_event::outcomeUnknown), "unknown outcome");
    RC_CLASSIFY(simulation.wasLogged(log_event::commitUncertain), "response to a commit lost");
    RC_CLASSIFY(simulation.wasLogged(log_event::outcomeSettled), "outcome settled");
    RC_CLASSIFY(simulation.hasSegment(), "segment sealed");
}

} // namespace nutmegtally::testing
