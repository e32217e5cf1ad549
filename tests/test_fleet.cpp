// Runs the fleet reducers in virtual time. Guards against a configuration that reverts or takes more than 3 s to
// arrive once the platform or a peer is reachable, and against upstreams that are lost because the VM list is wrong.
#include "daemon/daemon_fleet_simulation.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

using namespace nutmegtally;
using namespace std::chrono_literals;

namespace
{

constexpr duration acceptanceLimit = 3s; // time limit of invariant P9

nlohmann::json domainPatch(const std::string &state)
{
    return {{"domains", {{"domain-0", {{"region", "region-0"}, {"state", state}}}}}};
}

struct fleet_fixture {
    static fleet_simulation_options options()
    {
        fleet_simulation_options result;
        result.nodes = 24;
        result.domains = 4;
        result.regions = 2;
        result.loss = 0.01;
        return result;
    }

    /// Accepts version 1 at all processes.
    void acceptFirstVersion()
    {
        simulation.change(domainPatch("open"));
        simulation.runTo(10s);
        BOOST_REQUIRE(simulation.allNodesHaveVersion(1));
    }

    void checkAcceptedInTime(std::uint64_t version)
    {
        const duration taken = simulation.runUntilAllNodesHave(version, 20s);
        BOOST_TEST(taken.count() <= acceptanceLimit.count());
        BOOST_TEST(!simulation.hasVersionRegressed);
    }

    bool isWatcher(std::size_t index) const
    {
        return simulation.core(index).status(time_point(simulation.now())).isWatcher;
    }

