// Orders to engines: load a model, an adapter or a version, or change the role. One process decides at a time, through
// the lease object orders/lease with a fencing number; the agent's gate refuses orders of former holders, also for
// engines that check nothing.
#pragma once

#include <nutmegtally/ids.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/objects.h>
#include <nutmegtally/reducer.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegtally
{

inline constexpr std::string_view orderLeaseName = "orders/lease";

enum class order_kind : std::uint8_t {
    loadModel,
    loadAdapter,
    loadVersion,
    changeRole,
    count
};

/// As in the engine's POST /orders.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(order_kind::count)> orderKindNames
    = {"load_model", "load_adapter", "load_version", "change_role"};

struct engine_order {
    std::uint64_t number = 0; // names the order; a repeated send_order has the same number
    upstream_id upstream;
    order_kind kind = order_kind::loadModel;
    std::string argument; // model, adapter, version or role
    model_id model; // whose capacity is cold while the order runs
    std::uint64_t bytes = 0; // read from the weight store; 0 for changeRole
};

struct order_lease {
    std::string holder;
    std::uint64_t fencingToken = 0; // grows with each change of holder, never falls
    std::uint64_t nonce = 0; // of the last update

    bool operator==(const order_lease &) const = default;
};

std::string encode(const order_lease &lease);

/// @throws error internal if @p text is not a lease.
order_lease decodeLease(std::string_view text);

enum class order_result : std::uint8_t {
    done,
    stale, // refused: another process holds the lease
    waiting, // the gate does not know the highest number yet, or the order waits for its turn
    failed, // the engine refused it
    unknown, // no answer; the order may be repeated, because every order names a final state
    notHolder, // this process does not hold the lease
    count
};

namespace order_event
{

struct object_read {
    std::uint64_t operation = 0;
    object_status status = object_status::unavailable;
    std::string value;
    std::string version;
};

struct object_written {
    std::uint64_t operation = 0;
    object_status status = object_status::unknown;
    std::string version;
};

/// Someone wants an order carried out.
struct order_requested {
    engine_order order;
};

/// Answer of the agent's gate.
struct order_answered {
    std::uint64_t number = 0;
    order_result result = order_result::unknown;
};

/// Upstreams of a model that are known to serve, and those in cold start without an order of this process.
struct capacity_reported {
    model_id model;
    std::uint32_t total = 0;
    std::uint32_t cold = 0;
};

/// The upstream serves again after an order.
struct upstream_warm {
    upstream_id upstream;
};

struct tick {
};

} // namespace order_event

namespace order_effect
{

struct read_object {
    std::uint64_t operation = 0;
    std::string name;
};

struct write_object {
    std::uint64_t operation = 0;
    std::string name;
    std::string ifVersion; // empty for a create-only write
    std::string value;
};

/// Call order.give at the upstream's agent.
struct send_order {
    engine_order order;
    std::uint64_t fencingToken = 0;
};

struct reply_order {
    std::uint64_t number = 0;
    order_result result = order_result::unknown;
    std::string holder; // for notHolder, empty if not known
};

} // namespace order_effect

struct order_options {
    std::string self; // name of this process
    std::uint64_t nonceSeed = 1; // random for each start of the process
    duration leaseDuration = std::chrono::seconds(15);
    duration retryDelay = std::chrono::seconds(1); // after a failed platform call or a lost answer of a gate
    double weightBytesPerSecond = 2e9; // the weight store's rate
    double maxColdShare = 0.1; // of a model's upstreams that may be cold at once; one is always allowed
    unsigned maxTries = 5;
};

/// Holder of the lease or candidate for it.
class order_core
{
public:
    using event = std::variant<order_event::object_read, order_event::object_written, order_event::order_requested,
                               order_event::order_answered, order_event::capacity_reported, order_event::upstream_warm, order_event::tick>;
    using effect = std::variant<order_effect::read_object, order_effect::write_object, order_effect::send_order, order_effect::reply_order,
                                log_record>;

    explicit order_core(order_options options);

    void apply(time_point now, const event &event, std::vector<effect> &effects);

    /// Whether the lease is certainly held. A paused holder is wrong about this only until its next event.
    bool isHolder(time_point now) const;

    std::uint64_t fencingToken() const
    {
        return m_lease.fencingToken;
    }

private:
    struct running_order {
        engine_order order;
        unsigned tries = 0;
        time_point retryAt;
    };

    struct cold_model {
        std::uint32_t total = 0;
        std::uint32_t cold = 0;
    };

    void on(time_point now, const order_event::object_read &result, std::vector<effect> &effects);
    void on(time_point now, const order_event::object_written &result, std::vector<effect> &effects);
    void on(time_point now, const order_event::order_requested &request, std::vector<effect> &effects);
    void on(time_point now, const order_event::order_answered &answer, std::vector<effect> &effects);
    void on(time_point now, const order_event::capacity_reported &report, std::vector<effect> &effects);
    void on(time_point now, const order_event::upstream_warm &warm, std::vector<effect> &effects);
    void on(time_point now, const order_event::tick &tick, std::vector<effect> &effects);

    void readLease(time_point now, std::vector<effect> &effects);
    void writeLease(time_point now, std::uint64_t fencingToken, std::vector<effect> &effects);
    void loseLease(std::vector<effect> &effects);
    void sendWaiting(time_point now, std::vector<effect> &effects);
    bool mayStart(time_point now, const engine_order &order) const;
    void sendOrder(time_point now, running_order &running, std::vector<effect> &effects);

    order_options m_options;
    std::uint64_t m_counter = 0;
    order_lease m_lease; // as last seen in the object
    std::string m_version;
    time_point m_versionSeenAt; // when this version was first seen; the lease lapses leaseDuration later
    std::optional<time_point> m_leaseExpiry; // set while holder: write time of the last renewal plus leaseDuration
    order_lease m_writtenLease; // of the write in flight
    time_point m_writeStartedAt;
    std::uint64_t m_operationInFlight = 0; // in flight, 0 for none
    time_point m_nextCallAt;
    std::deque<engine_order> m_waiting;
    std::map<std::uint64_t, running_order> m_running; // by order number
    std::map<upstream_id, model_id> m_coldUpstreams; // until upstream_warm
    std::map<model_id, cold_model> m_capacity;
    time_point m_weightStoreFreeAt; // the weight store is busy until then
};

/// The agent's check of orders. Every order to the engine goes through it, so a former holder is refused also for
/// engines that check nothing.
class order_fencing_guard
{
public:
    /// The lease object was read after the agent's start. Until then the gate has nothing to compare with and accepts no
    /// order; while the platform is down, no process can hold the lease for longer than its time anyway.
    void updateFromLease(const order_lease &lease);

    /// @return done if the order may be sent to the engine now; else stale or waiting.
    order_result check(std::uint64_t fencingToken);

    std::uint64_t highestToken() const
    {
        return m_highestToken;
    }

private:
    std::uint64_t m_highestToken = 0; // never falls
    bool m_leaseIsKnown = false; // the lease object was read since the start
};

} // namespace nutmegtally
