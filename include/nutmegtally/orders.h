// Orders to engines: load a model, an adapter or a version, or change the role. Only the holder of the lease object
// orders/lease sends orders, each with the lease's fencing token. The agent's fencing guard refuses orders of former
// holders, which also protects engines that do not check the token themselves.
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

/// Names in the body of the engine's POST /orders.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(order_kind::count)> orderKindNames
    = {"load_model", "load_adapter", "load_version", "change_role"};

struct engine_order {
    std::uint64_t number = 0; // identifies the order; a repeated send_order has the same number
    upstream_id upstream;
    order_kind kind = order_kind::loadModel;
    std::string argument; // name of the model, adapter, version or role
    model_id model; // the upstream does not serve this model while the order is carried out
    std::uint64_t bytes = 0; // to be read from the weight store; 0 for changeRole
};

struct order_lease {
    std::string holder;
    std::uint64_t fencingToken = 0; // increases with each acquisition, never decreases
    std::uint64_t nonce = 0; // identifies the last write, so that its writer recognizes it

    bool operator==(const order_lease &) const = default;
};

std::string encode(const order_lease &lease);

/// @throws error internal if @p text is not a lease.
order_lease decodeLease(std::string_view text);

enum class order_result : std::uint8_t {
    done,
    stale, // refused, because a newer fencing token was seen: another process holds the lease
    waiting, // the guard does not know the current fencing token yet, or the order is queued
    failed, // the engine refused the order
    unknown, // no result; the order may be repeated, because orders are idempotent: each names a final state
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

/// A request to carry out an order. It is answered with reply_order.
struct order_requested {
    engine_order order;
};

/// The agent's result of a send_order.
struct order_answered {
    std::uint64_t number = 0;
    order_result result = order_result::unknown;
};

/// Serving capacity of a model, in upstreams.
struct capacity_reported {
    model_id model;
    std::uint32_t total = 0; // upstreams that serve the model
    std::uint32_t cold = 0; // upstreams in cold start for another reason than an order of this process
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
    std::string ifVersion; // If-Match; empty for a create-only write
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
    std::string holder; // current holder if the result is notHolder; empty if not known
};

} // namespace order_effect

struct order_options {
    std::string self; // name of this process
    std::uint64_t nonceSeed = 1; // random at each process start, because nonces must not repeat after a restart
    duration leaseDuration = std::chrono::seconds(15);
    duration retryDelay = std::chrono::seconds(1); // after a failed platform call or an order without a final result
    double weightBytesPerSecond = 2e9; // read rate of the weight store
    double maxColdShare = 0.1; // of a model's upstreams that may be cold at the same time; one is always allowed
    unsigned maxTries = 5;
};

/// Reducer of a process that holds the order lease or tries to acquire it.
class order_core
{
public:
    using event = std::variant<order_event::object_read, order_event::object_written, order_event::order_requested,
                               order_event::order_answered, order_event::capacity_reported, order_event::upstream_warm, order_event::tick>;
    using effect = std::variant<order_effect::read_object, order_effect::write_object, order_effect::send_order, order_effect::reply_order,
                                log_record>;

    explicit order_core(order_options options);

    void apply(time_point now, const event &event, std::vector<effect> &effects);

    /// Whether this process holds the lease. A process that was paused may report an expired lease as held only until it
    /// gets its next event.
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
    order_lease m_lease; // content of the lease object when last read or written
    std::uint64_t m_highestToken = 0; // ever seen: the object may come back from an older copy
    std::string m_version;
    time_point m_versionSeenAt; // when m_version was first seen; the lease expires leaseDuration later
    std::optional<time_point> m_leaseExpiry; // set while this process is holder: start of the last renewal + leaseDuration
    order_lease m_writtenLease; // content of the last write, which may be in flight
    time_point m_writeStartedAt;
    std::uint64_t m_operationInFlight = 0; // 0 for none
    time_point m_nextCallAt;
    std::deque<engine_order> m_waiting;
    std::map<std::uint64_t, running_order> m_running; // by order number
    std::map<upstream_id, model_id> m_coldUpstreams; // cold because of an order, until upstream_warm
    std::map<model_id, cold_model> m_capacity;
    time_point m_weightStoreFreeAt; // earliest start of the next load, which paces loads to the store's rate
};

/// The agent's check of fencing tokens. Every order to the engine passes it, so that orders of a former holder are
/// refused even if the engine does not check the token.
class order_fencing_guard
{
public:
    /// To be called when the lease object has been read after the agent's start. Until then no order is accepted, because
    /// the current token is not known. This costs little: while the platform is not available, no process can hold the
    /// lease for longer than its duration anyway.
    void updateFromLease(const order_lease &lease);

    /// @return done if the order may be sent to the engine now, else stale or waiting.
    order_result check(std::uint64_t fencingToken);

    std::uint64_t highestToken() const
    {
        return m_highestToken;
    }

private:
    std::uint64_t m_highestToken = 0; // never decreases
    bool m_leaseIsKnown = false; // whether the lease object has been read since the start
};

} // namespace nutmegtally
