// Scenario simulation "ledger": agents own the ledger shards of one service, over a fake object API and a fake service.
// Callers repeat a booking with the same key until they get an outcome, as the caller protocol requires.
#include "daemon/daemon_fleet_simulation.h"
#include "simulation/sim_queue.h"
#include "simulation/sim_scenario_simulations.h"

#include <nutmegtally/ledger.h>
#include <nutmegtally/placement.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace nutmegtally
{

namespace
{

constexpr duration networkLatency = std::chrono::milliseconds(2); // one way between processes
constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration maxOwnerViewDelay = std::chrono::milliseconds(1500); // until the last agent learns of a change in the set of live agents
constexpr duration callerTimeout = std::chrono::seconds(3);
constexpr duration callerRetryDelay = std::chrono::milliseconds(500); // longest delay before a retry
constexpr unsigned maxCallerAttempts = 20;
constexpr std::int64_t wallStartMs = 1'800'000'000'000;

/// A booking as its caller sees it.
struct booking {
    idempotency_key key;
    unsigned attemptCount = 0;
    attempt_ref attempt; // current attempt; answers to earlier ones are ignored
    bool sharesKey = false; // another caller uses the same key, so even the first attempt may find that the key ran
    bool isDone = false;
};

struct agent {
    std::string name;
    std::unique_ptr<ledger_core> core; // null while the process is down
    bool isPaused = false;
    unsigned startCount = 0;
    std::deque<ledger_core::event> deferredEvents; // events that arrived while the process was paused
};

class ledger_scenario_simulation : public scenario_simulation
{
public:
    explicit ledger_scenario_simulation(scenario_settings &settings)
        : m_shards(static_cast<std::uint32_t>(settings.readNumber("shards", 4)))
        , m_objectTime(settings.readMilliseconds("object_ms", 3))
        , m_serviceTime(settings.readMilliseconds("service_ms", 20))
        , m_random(static_cast<std::uint64_t>(settings.readNumber("seed", 1)))
        , m_agents(static_cast<std::size_t>(settings.readNumber("agents", 3)))
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            m_agents[i].name = "booking-" + std::to_string(i);
        }
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            startAgent(i);
        }
        declareActions();
        declareMetrics();
        m_queue.after(tickInterval, [this] { tick(); });
    }

    void runTo(duration time) override
    {
        m_queue.runUntil(time_point(time));
    }

