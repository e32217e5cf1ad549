#include "decay.h"
#include "limits.h"

#include <nutmegtally/router_rank.h>
#include <nutmegtally/upstream_speed.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <utility>

namespace nutmegtally
{

namespace
{

using matrix = std::array<std::array<double, 3>, 3>;
using vector3 = std::array<double, 3>;

/// Solves a positive definite system by Cholesky decomposition.
vector3 solve(const matrix &system, const vector3 &right)
{
    matrix root {};
    for (std::size_t i = 0; i < 3; ++i) {
        for (std::size_t j = 0; j <= i; ++j) {
            double sum = system[i][j];
            for (std::size_t k = 0; k < j; ++k) {
                sum -= root[i][k] * root[j][k];
            }
            root[i][j] = i == j ? std::sqrt(std::max(sum, 1e-12)) : sum / root[j][j];
        }
    }
    vector3 middle {};
    for (std::size_t i = 0; i < 3; ++i) {
        double sum = right[i];
        for (std::size_t k = 0; k < i; ++k) {
            sum -= root[i][k] * middle[k];
        }
        middle[i] = sum / root[i][i];
    }
    vector3 result {};
    for (std::size_t i = 3; i-- > 0;) {
        double sum = middle[i];
        for (std::size_t k = i + 1; k < 3; ++k) {
            sum -= root[k][i] * result[k];
        }
        result[i] = sum / root[i][i];
    }
    return result;
}

/// The middle value; of an even number, the lower one of the two, so that of two upstreams the faster one is the usual one.
std::optional<double> lowerMedian(std::vector<double> values)
{
    if (values.empty()) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

const double usualRange = std::log2(limits::usualSpeedRange);

/// @p learned, or @p usual if it is in the usual range around it.
double unlessNear(double learned, double usual)
{
    return std::abs(std::log2(learned / usual)) <= usualRange ? usual : learned;
}

} // namespace

void slowness_figure::add(const slowness_figure &other)
{
    const double total = weight + other.weight;
    if (total > 0) {
        log2Factor += (other.log2Factor - log2Factor) * other.weight / total;
    }
    weight = total;
}

void slowness_figure::subtract(const slowness_figure &part)
{
    const double rest = weight - part.weight;
    if (rest < limits::minSentSpeedWeight) {
        *this = {};
        return;
    }
    log2Factor = (log2Factor * weight - part.log2Factor * part.weight) / rest;
    log2Factor = std::clamp(log2Factor, std::log2(limits::minSlowness), std::log2(limits::maxSlowness));
    weight = rest;
}

void upstream_speed::time_fit::add(const attempt_size &size, double ms, bool isEngine, time_point now)
{
    const double kept = halved(now - at, limits::speedFitHalfLife);
    const vector3 features {1.0, size.prefillTokens / 1000.0, size.load};
    for (std::size_t i = 0; i < 3; ++i) {
        for (std::size_t j = 0; j < 3; ++j) {
            products[i][j] = products[i][j] * kept + features[i] * features[j];
        }
        targets[i] = targets[i] * kept + features[i] * ms;
    }
    weight = weight * kept + 1.0;
    at = now;
    // The prior keeps the defaults where the samples say nothing, for instance if all have the same number of tokens.
    const vector3 usual {isEngine ? limits::expectedTimeFloorMs : targets[0] / weight,
                         isEngine ? 1000.0 / limits::assumedPrefillTokensPerMs : 0.0, isEngine ? limits::engineStepMsPerRequest : 0.0};
    matrix system = products;
    vector3 right = targets;
    for (std::size_t i = 0; i < 3; ++i) {
        system[i][i] += limits::speedPriorSamples;
        right[i] += limits::speedPriorSamples * usual[i];
    }
    coefficients = solve(system, right);
    coefficients[0] = std::max(coefficients[0], 0.0);
    coefficients[1]
        = isEngine ? std::clamp(coefficients[1], 1000.0 / limits::maxPrefillTokensPerMs, 1000.0 / limits::minPrefillTokensPerMs) : 0.0;
    coefficients[2] = std::clamp(coefficients[2], isEngine ? limits::minStepMs : 0.0, limits::maxStepMs);
}

double upstream_speed::time_fit::predict(const attempt_size &size) const
{
    return std::max(limits::minExpectedMs, coefficients[0] + coefficients[1] * size.prefillTokens / 1000.0 + coefficients[2] * size.load);
}

bool upstream_speed::time_fit::isLearned() const
{
    return weight >= limits::minSpeedFitSamples;
}

void upstream_speed::load_trend::add(double load, double log2Ratio, time_point now)
{
    const double kept = halved(now - at, limits::speedHalfLife);
    at = now;
    weight = weight * kept + 1.0;
    x = x * kept + load;
    y = y * kept + log2Ratio;
    xx = xx * kept + load * load;
    xy = xy * kept + load * log2Ratio;
    yy = yy * kept + log2Ratio * log2Ratio;
}

double upstream_speed::load_trend::usualLoad() const
{
    constexpr double none = std::numeric_limits<double>::infinity();
    if (weight < limits::minLoadTrendSamples) {
        return none;
    }
    const double meanX = x / weight;
    const double varianceX = xx / weight - meanX * meanX;
    if (varianceX < limits::minLoadTrendVariance) {
        return none;
    }
    const double slope = (xy / weight - meanX * y / weight) / varianceX;
    const double varianceY = yy / weight - (y / weight) * (y / weight);
    const double residual = std::max(0.0, varianceY - slope * slope * varianceX);
    const double error = std::sqrt(residual / (weight * varianceX));
    const double spread = 2.0 * std::sqrt(varianceX);
    if (slope <= limits::loadTrendErrors * error || slope * spread < usualRange) {
        return none;
    }
    const double lowest = std::max(0.0, meanX - spread / 2.0);
    return std::max(1.0, lowest + usualRange / slope);
}

slowness_figure upstream_speed::upstream_state::measuredNow(time_point now) const
{
    const duration unseen = now - measuredAt;
    const duration decaying = std::max(duration(0), unseen - limits::speedUnseenGrace);
    return {measured.log2Factor * halved(decaying, limits::speedHalfLife), measured.weight * halved(unseen, limits::speedHalfLife)};
}

void upstream_speed::record(const std::string &service, const speed_sample &sample, time_point now)
{
    const double ms = milliseconds(sample.took);
    if (!sample.size.isMeasurable || ms <= 0) {
        return;
    }
    service_state &known = m_services[service];
    time_fit &fit = known.fits[std::string(sample.work)];
    const bool wasLearned = fit.isLearned();
    const double expected = wasLearned ? fit.predict(sample.size) : 0;
    if (sample.isAtLeast && (!wasLearned || ms <= expected)) {
        return;
    }
    if (!sample.isAtLeast) {
        // A single very late answer would bend the fit for all upstreams.
        fit.add(sample.size, wasLearned ? std::min(ms, expected * limits::maxSlowness) : ms, sample.work.empty(), now);
    }
    upstream_state &state = known.upstreams[sample.upstream];
    state.answers = state.answers > 0 && now - state.measuredAt < limits::speedForgetTime ? state.answers + 1 : 1;
    if (!wasLearned) {
        state.measuredAt = now;
        return;
    }
    const double log2Ratio = std::clamp(std::log2(ms / expected), std::log2(limits::minSlowness), std::log2(limits::maxSlowness));
    const double before = state.measured.weight * halved(now - state.measuredAt, limits::speedHalfLife);
    if (before >= limits::minSpeedSamples) {
        const double deviation = log2Ratio - state.measured.log2Factor;
        known.variance += limits::speedVarianceWeight * (deviation * deviation - known.variance);
    }
    state.measured.weight = std::min(before + 1.0, limits::maxSpeedWeight);
    state.measured.log2Factor += (log2Ratio - state.measured.log2Factor) / state.measured.weight;
    state.measuredAt = now;
    learnUsualLoad(state, sample.size, log2Ratio, known.ownMedian, now);
}

void upstream_speed::learnUsualLoad(upstream_state &state, const attempt_size &size, double log2Ratio, double median, time_point now)
{
    state.trend.add(size.load, log2Ratio, now);
    const double estimate = state.trend.usualLoad();
    if (estimate < state.usualLoad) {
        state.usualLoad = estimate;
        state.usualLoadAt = now;
        return;
    }
    const bool isUsed = size.load >= limits::usualLoadUse * state.usualLoad;
    if (std::isfinite(state.usualLoad) && isUsed && state.measured.log2Factor - median <= usualRange) {
        const double seconds = std::min(1.0, milliseconds(now - state.usualLoadAt) / 1000.0);
        state.usualLoad *= 1.0 + limits::usualLoadGrowthPerSecond * seconds;
        state.usualLoadAt = now;
        if (state.usualLoad > limits::maxUsualLoad) {
            state.usualLoad = std::numeric_limits<double>::infinity();
        }
    }
}

void upstream_speed::recordStated(const std::string &service, upstream_number upstream, double percent, time_point now)
{
    upstream_state &state = m_services[service].upstreams[upstream];
    const double stated = std::clamp(percent / 100.0, limits::minSlowness, limits::maxSlowness);
    state.stated.weight = state.stated.weight * halved(now - state.statedAt, limits::statedSpeedHalfLife);
    state.stated.weight = std::min(state.stated.weight + 1.0, limits::maxStatedSpeedWeight);
    state.stated.log2Factor += (std::log2(stated) - state.stated.log2Factor) / state.stated.weight;
    state.statedAt = now;
}

const upstream_speed::service_state *upstream_speed::find(std::string_view service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second;
}

bool upstream_speed::isDue(std::string_view service, time_point now) const
{
    const service_state *known = find(service);
    return known == nullptr || !known->isRefreshed || now - known->refreshedAt >= limits::speedRefreshInterval;
}

void upstream_speed::refresh(const std::string &service, const std::vector<std::pair<upstream_number, slowness_figure>> &others,
                             time_point now)
{
    service_state &known = m_services[service];
    known.refreshedAt = now;
    known.isRefreshed = true;
    const std::unordered_map<upstream_number, slowness_figure> listed(others.begin(), others.end());
    std::erase_if(known.upstreams, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    updateTrials(known, listed, now);
    combine(known, listed, now);
    noteChanges(known, now);
}

void upstream_speed::updateTrials(service_state &service, const std::unordered_map<upstream_number, slowness_figure> &listed,
                                  time_point now)
{
    std::size_t seen = 0;
    for (const auto &[number, figure] : listed) {
        upstream_state &state = service.upstreams[number];
        if (now - state.measuredAt >= limits::speedForgetTime) {
            state.usualLoad = std::numeric_limits<double>::infinity();
            state.trend = {};
            state.answers = 0;
        }
        seen += state.answers + figure.weight >= limits::minSpeedSamples ? 1 : 0;
    }
    // Where few were seen, as after a start of the fleet or in a service that is hardly used, none is less known than the others.
    const bool areOthersKnown = 2 * seen >= listed.size();
    for (const auto &[number, figure] : listed) {
        upstream_state &state = service.upstreams.at(number);
        const bool isNew = !state.isListed;
        const bool isUnseen
            = !isNew && now - state.listedAt >= limits::speedForgetTime && state.answers == 0 && figure.weight < limits::minSentSpeedWeight;
        if (state.answers + figure.weight >= limits::minSpeedSamples) {
            state.current.isProven = true;
        } else if (areOthersKnown && (isNew || isUnseen)) {
            state.current.isProven = false;
        }
        state.listedAt = isNew ? now : state.listedAt;
        state.isListed = true;
    }
}

void upstream_speed::combine(service_state &service, const std::unordered_map<upstream_number, slowness_figure> &others, time_point now)
{
    std::vector<double> measured;
    std::vector<double> stated;
    const auto statedNow = [now](const upstream_state &state) {
        return limits::statedSpeedShare * state.stated.weight * halved(now - state.statedAt, limits::statedSpeedHalfLife);
    };
    for (const auto &[number, state] : service.upstreams) {
        const slowness_figure figure = state.measuredNow(now);
        if (figure.weight >= limits::minSentSpeedWeight) {
            measured.push_back(figure.log2Factor);
        }
        if (statedNow(state) >= limits::minStatedSpeedWeight) {
            stated.push_back(state.stated.log2Factor);
        }
    }
    service.ownMedian = lowerMedian(std::move(measured)).value_or(0);
    const double statedMedian = lowerMedian(std::move(stated)).value_or(0);

    std::unordered_map<upstream_number, slowness_figure> figures;
    for (const auto &[number, figure] : others) {
        upstream_state *state = &service.upstreams.at(number);
        slowness_figure all = figure;
        slowness_figure own = state->measuredNow(now);
        own.log2Factor -= service.ownMedian;
        all.add(own);
        state->current.usualLoad = state->usualLoad;
        // What the upstream states is weighed together with what routers measured: each by the number of recent answers that it rests on.
        // A statement counts as half an answer and loses half of its weight in a second, because the figure changes many times a second and
        // is old when it arrives. So it decides while there are few measurements, and corrects them by at most a fifth afterwards. Both
        // are relative to their median over the service: where all machines are slow, no upstream is slower than the others.
        all.add({state->stated.log2Factor - statedMedian, statedNow(*state)});
        figures[number] = all;
    }
    std::vector<double> known;
    for (const auto &[number, figure] : figures) {
        if (figure.weight >= limits::minSpeedSamples) {
            known.push_back(figure.log2Factor);
        }
    }
    const double median = lowerMedian(std::move(known)).value_or(0);
    for (auto &[number, state] : service.upstreams) {
        state.current.factor = 1;
        const auto found = figures.find(number);
        if (found == figures.end() || found->second.weight < limits::minSpeedSamples) {
            continue;
        }
        // Chance must not make a difference: the times of single answers vary, and each router sees only some of them.
        const double deviation = found->second.log2Factor - median;
        const double error = std::sqrt(service.variance / found->second.weight);
        if (std::abs(deviation) > std::max(usualRange, limits::speedErrors * error)) {
            state.current.factor = std::clamp(std::exp2(deviation), limits::minSlowness, limits::maxSlowness);
        }
    }
}

void upstream_speed::noteChanges(service_state &service, time_point now)
{
    for (auto &[number, state] : service.upstreams) {
        const bool isUnusual = state.current.factor != 1;
        const bool isRecent = state.notedAt != time_point() && now - state.notedAt < limits::minSpeedNoteInterval;
        if (isUnusual != state.isNoted && !isRecent) {
            state.isNoted = isUnusual;
            state.notedAt = now;
            m_changes.push_back({number, state.current.factor});
        }
    }
}

learned_speed upstream_speed::of(std::string_view service, upstream_number upstream) const
{
    const service_state *known = find(service);
    if (known == nullptr) {
        return {};
    }
    const auto state = known->upstreams.find(upstream);
    return state == known->upstreams.end() ? learned_speed() : state->second.current;
}

engine_speed upstream_speed::engines(std::string_view service) const
{
    engine_speed speed {limits::assumedPrefillTokensPerMs, limits::engineStepMsPerRequest};
    const service_state *known = find(service);
    const auto fit = known == nullptr ? decltype(known->fits)::const_iterator() : known->fits.find("");
    if (known != nullptr && fit != known->fits.end() && fit->second.isLearned()) {
        // At the bound the times do not depend on the tokens, so they tell no speed.
        const double prefill = 1000.0 / fit->second.coefficients[1];
        speed.prefillTokensPerMs
            = prefill < limits::maxPrefillTokensPerMs * 0.999 ? unlessNear(prefill, speed.prefillTokensPerMs) : speed.prefillTokensPerMs;
        // Load delays also the tokens after the first one, which the fit does not see. With a smaller step, placement would pile requests
        // on engines whose first events come quickly.
        const double step = std::max(fit->second.coefficients[2], speed.stepMsPerRequest);
        speed.stepMsPerRequest = unlessNear(step, speed.stepMsPerRequest);
    }
    return speed;
}

slowness_figure upstream_speed::ownFigure(std::string_view service, upstream_number upstream, time_point now) const
{
    const service_state *known = find(service);
    if (known == nullptr) {
        return {};
    }
    const auto state = known->upstreams.find(upstream);
    if (state == known->upstreams.end()) {
        return {};
    }
    slowness_figure figure = state->second.measuredNow(now);
    if (figure.weight < limits::minSentSpeedWeight) {
        return {};
    }
    figure.log2Factor -= known->ownMedian;
    return figure;
}

std::vector<bool> upstream_speed::heldBack(std::span<const trial_candidate> candidates, std::uint64_t selfHash,
                                           const std::vector<std::uint64_t> &routerHashes)
{
    std::size_t proven = 0;
    double load = 0;
    for (const trial_candidate &each : candidates) {
        proven += each.isProven ? 1 : 0;
        load += each.load;
    }
    // While most of those that may be chosen are unproven, there is nothing to shift load to.
    if (proven == candidates.size() || 2 * proven < candidates.size()) {
        return {};
    }
    const double share = std::max(1.0, limits::unprovenLoadShare * load / static_cast<double>(candidates.size()));
    const std::size_t routers = std::max<std::size_t>(1, routerHashes.size());
    const std::size_t sharing = std::min(routers, static_cast<std::size_t>(share));
    std::vector<bool> held(candidates.size(), false);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const trial_candidate &each = candidates[i];
        const bool mayTry = routerHashes.empty() || isAmongFirst(selfHash, routerHashes, each.hash, sharing);
        held[i] = !each.isProven && (!mayTry || each.load + 1 > share || each.own + 1 > share / static_cast<double>(sharing));
    }
    return held;
}

std::vector<upstream_speed::change> upstream_speed::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<upstream_speed::change> upstream_speed::unusual() const
{
    std::vector<change> list;
    for (const auto &[name, service] : m_services) {
        for (const auto &[number, state] : service.upstreams) {
            if (state.current.factor != 1) {
                list.push_back({number, state.current.factor});
            }
        }
    }
    return list;
}

} // namespace nutmegtally
