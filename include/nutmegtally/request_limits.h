// Limits of requests that upstreams state. A limit holds for all routers together, so each request to a limited upstream needs a
// permit from the one router that issues them for it; what one router does not use is there for the others. Routers tell each
// other what they heard, so that those that the upstream never told keep to it too. A reducer: calls carry the time.
#pragma once

#include <nutmegtally/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegtally
{

/// One incarnation of an upstream, as messages about limits name it.
struct limited_upstream {
    std::uint32_t key = 0; // upper half of the hash of the instance's name
    std::uint32_t incarnation = 0; // lower half of the incarnation: one that starts again has stated nothing

    bool operator==(const limited_upstream &) const = default;
};

/// @param instance Name of the upstream's instance.
limited_upstream limitedUpstreamOf(std::string_view instance, std::uint64_t incarnation);

/// What an upstream last stated, as routers tell it each other.
struct limit_statement {
    limited_upstream upstream;
    std::optional<double> perSecond; // nothing: the upstream no longer states a limit
    duration age {0}; // since a router heard it

    bool operator==(const limit_statement &) const = default;
};

/// For whom a permit is: more urgent requests go first, and no account takes all permits.
struct permit_claim {
    int priority = 0; // of the request, 0 first
    std::uint32_t account = 0; // hash of the client account

    auto operator<=>(const permit_claim &) const = default;
};

/// Asks the issuer of an upstream for a permit to send it one request.
struct permit_request {
    std::uint64_t number = 0; // of the asking router; comes back with the answer
    limit_statement statement; // as the asking router knows it
    permit_claim claim;

    bool operator==(const permit_request &) const = default;
};

struct permit_answer {
    std::uint64_t number = 0;
    limit_statement statement; // as the issuer knows it
    bool isGranted = false;
    duration wait {0}; // until it is worth while to ask again for the same claim; 0 for at once
    permit_claim claim;

    bool operator==(const permit_answer &) const = default;
};

namespace detail
{

/// Use of an upstream's permits by one client account.
struct account_use {
    double grants = 0; // decays with limits::permitShareHalfLife
    time_point grantsAt; // last update of grants
    time_point deniedAt;
};

/// Permits that this router issues for an upstream: a token bucket.
struct permit_bucket {
    double tokens = 0; // an issuer that has just started does not know what the one before it gave out
    time_point refilledAt;
    time_point nextTurnAt; // turn of the next router that is denied
    time_point nextYieldingTurnAt; // the same for claims that yield to others
    std::map<int, time_point> deniedAt; // last denial by priority
    std::map<std::uint32_t, account_use> accounts; // at most limits::maxPermitAccounts
};

} // namespace detail

class request_limits
{
public:
    /// Sets the routers among which the issuers are ranked.
    void setRouters(std::string self, std::vector<std::string> live);

    /// Records what an answer says of the limit.
    /// @param perSecond Nothing if the answer states no limit.
    /// @param sentAt Time of the request. An answer without a limit ends one only if its request was sent after the last statement
    /// was heard: answers overtake each other.
    void recordStatement(limited_upstream upstream, std::optional<double> perSecond, time_point sentAt, time_point now);

    /// Records what another router heard; the newer statement holds.
    void merge(const limit_statement &statement, time_point now);

    /// Statements for a message to other routers: news first, then the others in turn; at most limits::maxSharedLimits.
    std::vector<limit_statement> takeStatements(time_point now);

    /// A limit began, ended or changed much since takeStatements() returned it.
    bool hasNews() const
    {
        return m_hasNews;
    }

    /// Requests a second that an upstream takes from all routers; nothing if it states no limit.
    std::optional<double> limitOf(limited_upstream upstream) const;

    /// When it is worth while to ask for a permit of the upstream. In the past for at once.
    time_point availableAt(limited_upstream upstream, const permit_claim &claim) const;

    /// All limits in force, without their ages.
    std::vector<limit_statement> limitsInForce() const;

    bool isEmpty() const
    {
        return m_records.empty();
    }

    /// Drops what is known of an upstream that is gone.
    void forget(std::uint32_t key);

    /// The router to ask for a permit; nothing while no issuer of the upstream answers.
    std::optional<std::string> issuerOf(limited_upstream upstream, time_point now) const;

    /// Composes the request for a permit, and holds back others of the same claim until it is answered.
    permit_request ask(std::uint64_t number, limited_upstream upstream, const permit_claim &claim, time_point now);

    /// Records the answer of an issuer.
    void recordAnswer(const permit_answer &answer, time_point now);

    /// Records that an issuer did not answer within limits::permitTimeout.
    void recordSilence(const std::string &issuer, time_point now);

    /// Holds back requests to an upstream that has no issuer within reach.
    void holdBack(limited_upstream upstream, time_point now);

    /// Decides on a permit, as the issuer.
    permit_answer decide(const permit_request &request, time_point now);

    /// Turn of a caller that is sent away because all upstreams are at their limits: callers come back one after the other, at the
    /// rate that this router's part of the limits serves.
    /// @param earliest When the first upstream is available.
    /// @param perSecond Sum of the limits.
    duration nextReturn(time_point earliest, double perSecond, time_point now);

    /// Part of the limits that this router can count on, as a share of all.
    double ownShare() const
    {
        return 1.0 / static_cast<double>(m_routers.empty() ? 1 : m_routers.size());
    }

    /// Upstreams whose limit began, ended or changed much since the last call; for logs.
    std::vector<limit_statement> takeChanges();

private:
    struct record {
        std::uint32_t incarnation = 0;
        std::optional<double> perSecond;
        time_point heardAt;
        time_point heldBackUntil; // no issuer is within reach
        std::map<permit_claim, time_point> availableAt; // at most limits::maxPermitClaims
        bool isNews = false;
        std::optional<detail::permit_bucket> bucket; // once this router was asked
    };

    using records = std::map<std::uint32_t, record>;

    const record *find(limited_upstream upstream) const;
    void replace(limited_upstream upstream, std::optional<double> perSecond, time_point heardAt);
    limit_statement statementOf(std::uint32_t key, const record &known, time_point now) const;
    /// The first and the second router in the ranking for an upstream; the names are equal if there is only one.
    std::pair<const std::string *, const std::string *> issuersOf(std::uint32_t key) const;
    /// Requests a second that this router may grant for an upstream with a limit.
    double issueRate(std::uint32_t key, double perSecond) const;
    static bool isOutranked(const detail::permit_bucket &bucket, int priority, time_point now);
    static bool isOverShare(detail::permit_bucket &bucket, std::uint32_t account, time_point now);
    static void recordUse(detail::permit_bucket &bucket, const permit_claim &claim, bool isGranted, time_point now);

    std::string m_self;
    std::vector<std::string> m_routers; // live ones, with this one
    std::vector<std::uint64_t> m_routerHashes; // of m_routers
    records m_records; // by key
    std::uint32_t m_lastShared = 0; // key of the last statement that was shared in turn
    std::unordered_map<std::string, time_point> m_silentUntil; // issuers that did not answer
    std::vector<limit_statement> m_changes;
    time_point m_lastReturnAt;
    bool m_hasNews = false;
};

} // namespace nutmegtally
