// Speed of upstreams, learned from the times of their answers: per service the time that an answer takes, per upstream how much
// slower than usual it is and up to which load it works at its usual speed. A pure model: each call carries the time.
#pragma once

#include <nutmegtally/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// Number of one incarnation of an upstream. Never reused, so late events of an earlier incarnation are ignored.
using upstream_number = std::uint32_t;
inline constexpr upstream_number noUpstreamNumber = 0;

/// What an upstream had to do when a request was sent to it.
struct attempt_size {
    double prefillTokens = 0; // of this request and of those that wait for their first event; 0 for plain services
    double load = 0; // requests at the upstream before this one
    bool isMeasurable = true; // false while the upstream is cold, and for requests whose time the model does not cover
};

/// Time of one successful answer, or of the first event of a stream.
struct speed_sample {
    upstream_number upstream = noUpstreamNumber;
    std::string_view work; // kind of request with a usual time of its own; empty for engines, whose times depend on the tokens
    attempt_size size;
    duration took {0};
    bool isAtLeast = false; // no answer came in this time: it counts only if it is longer than the expected time
};

/// How much slower than usual an upstream is, according to one or more routers.
struct slowness_figure {
    double log2Factor = 0; // 0 is usual, 1 is twice as long
    double weight = 0; // decayed number of answers

    /// Adds the figure of other routers, by weight.
    void add(const slowness_figure &other);

    /// Takes out a part that add() added.
    void subtract(const slowness_figure &part);
};

/// Speed of the engines of a service.
struct engine_speed {
    double prefillTokensPerMs = 0;
    double stepMsPerRequest = 0; // delay of the first event per running request
};

/// What placement uses of an upstream's speed.
struct learned_speed {
    double factor = 1; // time of its answers over the usual time; exactly 1 in the usual range
    double usualLoad = std::numeric_limits<double>::infinity(); // requests up to which it works at its usual speed
    bool isProven = true; // false while it is new among known ones, or was not seen for some time, until there are enough answers
};

/// An upstream that may be chosen, as far as its trial depends on it.
struct trial_candidate {
    std::uint64_t hash = 0; // of the instance's name
    double load = 0; // requests there
    unsigned own = 0; // of this router
    bool isProven = false; // as in learned_speed
};

class upstream_speed
{
public:
    /// Learns from an answer. Failed and refused attempts must not be recorded.
    void record(const std::string &service, const speed_sample &sample, time_point now);

    /// Learns from what an upstream states in an answer: how long work takes on its machine, in per cent of the usual time.
    void recordStated(const std::string &service, upstream_number upstream, double percent, time_point now);

    /// True if refresh() is due for a service.
    bool isDue(std::string_view service, time_point now) const;

    /// Computes what of() returns from this router's measurements and those of others.
    /// @param others By upstream: all listed ones of the service.
    void refresh(const std::string &service, const std::vector<std::pair<upstream_number, slowness_figure>> &others, time_point now);

    /// As of the last refresh.
    learned_speed of(std::string_view service, upstream_number upstream) const;

    /// The learned speed, or the defaults of limits.h until it is learned, and for figures near them. The step is at least the default.
    engine_speed engines(std::string_view service) const;

    /// This router's measurement, relative to the median of the service, for other routers.
    slowness_figure ownFigure(std::string_view service, upstream_number upstream, time_point now) const;

    /// Which candidates are new or were not seen for some time, and have their share of requests already. They are chosen only if
    /// no other is free. A few routers, chosen by hash, send to such an upstream, so that all of them together stay within its share.
    /// @return Empty if there is none, otherwise one value for each candidate.
    static std::vector<bool> heldBack(std::span<const trial_candidate> candidates, std::uint64_t selfHash,
                                      const std::vector<std::uint64_t> &routerHashes);

    /// An upstream whose factor left the usual range or came back to it.
    struct change {
        upstream_number upstream = noUpstreamNumber;
        double factor = 1;
    };

    /// Changes since the last call.
    std::vector<change> takeChanges();

    /// Upstreams whose factor is not 1, with the factor.
    std::vector<change> unusual() const;

private:
    /// Least squares fit of time = base + tokens x a + load x b, with forgetting.
    struct time_fit {
        std::array<std::array<double, 3>, 3> products {}; // decayed sums of the products of 1, thousands of tokens, load
        std::array<double, 3> targets {}; // and of their products with the time in ms
        std::array<double, 3> coefficients {}; // base, ms per thousand tokens, ms per request
        double weight = 0; // decayed number of samples
        time_point at;

        void add(const attempt_size &size, double ms, bool isEngine, time_point now);
        double predict(const attempt_size &size) const;
        bool isLearned() const;
    };

    /// Decayed sums for a regression of the logarithm of measured / expected time on the load.
    struct load_trend {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;
        time_point at;

        void add(double load, double log2Ratio, time_point now);
        /// Load up to which the ratio stays in the usual range; infinite if it does not rise with the load.
        double usualLoad() const;
    };

    struct upstream_state {
        slowness_figure measured; // relative to the expected time; as of measuredAt
        time_point measuredAt;
        slowness_figure stated; // by the upstream itself; as of statedAt
        time_point statedAt;
        unsigned answers = 0; // since it is new, or was not seen for limits::speedForgetTime
        bool isListed = false; // a refresh named it
        time_point listedAt; // first such refresh
        load_trend trend;
        double usualLoad = std::numeric_limits<double>::infinity();
        time_point usualLoadAt; // last change of usualLoad
        learned_speed current; // as of the last refresh
        bool isNoted = false; // the last change told that the factor is out of the usual range
        time_point notedAt;

        slowness_figure measuredNow(time_point now) const;
    };

    struct service_state {
        std::map<std::string, time_fit, std::less<>> fits; // by kind of work
        std::unordered_map<upstream_number, upstream_state> upstreams;
        double variance = 0; // of log2(measured / expected) around the mean of its upstream; moving average
        double ownMedian = 0; // of log2 of the measured factors
        time_point refreshedAt;
        bool isRefreshed = false;
    };

    static void learnUsualLoad(upstream_state &state, const attempt_size &size, double log2Ratio, double median, time_point now);
    /// Puts upstreams on trial that are new or were not seen lately while most others were, and ends trials.
    static void updateTrials(service_state &service, const std::unordered_map<upstream_number, slowness_figure> &listed, time_point now);
    static void combine(service_state &service, const std::unordered_map<upstream_number, slowness_figure> &others, time_point now);
    void noteChanges(service_state &service, time_point now);
    const service_state *find(std::string_view service) const;

    std::map<std::string, service_state, std::less<>> m_services;
    std::vector<change> m_changes;
};

} // namespace nutmegtally
