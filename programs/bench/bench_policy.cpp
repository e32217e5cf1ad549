// nutmegtally-bench policy: compares the placement policies in virtual time. Equal seeds give identical output.
#include "bench/bench_command.h"
#include "simulation/sim_load.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

struct site {
    std::string name;
    unsigned engines = 0;
    unsigned domains = 0;
    duration latency {0};
    duration clientLatency {0};
};

const std::vector<site> &sites()
{
    static const std::vector<site> list = {{"mauritius", 9, 3, 1500us, 3ms}, {"korea", 18, 4, 1ms, 1ms}};
    return list;
}

/// Reference policy: one cache shared by all engines, and the least loaded engine for each request.
const std::string idealPolicy = "ideal";

/// Parameters of one run.
struct run_plan {
    site location;
    std::string policy;
    bool churn = false;
    double load = 0.85;
    double surge = 1;
    std::uint64_t seed = 1;
    bool agentBound = true;
    duration warmUp {0};
    duration measured {0};
};

struct run_summary {
    load_result load;
    sim_counters counters;
    std::vector<float> skew; // sampled max/mean load of the serving engines, where the max exceeds the load floor
    std::vector<float> windowSkew; // the same, with loads averaged over 10 s
};

float quantile(std::vector<float> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

void scheduleChurn(sim_fleet &fleet, sim_load &load, const run_plan &plan)
{
    const auto at = [&](double share, sim_queue::action run) {
        fleet.queue().at(time_point(plan.warmUp) + std::chrono::duration_cast<duration>(plan.measured * share), std::move(run));
    };
    const auto restart = [&fleet, &load](unsigned engine) {
        load.ideal().evictEngine(engine);
        fleet.restartEngine(engine, 1s);
    };
    const auto flap = [&fleet, &load] {
        load.ideal().evictEngine(1);
        fleet.restartVm(1, 4s);
    };
    at(0.05, [restart] { restart(0); });
    at(0.15, [restart] { restart(2); });
    at(0.30, [&fleet, &load] {
        fleet.setDomainOpen(0, false);
        load.setClosure(true);
    });
    at(0.60, [&fleet, &load] {
        fleet.setDomainOpen(0, true);
        load.setClosure(false);
    });
    for (const double share : {0.75, 0.80, 0.85}) {
        at(share, flap);
    }
    at(0.90, [restart] { restart(2); });
}

class skew_sampler
{
public:
    skew_sampler(sim_fleet &fleet, run_summary &summary, double floor)
        : m_fleet(fleet)
        , m_summary(summary)
        , m_floor(floor)
    {
    }

    void start()
    {
        m_fleet.queue().after(100ms, [this] { sample(); });
    }

private:
    static double ratio(const std::vector<double> &loads, double floor)
    {
        double sum = 0;
        for (const double load : loads) {
            sum += load;
        }
        const double highest = loads.empty() ? 0 : *std::max_element(loads.begin(), loads.end());
        return highest > floor ? highest * static_cast<double>(loads.size()) / sum : 0;
    }

    void sample()
    {
        const std::vector<unsigned> now = m_fleet.loads();
        const std::vector<double> loads(now.begin(), now.end());
        if (const double value = ratio(loads, m_floor); value > 0) {
            m_summary.skew.push_back(static_cast<float>(value));
        }
        if (loads.size() != m_sums.size()) {
            m_sums.assign(loads.size(), 0); // the set of serving engines changed
            m_samples = 0;
        }
        for (std::size_t i = 0; i < loads.size(); ++i) {
            m_sums[i] += loads[i];
        }
        if (++m_samples == 100) {
            if (const double value = ratio(m_sums, m_floor * m_samples); value > 0) {
                m_summary.windowSkew.push_back(static_cast<float>(value));
            }
            m_sums.assign(loads.size(), 0);
            m_samples = 0;
        }
        start();
    }

    sim_fleet &m_fleet;
    run_summary &m_summary;
    double m_floor;
    std::vector<double> m_sums;
    unsigned m_samples = 0;
};

run_summary runPlan(const run_plan &plan)
{
    load_options load;
    load.seed = plan.seed;
    load.capacityShare = plan.load;
    load.engines = plan.location.engines;
    load.ramp = std::chrono::duration_cast<duration>(plan.warmUp * 0.6);
    load.surgeFactor = plan.surge;
    load.surgeStart = time_point(plan.warmUp);
    load.surgeEnd = time_point(plan.warmUp + plan.measured);

    sim_fleet_options options;
    options.seed = plan.seed;
    options.sharedCache = plan.policy == idealPolicy;
    options.policy = options.sharedCache ? "least_outstanding" : plan.policy;
    options.engines = plan.location.engines;
    options.domains = plan.location.domains;
    options.latency = plan.location.latency;
    options.clientLatency = plan.location.clientLatency;
    options.admission.enforceLoadBound = plan.agentBound;
    options.config = sim_load::makeConfig(load);

    sim_fleet fleet(options);
    sim_load source(fleet, load);
    run_summary summary;
    skew_sampler sampler(fleet, summary, options.admission.loadFloor);
    source.start();
    if (plan.churn) {
        scheduleChurn(fleet, source, plan);
    }
    fleet.queue().runUntil(time_point(plan.warmUp));
    fleet.resetCounters();
    source.setMeasuring(true);
    sampler.start();
    fleet.queue().runUntil(time_point(plan.warmUp + plan.measured));
    summary.load = source.result();
    summary.counters = fleet.counters();
    return summary;
}

json describeClass(const load_result::class_result &result)
{
    return {{"offered", result.offered},
            {"served", result.served},
            {"within_target", result.offered > 0 ? static_cast<double>(result.withinTarget) / static_cast<double>(result.offered) : 1.0},
            {"p50_ms", quantile(result.firstTokenMs, 0.5)},
            {"p95_ms", quantile(result.firstTokenMs, 0.95)},
            {"p99_ms", quantile(result.firstTokenMs, 0.99)}};
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

json describeRun(const run_plan &plan, const run_summary &summary)
{
    const load_result &load = summary.load;
    std::vector<float> all;
    std::vector<float> nonSurging;
    for (const auto &[account, values] : load.firstTokenMsByAccount) {
        all.insert(all.end(), values.begin(), values.end());
        if (account + 1 < load_options().accounts) {
            nonSurging.insert(nonSurging.end(), values.begin(), values.end());
        }
    }
    json out = {{"site", plan.location.name}, {"policy", plan.policy}, {"churn", plan.churn},           {"load", plan.load},
                {"surge", plan.surge},        {"seed", plan.seed},     {"agent_bound", plan.agentBound}};
    out["offered"] = load.offered;
    out["refusals"] = load.refusals;
    out["agent_refusals"] = summary.counters.agentRefusals;
    out["refused_share"] = share(load.refused, load.offered);
    out["failed_share"] = share(load.failed, load.offered);
    out["attempts_per_request"] = share(summary.counters.attempts, load.offered);
    out["reuse"] = share(load.cachedTokens, load.promptTokens);
    out["ideal_reuse"] = share(load.idealCachedTokens, load.promptTokens);
    out["reuse_of_ideal"] = share(load.cachedTokens, load.idealCachedTokens);
    out["p50_ms"] = quantile(all, 0.5);
    out["p95_ms"] = quantile(all, 0.95);
    out["p99_ms"] = quantile(all, 0.99);
    out["quiet_p95_ms"] = quantile(nonSurging, 0.95);
    out["skew_p50"] = quantile(summary.skew, 0.5);
    out["skew_p99"] = quantile(summary.skew, 0.99);
    out["skew_max"] = quantile(summary.skew, 1);
    out["skew_10s_max"] = quantile(summary.windowSkew, 1);
    out["admission_skew_p99"] = quantile(summary.counters.admissionSkew, 0.99);
    out["admission_skew_max"] = quantile(summary.counters.admissionSkew, 1);
    out["closed_starts"] = summary.counters.startsInClosedDomains;
    out["window_violations"] = summary.counters.windowViolations;
    out["cold_failures"] = summary.counters.coldFailures;
    for (const auto &[name, result] : load.classes) {
        out["classes"][name] = describeClass(result);
    }
    for (const auto &[name, result] : load.closureClasses) {
        out["closure"][name] = describeClass(result);
    }
    return out;
}

/// Runs the plans on several threads, each run on one thread. The results are in the order of the plans.
std::vector<json> runAll(const std::vector<run_plan> &plans, unsigned threads)
{
    std::vector<json> results(plans.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < plans.size(); index = next++) {
                results[index] = describeRun(plans[index], runPlan(plans[index]));
            }
        });
    }
    workers.clear();
    return results;
}

