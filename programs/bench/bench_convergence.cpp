// nutmegtally-bench convergence: propagation of configuration changes by each dissemination mode, with the production
// fleet reducers in virtual time.
#include "bench/bench_command.h"
#include "daemon/daemon_fleet_simulation.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <numeric>

namespace nutmegtally
{

namespace
{

struct convergence_case {
    std::size_t nodes = 12;
    std::size_t domains = 4;
    std::size_t regions = 1;
    double loss = 0.01;
    dissemination_mode mode = dissemination_mode::push;
};

struct convergence_figures {
    double medianMs = 0; // time until a change reaches the last node, median over the changes
    double maxMs = 0;
    std::size_t missed = 0; // changes that did not reach every node before the next change
    double duplicatesPerChange = 0;
    double bytesPerNodeSecond = 0; // sent and received, at one change every 10 s
    double bytesMaxNode = 0;
};

convergence_figures measure(const convergence_case &setup, std::size_t changes, std::size_t seeds, std::size_t fanout)
{
    constexpr duration warmUp = std::chrono::seconds(20);
    constexpr duration changeInterval = std::chrono::seconds(10);
    std::vector<double> times;
    convergence_figures figures;
    double duplicates = 0;
    double bytes = 0;
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        fleet_simulation_options options;
        options.nodes = setup.nodes;
        options.domains = setup.domains;
        options.regions = setup.regions;
        options.loss = setup.loss;
        options.seed = seed;
        options.fleet.mode = setup.mode;
        options.fleet.fanout = fanout;
        fleet_simulation simulation(options);
        simulation.change({{"models", {{"tally-llm", nlohmann::json::object()}}}});
        simulation.runTo(warmUp);
        std::vector<std::uint64_t> bytesBefore;
        for (std::size_t i = 0; i < setup.nodes; ++i) {
            bytesBefore.push_back(simulation.bytesOf(i));
        }
        const std::uint64_t duplicatesBefore = simulation.duplicates();
        for (std::size_t i = 0; i < changes; ++i) {
            const duration start = simulation.now();
            const std::string domain = "domain-" + std::to_string(i % setup.domains);
            const char *state = i % 2 == 0 ? "closed" : "open";
            const change_result result
                = simulation.change({{"domains", {{domain, {{"region", "region-0"}, {"state", state}, {"reason", "maintenance"}}}}}});
            const duration taken = simulation.runUntilAllNodesHave(result.version, changeInterval);
            figures.missed += simulation.allNodesHaveVersion(result.version) ? 0 : 1;
            times.push_back(static_cast<double>(taken.count()) / 1000.0);
            simulation.runTo(start + changeInterval);
        }
        const double seconds = std::chrono::duration<double>(changeInterval).count() * static_cast<double>(changes);
        duplicates += static_cast<double>(simulation.duplicates() - duplicatesBefore);
        for (std::size_t i = 0; i < setup.nodes; ++i) {
            const double rate = static_cast<double>(simulation.bytesOf(i) - bytesBefore[i]) / seconds;
            bytes += rate;
            figures.bytesMaxNode = std::max(figures.bytesMaxNode, rate);
        }
    }
    std::sort(times.begin(), times.end());
    figures.medianMs = times[times.size() / 2];
    figures.maxMs = times.back();
    figures.duplicatesPerChange = duplicates / static_cast<double>(changes * seeds);
    figures.bytesPerNodeSecond = bytes / static_cast<double>(setup.nodes * seeds);
    return figures;
}

nlohmann::json toJson(const convergence_case &setup, const convergence_figures &figures)
{
    return {{"nodes", setup.nodes},
            {"loss", setup.loss},
            {"mode", disseminationModeNames[static_cast<std::size_t>(setup.mode)]},
            {"last_node_median_ms", figures.medianMs},
            {"last_node_max_ms", figures.maxMs},
            {"missed", figures.missed},
            {"duplicates_per_change", figures.duplicatesPerChange},
            {"bytes_per_node_second", figures.bytesPerNodeSecond},
            {"bytes_per_second_max_node", figures.bytesMaxNode}};
}

std::string toRow(const convergence_case &setup, const convergence_figures &figures)
{
    return fmt::format("{:>5}  {:>4.0f}%  {:<15}  {:>10.0f}  {:>8.0f}  {:>6}  {:>10.1f}  {:>10.0f}  {:>8.0f}\n", setup.nodes,
                       setup.loss * 100, disseminationModeNames[static_cast<std::size_t>(setup.mode)], figures.medianMs, figures.maxMs,
                       figures.missed, figures.duplicatesPerChange, figures.bytesPerNodeSecond, figures.bytesMaxNode);
}

int runConvergence(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Time, duplicates and bytes until a configuration change is in force at the last node", ' ', "0.1.0");
    TCLAP::ValueArg<std::size_t> changes("", "changes", "changes per run", false, 20, "count", line);
    TCLAP::ValueArg<std::size_t> seeds("", "seeds", "runs with different seeds", false, 3, "count", line);
    TCLAP::ValueArg<std::size_t> maxNodes("", "max-nodes", "leave out larger fleets", false, 400, "count", line);
    TCLAP::ValueArg<std::size_t> minNodes("", "min-nodes", "leave out smaller fleets", false, 0, "count", line);
    TCLAP::ValueArg<double> minLoss("", "min-loss", "leave out lower loss", false, 0, "share", line);
    TCLAP::ValueArg<std::size_t> fanout("", "fanout", "peers that a process pushes a change to", false, fleet_options().fanout, "count",
                                        line);
    TCLAP::SwitchArg asJson("", "json", "print JSON", line);
    line.setExceptionHandling(false);
    line.parse(args);
    if (!asJson.getValue()) {
        std::cout << "nodes  loss  mode             median_ms    max_ms  missed  duplicates  B/node/s    max_B/s\n";
    }
    nlohmann::json rows = nlohmann::json::array();
    const std::vector<convergence_case> sizes = {{12, 4, 1}, {100, 8, 2}, {400, 25, 8}};
    for (const convergence_case &size : sizes) {
        for (const double loss : {0.01, 0.10}) {
            for (std::size_t mode = 0; mode < static_cast<std::size_t>(dissemination_mode::count); ++mode) {
                if (size.nodes > maxNodes.getValue() || size.nodes < minNodes.getValue() || loss < minLoss.getValue()) {
                    continue;
                }
                convergence_case setup = size;
                setup.loss = loss;
                setup.mode = static_cast<dissemination_mode>(mode);
                const convergence_figures figures = measure(setup, changes.getValue(), seeds.getValue(), fanout.getValue());
                rows.push_back(toJson(setup, figures));
                if (!asJson.getValue()) {
                    std::cout << toRow(setup, figures) << std::flush;
                }
            }
        }
    }
    if (asJson.getValue()) {
        std::cout << rows.dump(2) << '\n';
    }
    return 0;
}

const bench_command convergence("convergence", "spread of configuration changes with loss, in virtual time", runConvergence);

} // namespace

} // namespace nutmegtally