private:
    void declareActions()
    {
        m_actions = {
            {"book", [this](const arguments &) { book(); }},
            {"book twice at once",
             [this](const arguments &) {
                 const idempotency_key key = makeKey();
                 for (int i = 0; i < 2; ++i) {
                     const std::size_t id = addBooking(key);
                     m_bookings[id - 1].sharesKey = true;
                     send(id);
                 }
             }},
            {"kill agent NUMBER", [this](const arguments &words) { killAgent(index(words[0])); }},
            {"start agent NUMBER", [this](const arguments &words) { startAgent(index(words[0])); }},
            {"pause agent NUMBER", [this](const arguments &words) { pauseAgent(index(words[0])); }},
            {"wake agent NUMBER", [this](const arguments &words) { resumeAgent(index(words[0])); }},
            {"platform goes down", [this](const arguments &) { m_store.isDown = true; }},
            {"platform comes back", [this](const arguments &) { m_store.isDown = false; }},
            {"platform takes TIME", [this](const arguments &words) { m_objectTime = timeArgument(words[0]); }},
            {"lose NUMBER answers",
             [this](const arguments &words) { m_store.answersToLose = static_cast<unsigned>(std::stoul(words[0])); }},
            {"lose NUMBER service answers",
             [this](const arguments &words) { m_serviceAnswersToLose = static_cast<unsigned>(std::stoul(words[0])); }},
        };
    }

    void declareMetrics()
    {
        m_metrics = {
            {"bookings", false, [this](const auto &) { return static_cast<double>(m_bookings.size()); }},
            {"acknowledged", false, [this](const auto &) { return static_cast<double>(m_acknowledged.size()); }},
            {"unknown", false, [this](const auto &) { return static_cast<double>(m_unknown); }},
            {"given_up", false, [this](const auto &) { return static_cast<double>(m_givenUp); }},
            {"duplicates", false,
             [this](const auto &) {
                 return static_cast<double>(
                     std::count_if(m_executions.begin(), m_executions.end(), [](const auto &entry) { return entry.second > 1; }));
             }},
            {"lost", false,
             [this](const auto &) {
                 return static_cast<double>(std::count_if(m_acknowledged.begin(), m_acknowledged.end(),
                                                          [this](const idempotency_key &key) { return !m_executions.contains(key); }));
             }},
            {"false_not_run", false, [this](const auto &) { return static_cast<double>(m_falseNotRun); }},
        };
    }

    std::size_t index(const std::string &number) const
    {
        const std::size_t value = std::stoul(number);
        if (value >= m_agents.size()) {
            throw std::invalid_argument("no agent " + number + "; they are numbered from 0");
        }
        return value;
    }

    wall_time wallNow() const
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now().time_since_epoch());
        return wall_time(std::chrono::milliseconds(wallStartMs) + since);
    }

    // Agents.

    void startAgent(std::size_t i)
    {
        agent &process = m_agents[i];
        ledger_options options;
        options.service = "booking-app";
        options.self = process.name;
        options.shards = m_shards;
        options.nonceSeed = mixHash(i + 1, ++process.startCount);
        process.core = std::make_unique<ledger_core>(options);
        process.isPaused = false;
        process.deferredEvents.clear();
        post(i, ledger_event::owner_view_changed {liveAgents()});
        publishOwnerViews();
    }

    void killAgent(std::size_t i)
    {
        m_agents[i].core.reset();
        m_agents[i].deferredEvents.clear();
        publishOwnerViews();
    }

    void pauseAgent(std::size_t i)
    {
        m_agents[i].isPaused = true;
        publishOwnerViews();
    }

    /// The process continues with its state from before the pause, then receives the deferred events in order.
    void resumeAgent(std::size_t i)
    {
        m_agents[i].isPaused = false;
        while (!m_agents[i].deferredEvents.empty()) {
            const ledger_core::event event = m_agents[i].deferredEvents.front();
            m_agents[i].deferredEvents.pop_front();
            post(i, event);
        }
        publishOwnerViews();
    }

    std::vector<upstream_id> liveAgents() const
    {
        std::vector<upstream_id> live;
        for (const agent &process : m_agents) {
            if (process.core && !process.isPaused) {
                live.push_back(upstream_id::fromName(process.name));
            }
        }
        return live;
    }

    void publishOwnerViews()
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            m_queue.after(maxOwnerViewDelay * static_cast<std::int64_t>(i + 1) / static_cast<std::int64_t>(m_agents.size()),
                          [this, i] { post(i, ledger_event::owner_view_changed {liveAgents()}); });
        }
    }

    void tick()
    {
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            if (!m_agents[i].isPaused) {
                post(i, ledger_event::tick {wallNow()});
            }
        }
        m_queue.after(tickInterval, [this] { tick(); });
    }

    void post(std::size_t i, const ledger_core::event &event)
    {
        agent &process = m_agents[i];
        if (process.isPaused) {
            process.deferredEvents.push_back(event);
            return;
        }
        if (!process.core) {
            return;
        }
        std::vector<ledger_core::effect> effects;
        process.core->apply(m_queue.now(), event, effects);
        for (const ledger_core::effect &effect : effects) {
            std::visit([this, i](const auto &e) { handle(i, e); }, effect);
        }
    }

    /// Posts the event after a delay, unless the process was restarted in between: its connections were closed then.
    void postLater(std::size_t i, duration delay, ledger_core::event event)
    {
        m_queue.after(delay, [this, i, startCount = m_agents[i].startCount, event = std::move(event)] {
            if (m_agents[i].startCount == startCount) {
                post(i, event);
            }
        });
    }

    // Effects.

    void handle(std::size_t i, const ledger_effect::read_object &read)
    {
        m_queue.after(m_objectTime, [this, i, read] {
            const object_reply reply = m_store.read(read.name);
            object_status status = reply.status;
            if (status == object_status::ok && reply.version == 0) {
                status = object_status::missing;
            }
            postLater(i, m_objectTime, ledger_event::object_read {read.operation, status, reply.value, std::to_string(reply.version)});
        });
    }

    void handle(std::size_t i, const ledger_effect::write_object &write)
    {
        m_queue.after(m_objectTime, [this, i, write] {
            const object_reply reply = m_store.write(write.name, write.value, write.ifVersion.empty() ? 0 : std::stoull(write.ifVersion));
            postLater(i, m_objectTime, ledger_event::object_written {write.operation, reply.status, std::to_string(reply.version)});
        });
    }

    void handle(std::size_t i, const ledger_effect::delete_object &remove)
    {
        postLater(i, m_objectTime, ledger_event::object_written {remove.operation, object_status::unavailable, {}});
    }

    void handle(std::size_t i, const ledger_effect::run_request &run)
    {
        m_queue.after(networkLatency, [this, i, run] {
            const unsigned execution = ++m_executions[run.key];
            if (m_serviceAnswersToLose > 0) {
                --m_serviceAnswersToLose;
                postLater(i, m_serviceTime, ledger_event::service_failed {run.claim, run_state::unknown});
                return;
            }
            postLater(
                i, m_serviceTime,
                ledger_event::service_answered {run.claim, 200, "application/json", "{\"execution\":" + std::to_string(execution) + "}"});
        });
    }

    void handle(std::size_t, const ledger_effect::reply_outcome &reply)
    {
        m_queue.after(networkLatency, [this, reply] {
            booking *found = current(reply.attempt);
            if (found == nullptr) {
                return;
            }
            found->isDone = true;
            if (reply.outcome.status == 200) {
                m_acknowledged.insert(found->key);
            }
        });
    }

    void handle(std::size_t, const ledger_effect::reply_refusal &refusal)
    {
        m_queue.after(networkLatency, [this, refusal] {
            booking *found = current(refusal.attempt);
            if (found == nullptr) {
                return;
            }
            const bool isFirst = found->attemptCount == 1 && !found->sharesKey;
            m_falseNotRun += refusal.state == run_state::notRun && isFirst && m_executions.contains(found->key) ? 1 : 0;
            const std::size_t id = refusal.attempt.request.value();
            if (refusal.owner.isValid()) {
                m_ownerHints[found->key.shard(m_shards)] = refusal.owner;
            }
            if (refusal.code == error_code::outcomeUnknown && !refusal.retryAfter) {
                found->isDone = true;
                ++m_unknown;
                return;
            }
            retry(id, std::min(refusal.retryAfter.value_or(callerRetryDelay), callerRetryDelay));
        });
    }

    void handle(std::size_t i, const ledger_effect::forward_settlement &settle)
    {
        for (std::size_t owner = 0; owner < m_agents.size(); ++owner) {
            if (m_agents[owner].name == settle.owner) {
                ledger_event::settlement_requested request = settle.request;
                request.settlementId = ++m_settlements;
                m_forwardedSettlements[request.settlementId] = {i, settle.claim};
                m_queue.after(networkLatency, [this, owner, request] { post(owner, request); });
            }
        }
    }

    void handle(std::size_t, const ledger_effect::reply_settlement &reply)
    {
        const auto found = m_forwardedSettlements.find(reply.settlementId);
        if (found != m_forwardedSettlements.end()) {
            postLater(found->second.first, networkLatency,
                      ledger_event::forward_answered {found->second.second, reply.result, reply.owner});
        }
    }

    void handle(std::size_t, const log_record &) const { }

    // Callers.

    idempotency_key makeKey()
    {
        return idempotency_key::make(wallNow(), m_random.next(), m_random.next());
    }

    std::size_t addBooking(idempotency_key key)
    {
        booking entry;
        entry.key = key;
        m_bookings.push_back(entry);
        return m_bookings.size();
    }

    void book()
    {
        send(addBooking(makeKey()));
    }

    /// @return The booking, if the attempt is its current one and it has no outcome yet; else null.
    booking *current(attempt_ref attempt)
    {
        booking &entry = m_bookings[attempt.request.value() - 1];
        return entry.isDone || entry.attempt != attempt ? nullptr : &entry;
    }

    /// @param id Number of the booking, from 1.
    void send(std::size_t id)
    {
        booking &entry = m_bookings[id - 1];
        entry.attempt = {request_id(id), ++entry.attemptCount};
        const ledger_event::booking_requested requested {entry.attempt, entry.key.toText(), 1, m_queue.now() + callerTimeout, wallNow()};
        const std::size_t target = targetOf(entry);
        m_queue.after(networkLatency, [this, target, requested] { post(target, requested); });
        m_queue.after(callerTimeout, [this, id, attempt = entry.attempt] {
            if (current(attempt) != nullptr) {
                m_ownerHints.erase(m_bookings[id - 1].key.shard(m_shards));
                retry(id, duration(0));
            }
        });
    }

    std::size_t targetOf(const booking &entry) const
    {
        const auto hint = m_ownerHints.find(entry.key.shard(m_shards));
        for (std::size_t i = 0; hint != m_ownerHints.end() && i < m_agents.size(); ++i) {
            if (upstream_id::fromName(m_agents[i].name) == hint->second) {
                return i;
            }
        }
        return (entry.attempt.request.value() + entry.attemptCount) % m_agents.size();
    }

    void retry(std::size_t id, duration pause)
    {
        booking &entry = m_bookings[id - 1];
        if (entry.attemptCount >= maxCallerAttempts) {
            entry.isDone = true;
            ++m_givenUp;
            return;
        }
        entry.attempt = {};
        m_queue.after(pause, [this, id] { send(id); });
    }

    std::uint32_t m_shards;
    duration m_objectTime; // one way
    duration m_serviceTime;
    sim_queue m_queue;
    random_source m_random;
    memory_store m_store;
    std::vector<agent> m_agents;
    std::vector<booking> m_bookings;
    std::map<std::uint32_t, upstream_id> m_ownerHints; // by shard, from notOwner refusals
    std::map<idempotency_key, unsigned> m_executions; // calls that the service executed, by key
    std::set<idempotency_key> m_acknowledged;
    std::map<std::uint64_t, std::pair<std::size_t, claim_ref>> m_forwardedSettlements;
    std::uint64_t m_settlements = 0;
    unsigned m_serviceAnswersToLose = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_givenUp = 0;
    std::uint64_t m_falseNotRun = 0; // first attempts that were refused with notRun although the key ran
};

} // namespace

std::unique_ptr<scenario_simulation> makeLedgerSimulation(scenario_settings &settings)
{
    return std::make_unique<ledger_scenario_simulation>(settings);
}

} // namespace nutmegtally
