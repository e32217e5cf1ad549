// Order lease, pacing of orders, and the agent's check of fencing tokens.
#include <nutmegtally/errors.h>
#include <nutmegtally/orders.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

std::string encode(const order_lease &lease)
{
    return nlohmann::json {{"holder", lease.holder}, {"fencing", lease.fencingToken}, {"nonce", toHex(lease.nonce)}}.dump();
}

order_lease decodeLease(std::string_view text)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(text);
        return {value.at("holder").get<std::string>(), value.at("fencing").get<std::uint64_t>(),
                fromHex(value.at("nonce").get<std::string>())};
    } catch (const nlohmann::json::exception &fault) {
        throw error(error_code::internal, fault.what());
    }
}

order_core::order_core(order_options options)
    : m_options(std::move(options))
{
}

void order_core::apply(time_point now, const event &posted, std::vector<effect> &effects)
{
    std::visit([&](const auto &alternative) { on(now, alternative, effects); }, posted);
}

bool order_core::isHolder(time_point now) const
{
    return m_leaseExpiry && now < *m_leaseExpiry;
}

void order_core::readLease(time_point now, std::vector<effect> &effects)
{
    m_operationInFlight = ++m_counter;
    m_nextCallAt = now + m_options.leaseDuration / 3;
    effects.emplace_back(order_effect::read_object {m_operationInFlight, std::string(orderLeaseName)});
}

void order_core::writeLease(time_point now, std::uint64_t fencingToken, std::vector<effect> &effects)
{
    m_operationInFlight = ++m_counter;
    m_nextCallAt = now + m_options.leaseDuration / 3;
    m_writeStartedAt = now;
    m_writtenLease = {m_options.self, fencingToken, mixHash(m_options.nonceSeed, m_counter)};
    effects.emplace_back(order_effect::write_object {m_operationInFlight, std::string(orderLeaseName), m_version, encode(m_writtenLease)});
}

void order_core::loseLease(std::vector<effect> &effects)
{
    if (!m_leaseExpiry) {
        return;
    }
    m_leaseExpiry.reset();
    for (const auto &[number, running] : m_running) {
        effects.emplace_back(order_effect::reply_order {number, order_result::unknown, {}});
    }
    for (const engine_order &order : m_waiting) {
        effects.emplace_back(order_effect::reply_order {order.number, order_result::notHolder, {}});
    }
    m_running.clear();
    m_waiting.clear();
    m_coldUpstreams.clear();
}

void order_core::on(time_point now, const order_event::object_read &result, std::vector<effect> &effects)
{
    if (result.operation != m_operationInFlight) {
        return;
    }
    m_operationInFlight = 0;
    if (result.status != object_status::ok && result.status != object_status::missing) {
        m_nextCallAt = now + m_options.retryDelay;
        return;
    }
    const bool exists = result.status == object_status::ok;
    const order_lease before = m_lease;
    try {
        m_lease = exists ? decodeLease(result.value) : order_lease();
    } catch (const error &fault) {
        effects.emplace_back(log_record {log_event::internalFault, fault.what()});
        m_nextCallAt = now + m_options.retryDelay;
        return;
    }
    // A restored object API gives versions out again, so the content is compared as well.
    const bool isChanged = !exists || result.version != m_version || !(m_lease == before);
    m_highestToken = std::max(m_highestToken, m_lease.fencingToken);
    m_version = exists ? result.version : std::string();
    const bool isOwnLease = exists && m_lease == m_writtenLease;
    if (isOwnLease && now < m_writeStartedAt + m_options.leaseDuration) {
        // The response to this process's write was lost. The lease runs from the start of that write.
        m_versionSeenAt = m_writeStartedAt;
        m_leaseExpiry = m_writeStartedAt + m_options.leaseDuration;
        sendWaiting(now, effects);
        return;
    }
    loseLease(effects);
    if (isOwnLease) {
        m_versionSeenAt = m_writeStartedAt;
    } else if (isChanged) {
        m_versionSeenAt = now;
    }
    // Independent of the holder's clock: the lease has expired if this process has not seen the object change for
    // leaseDuration.
    if (!exists || now >= m_versionSeenAt + m_options.leaseDuration) {
        writeLease(now, m_highestToken + 1, effects);
    }
}

void order_core::on(time_point now, const order_event::object_written &result, std::vector<effect> &effects)
{
    if (result.operation != m_operationInFlight) {
        return;
    }
    m_operationInFlight = 0;
    if (result.status != object_status::ok) {
        m_nextCallAt = now; // read the lease: another process may hold it, or the write took effect
        return;
    }
    m_lease = m_writtenLease;
    m_highestToken = std::max(m_highestToken, m_lease.fencingToken);
    m_version = result.version;
    m_versionSeenAt = m_writeStartedAt;
    m_leaseExpiry = m_writeStartedAt + m_options.leaseDuration;
    sendWaiting(now, effects);
}

