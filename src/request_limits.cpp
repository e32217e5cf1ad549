#include "limits.h"

#include <nutmegtally/ids.h>
#include <nutmegtally/request_limits.h>
#include <nutmegtally/router_rank.h>

#include <algorithm>
#include <cmath>

namespace nutmegtally
{

namespace
{

duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double secondsOf(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// True if other routers should soon know that one figure replaced the other.
bool isMuchDifferent(const std::optional<double> &before, const std::optional<double> &after)
{
    if (!before || !after) {
        return before.has_value() != after.has_value();
    }
    return std::abs(*after - *before) > limits::limitNewsShare * *before;
}

} // namespace

limited_upstream limitedUpstreamOf(std::string_view instance, std::uint64_t incarnation)
{
    return {static_cast<std::uint32_t>(hashText(instance) >> 32), static_cast<std::uint32_t>(incarnation)};
}

void request_limits::setRouters(std::string self, std::vector<std::string> live)
{
    m_self = std::move(self);
    m_routers = std::move(live);
    if (std::find(m_routers.begin(), m_routers.end(), m_self) == m_routers.end()) {
        m_routers.push_back(m_self);
    }
    m_routerHashes = hashesOf(m_routers);
}

const request_limits::record *request_limits::find(limited_upstream upstream) const
{
    const auto found = m_records.find(upstream.key);
    return found == m_records.end() || found->second.incarnation != upstream.incarnation ? nullptr : &found->second;
}

void request_limits::replace(limited_upstream upstream, std::optional<double> perSecond, time_point heardAt)
{
    record &known = m_records[upstream.key];
    if (known.incarnation != upstream.incarnation) {
        known = {};
        known.incarnation = upstream.incarnation;
    }
    if (isMuchDifferent(known.perSecond, perSecond)) {
        known.isNews = true;
        m_hasNews = true;
        m_changes.push_back({upstream, perSecond});
    }
    known.perSecond = perSecond;
    known.heardAt = heardAt;
    if (!perSecond) {
        known.availableAt.clear();
        known.bucket.reset();
    }
}

void request_limits::recordStatement(limited_upstream upstream, std::optional<double> perSecond, time_point sentAt, time_point now)
{
    const record *known = find(upstream);
    const bool endsLimit = known != nullptr && known->perSecond && sentAt > known->heardAt;
    if (perSecond || endsLimit) {
        replace(upstream, perSecond, now);
    }
}

void request_limits::merge(const limit_statement &statement, time_point now)
{
    const time_point heardAt = now - statement.age;
    const record *known = find(statement.upstream);
    if (known == nullptr) {
        if (statement.perSecond) {
            replace(statement.upstream, statement.perSecond, heardAt);
        }
        return;
    }
    // The time on the way makes the same statement look newer at each router that passes it on.
    const bool isSame = known->perSecond == statement.perSecond;
    if (heardAt > known->heardAt + (isSame ? limits::limitRefreshInterval : duration(0))) {
        replace(statement.upstream, statement.perSecond, heardAt);
    }
}

limit_statement request_limits::statementOf(std::uint32_t key, const record &known, time_point now) const
{
    return {{key, known.incarnation}, known.perSecond, std::max(duration(0), now - known.heardAt)};
}

std::vector<limit_statement> request_limits::takeStatements(time_point now)
{
    std::erase_if(m_records,
                  [now](const auto &entry) { return !entry.second.perSecond && now - entry.second.heardAt > limits::limitEndShareTime; });
    std::vector<limit_statement> statements;
    const auto take = [&](records::iterator each) {
        each->second.isNews = false;
        statements.push_back(statementOf(each->first, each->second, now));
    };
    m_hasNews = false;
    for (auto each = m_records.begin(); each != m_records.end(); ++each) {
        if (each->second.isNews && statements.size() < limits::maxSharedLimits) {
            take(each);
        } else {
            m_hasNews = m_hasNews || each->second.isNews;
        }
    }
    auto next = m_records.upper_bound(m_lastShared);
    for (std::size_t left = m_records.size(); left > 0 && statements.size() < limits::maxSharedLimits; --left, ++next) {
        next = next == m_records.end() ? m_records.begin() : next;
        m_lastShared = next->first;
        take(next);
    }
    return statements;
}

std::optional<double> request_limits::limitOf(limited_upstream upstream) const
{
    const record *known = find(upstream);
    return known == nullptr ? std::nullopt : known->perSecond;
}

time_point request_limits::availableAt(limited_upstream upstream, const permit_claim &claim) const
{
    const record *known = find(upstream);
    if (known == nullptr) {
        return {};
    }
    const auto found = known->availableAt.find(claim);
    return found == known->availableAt.end() ? known->heldBackUntil : std::max(known->heldBackUntil, found->second);
}

std::vector<limit_statement> request_limits::limitsInForce() const
{
    std::vector<limit_statement> inForce;
    for (const auto &[key, known] : m_records) {
        if (known.perSecond) {
            inForce.push_back({{key, known.incarnation}, known.perSecond});
        }
    }
    return inForce;
}

void request_limits::forget(std::uint32_t key)
{
    m_records.erase(key);
}

std::pair<const std::string *, const std::string *> request_limits::issuersOf(std::uint32_t key) const
{
    std::size_t first = m_routers.size();
    std::size_t second = m_routers.size();
    const auto rankOf = [&](std::size_t router) { return mixHash(m_routerHashes[router], key); };
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (first == m_routers.size() || rankOf(i) < rankOf(first)) {
            second = first;
            first = i;
        } else if (second == m_routers.size() || rankOf(i) < rankOf(second)) {
            second = i;
        }
    }
    if (m_routers.empty()) {
        return {&m_self, &m_self};
    }
    return {&m_routers[first], &m_routers[second == m_routers.size() ? first : second]};
}

std::optional<std::string> request_limits::issuerOf(limited_upstream upstream, time_point now) const
{
    const auto [first, second] = issuersOf(upstream.key);
    for (const std::string *issuer : {first, second}) {
        const auto silent = m_silentUntil.find(*issuer);
        if (silent == m_silentUntil.end() || now >= silent->second) {
            return *issuer;
        }
    }
    return std::nullopt;
}

permit_request request_limits::ask(std::uint64_t number, limited_upstream upstream, const permit_claim &claim, time_point now)
{
    record &known = m_records[upstream.key];
    if (known.availableAt.size() >= limits::maxPermitClaims) {
        std::erase_if(known.availableAt, [now](const auto &each) { return each.second <= now; });
    }
    known.availableAt[claim] = now + limits::permitTimeout;
    return {number, statementOf(upstream.key, known, now), claim};
}

void request_limits::recordAnswer(const permit_answer &answer, time_point now)
{
    merge(answer.statement, now);
    const auto found = m_records.find(answer.statement.upstream.key);
    if (found != m_records.end() && found->second.incarnation == answer.statement.upstream.incarnation) {
        found->second.availableAt[answer.claim] = now + answer.wait;
    }
}

void request_limits::recordSilence(const std::string &issuer, time_point now)
{
    m_silentUntil[issuer] = now + limits::silentIssuerTime;
}

void request_limits::holdBack(limited_upstream upstream, time_point now)
{
    m_records[upstream.key].heldBackUntil = now + limits::silentIssuerTime;
}

double request_limits::issueRate(std::uint32_t key, double perSecond) const
{
    const bool isFirst = *issuersOf(key).first == m_self;
    return std::max(perSecond, limits::minPermitsPerSecond) * (isFirst ? 1.0 : limits::standbyPermitShare);
}

bool request_limits::isOutranked(const detail::permit_bucket &bucket, int priority, time_point now)
{
    return std::any_of(bucket.deniedAt.begin(), bucket.deniedAt.lower_bound(priority),
                       [now](const auto &denied) { return now - denied.second < limits::permitMemory; });
}

bool request_limits::isOverShare(detail::permit_bucket &bucket, std::uint32_t account, time_point now)
{
    double total = 0;
    bool othersWait = false;
    for (auto &[name, use] : bucket.accounts) {
        use.grants *= std::exp2(-secondsOf(now - use.grantsAt) / secondsOf(limits::permitShareHalfLife));
        use.grantsAt = now;
        total += use.grants;
        othersWait = othersWait || (name != account && now - use.deniedAt < limits::permitMemory);
    }
    const auto own = bucket.accounts.find(account);
    return othersWait && own != bucket.accounts.end() && own->second.grants > limits::maxAccountPermitShare * total;
}

void request_limits::recordUse(detail::permit_bucket &bucket, const permit_claim &claim, bool isGranted, time_point now)
{
    if (bucket.accounts.size() >= limits::maxPermitAccounts && !bucket.accounts.contains(claim.account)) {
        bucket.accounts.erase(std::min_element(bucket.accounts.begin(), bucket.accounts.end(),
                                               [](const auto &a, const auto &b) { return a.second.grantsAt < b.second.grantsAt; }));
    }
    detail::account_use &use = bucket.accounts[claim.account];
    use.grantsAt = now;
    if (isGranted) {
        use.grants += 1;
        return;
    }
    use.deniedAt = now;
    bucket.deniedAt[claim.priority] = now;
}

permit_answer request_limits::decide(const permit_request &request, time_point now)
{
    merge(request.statement, now);
    permit_answer answer;
    answer.number = request.number;
    answer.claim = request.claim;
    answer.statement = request.statement;
    const auto found = m_records.find(request.statement.upstream.key);
    if (found == m_records.end() || found->second.incarnation != request.statement.upstream.incarnation) {
        answer.isGranted = true; // neither router knows a limit of this incarnation
        return answer;
    }
    record &known = found->second;
    answer.statement = statementOf(found->first, known, now);
    if (!known.perSecond) {
        answer.isGranted = true;
        return answer;
    }
    const double rate = issueRate(found->first, *known.perSecond);
    const double capacity = std::max(limits::minPermitBurst, rate * secondsOf(limits::permitBurstTime));
    if (!known.bucket) {
        known.bucket.emplace();
        known.bucket->refilledAt = now;
    }
    detail::permit_bucket &bucket = *known.bucket;
    bucket.tokens = std::min(capacity, bucket.tokens + rate * secondsOf(now - bucket.refilledAt));
    bucket.refilledAt = now;
    // One permit is left for more urgent requests, and for other accounts, that were just denied.
    const bool yields = isOutranked(bucket, request.claim.priority, now) || isOverShare(bucket, request.claim.account, now);
    const double needed = yields ? 2.0 : 1.0;
    answer.isGranted = bucket.tokens >= needed;
    recordUse(bucket, request.claim, answer.isGranted, now);
    if (answer.isGranted) {
        bucket.tokens -= 1.0;
        answer.wait = secondsOf(std::max(0.0, 1.0 - bucket.tokens) / rate);
    } else {
        // Routers that are denied get turns one after the other, so that they do not all come back for the same permit.
        const time_point latest = now + limits::maxPermitWait;
        time_point &nextTurnAt = yields ? bucket.nextYieldingTurnAt : bucket.nextTurnAt;
        const time_point turn = std::min(latest, std::max(nextTurnAt, now + secondsOf((needed - bucket.tokens) / rate)));
        nextTurnAt = std::min(latest, turn + secondsOf(1.0 / rate));
        answer.wait = std::max(limits::minPermitWait, turn - now);
    }
    return answer;
}

duration request_limits::nextReturn(time_point earliest, double perSecond, time_point now)
{
    const double ownRate = std::max(perSecond, limits::minPermitsPerSecond) * ownShare();
    const time_point latest = now + limits::maxLimitReturn;
    const time_point turn = std::min(latest, std::max({now, earliest, m_lastReturnAt + secondsOf(1.0 / ownRate)}));
    m_lastReturnAt = turn;
    return turn - now;
}

std::vector<limit_statement> request_limits::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace nutmegtally
