// The simulations that scenarios can run on.
#pragma once

#include "simulation/sim_scenario.h"

#include <memory>

namespace nutmegtally
{

/// "serving": placement, admission, retries, closed domains and draining, with routers, agents and engines.
std::unique_ptr<scenario_simulation> makeServingSimulation(scenario_settings &settings);

/// "control": dissemination of configuration and membership, watches, concurrent operators, network partitions.
std::unique_ptr<scenario_simulation> makeControlSimulation(scenario_settings &settings);

/// "ledger": bookings with group commit, shard take-over, paused owners and lost answers.
std::unique_ptr<scenario_simulation> makeLedgerSimulation(scenario_settings &settings);

} // namespace nutmegtally