void order_core::on(time_point now, const order_event::order_requested &request, std::vector<effect> &effects)
{
    if (!isHolder(now)) {
        effects.emplace_back(order_effect::reply_order {request.order.number, order_result::notHolder, m_lease.holder});
        return;
    }
    m_waiting.push_back(request.order);
    sendWaiting(now, effects);
}

bool order_core::mayStart(time_point now, const engine_order &order) const
{
    if (m_coldUpstreams.contains(order.upstream)) {
        return false; // one order at a time per upstream
    }
    if (order.bytes > 0 && now < m_weightStoreFreeAt) {
        return false;
    }
    const auto found = m_capacity.find(order.model);
    if (found == m_capacity.end()) {
        return m_coldUpstreams.empty();
    }
    const auto byOrder
        = std::count_if(m_coldUpstreams.begin(), m_coldUpstreams.end(), [&](const auto &cold) { return cold.second == order.model; });
    const double cold = static_cast<double>(byOrder) + found->second.cold;
    return cold + 1 <= std::max(1.0, m_options.maxColdShare * found->second.total);
}

void order_core::sendWaiting(time_point now, std::vector<effect> &effects)
{
    if (!isHolder(now)) {
        return;
    }
    for (auto order = m_waiting.begin(); order != m_waiting.end();) {
        if (!mayStart(now, *order)) {
            ++order;
            continue;
        }
        if (order->bytes > 0) {
            const std::chrono::duration<double> loadTime(static_cast<double>(order->bytes) / m_options.weightBytesPerSecond);
            m_weightStoreFreeAt = now + std::chrono::duration_cast<duration>(loadTime);
        }
        m_coldUpstreams[order->upstream] = order->model;
        running_order &running = m_running[order->number];
        running = {*order, 0, now};
        order = m_waiting.erase(order);
        sendOrder(now, running, effects);
    }
}

void order_core::sendOrder(time_point now, running_order &running, std::vector<effect> &effects)
{
    ++running.tries;
    running.retryAt = now + m_options.leaseDuration; // in case no result is ever posted
    effects.emplace_back(order_effect::send_order {running.order, m_lease.fencingToken});
}

void order_core::on(time_point now, const order_event::order_answered &answer, std::vector<effect> &effects)
{
    const auto found = m_running.find(answer.number);
    if (found == m_running.end()) {
        return;
    }
    running_order &running = found->second;
    if (answer.result == order_result::stale) {
        effects.emplace_back(log_record {log_event::orderRejected, "fencing=" + std::to_string(m_lease.fencingToken)});
        loseLease(effects);
        m_nextCallAt = now;
        return;
    }
    const bool mayRepeat = answer.result == order_result::unknown || answer.result == order_result::waiting;
    if (mayRepeat && running.tries < m_options.maxTries) {
        running.retryAt = now + m_options.retryDelay;
        return;
    }
    if (answer.result != order_result::done && answer.result != order_result::unknown) {
        m_coldUpstreams.erase(running.order.upstream); // the engine did not execute the order
    }
    effects.emplace_back(order_effect::reply_order {answer.number, answer.result, {}});
    m_running.erase(found);
    sendWaiting(now, effects);
}

void order_core::on(time_point now, const order_event::capacity_reported &report, std::vector<effect> &effects)
{
    m_capacity[report.model] = {report.total, report.cold};
    sendWaiting(now, effects);
}

void order_core::on(time_point now, const order_event::upstream_warm &warm, std::vector<effect> &effects)
{
    m_coldUpstreams.erase(warm.upstream);
    sendWaiting(now, effects);
}

void order_core::on(time_point now, const order_event::tick &, std::vector<effect> &effects)
{
    if (m_leaseExpiry && now >= *m_leaseExpiry) {
        loseLease(effects);
    }
    if (m_operationInFlight == 0 && now >= m_nextCallAt) {
        if (isHolder(now) && m_lease == m_writtenLease) {
            writeLease(now, m_lease.fencingToken, effects);
        } else {
            readLease(now, effects);
        }
    }
    if (!isHolder(now)) {
        return;
    }
    for (auto item = m_running.begin(); item != m_running.end();) {
        running_order &running = item->second;
        if (running.retryAt > now) {
            ++item;
        } else if (running.tries < m_options.maxTries) {
            sendOrder(now, running, effects);
            ++item;
        } else {
            effects.emplace_back(order_effect::reply_order {item->first, order_result::unknown, {}});
            item = m_running.erase(item);
        }
    }
    sendWaiting(now, effects);
}

void order_fencing_guard::updateFromLease(const order_lease &lease)
{
    m_highestToken = std::max(m_highestToken, lease.fencingToken);
    m_leaseIsKnown = true;
}

order_result order_fencing_guard::check(std::uint64_t fencingToken)
{
    if (fencingToken < m_highestToken) {
        return order_result::stale;
    }
    m_highestToken = fencingToken; // also while the result is waiting
    return m_leaseIsKnown ? order_result::done : order_result::waiting;
}

} // namespace nutmegtally