/// Runs that differ only in their seed: mean of the figures, and worst seed for figures with a limit.
struct policy_row {
    std::vector<const json *> runs;

    double mean(const char *key) const
    {
        double sum = 0;
        for (const json *run : runs) {
            sum += run->at(key).get<double>();
        }
        return sum / static_cast<double>(runs.size());
    }

    double worst(const char *key) const
    {
        double highest = 0;
        for (const json *run : runs) {
            highest = std::max(highest, run->at(key).get<double>());
        }
        return highest;
    }

    double within(const char *part, const char *name) const
    {
        double sum = 0;
        for (const json *run : runs) {
            sum += run->contains(part) ? run->at(part).at(name).at("within_target").get<double>() : 1.0;
        }
        return sum / static_cast<double>(runs.size());
    }
};

void printTable(const std::vector<json> &results, std::size_t seeds)
{
    std::puts(
        "site      churn load surge policy             reuse ofideal refused failed |  p50   p95   p99 ms | adm.skew p99  max  10s.max |"
        " within: quick draft  tag  closure.quick | closed cold window tries");
    for (std::size_t first = 0; first + seeds <= results.size(); first += seeds) {
        policy_row row;
        for (std::size_t i = first; i < first + seeds; ++i) {
            row.runs.push_back(&results[i]);
        }
        const json &head = results[first];
        std::printf("%-9s %-5s %4.2f %5.0f %-18s %5.3f   %5.3f   %5.3f  %5.3f | %5.0f %5.0f %5.0f    |         %5.2f %5.2f    %5.2f |"
                    "         %5.3f %5.3f %5.3f  %5.3f        | %6.0f %4.0f %6.0f %5.2f\n",
                    head.at("site").get<std::string>().c_str(), head.at("churn").get<bool>() ? "yes" : "no", head.at("load").get<double>(),
                    head.at("surge").get<double>(), head.at("policy").get<std::string>().c_str(), row.mean("reuse"),
                    row.mean("reuse_of_ideal"), row.mean("refused_share"), row.mean("failed_share"), row.mean("p50_ms"), row.mean("p95_ms"),
                    row.mean("p99_ms"), row.worst("admission_skew_p99"), row.worst("admission_skew_max"), row.worst("skew_10s_max"),
                    row.within("classes", "quick"), row.within("classes", "draft"), row.within("classes", "tag"),
                    row.within("closure", "quick"), row.worst("closed_starts"), row.worst("cold_failures"), row.worst("window_violations"),
                    row.mean("attempts_per_request"));
    }
}

