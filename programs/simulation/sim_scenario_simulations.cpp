#include "simulation/sim_scenario_simulations.h"

namespace nutmegtally
{

const std::vector<scenario_simulation_entry> &scenarioSimulations()
{
    static const std::vector<scenario_simulation_entry> simulations
        = {{"serving", makeServingSimulation}, {"control", makeControlSimulation}, {"ledger", makeLedgerSimulation}};
    return simulations;
}

} // namespace nutmegtally
