#include "simulation/sim_scenario_worlds.h"

namespace nutmegtally
{

const std::vector<scenario_world_entry> &scenarioWorlds()
{
    static const std::vector<scenario_world_entry> worlds
        = {{"serving", makeServingWorld}, {"control", makeControlWorld}, {"ledger", makeLedgerWorld}};
    return worlds;
}

} // namespace nutmegtally
