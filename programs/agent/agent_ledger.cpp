#include "agent/agent_ledger.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"

#include <nutmegtally/reducer.h>

#include <charconv>
#include <chrono>
#include <vector>

namespace nutmegtally
{

namespace
{

// Upper bound on how late a commit runs after the minimum interval between commits has passed.
constexpr duration tickInterval = std::chrono::milliseconds(10);
constexpr unsigned objectThreads = 8; // each shard has at most one call in flight
constexpr std::size_t maxObjectCalls = 100'000; // queue limit; far above the maximum of one per shard

std::uint64_t toVersion(const std::string &text)
{
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

agent_ledger::agent_ledger(ledger_options options, const std::string &objects, ledger_callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_objects(objects)
    , m_core(std::move(options))
    , m_tasks(objectThreads, maxObjectCalls)
{
    m_tick = std::make_unique<periodic_timer>(tickInterval, [this] { post(ledger_event::tick {wallNow()}); });
}

agent_ledger::~agent_ledger()
{
    m_tick.reset();
    m_objects.close();
    m_tasks.stop();
}

void agent_ledger::post(const ledger_core::event &event)
{
    std::vector<ledger_core::effect> effects;
    {
        const std::lock_guard lock(m_mutex);
        m_core.apply(steadyNow(), event, effects);
    }
    for (const ledger_core::effect &effect : effects) {
        execute(effect);
    }
}

bool agent_ledger::contains(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    return m_core.contains(key);
}

void agent_ledger::execute(const ledger_core::effect &effect)
{
    std::visit(
        overloaded {
            [this](const ledger_effect::read_object &order) { m_tasks.post([this, order] { read(order); }); },
            [this](const ledger_effect::write_object &order) { m_tasks.post([this, order] { write(order); }); },
            [this](const ledger_effect::delete_object &order) { m_tasks.post([this, order] { remove(order); }); },
            [this](const ledger_effect::run_request &order) { m_callbacks.run(order); },
            [this](const ledger_effect::reply_outcome &reply) { m_callbacks.outcome(reply); },
            [this](const ledger_effect::reply_refusal &reply) { m_callbacks.refusal(reply); },
            [this](const ledger_effect::forward_settlement &order) {
                // Forwarding is not implemented: the entry stays unknown at its new owner until an operator settles it.
                m_tasks.post([this, claim = order.claim] { post(ledger_event::forward_answered {claim, settle_result::unavailable, {}}); });
            },
            [](const ledger_effect::reply_settlement &) {},
            [](const log_record &record) { logEvent(record); },
        },
        effect);
}

void agent_ledger::read(const ledger_effect::read_object &order)
{
    object_reply reply = m_objects.read(order.name);
    if (reply.status == object_status::ok && reply.version == 0) {
        reply.status = object_status::missing;
    } else if (reply.status != object_status::ok) {
        reply.status = object_status::unavailable;
    }
    post(ledger_event::object_read {order.operation, reply.status, std::move(reply.value), std::to_string(reply.version)});
}

void agent_ledger::write(const ledger_effect::write_object &order)
{
    const object_reply reply = m_objects.write(order.name, order.value, toVersion(order.ifVersion));
    post(ledger_event::object_written {order.operation, reply.status, std::to_string(reply.version)});
}

void agent_ledger::remove(const ledger_effect::delete_object &order)
{
    // Segments are immutable, so the version cannot change between the read and the delete.
    object_reply reply = m_objects.read(order.name);
    if (reply.status == object_status::ok && reply.version != 0) {
        reply = m_objects.remove(order.name, reply.version);
    }
    post(ledger_event::object_written {order.operation, reply.status, {}});
}

} // namespace nutmegtally
