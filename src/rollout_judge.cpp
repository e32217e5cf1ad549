#include "limits.h"

#include <nutmegtally/rollout_judge.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace nutmegtally
{

namespace
{

void add(version_counts &sum, const version_counts &more)
{
    sum.answers += more.answers;
    sum.bad += more.bad;
    sum.timed += more.timed;
    sum.slow += more.slow;
    sum.logSlowness += more.logSlowness;
}

void subtract(version_counts &sum, const version_counts &less)
{
    sum.answers -= std::min(sum.answers, less.answers);
    sum.bad -= std::min(sum.bad, less.bad);
    sum.timed -= std::min(sum.timed, less.timed);
    sum.slow -= std::min(sum.slow, less.slow);
    sum.logSlowness -= less.logSlowness;
}

const route_counts *find(const std::vector<route_counts> &routes, std::uint32_t route)
{
    const auto found = std::find_if(routes.begin(), routes.end(), [route](const route_counts &each) { return each.route == route; });
    return found == routes.end() ? nullptr : &*found;
}

bool hasFallen(const version_counts &before, const version_counts &after)
{
    return after.answers < before.answers || after.bad < before.bad || after.timed < before.timed || after.slow < before.slow;
}

bool hasFallen(const std::vector<route_counts> &before, const std::vector<route_counts> &after)
{
    return std::any_of(before.begin(), before.end(), [&after](const route_counts &each) {
        const route_counts *now = find(after, each.route);
        return now == nullptr || hasFallen(each.base, now->base) || hasFallen(each.target, now->target);
    });
}

/// Two-proportion z value: by how many standard errors the target's share of events is above the base's. 0 without answers of both.
double zValue(std::uint32_t targetEvents, std::uint32_t target, std::uint32_t baseEvents, std::uint32_t base)
{
    if (target == 0 || base == 0) {
        return 0;
    }
    const double all = static_cast<double>(target) + base;
    const double pooled = (static_cast<double>(targetEvents) + baseEvents) / all;
    const double variance = pooled * (1 - pooled) * (1.0 / target + 1.0 / base);
    const double difference = static_cast<double>(targetEvents) / target - static_cast<double>(baseEvents) / base;
    if (variance <= 0) {
        return 0; // all answers or none are of this kind
    }
    return difference / std::sqrt(variance);
}

enum class comparison : std::uint8_t {
    equal,
    suspicious,
    worse,
};

comparison compare(std::uint32_t targetEvents, std::uint32_t target, std::uint32_t baseEvents, std::uint32_t base)
{
    const double z = zValue(targetEvents, target, baseEvents, base);
    if (z < limits::rolloutSuspicionZ) {
        return comparison::equal;
    }
    const double difference = static_cast<double>(targetEvents) / target - static_cast<double>(baseEvents) / base;
    if (difference < limits::minSuspicionShareDifference) {
        return comparison::equal;
    }
    const bool isWorse
        = targetEvents >= limits::minRolloutBadAnswers && difference >= limits::minRolloutShareDifference && z >= limits::rolloutVerdictZ;
    return isWorse ? comparison::worse : comparison::suspicious;
}

/// Tells whether the slow answers on a route, or on all together for 0, may come from a moment in which everything was slow.
using moment_check = std::function<bool(std::uint32_t)>;

/// Takes the result of one comparison of @p target and @p base into @p verdict. The first fault stays. Answers that were slow for a moment
/// only are no more than suspicious.
void judge(rollout_verdict &verdict, std::uint32_t route, const version_counts &target, const version_counts &base,
           const moment_check &mayBeMoment)
{
    const comparison failures = compare(target.bad, target.answers, base.bad, base.answers);
    comparison times = compare(target.slow, target.timed, base.slow, base.timed);
    if (times == comparison::worse && mayBeMoment(route)) {
        times = comparison::suspicious;
    }
    verdict.isSuspicious = verdict.isSuspicious || failures != comparison::equal || times != comparison::equal;
    if (verdict.fault != rollout_fault::none || (failures != comparison::worse && times != comparison::worse)) {
        return;
    }
    verdict.fault = failures == comparison::worse ? rollout_fault::failures : rollout_fault::slow;
    verdict.route = route;
    verdict.target = target;
    verdict.base = base;
}

/// Judges the counts of a span, by route and over all.
/// @param whole Counts since the order, whose base stands in where the span has too few answers of it.
void judgeSpan(rollout_verdict &verdict, const std::vector<route_counts> &span, const std::vector<route_counts> &whole,
               const moment_check &mayBeMoment)
{
    for (const route_counts &each : span) {
        const route_counts *since = find(whole, each.route);
        const bool hasBase = each.base.answers >= limits::minRolloutBaseAnswers || since == nullptr;
        judge(verdict, each.route, each.target, hasBase ? each.base : since->base, mayBeMoment);
    }
    const route_counts all = totalOf(span);
    judge(verdict, 0, all.target, all.base.answers >= limits::minRolloutBaseAnswers ? all.base : totalOf(whole).base, mayBeMoment);
}

/// The counts of a route; of all together for 0.
route_counts countsOf(const std::vector<route_counts> &counts, std::uint32_t route)
{
    const route_counts *known = find(counts, route);
    return route == 0 ? totalOf(counts) : known != nullptr ? *known : route_counts {route, {}, {}};
}

double slowShare(const version_counts &counts)
{
    return counts.timed == 0 ? 0 : static_cast<double>(counts.slow) / counts.timed;
}

bool hasEnoughAnswers(const std::vector<route_counts> &sums)
{
    const bool lacksRoute = std::any_of(sums.begin(), sums.end(), [](const route_counts &each) {
        return each.base.answers >= limits::minRolloutBaseAnswers && each.target.answers < limits::minRolloutRouteAnswers;
    });
    return !lacksRoute && totalOf(sums).target.answers >= limits::minRolloutAnswers;
}

/// True if the target version lacks answers that a trial brings where the base version has as many as it has.
bool lacksAnswers(const std::vector<route_counts> &sums)
{
    const auto lacks = [](const route_counts &counts, std::uint32_t wanted) {
        return counts.target.answers < wanted && limits::minTrialAnswerShare * counts.base.answers >= wanted;
    };
    return lacks(totalOf(sums), limits::minRolloutAnswers) || std::any_of(sums.begin(), sums.end(), [&lacks](const route_counts &each) {
               return lacks(each, limits::minRolloutRouteAnswers);
           });
}

} // namespace

route_counts &countsOfRoute(std::vector<route_counts> &counts, std::uint32_t route)
{
    const auto found = std::find_if(counts.begin(), counts.end(), [route](const route_counts &each) { return each.route == route; });
    return found != counts.end() ? *found : counts.emplace_back(route_counts {route, {}, {}});
}

route_counts totalOf(const std::vector<route_counts> &counts)
{
    route_counts total;
    for (const route_counts &each : counts) {
        add(total.base, each.base);
        add(total.target, each.target);
    }
    return total;
}

void addRouteCounts(std::vector<route_counts> &sums, const std::vector<route_counts> &more)
{
    for (const route_counts &each : more) {
        route_counts &sum = countsOfRoute(sums, each.route);
        add(sum.base, each.base);
        add(sum.target, each.target);
    }
}

void subtractRouteCounts(std::vector<route_counts> &sums, const std::vector<route_counts> &less)
{
    for (route_counts &each : sums) {
        if (const route_counts *known = find(less, each.route)) {
            subtract(each.base, known->base);
            subtract(each.target, known->target);
        }
    }
}

void rollout_judge::record(time_point now, const std::vector<route_counts> &sums)
{
    if (!m_samples.empty() && hasFallen(m_samples.back().sums, sums)) {
        m_samples.clear();
    }
    const bool isDue = m_samples.size() < 2 || now - m_samples[m_samples.size() - 2].at >= limits::rolloutSampleInterval;
    if (isDue) {
        m_samples.push_back({now, sums});
    } else {
        m_samples.back() = {now, sums};
    }
    while (m_samples.size() > 1 && now - m_samples[1].at >= limits::rolloutWindow) {
        m_samples.pop_front();
    }
}

duration rollout_judge::slowTime(std::uint32_t route) const
{
    const double usual = slowShare(countsOf(m_samples.back().sums, route).base);
    duration sum {0};
    for (std::size_t i = 1; i < m_samples.size(); ++i) {
        std::vector<route_counts> interval = m_samples[i].sums;
        subtractRouteCounts(interval, m_samples[i - 1].sums);
        if (slowShare(countsOf(interval, route).target) >= usual + limits::minRolloutShareDifference) {
            sum += m_samples[i].at - m_samples[i - 1].at;
        }
    }
    return sum;
}

rollout_verdict rollout_judge::verdict() const
{
    rollout_verdict verdict;
    if (m_samples.empty()) {
        return verdict;
    }
    const std::vector<route_counts> &whole = m_samples.back().sums;
    std::vector<route_counts> window = whole;
    subtractRouteCounts(window, m_samples.front().sums);
    // The base version's answers of a span may all be from before the moment, when it still got requests.
    const auto mayBeMoment = [this](std::uint32_t route) { return slowTime(route) < limits::minRolloutSlowTime; };
    if (m_samples.size() > 1) {
        judgeSpan(verdict, window, whole, mayBeMoment);
    }
    judgeSpan(verdict, whole, whole, mayBeMoment);
    verdict.lacksAnswers = lacksAnswers(whole);
    verdict.isGood = verdict.fault == rollout_fault::none && !verdict.isSuspicious && hasEnoughAnswers(whole);
    return verdict;
}

} // namespace nutmegtally
