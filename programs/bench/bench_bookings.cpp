// nutmegtally-bench bookings: object API calls per booking and latency added by the ledger at several rates. Runs the
// production ledger cores in virtual time over a platform and a service with fixed response times.
#include "bench/bench_command.h"
#include "simulation/sim_queue.h"

#include <nutmegtally/ledger.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>

namespace nutmegtally
{

namespace
{

using namespace std::chrono_literals;

struct bookings_options {
    unsigned shards = 32;
    unsigned agents = 8;
    unsigned burst = 1;
    double rate = 1; // bookings per second
    duration length = 60s;
    duration platformDelay = 5ms;
    duration serviceTime = 50ms;
    std::uint64_t seed = 1;
};

struct bookings_result {
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::uint64_t writes = 0; // of heads and segments
    std::uint64_t reads = 0;
    std::uint64_t segments = 0;
    std::uint64_t bytes = 0; // written to the object API
    std::vector<double> addedMs; // sorted; time to the answer minus the time of the service
};

/// One run in virtual time. It continues 30 s after the last arrival, so that all bookings are answered.
class bookings_run
{
public:
    explicit bookings_run(const bookings_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (unsigned i = 0; i < options.agents; ++i) {
            ledger_options ledger;
            ledger.service = "booking-app";
            ledger.self = "agent-" + std::to_string(i);
            ledger.shards = options.shards;
            ledger.commitBurst = options.burst;
            ledger.nonceSeed = options.seed * 1000 + i;
            m_cores.push_back(std::make_unique<ledger_core>(std::move(ledger)));
        }
    }

    bookings_result run()
    {
        for (unsigned agent = 0; agent < m_options.agents; ++agent) {
            scheduleTick(agent);
        }
        scheduleArrivals();
        m_queue.runUntil(time_point(m_options.length + 30s));
        std::sort(m_result.addedMs.begin(), m_result.addedMs.end());
        return m_result;
    }

private:
    static constexpr duration tickInterval = 5ms;

    wall_time wall() const
    {
        return wall_time(1'780'000'000'000ms) + std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now().time_since_epoch());
    }

    void scheduleTick(unsigned agent)
    {
        m_queue.after(tickInterval, [this, agent] {
            post(agent, ledger_event::tick {wall()});
            if (m_queue.now() < time_point(m_options.length + 10s)) {
                scheduleTick(agent);
            }
        });
    }

    void scheduleArrivals()
    {
        std::exponential_distribution<double> gap(m_options.rate);
        double seconds = 0;
        for (std::uint64_t id = 1;; ++id) {
            seconds += gap(m_random);
            const auto when = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
            if (when >= m_options.length) {
                return;
            }
            m_queue.after(when, [this, id] { arrive(id); });
        }
    }

    void arrive(std::uint64_t id)
    {
        const idempotency_key key = idempotency_key::make(wall(), m_random(), m_random());
        const unsigned agent = key.shard(m_options.shards) % m_options.agents;
        m_arrivals[id] = m_queue.now();
        post(agent, ledger_event::booking_requested {{request_id(id), 1}, key.toText(), id, m_queue.now() + 10s, wall()});
    }

    void post(unsigned agent, const ledger_event_type &event)
    {
        std::vector<ledger_effect_type> effects;
        m_cores[agent]->apply(m_queue.now(), event, effects);
        for (const ledger_effect_type &effect : effects) {
            std::visit([&](const auto &one) { execute(agent, one); }, effect);
        }
    }

    void execute(unsigned agent, const ledger_effect::read_object &read)
    {
        ++m_result.reads;
        m_queue.after(m_options.platformDelay, [this, agent, read] {
            const auto found = m_objects.find(read.name);
            ledger_event::object_read result {read.operation, object_status::missing, {}, {}};
            if (found != m_objects.end()) {
                result = {read.operation, object_status::ok, found->second.second, std::to_string(found->second.first)};
            }
            post(agent, result);
        });
    }

