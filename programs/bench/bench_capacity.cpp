// nutmegtally-bench capacity: memory and CPU time of each role at several sizes, with a line fitted through them and its
// value at the planned size. docs/CAPACITY.md quotes its output.
#include "bench/bench_command.h"
#include "daemon/daemon_fleet_simulation.h"

#include <nutmegtally/admission.h>
#include <nutmegtally/ledger.h>
#include <nutmegtally/router_core.h>

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <ctime>
#include <functional>
#include <iostream>
#include <map>

namespace nutmegtally
{

namespace
{

/// Size of the planned fleet.
struct planned_size {
    double agents = 3500;
    double routers = 370;
    double models = 5;
    double accounts = 740;
    double domains = 25;
    double requestsPerSecond = 4400;
    double streamsPerRouter = 177; // 4,400 requests/s of 14.8 s (477 tokens at 31 ms) over 370 routers
    double changesPerSecond = 8600.0 / 86400.0;
    double bookingsPerSecond = 400;
    double ledgerHorizonSeconds = 3600;
    double ledgerShards = 32;
};

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// One quantity at several sizes.
struct series {
    std::string name;
    std::string unit;
    std::string per; // what the sizes count
    std::vector<std::pair<double, double>> points; // (size, value)
};

struct line_fit {
    double slope = 0;
    double offset = 0;

    double at(double size) const
    {
        return offset + slope * size;
    }
};

/// Least-squares fit through the points.
line_fit fitLine(const series &input)
{
    double n = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : input.points) {
        n += 1;
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    line_fit fit;
    fit.slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    fit.offset = (sumY - fit.slope * sumX) / n;
    return fit;
}

nlohmann::json configDocument(std::size_t accounts)
{
    nlohmann::json document = {{"version", 1}};
    for (int i = 0; i < 5; ++i) {
        const std::string model = "model-" + std::to_string(i);
        document["models"][model] = nlohmann::json::object();
        document["classes"]["quick-" + std::to_string(i)]
            = {{"model", model}, {"priority", 0}, {"firstTokenMs", 570}, {"betweenTokensMs", 31}};
    }
    for (int i = 0; i < 25; ++i) {
        document["domains"]["domain-" + std::to_string(i)] = {{"region", "region-" + std::to_string(i % 8)}};
    }
    for (std::size_t i = 0; i < accounts; ++i) {
        document["accounts"]["account-" + std::to_string(i)] = {{"keyHashes", {std::string(64, 'a')}}, {"share", 1.0}};
    }
    return document;
}

fleet_config_ptr makeConfig(std::size_t accounts)
{
    return std::make_shared<const fleet_config>(parseFleetConfig(configDocument(accounts)));
}

upstream_info makeUpstream(std::size_t index)
{
    upstream_info info;
    info.name = "engine-" + std::to_string(index);
    info.upstream = upstream_id::fromName(info.name);
    info.domain = domain_id::fromName("domain-" + std::to_string(index % 25));
    info.model = model_id::fromName("model-0");
    info.address = "10.0.0.1:7000";
    info.incarnation = 1;
    return info;
}

load_report makeReport(std::size_t index)
{
    load_report report;
    report.incarnation = 1;
    report.running = static_cast<std::uint32_t>(10 + index % 5);
    report.window = 64;
    report.prefillTokensPerSecond = 8000;
    return report;
}

request_info makeRequest(std::size_t index, time_point now)
{
    request_info info;
    info.workClass = class_id::fromName("quick-0");
    info.account = account_id::fromName("account-" + std::to_string(index % 740));
    info.chat = chat_id(index + 1);
    info.model = model_id::fromName("model-0");
    info.promptTokens = 2000;
    info.deadline = now + std::chrono::seconds(60);
    return info;
}

/// Router core with a number of upstreams, driven through arrival, start and finish of requests.
class router_fixture
{
public:
    explicit router_fixture(std::size_t upstreams)
        : m_core(router_options())
    {
        post(router_event::config_changed {makeConfig(740)});
        for (std::size_t i = 0; i < upstreams; ++i) {
            post(router_event::upstream_changed {makeUpstream(i)});
            post(router_event::load_reported {makeUpstream(i).upstream, makeReport(i)});
        }
    }

    void arrive(std::size_t index)
    {
        m_now += std::chrono::microseconds(100);
        post(router_event::request_arrived {request_id(index + 1), makeRequest(index, m_now)});
    }

    void finish(std::size_t index)
    {
        const attempt_ref attempt {request_id(index + 1), 1};
        post(router_event::attempt_started {attempt, makeReport(index)});
        post(router_event::attempt_finished {attempt, makeReport(index), 1000, 2000});
    }

private:
    void post(const router_core::event &event)
    {
        m_effects.clear();
        m_core.apply(m_now, event, m_effects);
    }

