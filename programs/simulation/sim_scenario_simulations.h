// The drivers that scenarios run on.
#pragma once

#include "simulation/sim_scenario.h"

#include <memory>

namespace nutmegtally
{

/// Routers and agents: placement, admission, retries, closed domains, draining.
std::unique_ptr<scenario_simulation> makeServingSimulation(scenario_settings &settings);

/// Configuration and membership: dissemination, watches, operators that race, splits.
std::unique_ptr<scenario_simulation> makeControlSimulation(scenario_settings &settings);

/// Bookings: group commit, take-over, paused owners, lost answers.
std::unique_ptr<scenario_simulation> makeLedgerSimulation(scenario_settings &settings);

} // namespace nutmegtally