    void execute(unsigned agent, const ledger_effect::write_object &write)
    {
        ++m_result.writes;
        m_result.segments += write.name.ends_with("/head") ? 0 : 1;
        m_result.bytes += write.value.size();
        m_queue.after(m_options.platformDelay, [this, agent, write] {
            auto &object = m_objects[write.name];
            const std::string current = object.first == 0 ? std::string() : std::to_string(object.first);
            if (current != write.ifVersion) {
                post(agent, ledger_event::object_written {write.operation, object_status::conflict, {}});
                return;
            }
            object = {object.first + 1, write.value};
            post(agent, ledger_event::object_written {write.operation, object_status::ok, std::to_string(object.first)});
        });
    }

    void execute(unsigned agent, const ledger_effect::run_request &run)
    {
        m_queue.after(m_options.serviceTime, [this, agent, run] {
            post(agent, ledger_event::service_answered {run.claim, 201, "application/json", R"({"booking":"confirmed","crew":"7"})"});
        });
    }

    void execute(unsigned, const ledger_effect::reply_outcome &reply)
    {
        ++m_result.answered;
        const duration took = m_queue.now() - m_arrivals.at(reply.attempt.request.value());
        m_result.addedMs.push_back(std::chrono::duration<double, std::milli>(took - m_options.serviceTime).count());
    }

    void execute(unsigned, const ledger_effect::reply_refusal &)
    {
        ++m_result.refused;
    }

    template<typename Other>
    void execute(unsigned, const Other &)
    {
    }

    bookings_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<ledger_core>> m_cores;
    sim_queue m_queue;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_objects;
    std::map<std::uint64_t, time_point> m_arrivals;
    bookings_result m_result;
};

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void printRow(const bookings_options &options, const bookings_result &result)
{
    const double count = static_cast<double>(std::max<std::size_t>(result.answered, 1));
    const double seconds = std::chrono::duration<double>(options.length).count();
    std::printf("%6.0f %6u %5u %8zu %7zu %8.1f %9.3f %8llu %8.1f %7.1f %7.1f %7.1f\n", options.rate, options.shards, options.burst,
                result.answered, result.refused, static_cast<double>(result.writes) / seconds,
                static_cast<double>(result.writes + result.reads) / count, static_cast<unsigned long long>(result.segments),
                static_cast<double>(result.bytes) / seconds / 1000, quantile(result.addedMs, 0.5), quantile(result.addedMs, 0.95),
                quantile(result.addedMs, 0.99));
}

/// Prints the bound of head writes, which depends on the shards and the commit interval but not on the rate.
void printPlannedSize(unsigned shards)
{
    const double commitSeconds = std::chrono::duration<double>(ledger_options().commitInterval).count();
    const double headWrites = shards / commitSeconds;
    std::printf("planned size: %u shards at one commit per %.0f ms write at most %.0f heads/s whatever the rate;\n", shards,
                commitSeconds * 1000, headWrites);
    std::printf("one object per key would write 2 per booking: 800/s at 400 bookings/s of a budget of 300/s\n");
}

int runBookings(std::vector<std::string> args)
{
    TCLAP::CmdLine command("Platform calls and added delay per booking, in virtual time", ' ', "0.1");
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "virtual seconds per run", false, 60, "N", command);
    TCLAP::ValueArg<unsigned> shards("", "shards", "ledger shards", false, 32, "N", command);
    TCLAP::ValueArg<unsigned> agents("", "agents", "agents of the service", false, 8, "N", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of arrivals and keys", false, 1, "N", command);
    command.parse(args);
    std::printf("  rate shards burst answered refused writes/s calls/bkg segments  KB/s    p50 ms  p95 ms  p99 ms\n");
    for (const unsigned burst : {1U, 2U}) {
        for (const double rate : {1.0, 50.0, 400.0}) {
            bookings_options options;
            options.rate = rate;
            options.burst = burst;
            options.shards = shards.getValue();
            options.agents = std::max(1U, agents.getValue());
            options.length = std::chrono::seconds(seconds.getValue());
            options.seed = seed.getValue();
            printRow(options, bookings_run(options).run());
        }
    }
    printPlannedSize(shards.getValue());
    return 0;
}

const bench_command bookingsCommand("bookings", "platform calls and added delay per booking", runBookings);

} // namespace

} // namespace nutmegtally