struct benchmark_matrix {
    std::vector<std::string> siteNames;
    std::vector<std::string> policies;
    std::vector<std::string> churn;
    std::vector<double> loads;
    std::vector<double> surges;
    std::vector<std::uint64_t> seeds;
    bool agentBound = true;
    duration warmUp {0};
    duration measured {0};
};

std::vector<run_plan> makePlans(const benchmark_matrix &matrix)
{
    std::vector<run_plan> plans;
    for (const site &location : sites()) {
        if (std::find(matrix.siteNames.begin(), matrix.siteNames.end(), location.name) == matrix.siteNames.end()) {
            continue;
        }
        for (const std::string &churn : matrix.churn) {
            for (const double load : matrix.loads) {
                for (const double surge : matrix.surges) {
                    for (const std::string &policy : matrix.policies) {
                        for (const std::uint64_t seed : matrix.seeds) {
                            plans.push_back(
                                {location, policy, churn == "yes", load, surge, seed, matrix.agentBound, matrix.warmUp, matrix.measured});
                        }
                    }
                }
            }
        }
    }
    return plans;
}

template<typename T>
std::vector<T> orDefault(const std::vector<T> &values, std::vector<T> fallback)
{
    return values.empty() ? fallback : values;
}

int runPolicyBench(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Compares placement policies in virtual time", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> siteArg("", "site", "mauritius or korea; default both", false, "NAME", line);
    TCLAP::MultiArg<std::string> policyArg("", "policy", "policy; default all", false, "NAME", line);
    TCLAP::MultiArg<std::string> churnArg("", "churn", "yes or no; default both", false, "yes|no", line);
    TCLAP::MultiArg<double> loadArg("", "load", "share of capacity; default 0.6, 0.85 and 1.1", false, "SHARE", line);
    TCLAP::MultiArg<double> surgeArg("", "surge", "factor of the smallest account's rate; default 1", false, "FACTOR", line);
    TCLAP::MultiArg<std::uint64_t> seedArg("", "seed", "seed; default 1 to 5", false, "N", line);
    TCLAP::ValueArg<unsigned> secondsArg("", "seconds", "measured virtual time", false, 200, "S", line);
    TCLAP::ValueArg<unsigned> warmUpArg("", "warm-up", "virtual time before", false, 100, "S", line);
    TCLAP::ValueArg<unsigned> threadsArg("", "threads", "parallel runs", false, 4, "N", line);
    TCLAP::SwitchArg routerOnlyArg("", "router-limits-only", "agents do not enforce the load bound", line);
    TCLAP::SwitchArg jsonArg("", "json", "print JSON", line);
    line.parse(args);

    benchmark_matrix matrix;
    matrix.siteNames = orDefault(siteArg.getValue(), {"mauritius", "korea"});
    std::vector<std::string> policies = policyNames();
    policies.push_back(idealPolicy);
    matrix.policies = orDefault(policyArg.getValue(), policies);
    for (const std::string &policy : matrix.policies) {
        if (std::find(policies.begin(), policies.end(), policy) == policies.end()) {
            throw std::invalid_argument("no policy '" + policy + "'; leave out --policy to see all");
        }
    }
    matrix.churn = orDefault(churnArg.getValue(), {"no", "yes"});
    matrix.loads = orDefault(loadArg.getValue(), {0.6, 0.85, 1.1});
    matrix.surges = orDefault(surgeArg.getValue(), {1.0});
    matrix.seeds = orDefault(seedArg.getValue(), {1, 2, 3, 4, 5});
    matrix.agentBound = !routerOnlyArg.getValue();
    matrix.warmUp = std::chrono::seconds(warmUpArg.getValue());
    matrix.measured = std::chrono::seconds(secondsArg.getValue());
    const std::vector<json> results = runAll(makePlans(matrix), std::clamp(threadsArg.getValue(), 1U, 8U));
    if (jsonArg.getValue()) {
        std::cout << json(results).dump(1) << '\n';
    } else {
        printTable(results, matrix.seeds.size());
    }
    return 0;
}

const bench_command command("policy", "placement policies in virtual time", runPolicyBench);

} // namespace

} // namespace nutmegtally
