// Verdict on the new version of a rollout: its answers against those of the base version in the same span of time. Pure; the counts
// are sums over all routers.
#pragma once

#include <nutmegtally/rollout.h>
#include <nutmegtally/time.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace nutmegtally
{

struct rollout_verdict {
    rollout_fault fault = rollout_fault::none;
    std::uint32_t route = 0; // hash of the route that shows the fault; 0 for all routes together
    bool isGood = false; // enough answers, and none of the comparisons is suspicious
    bool lacksAnswers = false; // too few for isGood, although the base version has enough for a trial to bring them
    bool isSuspicious = false; // worse than the base version, but not beyond doubt
    version_counts base; // that the fault was found in
    version_counts target;
};

class rollout_judge
{
public:
    /// Records the sums at a time. A sum that has fallen, because a router has restarted, begins a new window.
    void record(time_point now, const std::vector<route_counts> &sums);

    /// Judges the sums since the order and those of the window that ends with the last record.
    rollout_verdict verdict() const;

private:
    struct sample {
        time_point at;
        std::vector<route_counts> sums;
    };

    /// Time of the window in whose intervals the target version had more slow answers than the base version has since the order.
    /// @param route Hash of a route; 0 for all together.
    duration slowTime(std::uint32_t route) const;

    std::deque<sample> m_samples; // oldest first; the first one is the last that is at least limits::rolloutWindow old
};

/// The counts of a route, which are added if there are none.
route_counts &countsOfRoute(std::vector<route_counts> &counts, std::uint32_t route);

/// Sum over all routes.
route_counts totalOf(const std::vector<route_counts> &counts);

/// Adds the counts of @p more to those of the same routes in @p sums.
void addRouteCounts(std::vector<route_counts> &sums, const std::vector<route_counts> &more);

/// Subtracts the counts of @p less; none falls below zero.
void subtractRouteCounts(std::vector<route_counts> &sums, const std::vector<route_counts> &less);

} // namespace nutmegtally