    router_core m_core;
    time_point m_now;
    std::vector<router_core::effect> m_effects;
};

void measureRouter(std::vector<series> &out)
{
    series memory {"router: state by known engines", "bytes", "engine", {}};
    series time {"router: processor time of a request", "us", "engine", {}};
    for (const std::size_t upstreams : {18U, 180U, 700U, 3500U}) {
        const double before = allocatedBytes();
        auto fixture = std::make_unique<router_fixture>(upstreams);
        memory.points.emplace_back(static_cast<double>(upstreams), allocatedBytes() - before);
        constexpr std::size_t requests = 20'000;
        const double start = cpuSeconds();
        for (std::size_t i = 0; i < requests; ++i) {
            fixture->arrive(i);
            fixture->finish(i);
        }
        time.points.emplace_back(static_cast<double>(upstreams), (cpuSeconds() - start) * 1e6 / static_cast<double>(requests));
    }
    out.push_back(memory);
    out.push_back(time);

    series inFlight {"router: state by requests in flight", "bytes", "request", {}};
    for (const std::size_t requests : {100U, 200U, 400U, 800U}) {
        router_fixture fixture(700);
        const double before = allocatedBytes();
        for (std::size_t i = 0; i < requests; ++i) {
            fixture.arrive(i);
        }
        inFlight.points.emplace_back(static_cast<double>(requests), allocatedBytes() - before);
    }
    out.push_back(inFlight);
}

void measureAdmission(std::vector<series> &out)
{
    series memory {"agent: admission state by requests running or queued", "bytes", "request", {}};
    series time {"agent: processor time of a request's admission", "us", "request", {}};
    for (const std::size_t requests : {64U, 256U, 1024U}) {
        admission_options options;
        options.initialWindow = 4096; // large enough that no request is refused
        options.maxWindow = 4096;
        options.loadFloor = 4096;
        admission_core core(options);
        std::vector<admission_core::effect> effects;
        time_point now;
        core.apply(now, admission_event::config_changed {makeConfig(740)}, effects);
        const double before = allocatedBytes();
        const auto request = [&](std::size_t i) {
            effects.clear();
            now += std::chrono::microseconds(100);
            const attempt_ref attempt {request_id(i + 1), 1};
            core.apply(now, admission_event::work_offered {attempt, makeRequest(i, now), {}, 1000}, effects);
            // Without a first token the next request would be refused, because its target could not be met.
            core.apply(now, admission_event::first_token {attempt}, effects);
        };
        for (std::size_t i = 0; i < requests; ++i) {
            request(i);
        }
        effects = {};
        if (const load_report report = core.report(now); report.running + report.queued != requests) {
            throw std::logic_error("admission accepted " + std::to_string(report.running + report.queued) + " of "
                                   + std::to_string(requests));
        }
        memory.points.emplace_back(static_cast<double>(requests), allocatedBytes() - before);
        constexpr std::size_t rounds = 5'000;
        const double start = cpuSeconds();
        for (std::size_t i = requests; i < requests + rounds; ++i) {
            const attempt_ref oldest {request_id(i - requests + 1), 1};
            core.apply(now, admission_event::work_finished {oldest, true, 400}, effects);
            request(i);
        }
        time.points.emplace_back(static_cast<double>(requests), (cpuSeconds() - start) * 1e6 / static_cast<double>(rounds));
    }
    out.push_back(memory);
    out.push_back(time);
}

void measureConfig(std::vector<series> &out)
{
    series memory {"every process: configuration by client accounts", "bytes", "account", {}};
    series time {"every process: processor time of a configuration change", "us", "account", {}};
    for (const std::size_t accounts : {74U, 370U, 740U}) {
        config_snapshot snapshot {1, configDocument(accounts)};
        snapshot.document.erase("version");
        const double before = allocatedBytes();
        auto replica = std::make_unique<config_replica>();
        replica->apply(snapshot);
        std::vector<config_fault> faults;
        fleet_config_ptr config = buildConfig(*replica->snapshot(), faults);
        memory.points.emplace_back(static_cast<double>(accounts), allocatedBytes() - before);
        constexpr std::uint64_t changes = 50;
        const double start = cpuSeconds();
        for (std::uint64_t i = 0; i < changes; ++i) {
            auto change = std::make_shared<config_change>();
            change->version = i + 2;
            change->patch = {{"accounts", {{"account-1", {{"share", 1.0 + static_cast<double>(i)}}}}}};
            replica->apply({change});
            config = buildConfig(*replica->snapshot(), faults);
        }
        time.points.emplace_back(static_cast<double>(accounts), (cpuSeconds() - start) * 1e6 / static_cast<double>(changes));
    }
    out.push_back(memory);
    out.push_back(time);
}

void measureMembership(std::vector<series> &out)
{
    series memory {"every process: membership by processes", "bytes", "process", {}};
    series time {"every process: processor time to compare domain digests", "us", "process", {}};
    for (const std::size_t processes : {387U, 1290U, 3870U}) {
        const double before = allocatedBytes();
        auto members = std::make_unique<membership>();
        for (std::size_t i = 0; i < processes; ++i) {
            member_record record;
            record.name = "vm-" + std::to_string(i);
            record.vm = vm_id::fromName(record.name);
            record.role = "agent";
            record.domain = "domain-" + std::to_string(i % 25);
            record.region = "region-" + std::to_string(i % 8);
            record.upstream = "engine-" + std::to_string(i);
            record.model = "model-" + std::to_string(i % 5);
            record.address = "10.100.100.100:7000";
            record.incarnation = 1;
            members->merge(time_point(), record);
        }
        memory.points.emplace_back(static_cast<double>(processes), allocatedBytes() - before);
        constexpr std::size_t rounds = 1'000;
        std::size_t differing = 0;
        const double start = cpuSeconds();
        for (std::size_t i = 0; i < rounds; ++i) {
            differing += members->differingDomains(members->domainDigests()).size();
        }
        time.points.emplace_back(static_cast<double>(processes), (cpuSeconds() - start) * 1e6 / static_cast<double>(rounds));
        if (differing != 0) {
            throw std::logic_error("equal views have different digests");
        }
    }
    out.push_back(memory);
    out.push_back(time);
}

void measureDissemination(std::vector<series> &out)
{
    series bytes {"every process: control bytes a second, quiet", "bytes/s", "process", {}};
    series busy {"every process: control bytes a second, planned change rate", "bytes/s", "process", {}};
    series cpu {"every process: processor time a second, planned change rate", "us/s", "process", {}};
    for (const std::size_t nodes : {100U, 200U, 400U, 800U}) { // at 50, every process would be a watcher
        fleet_simulation_options options;
        options.nodes = nodes;
        options.domains = 25;
        options.regions = 8;
        options.loss = 0.01;
        fleet_simulation simulation(options);
        simulation.change({{"models", {{"model-0", nlohmann::json::object()}}}});
        simulation.runTo(std::chrono::seconds(20));
        const auto total = [&] {
            double sum = 0;
            for (std::size_t i = 0; i < nodes; ++i) {
                sum += static_cast<double>(simulation.bytesOf(i));
            }
            return sum;
        };
        constexpr int seconds = 60;
        const double count = static_cast<double>(nodes) * seconds;
        const double first = total();
        simulation.runFor(std::chrono::seconds(seconds));
        const double second = total();
        const double start = cpuSeconds();
        for (int i = 0; i < seconds / 10; ++i) {
            simulation.change({{"models", {{"model-0", {{"maxContextTokens", 1000 + i}}}}}});
            simulation.runFor(std::chrono::seconds(10));
        }
        bytes.points.emplace_back(static_cast<double>(nodes), (second - first) / count);
        busy.points.emplace_back(static_cast<double>(nodes), (total() - second) / count);
        cpu.points.emplace_back(static_cast<double>(nodes), (cpuSeconds() - start) * 1e6 / count);
    }
    out.push_back(bytes);
    out.push_back(busy);
    out.push_back(cpu);
}

/// Ledger core over an in-memory object API whose calls succeed immediately.
class ledger_fixture
{
public:
    ledger_fixture()
        : m_core(options())
    {
        post(ledger_event::owner_view_changed {{upstream_id::fromName("service-1")}});
    }

