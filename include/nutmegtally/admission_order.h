// Order of the requests that wait at a router, shares of client accounts, expected waits, and the times at which refused callers
// should come back. A reducer: callers pass the time, and messages carry the backlog and the use of accounts to other routers.
#pragma once

#include <nutmegtally/load_update.h>
#include <nutmegtally/log_events.h>
#include <nutmegtally/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// What the order takes into account of a request.
struct admission_request {
    std::uint64_t id = 0; // unique at this router
    std::string service;
    std::string account; // empty on public routes
    int priority = 0; // 0 is the highest
    std::uint64_t caller = 0; // hash of the route and, for prompts, of the last part: the same in each attempt of a caller
    double cost = 1; // tokens of the prompt and the output; 1 for plain services
    bool isReturned = false; // its caller was refused before and came back as told
    time_point heldUntil; // held back until then while others that come first wait at other routers
    time_point waitsUntil; // it is refused if it is not started by then
};

/// Why a request waits.
enum class wait_reason : std::uint8_t {
    capacity, // no upstream has free capacity, or a request that comes first found none
    elsewhere, // requests of a class that comes first wait at other routers
    limited, // the upstreams are at the limits that they state
    other, // does not concern other requests of the service
    count
};

/// Whether a request may be tried now.
enum class admission_turn : std::uint8_t {
    now,
    behindOthers, // a request of the same service that comes first waits for capacity
    heldBack, // requests of the service and of a class that comes first wait at other routers
    count
};

/// Decaying sum: what was added loses half of its weight in each half-life.
class decaying_sum
{
public:
    void add(double amount, duration halfLife, time_point now);
    double at(duration halfLife, time_point now) const;

private:
    double m_value = 0;
    time_point m_at;
};

/// Order and shares of the waiting requests at one router.
///
/// Requests are ordered by priority. Within a priority, returned requests of accounts that are within their share come first, then the
/// request whose account has the least use: the decayed cost of what it started, with the cost of its requests that wait before.
class admission_order
{
public:
    /// What the requests are ordered by.
    enum class scheme : std::uint8_t {
        arrival,
        priority, // then by arrival
        share, // by priority and the accounts' use; new arrivals do not overtake
    };

    explicit admission_order(scheme by);

    /// @param count Live routers, with this one.
    void setRouters(std::size_t count);

    /// Requests that wait at this router, of all services.
    std::size_t size() const
    {
        return m_waiting.size();
    }

    /// Adds a request that waits, or changes why it waits. A request that is added again keeps its place.
    void wait(admission_request request, wait_reason reason, time_point now);

    /// Removes a request that was sent, refused or given up. Does nothing if it does not wait.
    void remove(std::uint64_t id);

    /// The waiting requests in the order in which they are to be tried. Begins a pass: see turnOf().
    std::vector<std::uint64_t> beginPass(time_point now);

    void endPass()
    {
        m_pass.reset();
    }

    /// Whether a request may be tried now. Within a pass, a request is not tried after a more urgent one of its service found no free
    /// capacity; outside, not while a request that comes first waits for capacity.
    admission_turn turnOf(const admission_request &request, time_point now) const;

    /// Waiting requests that limits concern and that come before or at the place of a request of this priority and account.
    std::size_t limitedAhead(int priority, const std::string &account) const;

    /// A request was sent to an upstream.
    /// @param cost Tokens to prefill and to generate, for the share of the account.
    void recordStart(const admission_request &request, double cost, duration waited, time_point now);

    /// Time until all that comes before the request has started, in the whole fleet. Nothing while the service's rate is not known:
    /// that takes some time in which requests wait for capacity.
    std::optional<duration> expectedWait(const admission_request &request, time_point now) const;

    /// True if the request cannot be started within the time that it may wait.
    bool isHopeless(const admission_request &request, time_point now) const;

    /// Time after which a caller should come back who is refused for want of capacity, and by which it is recognized when it does.
    /// Nothing if no request of the service waits, or the order is not by shares.
    /// @param seed Spreads the times of different requests.
    /// @param longestPause The caller does not wait longer; it has no claim when it comes back earlier than stated.
    std::optional<duration> refuse(const admission_request &request, std::uint64_t seed, duration longestPause, time_point now);

    /// True if the request is likely to be that of a caller who was told to come back now, by this router or another one.
    bool takeReturn(const admission_request &request, time_point now);

    /// True if the order is by shares: arrivals may have to wait for others, and refusals state expected waits.
    bool isByShare() const
    {
        return m_scheme == scheme::share;
    }

    /// Takes the counts of another router.
    /// @param isCounted As in entry_event::load_update_received.
    void applyUpdate(const load_update &update, bool isCounted, time_point now);

    /// This router's role has changed: the same requests may be in updates of other sources from now on.
    void forgetUpdates();

    /// This router's counts, for a load update.
    admission_counts ownCounts(time_point now) const;