    fleet_simulation simulation {options()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_suite, fleet_fixture)

BOOST_AUTO_TEST_CASE(fleet_platformDownAtStart_acceptsWithinLimitOnceReachable)
{
    simulation.change(domainPatch("open"));
    simulation.store.isDown = true;
    simulation.isVmListDown = true;
    simulation.runTo(20s);
    BOOST_TEST(simulation.core(0).config().version() == 0U);
    BOOST_TEST(!simulation.core(0).status(time_point(20s)).isReady);
    simulation.store.isDown = false;
    checkAcceptedInTime(1);
}

BOOST_AUTO_TEST_CASE(fleet_longOutageInTheMiddle_keepsVersionAndReportsStale)
{
    acceptFirstVersion();
    simulation.store.isDown = true;
    simulation.runFor(90s);
    BOOST_TEST(simulation.allNodesHaveVersion(1));
    BOOST_TEST(simulation.core(5).status(time_point(simulation.now())).isStale);
    simulation.store.isDown = false;
    const change_result result = simulation.change(domainPatch("closed"));
    checkAcceptedInTime(result.version);
    simulation.runFor(10s);
    BOOST_TEST(!simulation.core(5).status(time_point(simulation.now())).isStale);
}

BOOST_AUTO_TEST_CASE(fleet_watchesGoSilent_areReplacedInTime)
{
    acceptFirstVersion();
    simulation.areWatchesUnanswered = true;
    simulation.runFor(1s);
    const change_result result = simulation.change(domainPatch("closed"));
    simulation.runFor(100ms);
    simulation.areWatchesUnanswered = false;
    checkAcceptedInTime(result.version);
}

BOOST_AUTO_TEST_CASE(fleet_restartDuringOutage_getsConfigurationFromPeers)
{
    acceptFirstVersion();
    simulation.store.isDown = true;
    simulation.isVmListDown = true;
    simulation.stopNode(3);
    simulation.runFor(5s);
    simulation.startNode(3);
    checkAcceptedInTime(1);
    simulation.runFor(20s);
    BOOST_TEST(simulation.membersAgree());
    BOOST_TEST(simulation.core(3).members().members().size() == 24U);
}

BOOST_AUTO_TEST_CASE(fleet_allWatchersOfADomainGone_changeArrivesThroughOthers)
{
    acceptFirstVersion();
    for (std::size_t i = 0; i < 24; i += 4) {
        if (isWatcher(i)) {
            simulation.stopNode(i);
        }
    }
    const change_result result = simulation.change(domainPatch("closed"));
    checkAcceptedInTime(result.version);
}

BOOST_AUTO_TEST_CASE(fleet_allWatchersOfTheFleetGone_othersReadThePlatform)
{
    acceptFirstVersion();
    for (std::size_t i = 0; i < 24; ++i) {
        if (isWatcher(i)) {
            simulation.stopNode(i);
        }
    }
    const change_result result = simulation.change(domainPatch("closed"));
    simulation.runUntilAllNodesHave(result.version, 60s);
    BOOST_TEST(simulation.allNodesHaveVersion(result.version));
}

BOOST_AUTO_TEST_CASE(fleet_splitOfTwoRegions_healsToTheNewestVersion)
{
    acceptFirstVersion();
    simulation.areRegionsPartitioned = true;
    simulation.runFor(60s);
    const change_result result = simulation.change(domainPatch("closed"));
    checkAcceptedInTime(result.version); // both sides reach the platform
    // Now only one side gets a newer version, because no process reaches the platform.
    simulation.store.isDown = true;
    fleet_message message;
    message.kind = message_kind::push;
    message.sender = simulation.core(0).self().vm;
    message.configVersion = result.version + 1;
    config_change next;
    next.version = result.version + 1;
    next.nonce = "x";
    next.patch = domainPatch("open");
    message.changes.push_back(std::make_shared<const config_change>(next));
    simulation.deliver(4, message);
    simulation.runFor(10s);
    BOOST_TEST(!simulation.allNodesHaveVersion(next.version));
    simulation.areRegionsPartitioned = false;
    checkAcceptedInTime(next.version);
    simulation.runFor(30s);
    BOOST_TEST(simulation.membersAgree());
    for (std::size_t i = 0; i < 24; ++i) {
        const auto &members = simulation.core(i).members().members();
        BOOST_TEST(std::all_of(members.begin(), members.end(), [](const auto &entry) { return entry.second.isUsable(); }));
    }
}

BOOST_AUTO_TEST_CASE(fleet_latePeerOffersOldConfiguration_isNotApplied)
{
    acceptFirstVersion();
    const change_result result = simulation.change(domainPatch("closed"));
    checkAcceptedInTime(result.version);
    fleet_message old;
    old.kind = message_kind::push;
    old.sender = simulation.core(1).self().vm;
    old.configVersion = 1;
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->version = 1;
    old.snapshot = snapshot;
    simulation.deliver(0, old);
    BOOST_TEST(simulation.core(0).config().version() == result.version);
    BOOST_TEST(!simulation.hasVersionRegressed);
}

BOOST_AUTO_TEST_CASE(fleet_baseReplacedByRoll_laggingProcessCatchesUp)
{
    acceptFirstVersion();
    for (int i = 0; i < 70; ++i) {
        simulation.change(domainPatch(i % 2 == 0 ? "closed" : "open"));
    }
    checkAcceptedInTime(71);
    simulation.stopNode(2);
    simulation.runFor(1s);
    simulation.startNode(2);
    checkAcceptedInTime(71);
}

BOOST_AUTO_TEST_CASE(fleet_vmListMissingOrStale_losesNoUpstream)
{
    acceptFirstVersion();
    simulation.vms.clear();
    simulation.runFor(30s);
    simulation.isVmListDown = true;
    simulation.runFor(60s);
    for (std::size_t i = 0; i < 24; ++i) {
        const auto &members = simulation.core(i).members().members();
        BOOST_TEST(members.size() == 24U);
        BOOST_TEST(std::all_of(members.begin(), members.end(), [](const auto &entry) { return entry.second.isUsable(); }));
    }
}

BOOST_AUTO_TEST_CASE(fleet_leavingProcess_isKnownEverywhere)
{
    acceptFirstVersion();
    simulation.post(7, {});
    simulation.runFor(3s);
    const vm_id vm = simulation.core(7).self().vm;
    for (std::size_t i = 0; i < 24; ++i) {
        BOOST_TEST((simulation.core(i).members().find(vm)->record.state == upstream_state::leaving));
    }
}

BOOST_AUTO_TEST_CASE(fleet_listSaysLeaving_processLearnsIt)
{
    acceptFirstVersion();
    simulation.vms[9].leaving = true;
    simulation.runFor(15s);
    BOOST_TEST((simulation.core(9).self().state == upstream_state::leaving));
}

BOOST_AUTO_TEST_CASE(fleet_flappingProcess_isNoWatcherUntilItSettles)
{
    acceptFirstVersion();
    const auto watcher = std::find_if(simulation.vms.begin(), simulation.vms.end(),
                                      [&](const auto &vm) { return isWatcher(static_cast<std::size_t>(&vm - simulation.vms.data())); });
    const auto index = static_cast<std::size_t>(watcher - simulation.vms.begin());
    for (int i = 0; i < 6; ++i) {
        simulation.stopNode(index);
        simulation.runFor(1s);
        simulation.startNode(index);
        simulation.runFor(4s);
    }
    const std::size_t peer = (index + 4) % 24;
    const vm_id vm = simulation.core(index).self().vm;
    BOOST_TEST(simulation.core(peer).members().isFlapping(time_point(simulation.now()), vm));
    simulation.runFor(120s);
    BOOST_TEST(!simulation.core(peer).members().isFlapping(time_point(simulation.now()), vm));
}

BOOST_AUTO_TEST_SUITE_END()
