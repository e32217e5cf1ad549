// nutmegtally-bench decision: time of a routing decision and memory per engine, by pool size.
#include "bench/bench_command.h"

#include <nutmegtally/router_core.h>

#include <malloc.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

struct decision_cost {
    double meanMicros = 0; // per request: arrival with its decision, load report and finish
    double decisionMicros = 0; // request_arrived alone, median
    double decisionP99Micros = 0;
    double bytesPerEngine = 0; // heap growth per added engine
};

/// Bytes of heap in use. The resident set would not show growth into pages that were freed before.
double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

upstream_info describeEngine(unsigned number)
{
    upstream_info info;
    info.name = "engine-" + std::to_string(number);
    info.upstream = upstream_id::fromName(info.name);
    info.domain = domain_id::fromName("domain-" + std::to_string(number % 25));
    info.model = model_id::fromName("model");
    info.address = "10.0.0.1:8000";
    info.incarnation = 1;
    return info;
}

/// Sends requests through a core at 250 us of virtual time each; each answer carries a load report.
template<typename Policy>
decision_cost measure(unsigned engines, unsigned requests, std::uint64_t seed)
{
    decision_cost cost;
    router_options options;
    options.seed = seed;
    basic_router_core<Policy> core(options);
    std::vector<typename basic_router_core<Policy>::effect> effects;
    time_point now;
    const double before = allocatedBytes();
    for (unsigned i = 0; i < engines; ++i) {
        core.apply(now, router_event::upstream_changed {describeEngine(i)}, effects);
    }
    cost.bytesPerEngine = (allocatedBytes() - before) / engines;
    random_source random(seed);
    std::vector<std::string> tokens(4096);
    std::vector<float> samples;
    const auto start = clock::now();
    for (unsigned i = 0; i < requests; ++i) {
        now += std::chrono::microseconds(250);
        const std::size_t chat = random.below(tokens.size());
        request_info info;
        info.workClass = class_id::fromName("quick");
        info.chat = chat_id(mixHash(seed, chat) | 1U);
        info.model = model_id::fromName("model");
        info.promptTokens = 2000;
        info.token = tokens[chat];
        info.deadline = now + std::chrono::seconds(30);
        const request_id request(i + 1);
        const router_event::request_arrived arrived {request, std::move(info)};
        effects.clear();
        const auto decisionStart = clock::now();
        core.apply(now, arrived, effects);
        samples.push_back(std::chrono::duration<float, std::micro>(clock::now() - decisionStart).count());
        const auto &sent = std::get<router_effect::send_attempt>(effects.back());
        tokens[chat] = sent.nextToken;
        const attempt_ref attempt = sent.attempt;
        load_report report;
        report.incarnation = 1;
        report.running = static_cast<std::uint32_t>(10 + random.below(10));
        report.window = 64;
        report.prefillTokensPerSecond = 9000;
        core.apply(now, router_event::attempt_finished {attempt, report, 1800, 2000}, effects);
    }
    cost.meanMicros = std::chrono::duration<double, std::micro>(clock::now() - start).count() / requests;
    std::sort(samples.begin(), samples.end());
    cost.decisionMicros = samples[samples.size() / 2];
    cost.decisionP99Micros = samples[samples.size() * 99 / 100];
    return cost;
}

template<typename Policy>
void add(json &rows, const std::vector<unsigned> &sizes, unsigned requests, std::uint64_t seed)
{
    for (const unsigned engines : sizes) {
        const decision_cost cost = measure<Policy>(engines, requests, seed);
        rows.push_back({{"policy", std::string(Policy::name)},
                        {"engines", engines},
                        {"decision_p50_us", cost.decisionMicros},
                        {"decision_p99_us", cost.decisionP99Micros},
                        {"request_mean_us", cost.meanMicros},
                        {"bytes_per_engine", cost.bytesPerEngine}});
    }
}

int runDecisionBench(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Measures the cost of a routing decision on this machine", ' ', "0.1.0");
    TCLAP::MultiArg<unsigned> sizeArg("", "engines", "pool size; default 18, 180 and 3500", false, "N", line);
    TCLAP::ValueArg<unsigned> requestsArg("", "requests", "decisions per size", false, 20'000, "N", line);
    TCLAP::ValueArg<std::uint64_t> seedArg("", "seed", "seed", false, 1, "N", line);
    TCLAP::SwitchArg jsonArg("", "json", "print JSON", line);
    line.parse(args);
    const std::vector<unsigned> sizes = sizeArg.getValue().empty() ? std::vector<unsigned> {18, 180, 3500} : sizeArg.getValue();
    const unsigned requests = std::clamp(requestsArg.getValue(), 100U, 10'000'000U);
    json rows = json::array();
    add<affinity_policy>(rows, sizes, requests, seedArg.getValue());
    add<bounded_rendezvous_policy>(rows, sizes, requests, seedArg.getValue());
    add<consistent_hash_policy>(rows, sizes, requests, seedArg.getValue());
    add<power_of_two_policy>(rows, sizes, requests, seedArg.getValue());
    if (jsonArg.getValue()) {
        std::cout << rows.dump(1) << '\n';
        return 0;
    }
    std::puts("policy              engines  decision p50    p99 us  request mean us  bytes/engine");
    for (const json &row : rows) {
        std::printf("%-18s %8u %13.2f %9.2f %16.2f %13.0f\n", row.at("policy").get<std::string>().c_str(),
                    row.at("engines").get<unsigned>(), row.at("decision_p50_us").get<double>(), row.at("decision_p99_us").get<double>(),
                    row.at("request_mean_us").get<double>(), row.at("bytes_per_engine").get<double>());
    }
    return 0;
}

const bench_command command("decision", "cost of a routing decision and memory per engine", runDecisionBench);

} // namespace

} // namespace nutmegtally
