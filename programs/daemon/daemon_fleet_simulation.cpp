#include "daemon/daemon_fleet_simulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(100);
constexpr duration platformLatency = std::chrono::milliseconds(4);

std::size_t encodedBytes(const fleet_message &message)
{
    return toJson(message).dump().size();
}

} // namespace

object_reply memory_store::read(const std::string &name) const
{
    object_reply reply;
    if (isDown) {
        return reply;
    }
    reply.status = object_status::ok;
    const auto found = m_entries.find(name);
    if (found != m_entries.end()) {
        reply.version = found->second.version;
        reply.value = found->second.value;
    }
    return reply;
}

object_reply memory_store::write(const std::string &name, const std::string &value, std::uint64_t expectedVersion)
{
    object_reply reply;
    if (beforeWrite) {
        std::exchange(beforeWrite, nullptr)(name);
    }
    if (isDown) {
        return reply;
    }
    if (writesToLose > 0) {
        --writesToLose;
        reply.status = object_status::unknown;
        return reply;
    }
    const auto found = m_entries.find(name);
    const std::uint64_t current = found == m_entries.end() ? 0 : found->second.version;
    if (current != expectedVersion) {
        reply.status = object_status::conflict;
        reply.version = current;
        return reply;
    }
    m_entries[name] = {++m_lastVersion, value};
    reply.status = answersToLose > 0 ? object_status::unknown : object_status::ok;
    reply.version = answersToLose > 0 ? 0 : m_lastVersion;
    answersToLose -= answersToLose > 0 ? 1 : 0;
    return reply;
}

object_reply memory_store::remove(const std::string &name, std::uint64_t expectedVersion)
{
    object_reply reply;
    const auto found = m_entries.find(name);
    if (isDown) {
        return reply;
    }
    reply.status = found == m_entries.end() || found->second.version == expectedVersion ? object_status::ok : object_status::conflict;
    if (found != m_entries.end() && reply.status == object_status::ok) {
        m_entries.erase(found);
    }
    return reply;
}

object_list memory_store::list(const std::string &prefix) const
{
    object_list result;
    if (isDown) {
        return result;
    }
    result.status = object_status::ok;
    for (const auto &[name, stored] : m_entries) {
        if (name.starts_with(prefix)) {
            result.entries.push_back({name, stored.version, stored.value.size()});
        }
    }
    return result;
}

fleet_simulation::fleet_simulation(fleet_simulation_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(duration(0))
    , m_nodes(m_options.nodes)
{
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        const member_record record = recordOf(i);
        m_indexByAddress[record.address] = i;
        vms.push_back({record.name, record.address, false});
    }
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        startNode(i);
    }
    if (!m_options.startWithAllRecords) {
        return;
    }
    fleet_message allRecords;
    allRecords.kind = message_kind::push;
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        allRecords.members.push_back(recordOf(i));
    }
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        allRecords.sender = recordOf((i + 1) % m_options.nodes).vm;
        deliver(i, allRecords);
    }
}

std::string fleet_simulation::domainName(std::size_t index) const
{
    return "domain-" + std::to_string(index % m_options.domains);
}

std::size_t fleet_simulation::regionOf(std::size_t index) const
{
    return (index % m_options.domains) % m_options.regions;
}

member_record fleet_simulation::recordOf(std::size_t index) const
{
    member_record record;
    record.name = "vm-" + std::to_string(index);
    record.vm = vm_id::fromName(record.name);
    record.role = "agent";
    record.domain = domainName(index);
    record.region = "region-" + std::to_string(regionOf(index));
    record.upstream = "engine-" + std::to_string(index);
    record.model = "tally-llm";
    record.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
    record.incarnation = 1 + m_nodes[index].generation;
    return record;
}

void fleet_simulation::startNode(std::size_t index)
{
    node &started = m_nodes[index];
    fleet_options fleet = m_options.fleet;
    fleet.self = recordOf(index);
    fleet.seed = mixHash(m_options.seed, index * 1000 + ++started.generation);
    fleet.seedAddresses = {recordOf(0).address, recordOf(m_options.nodes / 2).address};
    started.core = std::make_unique<fleet_core>(std::move(fleet));
    started.publishedVersion = 0;
    const std::uint64_t generation = started.generation;
    const duration firstTickDelay = duration(static_cast<duration::rep>(m_random.below(static_cast<std::uint64_t>(tickInterval.count()))));
    schedule(firstTickDelay, [this, index, generation] { tick(index, generation); });
}

void fleet_simulation::stopNode(std::size_t index)
{
    m_nodes[index].core.reset();
}

void fleet_simulation::schedule(duration delay, std::function<void()> run)
{
    m_queue.push({m_now + delay, m_sequence++, std::move(run)});
}

