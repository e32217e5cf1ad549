// Runs ledger_core in the agent of a plain service: drives its timer and executes its calls to the object API.
#pragma once

#include "daemon/daemon_fleet_driver.h"
#include "daemon/daemon_objects.h"
#include "daemon/daemon_timer.h"

#include <nutmegtally/ledger.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace nutmegtally
{

/// Callbacks from the ledger to the agent. Called from any thread.
struct ledger_callbacks {
    std::function<void(const ledger_effect::run_request &)> run; // the agent posts the result to the ledger
    std::function<void(const ledger_effect::reply_outcome &)> outcome;
    std::function<void(const ledger_effect::reply_refusal &)> refusal;
};

class agent_ledger
{
public:
    /// @param objects host:port of the object API.
    agent_ledger(ledger_options options, const std::string &objects, ledger_callbacks callbacks);
    ~agent_ledger();
    agent_ledger(const agent_ledger &) = delete;
    agent_ledger &operator=(const agent_ledger &) = delete;

    void post(const ledger_core::event &event);

    /// See ledger_core::contains().
    bool contains(const std::string &key);

private:
    void execute(const ledger_core::effect &effect);
    void read(const ledger_effect::read_object &order);
    void write(const ledger_effect::write_object &order);
    void remove(const ledger_effect::delete_object &order);

    ledger_callbacks m_callbacks;
    object_client m_objects;
    std::mutex m_mutex;
    ledger_core m_core; // guarded by m_mutex
    task_queue m_tasks; // calls to the object API
    std::unique_ptr<periodic_timer> m_tick;
};

} // namespace nutmegtally
