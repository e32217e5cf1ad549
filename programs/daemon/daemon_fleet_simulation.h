// Runs fleet_core reducers in virtual time against a simulated platform and a network with latency, message loss and
// partitions. Used by the benchmark "convergence" and by the fleet tests.
#pragma once

#include <nutmegtally/fleet_core.h>
#include <nutmegtally/objects.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// In-memory object API with injected faults: outages, lost answers, lost writes and concurrent writes.
class memory_store
{
public:
    object_reply read(const std::string &name) const;
    object_reply write(const std::string &name, const std::string &value, std::uint64_t expectedVersion);
    object_reply remove(const std::string &name, std::uint64_t expectedVersion);
    object_list list(const std::string &prefix) const;

    bool isDown = false; // every call is unavailable
    unsigned answersToLose = 0; // number of the next writes that take effect, but whose answers are lost
    unsigned writesToLose = 0; // number of the next writes that are lost before they take effect
    std::function<void(const std::string &name)> beforeWrite; // called once, before the next write, to inject a concurrent one

private:
    struct entry {
        std::uint64_t version = 0;
        std::string value;
    };

    std::map<std::string, entry> m_entries;
    std::uint64_t m_lastVersion = 0;
};

struct fleet_simulation_options {
    std::size_t nodes = 12;
    std::size_t domains = 4;
    std::size_t regions = 1;
    double loss = 0; // probability for each message
    duration latency = std::chrono::milliseconds(1); // one way within a region
    duration interRegionLatency = std::chrono::milliseconds(40); // one way between regions
    duration callTimeout = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
    fleet_options fleet; // self, seed and seedAddresses are set for each node
    bool startWithAllRecords = true; // every node starts with all nodes' records
    std::size_t requestOverheadBytes = 420; // HTTP head with tag, JSON-RPC envelope, TCP and IP headers
    std::size_t answerOverheadBytes = 230;
};

class fleet_simulation
{
public:
    explicit fleet_simulation(fleet_simulation_options options);

    /// Runs all events up to @p time, counted from the start of the simulation.
    void runTo(duration time);

    void runFor(duration time)
    {
        runTo(m_now.time_since_epoch() + time);
    }

    void startNode(std::size_t index);
    void stopNode(std::size_t index);

    /// Stores a configuration change on the platform as an operator would.
    /// @param patch JSON merge patch.
    change_result change(const nlohmann::json &patch);

    /// Delivers a message to a node as if a peer had sent it; the answer is dropped.
    void deliver(std::size_t index, const fleet_message &message);

    void post(std::size_t index, const fleet_event::leave_requested &request);

    bool isRunning(std::size_t index) const
    {
        return m_nodes[index].core != nullptr;
    }

    const fleet_core &core(std::size_t index) const
    {
        return *m_nodes[index].core;
    }

    /// @return Whether every running node has at least the version.
    bool allNodesHaveVersion(std::uint64_t version) const;

    /// Runs until every running node has at least the version, or until the limit has passed.
    /// @return Elapsed virtual time; the limit or more if a node still lacks the version.
    duration runUntilAllNodesHave(std::uint64_t version, duration limit);

    /// @return Whether all running nodes have the same membership digest.
    bool membersAgree() const;

    duration now() const
    {
        return m_now.time_since_epoch();
    }

    std::uint64_t bytesOf(std::size_t index) const
    {
        return m_nodes[index].bytes;
    }

    std::uint64_t duplicates() const;

    std::string domainName(std::size_t index) const;
    std::size_t regionOf(std::size_t index) const;

    memory_store store;
    std::vector<fleet_event::listed_vm> vms; // entries of the VM list
    bool isVmListDown = false;
    bool areWatchesUnanswered = false; // pending watches get no answer and time out
    bool areRegionsPartitioned = false;
    bool hasVersionRegressed = false; // set if a node ever applied a version that is not newer than its previous one
    std::vector<std::string> logLines;

private:
    struct node {
        std::unique_ptr<fleet_core> core;
        std::uint64_t generation = 0; // counts starts of the node; answers to an earlier process are dropped
        std::uint64_t bytes = 0;
        std::uint64_t publishedVersion = 0;
    };

    struct scheduled_event {
        time_point when;
        std::uint64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const scheduled_event &other) const
        {
            return std::pair(when, sequence) > std::pair(other.when, other.sequence);
        }
    };

    struct pending_watch {
        std::size_t index = 0;
        std::uint64_t generation = 0;
        std::uint64_t operation = 0;
        std::uint64_t knownVersion = 0;
    };

    member_record recordOf(std::size_t index) const;
    void schedule(duration delay, std::function<void()> run);
    void apply(std::size_t index, std::uint64_t generation, const fleet_core::event &event);
    void tick(std::size_t index, std::uint64_t generation);
    void execute(std::size_t index, const fleet_core::effect &effect);
    void call(std::size_t index, const fleet_effect::call_peer &call);
    void watch(std::size_t index, const fleet_effect::watch_head &watch);
    void finishWatch(const pending_watch &pending, bool isTimeout);
    void readHead(std::size_t index, std::uint64_t operation, duration delay);
    void answerWatches();
    bool isMessageLost();
    bool isPartitioned(std::size_t from, std::size_t to) const;
    duration latencyBetween(std::size_t from, std::size_t to) const;

    fleet_simulation_options m_options;
    gossip_random m_random;
    time_point m_now;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nonce = 0;
    std::priority_queue<scheduled_event> m_queue;
    std::vector<node> m_nodes;
    std::vector<pending_watch> m_pendingWatches;
    std::map<std::string, std::size_t> m_indexByAddress;
    std::map<std::pair<std::size_t, std::uint64_t>, std::function<void(const fleet_message &)>> m_answerCallbacks;
    std::uint64_t m_nextIncomingOperation = 1;
};

} // namespace nutmegtally