    void book(std::uint64_t index)
    {
        m_now += std::chrono::milliseconds(250); // longer than the commit interval, so that each booking is committed at once
        m_wall += std::chrono::milliseconds(250);
        post(ledger_event::tick {m_wall});
        ledger_event::booking_requested request;
        request.attempt = {request_id(index + 1), 1};
        request.key = idempotency_key::make(m_wall, index * 7919 + 1, index * 104729 + 3).toText();
        request.requestHash = index;
        request.deadline = m_now + std::chrono::seconds(10);
        request.wallNow = m_wall;
        post(request);
        m_now += std::chrono::milliseconds(250);
        post(ledger_event::tick {m_wall});
    }

    std::size_t entries() const
    {
        return m_core.counts().entries;
    }

private:
    static ledger_options options()
    {
        ledger_options options;
        options.service = "booking-app";
        options.self = "service-1";
        options.shards = 1;
        options.horizon = std::chrono::hours(24);
        return options;
    }

    void post(const ledger_core::event &event)
    {
        std::vector<ledger_core::effect> effects;
        m_core.apply(m_now, event, effects);
        for (const ledger_core::effect &effect : effects) {
            execute(effect);
        }
    }

    void execute(const ledger_core::effect &effect)
    {
        if (const auto *read = std::get_if<ledger_effect::read_object>(&effect)) {
            const auto found = m_objects.find(read->name);
            ledger_event::object_read result;
            result.operation = read->operation;
            result.status = found == m_objects.end() ? object_status::missing : object_status::ok;
            if (found != m_objects.end()) {
                result.value = found->second.second;
                result.version = std::to_string(found->second.first);
            }
            post(result);
        } else if (const auto *write = std::get_if<ledger_effect::write_object>(&effect)) {
            auto &[version, value] = m_objects[write->name];
            ++version;
            value = write->value;
            post(ledger_event::object_written {write->operation, object_status::ok, std::to_string(version)});
        } else if (const auto *run = std::get_if<ledger_effect::run_request>(&effect)) {
            post(ledger_event::service_answered {run->claim, 201, "application/json", R"({"booking":"confirmed","crew":"7"})"});
        }
    }

