#include "decay.h"
#include "limits.h"
#include "update_key.h"

#include <nutmegtally/admission_order.h>
#include <nutmegtally/ids.h>
#include <nutmegtally/log_line.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <tuple>

namespace nutmegtally
{

namespace
{

std::uint32_t accountKey(const std::string &service, const std::string &account)
{
    return updateKey(mixHash(hashText(service), hashText(account)));
}

std::uint8_t priorityByte(int priority)
{
    return static_cast<std::uint8_t>(std::clamp<int>(priority, 0, std::numeric_limits<std::int8_t>::max()));
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration fromSeconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

bool waitsForRoom(wait_reason reason)
{
    return reason == wait_reason::capacity || reason == wait_reason::elsewhere;
}

auto keyOf(const backlog_count &each)
{
    return std::pair(each.service, each.place);
}

auto keyOf(const account_use &each)
{
    return each.account;
}

auto keyOf(const return_count &each)
{
    return std::tuple(each.service, each.priority, each.account);
}

auto keyOf(const start_rate &each)
{
    return each.service;
}

template<typename Count>
Count *findSame(std::vector<Count> &list, const Count &wanted)
{
    const auto found = std::find_if(list.begin(), list.end(), [&](const Count &each) { return keyOf(each) == keyOf(wanted); });
    return found == list.end() ? nullptr : &*found;
}

/// The entry of @p list with the key of @p empty, which is added if there is none.
template<typename Count>
Count &sameOrNew(std::vector<Count> &list, const Count &empty)
{
    Count *found = findSame(list, empty);
    return found != nullptr ? *found : list.emplace_back(empty);
}

/// Keeps the first @p most entries by an order.
template<typename Count, typename Before>
void keepFirst(std::vector<Count> &list, std::size_t most, Before before)
{
    std::sort(list.begin(), list.end(), before);
    list.resize(std::min(list.size(), most));
}

/// Keeps what fits in a load update: the most urgent backlog and the largest of the others.
void keepLargest(admission_counts &counts)
{
    keepFirst(counts.backlog, limits::maxSharedBacklogs, [](const backlog_count &a, const backlog_count &b) {
        return std::tuple(a.place, -a.cost, a.service) < std::tuple(b.place, -b.cost, b.service);
    });
    keepFirst(counts.uses, limits::maxSharedUses,
              [](const account_use &a, const account_use &b) { return std::tuple(-a.cost, a.account) < std::tuple(-b.cost, b.account); });
    keepFirst(counts.returns, limits::maxSharedReturns, [](const return_count &a, const return_count &b) {
        return std::tuple(a.priority, b.count, a.account) < std::tuple(b.priority, a.count, b.account);
    });
    keepFirst(counts.rates, limits::maxSharedRates, [](const start_rate &a, const start_rate &b) {
        return std::tuple(-a.perSecond, a.service) < std::tuple(-b.perSecond, b.service);
    });
}

} // namespace

void decaying_sum::add(double amount, duration halfLife, time_point now)
{
    m_value = at(halfLife, now) + amount;
    m_at = now;
}

double decaying_sum::at(duration halfLife, time_point now) const
{
    return m_value == 0 ? 0 : m_value * halved(now - m_at, halfLife);
}

admission_order::admission_order(scheme by)
    : m_scheme(by)
{
}

void admission_order::setRouters(std::size_t count)
{
    m_routers = std::max<std::size_t>(1, count);
}

void admission_order::wait(admission_request request, wait_reason reason, time_point now)
{
    if (m_pass && reason == wait_reason::capacity) {
        const auto blocked = m_pass->try_emplace(request.service, request.priority).first;
        blocked->second = std::min(blocked->second, request.priority);
    }
    if (reason == wait_reason::capacity) {
        noteBacklog(request.service, now);
    }
    const auto [found, isNew] = m_waiting.try_emplace(request.id);
    waiting_request &entry = found->second;
    if (isNew) {
        entry.sequence = ++m_lastSequence;
        entry.since = now;
    }
    entry.request = std::move(request);
    entry.reason = reason;
}

void admission_order::remove(std::uint64_t id)
{
    m_waiting.erase(id);
}

std::vector<std::uint64_t> admission_order::beginPass(time_point now)
{
    m_pass.emplace();
    auto list = places(nullptr, now);
    std::sort(list.begin(), list.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<std::uint64_t> ids;
    ids.reserve(list.size());
    for (const auto &[position, entry] : list) {
        ids.push_back(entry->request.id);
    }
    return ids;
}

admission_turn admission_order::turnOf(const admission_request &request, time_point now) const
{
    if (!isByShare()) {
        return admission_turn::now;
    }
    if (m_pass) {
        if (const auto blocked = m_pass->find(request.service); blocked != m_pass->end() && blocked->second < request.priority) {
            return admission_turn::behindOthers;
        }
    } else {
        const bool isBlocked = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &each) {
            return each.second.reason == wait_reason::capacity && each.second.request.service == request.service
                   && each.second.request.priority <= request.priority;
        });
        if (isBlocked) {
            const place own = placeOf(request, now);
            for (const auto &[other, entry] : places(&request.service, now)) {
                if (entry->reason == wait_reason::capacity && entry->request.id != request.id && other < own) {
                    return admission_turn::behindOthers;
                }
            }
        }
    }
    const bool isHeld = now < request.heldUntil && hasBacklogElsewhere(updateKey(request.service), classOf(request, now), now);
    return isHeld ? admission_turn::heldBack : admission_turn::now;
}

std::size_t admission_order::limitedAhead(int priority, const std::string &account) const
{
    std::unordered_map<std::string_view, std::size_t> waitingOf; // by account
    std::vector<std::pair<int, std::size_t>> positions; // priority, and turn of the account
    auto list = byArrival();
    std::stable_sort(list.begin(), list.end(), [](const auto *a, const auto *b) { return a->request.priority < b->request.priority; });
    for (const waiting_request *entry : list) {
        const bool isLimited = entry->reason == wait_reason::limited;
        positions.emplace_back(entry->request.priority, isLimited ? waitingOf[entry->request.account]++ : 0);
    }
    const auto own = waitingOf.find(account);
    const std::pair<int, std::size_t> position(priority, own == waitingOf.end() ? 0 : own->second);
    return static_cast<std::size_t>(std::count_if(positions.begin(), positions.end(), [&](const auto &each) { return each <= position; }));
}

void admission_order::recordStart(const admission_request &request, double cost, duration waited, time_point now)
{
    if (!isByShare()) {
        return;
    }
    service_state &service = serviceFor(request.service, now);
    service.started.add(request.cost, limits::startRateHalfLife, now);
    service.startedRequests.add(1, limits::startRateHalfLife, now);
    service.startedBy[request.priority].add(request.cost, limits::startRateHalfLife, now);
    account_state &account = service.accounts[request.account];
    account.use.add(cost, limits::accountUseHalfLife, now);
    ++account.started;
    account.startedCost += cost;
    account.longestWait = std::max(account.longestWait, waited);
}

std::optional<duration> admission_order::expectedWait(const admission_request &request, time_point now) const
{
    const std::optional<double> rate = fleetRate(request.service, now);
    if (!rate) {
        return std::nullopt;
    }
    return fromSeconds(std::min(costAhead(request, now) / *rate, seconds(limits::maxStatedReturn)));
}

bool admission_order::isHopeless(const admission_request &request, time_point now) const
{
    const std::optional<duration> wait = isByShare() ? expectedWait(request, now) : std::nullopt;
    return wait && now + *wait > request.waitsUntil;
}

std::optional<duration> admission_order::refuse(const admission_request &request, std::uint64_t seed, duration longestPause, time_point now)
{
    if (!isByShare() || !hasBacklog(request.service, now)) {
        return std::nullopt;
    }
    double wait = seconds(limits::retryAfterNoRoom);
    if (const std::optional<duration> expected = expectedWait(request, now)) {
        // Other routers' promises are not known. Each router gives away its own part of the capacity.
        const double ownRate = rateOf(m_services.at(request.service), now);
        const double rate = ownRate > 0 ? ownRate : *fleetRate(request.service, now);
        wait = (seconds(*expected) + promisedCostAhead(request, now) / rate) / shareLeft(request, now);
    }
    wait = std::clamp(wait, seconds(limits::minStatedReturn), seconds(limits::maxStatedReturn));
    const double unit = static_cast<double>(seed >> 11) / static_cast<double>(1ULL << 53);
    const duration stated = fromSeconds(wait * (1 + limits::returnSpread * unit));
    if (stated <= longestPause) {
        service_state &service = serviceFor(request.service, now);
        service.promised.push_back(
            {request.caller, accountKey(request.service, request.account), request.priority, request.cost, now + stated});
        if (service.promised.size() > limits::maxPromisedReturns) {
            service.promised.pop_front();
        }
    }
    return stated;
}

bool admission_order::takeReturn(const admission_request &request, time_point now)
{
    const std::uint32_t account = accountKey(request.service, request.account);
    service_state &service = serviceFor(request.service, now);
    const auto promise = std::find_if(service.promised.begin(), service.promised.end(), [&](const promised_return &each) {
        return each.caller == request.caller && each.account == account && each.priority == request.priority && each.dueAt <= now
               && now - each.dueAt < limits::returnTolerance;
    });
    if (promise != service.promised.end()) {
        service.promised.erase(promise);
        return true;
    }
    return_count wanted {updateKey(request.service), priorityByte(request.priority), account, 0};
    std::size_t told = 0;
    for (auto &[source, peer] : m_peers) {
        const return_count *count = now - peer.receivedAt < limits::loadUpdateLifetime ? findSame(peer.counts.returns, wanted) : nullptr;
        told += count != nullptr ? count->count : 0;
    }
    const auto taken = std::count_if(service.guessed.begin(), service.guessed.end(), [&](const guessed_return &each) {
        return each.account == account && each.priority == request.priority && now - each.at < limits::returnTolerance;
    });
    // The callers spread over all routers, so this one expects its part of them.
    const double expected = static_cast<double>(told) / static_cast<double>(m_routers);
    if (expected < static_cast<double>(taken) + limits::minExpectedReturn) {
        return false;
    }
    service.guessed.push_back({account, request.priority, now});
    return true;
}

void admission_order::applyUpdate(const load_update &update, bool isCounted, time_point now)
{
    if (!isCounted || !isByShare()) {
        return;
    }
    m_peers[update.source] = {update.scope, update.admission, now};
    for (const backlog_count &each : update.admission.backlog) {
        for (auto &[name, service] : m_services) {
            if (updateKey(name) == each.service && each.waiting > 0) {
                noteBacklog(name, now);
            }
        }
    }
}

void admission_order::forgetUpdates()
{
    m_peers.clear();
}

admission_counts admission_order::ownCounts(time_point now) const
{
    admission_counts counts;
    if (!isByShare()) {
        return counts; // the other routers would do nothing with them
    }
    std::map<std::tuple<std::string_view, std::string_view, int>, admission_class> classes; // by service, account and priority
    for (const auto &[id, entry] : m_waiting) {
        if (entry.reason == wait_reason::capacity) {
            const auto [known, isNew] = classes.try_emplace({entry.request.service, entry.request.account, entry.request.priority});
            known->second = isNew ? classOf(entry.request, now) : known->second;
            const backlog_count empty {updateKey(entry.request.service), known->second, 0, 0};
            backlog_count &count = sameOrNew(counts.backlog, empty);
            ++count.waiting;
            count.cost += entry.request.cost;
        }
    }
    for (const auto &[name, service] : m_services) {
        const std::uint32_t hash = updateKey(name);
        for (const auto &[account, state] : service.accounts) {
            counts.uses.push_back({accountKey(name, account), state.use.at(limits::accountUseHalfLife, now)});
        }
        for (const promised_return &each : service.promised) {
            // Those that are due soon are told already: the message is on the way for a heartbeat or two.
            if (each.dueAt - now < limits::backlogLifetime && now - each.dueAt < limits::returnTolerance) {
                const return_count empty {hash, priorityByte(each.priority), each.account, 0};
                ++sameOrNew(counts.returns, empty).count;
            }
        }
        if (const double rate = rateOf(service, now); rate > 0) {
            counts.rates.push_back({hash, rate});
        }
    }
    keepLargest(counts);
    return counts;
}

void admission_order::add(admission_counts &sum, const admission_counts &counts, duration age)
{
    if (age < limits::backlogLifetime) {
        for (const backlog_count &each : counts.backlog) {
            backlog_count &total = sameOrNew<backlog_count>(sum.backlog, {each.service, each.place, 0, 0});
            total.waiting += each.waiting;
            total.cost += each.cost;
        }
    }
    for (const account_use &each : counts.uses) {
        sameOrNew<account_use>(sum.uses, {each.account, 0}).cost += each.cost * halved(age, limits::accountUseHalfLife);
    }
    for (const return_count &each : counts.returns) {
        sameOrNew<return_count>(sum.returns, {each.service, each.priority, each.account, 0}).count += each.count;
    }
    for (const start_rate &each : counts.rates) {
        sameOrNew<start_rate>(sum.rates, {each.service, 0}).perSecond += each.perSecond;
    }
}

admission_counts admission_order::sumOfCounts(load_scope scope, time_point now) const
{
    admission_counts sum = ownCounts(now);
    for (const auto &[source, peer] : m_peers) {
        const bool counts = peer.scope == load_scope::router || scope == load_scope::fleet;
        if (counts && now - peer.receivedAt < limits::loadUpdateLifetime) {
            add(sum, peer.counts, now - peer.receivedAt);
        }
    }
    keepLargest(sum);
    return sum;
}

admission_counts admission_order::excludingRouter(admission_counts sums, const std::string &router, time_point now) const
{
    const auto peer = m_peers.find(router);
    if (peer == m_peers.end() || now - peer->second.receivedAt >= limits::loadUpdateLifetime) {
        return sums;
    }
    admission_counts own;
    add(own, peer->second.counts, now - peer->second.receivedAt);
    for (const backlog_count &each : own.backlog) {
        if (backlog_count *sum = findSame(sums.backlog, each)) {
            sum->waiting -= std::min(sum->waiting, each.waiting);
            sum->cost = std::max(0.0, sum->cost - each.cost);
        }
    }
    for (const account_use &each : own.uses) {
        if (account_use *sum = findSame(sums.uses, each)) {
            sum->cost = std::max(0.0, sum->cost - each.cost);
        }
    }
    for (const return_count &each : own.returns) {
        if (return_count *sum = findSame(sums.returns, each)) {
            sum->count -= std::min(sum->count, each.count);
        }
    }
    for (const start_rate &each : own.rates) {
        if (start_rate *sum = findSame(sums.rates, each)) {
            sum->perSecond = std::max(0.0, sum->perSecond - each.perSecond);
        }
    }
    std::erase_if(sums.backlog, [](const backlog_count &each) { return each.waiting == 0; });
    std::erase_if(sums.returns, [](const return_count &each) { return each.count == 0; });
    return sums;
}

std::map<std::pair<std::string, int>, admission_order::backlog> admission_order::backlogs(time_point now) const
{
    std::map<std::pair<std::string, int>, backlog> result;
    for (const auto &[id, entry] : m_waiting) {
        if (waitsForRoom(entry.reason)) {
            backlog &each = result[{entry.request.service, entry.request.priority}];
            ++each.waiting;
            each.cost += entry.request.cost;
            each.longestWait = std::max(each.longestWait, now - entry.since);
        }
    }
    for (const auto &[source, peer] : m_peers) {
        for (const backlog_count &count : peer.counts.backlog) {
            for (const auto &[name, service] : m_services) {
                if (now - peer.receivedAt < limits::backlogLifetime && updateKey(name) == count.service) {
                    result[{name, count.place.priority}].elsewhere += count.waiting;
                }
            }
        }
    }
    return result;
}

std::vector<log_record> admission_order::tick(time_point now)
{
    for (const auto &[id, entry] : m_waiting) {
        if (entry.reason == wait_reason::capacity) {
            noteBacklog(entry.request.service, now);
        }
    }
    std::erase_if(m_peers, [now](const auto &peer) { return now - peer.second.receivedAt >= limits::loadUpdateLifetime; });
    for (auto &[name, service] : m_services) {
        std::erase_if(service.promised, [now](const promised_return &each) { return now - each.dueAt >= limits::returnTolerance; });
        std::erase_if(service.guessed, [now](const guessed_return &each) { return now - each.at >= limits::returnTolerance; });
    }
    if (now < m_nextReportAt) {
        return {};
    }
    m_nextReportAt = now + limits::admissionReportInterval;
    std::vector<log_record> records;
    std::map<std::string, bool> hasBacklog; // by service
    for (const auto &[key, each] : backlogs(now)) {
        if (each.waiting > 0) {
            hasBacklog[key.first] = true;
            log_line line;
            line.with("service", key.first).with("priority", key.second).with("waiting", each.waiting).with("cost", each.cost);
            line.with("elsewhere", each.elsewhere).with("longest_wait_ms", each.longestWait);
            records.push_back({log_event::admissionBacklog, line.take()});
        }
    }
    for (auto &[name, service] : m_services) {
        std::vector<std::pair<double, std::string>> uses;
        double total = 0;
        for (const auto &[account, state] : service.accounts) {
            uses.emplace_back(useOf(name, account, now), account);
            total += uses.back().first;
        }
        std::sort(uses.begin(), uses.end(), std::greater<>());
        for (std::size_t i = 0; hasBacklog[name] && i < std::min(uses.size(), limits::maxReportedAccounts); ++i) {
            const account_state &state = service.accounts[uses[i].second];
            const auto waiting = std::count_if(m_waiting.begin(), m_waiting.end(), [&, &name = name](const auto &each) {
                return each.second.request.service == name && each.second.request.account == uses[i].second;
            });
            log_line line;
            line.with("service", name).with("account", uses[i].second).with("share_percent", total > 0 ? 100 * uses[i].first / total : 0);
            line.with("use", uses[i].first).with("waiting", waiting).with("started", state.started);
            line.with("started_cost", state.startedCost).with("longest_wait_ms", state.longestWait);
            records.push_back({log_event::admissionShare, line.take()});
        }
        for (auto &[account, state] : service.accounts) {
            state = {state.use};
        }
        std::erase_if(service.accounts,
                      [now](const auto &each) { return each.second.use.at(limits::accountUseHalfLife, now) < limits::minAccountUse; });
    }
    return records;
}

admission_order::service_state &admission_order::serviceFor(const std::string &name, time_point now)
{
    const auto [found, isNew] = m_services.try_emplace(name);
    if (isNew) {
        found->second.measuredSince = now;
    }
    return found->second;
}

void admission_order::noteBacklog(const std::string &name, time_point now)
{
    if (!isByShare()) {
        return;
    }
    service_state &service = serviceFor(name, now);
    if (!service.backlogSince || now - service.lastBacklogAt > limits::maxBacklogBreak) {
        // What was started before was the demand, which says nothing about the capacity.
        service.backlogSince = now;
        service.measuredSince = now;
        service.started = {};
        service.startedBy.clear();
        service.startedRequests = {};
    }
    service.lastBacklogAt = now;
}

double admission_order::useOf(const std::string &service, const std::string &account, time_point now) const
{
    double use = 0;
    if (const auto state = m_services.find(service); state != m_services.end()) {
        const auto own = state->second.accounts.find(account);
        use = own == state->second.accounts.end() ? 0 : own->second.use.at(limits::accountUseHalfLife, now);
    }
    const std::uint32_t key = accountKey(service, account);
    for (const auto &[source, peer] : m_peers) {
        const duration age = now - peer.receivedAt;
        for (const account_use &each : peer.counts.uses) {
            if (each.account == key && age < limits::loadUpdateLifetime) {
                use += each.cost * halved(age, limits::accountUseHalfLife);
            }
        }
    }
    return use;
}

bool admission_order::isWithinShare(const std::string &service, const std::string &account, time_point now) const
{
    double total = 0;
    std::size_t others = 0;
    if (const auto state = m_services.find(service); state != m_services.end()) {
        for (const auto &[name, each] : state->second.accounts) {
            if (name != account) {
                total += useOf(service, name, now);
                ++others;
            }
        }
    }
    const double mean = total / std::max(1.0, static_cast<double>(others));
    return others == 0 || useOf(service, account, now) <= limits::overShareFactor * mean;
}

std::vector<const admission_order::waiting_request *> admission_order::byArrival() const
{
    std::vector<const waiting_request *> list;
    list.reserve(m_waiting.size());
    for (const auto &[id, entry] : m_waiting) {
        list.push_back(&entry);
    }
    std::sort(list.begin(), list.end(), [](const auto *a, const auto *b) { return a->sequence < b->sequence; });
    return list;
}

std::vector<std::pair<admission_order::place, const admission_order::waiting_request *>> admission_order::places(const std::string *service,
                                                                                                                 time_point now) const
{
    struct account_position {
        double use = 0;
        bool isWithinShare = false;
    };
    auto list = byArrival();
    if (service != nullptr) {
        std::erase_if(list, [service](const auto *each) { return each->request.service != *service; });
    }
    // Within an account, returned requests come before others.
    std::stable_sort(list.begin(), list.end(), [](const auto *a, const auto *b) {
        return std::pair(a->request.priority, !a->request.isReturned) < std::pair(b->request.priority, !b->request.isReturned);
    });
    std::map<std::tuple<std::string_view, std::string_view, int>, account_position> positions;
    std::unordered_map<std::string_view, std::size_t> turns; // by account
    std::vector<std::pair<place, const waiting_request *>> result;
    result.reserve(list.size());
    for (const waiting_request *entry : list) {
        const admission_request &request = entry->request;
        place each;
        each.sequence = entry->sequence;
        if (m_scheme != scheme::arrival) {
            each.priority = request.priority;
            each.turn = entry->reason == wait_reason::limited ? turns[request.account]++ : 0;
        }
        if (isByShare()) {
            const auto [position, isNew] = positions.try_emplace({request.service, request.account, request.priority});
            if (isNew) {
                position->second = {useOf(request.service, request.account, now), isWithinShare(request.service, request.account, now)};
            }
            each.isAfterReturns = !(request.isReturned && position->second.isWithinShare);
            each.use = position->second.use;
            position->second.use += request.cost;
        }
        result.emplace_back(each, entry);
    }
    return result;
}

admission_order::place admission_order::placeOf(const admission_request &request, time_point now) const
{
    place own {request.priority, true, 0, useOf(request.service, request.account, now), m_lastSequence + 1};
    if (const auto waiting = m_waiting.find(request.id); waiting != m_waiting.end()) {
        own.sequence = waiting->second.sequence;
    }
    own.isAfterReturns = !(request.isReturned && isWithinShare(request.service, request.account, now));
    for (const auto &[id, entry] : m_waiting) {
        const admission_request &other = entry.request;
        const bool isOfSameAccount
            = other.service == request.service && other.account == request.account && other.priority == request.priority;
        if (isOfSameAccount && id != request.id
            && std::pair(!other.isReturned, entry.sequence) < std::pair(!request.isReturned, own.sequence)) {
            own.use += other.cost;
        }
    }
    return own;
}

double admission_order::costAhead(const admission_request &request, time_point now) const
{
    const place own = placeOf(request, now);
    double cost = 0;
    double requests = 0;
    double requestsAlike = 0; // of the same priority, at this router
    double aheadAlike = 0; // of them, those that come first
    for (const auto &[other, entry] : places(&request.service, now)) {
        if (!waitsForRoom(entry->reason) || entry->request.id == request.id) {
            continue;
        }
        const double isAhead = other < own ? 1 : 0;
        const double isAlike = entry->request.priority == request.priority ? 1 : 0;
        cost += isAhead * entry->request.cost;
        requests += isAhead;
        requestsAlike += isAlike;
        aheadAlike += isAhead * isAlike;
    }
    // The accounts of requests that wait at other routers are not known; as many of them as here are taken to come first.
    const double shareAhead = requestsAlike > 0 ? aheadAlike / requestsAlike : 0.5;
    const std::uint32_t hash = updateKey(request.service);
    const admission_class ownClass = classOf(request, now);
    for (const auto &[source, peer] : m_peers) {
        for (const backlog_count &each : peer.counts.backlog) {
            if (each.service == hash && now - peer.receivedAt < limits::backlogLifetime && each.place <= ownClass) {
                const double share = each.place < ownClass ? 1 : shareAhead;
                cost += share * each.cost;
                requests += share * each.waiting;
            }
        }
    }
    const auto service = m_services.find(request.service);
    const double started = service == m_services.end() ? 0 : service->second.startedRequests.at(limits::startRateHalfLife, now);
    const double usualCost = started > 0 ? service->second.started.at(limits::startRateHalfLife, now) / started : 0;
    return usualCost > 0 ? std::min(cost, requests * usualCost) : cost;
}

double admission_order::promisedCostAhead(const admission_request &request, time_point now) const
{
    double cost = 0;
    if (const auto service = m_services.find(request.service); service != m_services.end()) {
        for (const promised_return &each : service->second.promised) {
            cost += each.dueAt > now && each.priority <= request.priority ? each.cost : 0;
        }
    }
    return cost;
}

double admission_order::shareLeft(const admission_request &request, time_point now) const
{
    const service_state &service = m_services.at(request.service);
    const double total = service.started.at(limits::startRateHalfLife, now);
    double left = total;
    for (const auto &[priority, started] : service.startedBy) {
        left -= priority < request.priority ? started.at(limits::startRateHalfLife, now) : 0;
    }
    double share = total > 0 ? left / total : 1;
    if (!isWithinShare(request.service, request.account, now)) {
        double uses = 0;
        for (const auto &[account, state] : service.accounts) {
            uses += useOf(request.service, account, now);
        }
        share *= uses > 0 ? useOf(request.service, request.account, now) / uses : 1;
    }
    return std::clamp(share, limits::minShareLeft, 1.0);
}

double admission_order::rateOf(const service_state &service, time_point now) const
{
    const double halfLife = seconds(limits::startRateHalfLife);
    const duration measured = std::max(now - service.measuredSince, limits::minBacklogTime);
    const double weight = halfLife / std::numbers::ln2 * (1 - halved(measured, limits::startRateHalfLife));
    return service.started.at(limits::startRateHalfLife, now) / weight;
}

std::optional<double> admission_order::fleetRate(const std::string &name, time_point now) const
{
    const auto found = m_services.find(name);
    if (found == m_services.end() || !found->second.backlogSince || now - found->second.lastBacklogAt > limits::maxBacklogBreak
        || now - *found->second.backlogSince < limits::minBacklogTime) {
        return std::nullopt;
    }
    double rate = rateOf(found->second, now);
    const std::uint32_t service = updateKey(name);
    for (const auto &[source, peer] : m_peers) {
        for (const start_rate &each : peer.counts.rates) {
            rate += each.service == service && now - peer.receivedAt < limits::loadUpdateLifetime ? each.perSecond : 0;
        }
    }
    return rate > 0 ? std::optional(rate) : std::nullopt;
}

bool admission_order::hasBacklog(const std::string &service, time_point now) const
{
    return hasBacklogElsewhere(updateKey(service), std::nullopt, now)
           || std::any_of(m_waiting.begin(), m_waiting.end(), [&service](const auto &each) {
                  return each.second.request.service == service && waitsForRoom(each.second.reason);
              });
}

admission_class admission_order::classOf(const admission_request &request, time_point now) const
{
    return {priorityByte(request.priority), !isWithinShare(request.service, request.account, now)};
}

bool admission_order::hasBacklogElsewhere(std::uint32_t service, std::optional<admission_class> than, time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &peer) {
        const std::vector<backlog_count> &counts = peer.second.counts.backlog;
        return now - peer.second.receivedAt < limits::backlogLifetime
               && std::any_of(counts.begin(), counts.end(), [&](const backlog_count &each) {
                      return each.service == service && each.waiting > 0 && (!than || each.place < *than);
                  });
    });
}

} // namespace nutmegtally
