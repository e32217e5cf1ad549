// Rollouts as one router carries them out: which versions of a service its requests may use, the quota of a version that is on trial,
// the counts by which all routers judge it, and the status that is written to the object store. A reducer: time comes with each call.
//
// Every router judges the sums over all routers and acts on its own verdict, so that a bad version is cut off without the store. The
// status in the store is final for the fleet; routers take turns in writing it, each on condition of the object's revision.
#pragma once

#include <nutmegtally/load_update.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/rollout.h>
#include <nutmegtally/rollout_judge.h>
#include <nutmegtally/time.h>
#include <nutmegtally/version_filter.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace nutmegtally
{

/// What a router does with the requests of a service under an order.
enum class rollout_state : std::uint8_t {
    trial, // the target version gets at most its quota
    suspected, // the target version was found bad and gets nothing; the status is not written yet
    shift, // all requests go to the target version
    completed,
    rolledBack,
    withdrawn, // the order was removed undecided: the target version gets nothing while another one is eligible
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(rollout_state::count)> rolloutStateNames = {
    "trial", "suspected", "shift", "completed", "rolled_back", "withdrawn",
};

constexpr std::string_view nameOf(rollout_state state)
{
    return rolloutStateNames[static_cast<std::size_t>(state)];
}

/// Class of an upstream's version under an order.
enum class version_class : std::uint8_t {
    base, // the version that served before
    target,
    other, // no order is in force, or a third version
};

/// An upstream as far as rollouts depend on it.
struct versioned_upstream {
    std::string instance;
    std::string service;
    std::string version;
    std::string domain;
    unsigned slots = 1;
    bool isLeaving = false;
    store_revision listedAt; // of its entry
};

/// Requests in flight at upstreams of a service.
struct version_load {
    unsigned base = 0; // of this router, at upstreams of other versions than the target
    double all = 0; // of all routers, at all upstreams of the service
};

/// How an attempt went, as far as it tells about the version.
enum class answer_quality : std::uint8_t {
    good,
    bad, // a failure of the upstream's own
    broken, // the connection ended within the answer, by a fault of the upstream or its end
};

/// State of one order, for metrics and logs.
struct rollout_report {
    std::string service;
    std::string target;
    rollout_state state = rollout_state::trial;
    rollout_fault fault = rollout_fault::none;
    duration age {0};
    version_counts base; // sums over all routers
    version_counts targetCounts; // the same
};

namespace rollout_effect
{

struct write_status {
    rollout_order order;
    rollout_status status = rollout_status::trial;
};

} // namespace rollout_effect

class rollout_control
{
public:
    using effect = std::variant<rollout_effect::write_status, log_record>;

    /// @param bounds Without them, orders are ignored and all versions are used alike.
    rollout_control(std::optional<rollout_bounds> bounds, const std::string &self);

    void setRouters(const std::vector<std::string> &live);
    void setClosedDomains(std::unordered_set<std::string> domains);
    void listUpstream(versioned_upstream upstream, time_point now);
    void unlistUpstream(const std::string &instance);

    /// Takes an order, or another status of it.
    void takeOrder(const rollout_order &order, time_point now, std::vector<effect> &effects);

    /// Ends the order of a service whose object was removed.
    void withdraw(const std::string &service, std::vector<effect> &effects);

    /// Records that all orders up to a revision of the store are known.
    void verify(store_revision asOf);

    /// Takes the result of write_status.
    void takeWriteResult(const std::string &service, rollout_write_result result, time_point now, std::vector<effect> &effects);

    /// Upstreams that a request may use now. Use the next filter if the one before it has no upstream for the request.
    version_filters filtersFor(const std::string &service, time_point now) const;

    version_class classOf(const std::string &service, std::string_view version) const;

    /// Counts an attempt that is being sent.
    void recordStart(const std::string &service, std::string_view version, time_point now);

    /// Takes an attempt back that never reached its upstream: the bound is a share of the requests that upstreams receive.
    void recordUnreachable(const std::string &service, std::string_view version);

    /// Counts an answer, or the break of one that was counted as good.
    /// @param upstream Hash of the instance's name.
    /// @param slowness Time of a good answer divided by its expected time; nothing if it does not count.
    /// @param wasGood The same attempt was already counted as a good answer.
    void recordAnswer(const std::string &service, std::string_view version, std::uint64_t upstream, std::string_view route,
                      answer_quality quality, std::optional<double> slowness, bool wasGood, time_point now);

    /// Records how long a request was at an upstream, once it is over.
    void recordEnd(const std::string &service, std::string_view version, duration took, time_point now);

    /// True if the times of answers of an upstream count: it is not in its first seconds.
    bool countsTimes(const std::string &instance, time_point now) const;

    /// Target version of each service that has an order.
    std::map<std::string, std::string> targets() const;

    /// Judges the versions and writes what is due.
    /// @param loads Of each service in targets().
    void tick(time_point now, const std::map<std::string, version_load> &loads, std::vector<effect> &effects);

    /// Takes the counts of another router or the sums of a leader.
    /// @param isCounted False if another update counts the same requests: only ages and faults are taken.
    /// @param isSubstitute Counts nevertheless while no counted update of the same routers comes: the requests of routers that do not
    /// reach the object API must not be missing when the old upstreams are stopped.
    /// @param covers Whose requests it counts. An update replaces the one before it of the same routers, whichever leader sent that.
    void applyUpdate(const load_update &update, bool isCounted, bool isSubstitute, const std::string &covers, time_point now);

    /// Forgets the counts of all other routers: sums contain requests that single updates counted before.
    void forgetUpdates();

    /// Counts for a load update, as upstream_set::ownLoad(), domainLoad() and fleetLoad().
    std::vector<rollout_counts> ownCounts(time_point now) const;
    std::vector<rollout_counts> sumOfCounts(load_scope scope, time_point now) const;

    /// The fleet's sums without what one router reported itself.
    std::vector<rollout_counts> excludingRouter(std::vector<rollout_counts> sums, const std::string &router, time_point now) const;

    std::vector<rollout_report> reports(time_point now) const;

private:
    struct peer_counts {
        load_scope scope = load_scope::router;
        rollout_counts counts;
        time_point receivedAt;
        std::string source;
        bool isSubstitute = false;
    };

    struct known_upstream {
        versioned_upstream upstream;
        std::uint64_t hash = 0; // of the instance's name
        time_point seenAt;
    };

    struct known_version {
        std::size_t upstreams = 0; // that are listed and not leaving
        time_point seenAt;
        store_revision listedAt; // entry of the first upstream
    };

    /// Broken answers of one upstream. They count as bad once it has answered again: an upstream that crashed breaks many at once.
    struct broken_answers {
        struct answer {
            std::uint32_t route = 0; // hash of the route's name
            bool wasGood = false; // already counted as a good answer
        };

        time_point since;
        std::vector<answer> answers;
    };

    struct service_rollout {
        rollout_order order;
        rollout_state state = rollout_state::trial;
        time_point orderedAt; // as far as any router knows
        bool hasSlack = false; // this router ran before the order appeared
        bool hadBase = false; // since the order, an upstream of another version than the target was listed
        std::uint64_t starts = 0; // of this router for the service, since it knows of the order
        std::uint64_t targetStarts = 0;
        unsigned baseInFlight = 0; // of this router, as of the last tick
        double inFlight = 0; // of all routers, the same
        std::vector<route_counts> counts; // of this router
        std::unordered_map<std::uint64_t, broken_answers> broken; // that are not counted yet, by hash of the upstream
        std::array<duration, 2> longestBaseAnswers {}; // in the current and the last span of limits::longestAnswerTime
        time_point longestSince; // start of the current span
        std::optional<time_point> shiftingSince; // when this router learned of the shift
        double shiftCredit = 0; // requests that the share of the shift allows beyond those that were sent
        rollout_fault fault = rollout_fault::none; // of this router's verdict, or told by another
        rollout_verdict verdict;
        rollout_judge judge;
        std::map<std::string, peer_counts> fromPeers; // by whose requests they count
        rollout_status nextStatus = rollout_status::none; // that is to be written; none if there is nothing to write
        std::optional<time_point> dueSince; // since when it is
        time_point nextWriteAt;
        std::optional<time_point> idleSince; // all routers have shifted and no request is at a base upstream
        bool isUnservedLogged = false; // no upstream has the target version
    };

    static void addBroken(service_rollout &rollout, version_class which, std::uint64_t upstream, time_point now);
    void setState(service_rollout &rollout, rollout_state state, std::vector<effect> &effects);
    void adoptStatus(service_rollout &rollout, time_point now, std::vector<effect> &effects);
    std::string baseVersion(const service_rollout &rollout) const;
    bool hasBase(const service_rollout &rollout) const;
    const std::map<std::string, known_version> &versionsOf(const std::string &service) const;
    std::size_t routers() const;
    bool hasQuota(const service_rollout &rollout) const;
    /// Part of the requests that the target version gets in a shift. It doubles until it is 1.
    double shiftShare(const service_rollout &rollout, time_point now) const;
    /// Hashes of the target's upstreams that the trial uses. All routers choose the same ones.
    std::vector<std::uint64_t> trialUpstreams(const service_rollout &rollout, const std::string &base) const;
    rollout_counts own(const service_rollout &rollout, time_point now) const;
    rollout_counts sumOf(const service_rollout &rollout, load_scope scope, time_point now) const;
    static duration ageOf(const service_rollout &rollout, time_point now);
    static duration longestBaseAnswer(const service_rollout &rollout);
    rollout_status nextStatus(service_rollout &rollout, const rollout_counts &sums, time_point now) const;
    duration shiftAge(const service_rollout &rollout, const rollout_counts &sums) const;
    void writeWhenDue(service_rollout &rollout, time_point now, std::vector<effect> &effects);
    void logVerdict(const service_rollout &rollout, std::vector<effect> &effects) const;

    std::optional<rollout_bounds> m_bounds;
    std::uint64_t m_selfHash;
    std::vector<std::uint64_t> m_routerHashes; // of the live routers
    std::unordered_set<std::string> m_closedDomains;
    std::map<std::string, known_upstream> m_upstreams; // by instance
    std::map<std::string, std::map<std::string, known_version>> m_versions; // by service and version
    std::map<std::string, service_rollout> m_rollouts; // by service
    store_revision m_verifiedAt; // all orders up to this revision are known
};

} // namespace nutmegtally