    ledger_core m_core;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_objects;
    time_point m_now;
    wall_time m_wall {std::chrono::hours(24 * 365 * 50)};
};

void measureLedger(std::vector<series> &out)
{
    series memory {"ledger owner: state by entries kept", "bytes", "entry", {}};
    series time {"ledger owner: processor time of a booking", "us", "entry", {}};
    for (const std::size_t bookings : {1000U, 4000U, 16000U}) {
        ledger_fixture fixture;
        fixture.book(0);
        const double before = allocatedBytes();
        const double start = cpuSeconds();
        for (std::size_t i = 1; i <= bookings; ++i) {
            fixture.book(i);
        }
        time.points.emplace_back(static_cast<double>(bookings), (cpuSeconds() - start) * 1e6 / static_cast<double>(bookings));
        memory.points.emplace_back(static_cast<double>(bookings), allocatedBytes() - before);
        if (fixture.entries() < bookings) {
            throw std::logic_error("the ledger kept fewer entries than bookings");
        }
    }
    out.push_back(memory);
    out.push_back(time);
}

/// @return Planned size of a series, by what it counts.
double plannedCount(const series &input, const planned_size &planned)
{
    static const std::map<std::string, std::function<double(const planned_size &)>> counts = {
        {"engine", [](const planned_size &p) { return p.agents / p.models; }},
        {"account", [](const planned_size &p) { return p.accounts; }},
        {"process", [](const planned_size &p) { return p.agents + p.routers; }},
        {"entry", [](const planned_size &p) { return p.bookingsPerSecond * p.ledgerHorizonSeconds / p.ledgerShards; }},
    };
    if (input.per == "request") {
        const bool isRouter = input.name.starts_with("router");
        return isRouter ? planned.streamsPerRouter : planned.streamsPerRouter * planned.routers / planned.agents;
    }
    return counts.at(input.per)(planned);
}

int runCapacity(std::vector<std::string> args)
{
    TCLAP::CmdLine line("Memory and processor slopes of each role, and the figures at the planned size", ' ', "0.1.0");
    TCLAP::SwitchArg asJson("", "json", "print JSON", line);
    line.setExceptionHandling(false);
    line.parse(args);
    std::vector<series> all;
    measureRouter(all);
    measureAdmission(all);
    measureConfig(all);
    measureMembership(all);
    measureDissemination(all);
    measureLedger(all);
    const planned_size planned;
    nlohmann::json rows = nlohmann::json::array();
    for (const series &entry : all) {
        const line_fit fit = fitLine(entry);
        const double count = plannedCount(entry, planned);
        rows.push_back({{"name", entry.name},
                        {"unit", entry.unit},
                        {"per", entry.per},
                        {"points", entry.points},
                        {"slope", fit.slope},
                        {"offset", fit.offset},
                        {"planned_count", count},
                        {"planned", fit.at(count)}});
    }
    if (asJson.getValue()) {
        std::cout << rows.dump(2) << '\n';
        return 0;
    }
    for (const nlohmann::json &row : rows) {
        std::cout << fmt::format("{}\n    ", row["name"].get<std::string>());
        for (const nlohmann::json &point : row["points"]) {
            std::cout << fmt::format("{:.0f}: {:.1f}   ", point[0].get<double>(), point[1].get<double>());
        }
        std::cout << fmt::format("{}\n    slope {:.3f} {} per {}, at {:.0f}: {:.1f}\n", row["unit"].get<std::string>(),
                                 row["slope"].get<double>(), row["unit"].get<std::string>(), row["per"].get<std::string>(),
                                 row["planned_count"].get<double>(), row["planned"].get<double>());
    }
    return 0;
}

const bench_command capacity("capacity", "memory and processor slopes, and the figures at the planned size", runCapacity);

} // namespace

} // namespace nutmegtally