void fleet_simulation::runTo(duration time)
{
    const time_point end {time};
    while (!m_queue.empty() && m_queue.top().when <= end) {
        const scheduled_event next = m_queue.top();
        m_queue.pop();
        m_now = next.when;
        next.run();
    }
    m_now = end;
}

void fleet_simulation::tick(std::size_t index, std::uint64_t generation)
{
    if (m_nodes[index].generation != generation || m_nodes[index].core == nullptr) {
        return;
    }
    apply(index, generation, fleet_event::tick {});
    schedule(tickInterval, [this, index, generation] { tick(index, generation); });
}

void fleet_simulation::apply(std::size_t index, std::uint64_t generation, const fleet_core::event &event)
{
    if (m_nodes[index].generation != generation || m_nodes[index].core == nullptr) {
        return;
    }
    std::vector<fleet_core::effect> effects;
    m_nodes[index].core->apply(m_now, event, effects);
    for (const fleet_core::effect &effect : effects) {
        execute(index, effect);
    }
}

void fleet_simulation::execute(std::size_t index, const fleet_core::effect &effect)
{
    const std::uint64_t generation = m_nodes[index].generation;
    const auto handler = overloaded {
        [&](const fleet_effect::watch_head &watched) { watch(index, watched); },
        [&](const fleet_effect::read_head &read) { readHead(index, read.operation, platformLatency); },
        [&](const fleet_effect::read_base &read) {
            schedule(platformLatency, [this, index, generation, read] {
                const object_reply reply = store.read(configBaseName(read.version));
                apply(index, generation,
                      fleet_event::base_read {read.operation, reply.status, read.version, reply.version != 0, reply.value});
            });
        },
        [&](const fleet_effect::read_vm_list &) {
            schedule(platformLatency, [this, index, generation] {
                apply(index, generation, fleet_event::vm_list_read {!isVmListDown, !isVmListDown, isVmListDown ? decltype(vms) {} : vms});
            });
        },
        [&](const fleet_effect::call_peer &called) { call(index, called); },
        [&](const fleet_effect::answer_peer &answer) {
            const auto found = m_answerCallbacks.find({index, answer.operation});
            if (found != m_answerCallbacks.end()) {
                const auto reply = std::move(found->second);
                m_answerCallbacks.erase(found);
                reply(answer.message);
            }
        },
        [&](const fleet_effect::config_applied &applied) {
            node &publisher = m_nodes[index];
            hasVersionRegressed = hasVersionRegressed || applied.config->version <= publisher.publishedVersion;
            publisher.publishedVersion = applied.config->version;
        },
        [&](const log_record &record) { logLines.push_back(std::string(logEventInfo(record.event).name) + " " + record.text); },
        [](const auto &) {},
    };
    std::visit(handler, effect);
}

bool fleet_simulation::isMessageLost()
{
    return m_random.fraction() < m_options.loss;
}

bool fleet_simulation::isPartitioned(std::size_t from, std::size_t to) const
{
    return areRegionsPartitioned && regionOf(from) != regionOf(to);
}

duration fleet_simulation::latencyBetween(std::size_t from, std::size_t to) const
{
    return regionOf(from) == regionOf(to) ? m_options.latency : m_options.interRegionLatency;
}

void fleet_simulation::call(std::size_t index, const fleet_effect::call_peer &called)
{
    const std::uint64_t generation = m_nodes[index].generation;
    const auto found = m_indexByAddress.find(called.address);
    const std::uint64_t operation = called.operation;
    const auto fail = [this, index, generation, operation](duration delay) {
        schedule(delay, [this, index, generation, operation] { apply(index, generation, fleet_event::call_failed {operation}); });
    };
    if (found == m_indexByAddress.end() || !isRunning(found->second)) {
        fail(m_options.latency * 2); // the connection is refused
        return;
    }
    const std::size_t target = found->second;
    m_nodes[index].bytes += encodedBytes(called.message) + m_options.requestOverheadBytes;
    if (isPartitioned(index, target) || isMessageLost()) {
        fail(m_options.callTimeout);
        return;
    }
    const duration latency = latencyBetween(index, target);
    const std::uint64_t targetGeneration = m_nodes[target].generation;
    schedule(latency, [=, this, message = called.message] {
        if (m_nodes[target].generation != targetGeneration || !isRunning(target)) {
            fail(latency);
            return;
        }
        m_nodes[target].bytes += encodedBytes(message) + m_options.requestOverheadBytes;
        const std::uint64_t incoming = m_nextIncomingOperation++;
        m_answerCallbacks[{target, incoming}] = [=, this](const fleet_message &answer) {
            m_nodes[target].bytes += encodedBytes(answer) + m_options.answerOverheadBytes;
            if (isPartitioned(target, index) || isMessageLost()) {
                fail(m_options.callTimeout);
                return;
            }
            schedule(latency, [=, this] {
                m_nodes[index].bytes += encodedBytes(answer) + m_options.answerOverheadBytes;
                apply(index, generation, fleet_event::call_answered {operation, answer});
            });
        };
        apply(target, targetGeneration, fleet_event::message_received {incoming, message});
    });
}