    /// As upstream_set::domainLoad() and fleetLoad(), for load_scope::domain and fleet.
    admission_counts sumOfCounts(load_scope scope, time_point now) const;

    /// Sums without what a router reported itself, for an update to that router.
    admission_counts excludingRouter(admission_counts sums, const std::string &router, time_point now) const;

    /// Requests that wait for capacity, here and at other routers.
    struct backlog {
        std::size_t waiting = 0; // at this router
        std::size_t elsewhere = 0;
        double cost = 0; // at this router
        duration longestWait {0}; // at this router
    };

    /// By service and priority.
    std::map<std::pair<std::string, int>, backlog> backlogs(time_point now) const;

    /// Forgets what is outdated. @return Once in limits::admissionReportInterval while requests wait: the backlog and the accounts' shares.
    std::vector<log_record> tick(time_point now);

private:
    struct waiting_request {
        admission_request request;
        std::uint64_t sequence = 0; // of its arrival
        wait_reason reason = wait_reason::other;
        time_point since;
    };

    /// Place of a request in the order.
    struct place {
        int priority = 0;
        bool isAfterReturns = true; // false for a returned request whose account is within its share
        std::size_t turn = 0; // under limits: waiting requests of the same account that came before
        double use = 0; // of the account, with its requests that wait before this one
        std::uint64_t sequence = 0;

        auto operator<=>(const place &) const = default;
    };

    struct account_state {
        decaying_sum use; // in tokens, or requests of a plain service
        std::uint64_t started = 0; // since the last report
        double startedCost = 0; // of them
        duration longestWait {0}; // of them
    };

    struct promised_return {
        std::uint64_t caller = 0;
        std::uint32_t account = 0; // key of service and account
        int priority = 0;
        double cost = 0;
        time_point dueAt;
    };

    struct guessed_return {
        std::uint32_t account = 0;
        int priority = 0;
        time_point at;
    };

    struct service_state {
        std::map<std::string, account_state> accounts;
        decaying_sum started; // cost of requests, since measuredSince
        std::map<int, decaying_sum> startedBy; // the same by priority
        decaying_sum startedRequests; // their number
        time_point measuredSince;
        std::optional<time_point> backlogSince; // requests wait for capacity, without a longer break
        time_point lastBacklogAt;
        std::deque<promised_return> promised; // that were not seen again
        std::deque<guessed_return> guessed; // arrivals that were taken for returns by other routers' counts
    };

    struct peer_counts {
        load_scope scope = load_scope::router;
        admission_counts counts;
        time_point receivedAt;
    };

    /// Pass over the waiting requests: the most urgent priority of each service that found no free capacity.
    using pass = std::unordered_map<std::string, int>;

    service_state &serviceFor(const std::string &name, time_point now);
    void noteBacklog(const std::string &service, time_point now);
    double useOf(const std::string &service, const std::string &account, time_point now) const;
    /// True if the account has not used much more than the other accounts of the service.
    bool isWithinShare(const std::string &service, const std::string &account, time_point now) const;
    /// Waiting requests in the order of their arrival.
    std::vector<const waiting_request *> byArrival() const;
    /// Places of the waiting requests of a service (of all services, if null).
    std::vector<std::pair<place, const waiting_request *>> places(const std::string *service, time_point now) const;
    /// Place that a request has, or would have if it waited.
    place placeOf(const admission_request &request, time_point now) const;
    /// Cost of what comes before the request, in the whole fleet. Where slots are scarcer than memory, a request costs the usual amount
    /// however long its prompt is: the smaller of the two counts, so that no request is refused at once that may still be started.
    double costAhead(const admission_request &request, time_point now) const;
    /// Cost of the callers whom this router told to come back, and who come before the request.
    double promisedCostAhead(const admission_request &request, time_point now) const;
    /// Part of the starts at this router that is left for the request's class: by more urgent requests and, if the account is over its
    /// share, by other accounts.
    double shareLeft(const admission_request &request, time_point now) const;
    double rateOf(const service_state &service, time_point now) const;
    /// Cost that the fleet starts in a second; nothing if it is not known.
    std::optional<double> fleetRate(const std::string &service, time_point now) const;
    bool hasBacklog(const std::string &service, time_point now) const;
    /// True if requests wait at other routers, of a class that comes before @p than, or of any class if there is none.
    bool hasBacklogElsewhere(std::uint32_t service, std::optional<admission_class> than, time_point now) const;
    admission_class classOf(const admission_request &request, time_point now) const;
    static void add(admission_counts &sum, const admission_counts &counts, duration age);

    scheme m_scheme;
    std::unordered_map<std::uint64_t, waiting_request> m_waiting; // by id
    std::uint64_t m_lastSequence = 0;
    std::optional<pass> m_pass;
    std::map<std::string, service_state> m_services;
    std::map<std::string, peer_counts> m_peers; // by source of the load update
    time_point m_nextReportAt;
    std::size_t m_routers = 1;
};

} // namespace nutmegtally