void fleet_simulation::deliver(std::size_t index, const fleet_message &message)
{
    apply(index, m_nodes[index].generation, fleet_event::message_received {m_nextIncomingOperation++, message});
}

void fleet_simulation::post(std::size_t index, const fleet_event::leave_requested &request)
{
    apply(index, m_nodes[index].generation, request);
}

void fleet_simulation::readHead(std::size_t index, std::uint64_t operation, duration delay)
{
    const std::uint64_t generation = m_nodes[index].generation;
    if (isMessageLost()) {
        schedule(m_options.callTimeout, [=, this] {
            apply(index, generation, fleet_event::head_read {operation, object_status::unavailable, 0, false, ""});
        });
        return;
    }
    schedule(delay, [=, this] {
        const object_reply reply = store.read(configHeadName);
        apply(index, generation, fleet_event::head_read {operation, reply.status, reply.version, true, reply.value});
    });
}

void fleet_simulation::watch(std::size_t index, const fleet_effect::watch_head &watched)
{
    const std::uint64_t generation = m_nodes[index].generation;
    const pending_watch pending {index, generation, watched.operation, watched.knownVersion};
    const bool isUnanswered = areWatchesUnanswered || isMessageLost();
    if (!isUnanswered && store.isDown) {
        readHead(index, watched.operation, platformLatency);
        return;
    }
    if (!isUnanswered && store.read(configHeadName).version != watched.knownVersion) {
        readHead(index, watched.operation, platformLatency);
        return;
    }
    if (!isUnanswered) {
        m_pendingWatches.push_back(pending);
    }
    const duration wait = watched.wait + (isUnanswered ? m_options.callTimeout : duration(0));
    schedule(wait, [=, this] {
        if (isUnanswered) {
            apply(index, generation, fleet_event::head_read {pending.operation, object_status::unavailable, 0, false, ""});
        } else {
            finishWatch(pending, true);
        }
    });
}

void fleet_simulation::finishWatch(const pending_watch &pending, bool isTimeout)
{
    const auto found = std::find_if(m_pendingWatches.begin(), m_pendingWatches.end(), [&](const pending_watch &other) {
        return other.index == pending.index && other.operation == pending.operation && other.generation == pending.generation;
    });
    if (found == m_pendingWatches.end()) {
        return;
    }
    m_pendingWatches.erase(found);
    if (!isTimeout) {
        readHead(pending.index, pending.operation, platformLatency);
        return;
    }
    if (areWatchesUnanswered) {
        schedule(m_options.callTimeout, [=, this] {
            apply(pending.index, pending.generation, fleet_event::head_read {pending.operation, object_status::unavailable, 0, false, ""});
        });
        return;
    }
    const object_status status = store.isDown ? object_status::unavailable : object_status::ok;
    apply(pending.index, pending.generation, fleet_event::head_read {pending.operation, status, pending.knownVersion, false, ""});
}

void fleet_simulation::answerWatches()
{
    if (areWatchesUnanswered) {
        return; // each ends by its own timeout
    }
    const std::vector<pending_watch> pending = m_pendingWatches;
    for (const pending_watch &entry : pending) {
        finishWatch(entry, false);
    }
}

change_result fleet_simulation::change(const nlohmann::json &patch)
{
    change_request request;
    request.nonce = "n" + std::to_string(++m_nonce);
    request.who = "operator";
    request.why = "test";
    request.patch = patch;
    change_result result = applyChange(store, request);
    if (result.status == change_status::accepted) {
        answerWatches();
    }
    return result;
}

bool fleet_simulation::allNodesHaveVersion(std::uint64_t version) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const node &each) { return each.core == nullptr || each.core->config().version() >= version; });
}

duration fleet_simulation::runUntilAllNodesHave(std::uint64_t version, duration limit)
{
    constexpr duration step = std::chrono::milliseconds(5);
    const duration start = now();
    while (!allNodesHaveVersion(version) && now() - start < limit) {
        runFor(step);
    }
    return now() - start;
}

bool fleet_simulation::membersAgree() const
{
    std::vector<std::uint64_t> digests;
    for (const node &each : m_nodes) {
        if (each.core != nullptr) {
            digests.push_back(each.core->members().digest());
        }
    }
    return std::adjacent_find(digests.begin(), digests.end(), std::not_equal_to<>()) == digests.end();
}

std::uint64_t fleet_simulation::duplicates() const
{
    std::uint64_t sum = 0;
    for (const node &each : m_nodes) {
        sum += each.core == nullptr ? 0 : each.core->status(m_now).duplicates;
    }
    return sum;
}

} // namespace nutmegtally
