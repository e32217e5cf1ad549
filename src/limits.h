// Compile-time limits and defaults of the library. The unit is in the name or the type; a comment gives the reason.
#pragma once

#include <nutmegtally/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace nutmegtally::limits
{

using namespace std::chrono_literals;

// Platform.
inline constexpr std::size_t maxObjectBytes = 1'000'000; // limit of the object API for one value

// Configuration.
inline constexpr std::size_t maxNameLength = 64;
inline constexpr double defaultLoadBound = 1.25;
inline constexpr double minLoadBound = 1.05; // a bound of 1.0 would leave no upstream to choose when all have the mean load
inline constexpr double maxLoadBound = 10.0;
inline constexpr std::size_t maxHeadChanges = 64; // a longer head costs each watcher more bytes per change
inline constexpr std::size_t maxConfigHeadBytes = 262'144;
inline constexpr std::size_t maxAuditSegmentBytes = 800'000; // below maxObjectBytes, with room for the framing of one more record
inline constexpr std::size_t maxRecentChanges = 256; // patches kept for peers; a peer further behind gets the whole state

// Dissemination.
inline constexpr std::size_t maxHolders = 6; // ids in a push; 19 bytes each
inline constexpr unsigned pushRetries = 2; // other peers that are tried after a failed push
inline constexpr duration digestRetryDelay = 100ms; // bounds the call rate of a process whose peers all fail
inline constexpr duration watcherRankInterval = 1s; // between two passes that rank all members
inline constexpr std::size_t maxRecentRecords = 8; // records sent at once when digests differ
inline constexpr duration recentRecordLifetime = 30s;

// Routing.
inline constexpr std::size_t maxCandidates = 4;
inline constexpr duration flapPenaltyHalfLife = 30s;
inline constexpr double maxFlapPenalty = 5; // all running attempts fail at once when an engine dies; that counts as one loss, not as thirty
inline constexpr duration failureBackoff = 250ms; // without new requests after a failure; doubles with each point of flap penalty
inline constexpr duration flapPenaltyDelay = 100ms; // added to the expected delay per point of penalty
inline constexpr duration retryBudgetHalfLife = 10s; // of the weight of past successes and retries
inline constexpr double assumedPrefillTokensPerSecond = 8000; // until an upstream reports its rate
// Weight of a token that has to be prefilled again relative to a token that is already queued. It is large because a
// repeated prefill delays all requests of the engine, and at high load each moved request displaces others.
inline constexpr double recomputeCost = 1000;
inline constexpr std::uint64_t ringPointsPerUpstream = 64; // consistent_hash_policy
// Smallest load bound: relative to the mean of a nearly idle pool, a bound would exclude upstreams with a single request.
inline constexpr double loadFloorRequests = 4;
inline constexpr duration ejectionAfterRefusal = 3s; // closures of domains and leaving announcements arrive within this time
inline constexpr duration meanLoadRefreshInterval = 20ms; // between two computations of the mean load of a large pool
inline constexpr std::size_t smallPoolSize = 64; // upstreams; the mean load of a pool up to this size is computed for each decision
inline constexpr std::size_t cacheHintEntries = 4096; // most recent cache events that a router keeps; not a directory of all chats
inline constexpr double hitRatioWeight = 0.05; // of the newest answer in the moving average
inline constexpr duration minRetryAfter = 100ms;

// Admission.
// Past estimates of the mean load lose half of their weight in this time; with 1 s the bound rose too slowly after idle periods.
inline constexpr duration meanLoadHalfLife = 200ms;
inline constexpr duration meanLoadLifetime = 10s; // an older estimate is not used
inline constexpr duration minLatencyJump = 50ms; // floor of the usual latency that a jump is measured against; less is scheduling noise
inline constexpr std::uint32_t minLatencyJumps = 3; // late or failed; a single slow first token may be a prefix that was evicted
inline constexpr double jumpWindowShare = 0.25; // of the window, late or failed within one interval, before it collapses
inline constexpr std::uint32_t goodSamplesPerBad = 4; // on-time samples per late one with which the window still grows
inline constexpr double firstTokenModelWeight = 0.02; // of the newest sample
inline constexpr double minModelSamples = 10; // fewer samples give no usable regression line
inline constexpr double maxPrefillTokensPerSecond = 1e6; // lower bound of the slope; a flat or falling line is noise
inline constexpr double latencyModelWeight = 0.1; // of the newest sample
// After this time without a start of a priority, one request is started against the prediction, so that the model learns again.
inline constexpr duration probeInterval = 5s;
inline constexpr std::uint32_t minPaceSamples = 20; // tokens; fewer give no usual token interval
inline constexpr double paceWeight = 0.05; // of the newest token in the moving average of the token interval
// A token interval above this multiple of the usual one is slow; a step with a prompt chunk takes about twice as long as one without.
inline constexpr double slowPaceFactor = 3.0;
inline constexpr duration minSlowPace = 25ms; // below this a slow interval is scheduling noise and does not count against the upstream
inline constexpr duration slowPaceTime = 100ms; // of slow tokens without a fast one, until the window collapses
inline constexpr double windowCollapseFactor = 0.25;
inline constexpr double windowShrinkFactor = 0.9; // per interval with tokens slower than the target
// The window may grow only if this share of it was in use; an unused window says nothing about a larger one.
inline constexpr double windowUseToGrow = 0.7;
inline constexpr double betweenTokensGrowthRatio = 0.9; // of the target, from which the window stops growing
inline constexpr std::uint32_t minBetweenTokensSamples = 3;
inline constexpr double shareReserve = 0.5; // part of the window that accounts over their share leave free
inline constexpr double shareBurst = 2; // standard deviations of a Poisson load that do not count as over the share
inline constexpr unsigned overSharePriority = 10; // above the highest class priority

// Ledger.
inline constexpr std::size_t maxStoredBodyBytes = 512;
inline constexpr std::size_t maxLedgerHeadBytes = 524'288; // half of the platform's limit; unknown entries stay in the head
inline constexpr std::size_t maxWaitersPerKey = 16;
inline constexpr std::size_t maxParkedOffers = 1024; // per shard, during a take-over
inline constexpr std::size_t parallelSegmentReads = 8;
inline constexpr duration keyClockTolerance = 5min; // between the clocks of callers and agents
inline constexpr duration unknownRetention = 24h; // operators settle unknown entries within this time
inline constexpr duration ownerCacheTime = 2s; // after this time the head is read again to learn its owner
inline constexpr duration unknownRetryAfter = 5s;
// A former owner sends no claim after its commitTimeout, but a call that it sent before may be delayed in the network.
inline constexpr duration notRunWait = 10s;
inline constexpr duration settleRetryInterval = 1s;
inline constexpr unsigned maxSettleTries = 60;

// Routers without agents, which send requests directly to upstreams.
inline constexpr double retryRatioShare = 0.7; // of the fleet's ratio: a router's measuring window does not coincide with the platform's
inline constexpr double retrySlackShare = 0.6; // of the fleet's slack, for the time in which routers disagree on their number
inline constexpr std::size_t maxPrefixParts = 4096; // prompt parts in a router's prefix map; about 300 KB
inline constexpr std::size_t maxHoldersPerPart = 64; // engines stored for one part
inline constexpr std::size_t maxCacheQueries = 8; // engines that one router asks for their cached parts after a start
inline constexpr std::size_t smallFleetEngines = 24; // every router asks all of them itself: announcements would come too late
inline constexpr duration prefixLifetime = 30s; // engines under load evict unused parts within this time
// A prompt part that stays in use at an engine is announced again after this time, well below prefixLifetime.
inline constexpr duration prefixAnnounceInterval = 10s;
inline constexpr double assumedPrefillTokensPerMs = 45; // engines of both deployments prefill 48 to 55 tokens per millisecond
inline constexpr double engineStepMsPerRequest = 2.0; // delay of the first event per running request
inline constexpr double fetchCostMsPerToken = 0.02; // load that fetching cached tokens puts on others, as delay of this request
inline constexpr std::uint64_t minFetchTokens = 256; // a shorter prefix is prefilled sooner than fetched
inline constexpr unsigned preferredEngines = 2; // per context, by hash; two, so that the load decides between them
// Added to the score of an engine that is not preferred for an affinity key, if no engine has all shared parts cached.
inline constexpr double nonPreferredPenaltyMs = 20;
inline constexpr duration loadUpdateLifetime = 1500ms; // of another router's load update; covers the loss of a few updates
inline constexpr duration cacheQueryDelay = 50ms; // after the first list of upstreams, for other routers to send what they know
inline constexpr duration cacheAnswerTimeout = 200ms; // for the engines' answers; a busy engine delays them
inline constexpr duration cacheAnnouncementTime = 100ms; // for other routers' announcements, over two leaders
inline constexpr std::uint64_t minAnnouncedListTokens = 1500; // smaller parts of a list would multiply its size and bring little
inline constexpr double cacheWaitTargetShare = 0.15; // of its target that a prompt waits until the engines' caches are known
inline constexpr std::size_t partsPerUpdate = 512; // of announced prompts; five kilobytes, in addition to as much for the load
inline constexpr std::size_t maxOutgoingPrompts = 2048; // waiting for a load update; further ones are dropped, which costs another prefill
inline constexpr double crossDomainMs = 2.0; // round trip between failure domains of one region
inline constexpr double loadOverMean = 1.5; // an engine is a candidate below this multiple of the mean load
inline constexpr double loadOverMeanSlack = 2.0; // requests; a ratio alone is meaningless in a nearly idle fleet
// Update intervals until a router knows of another one's request: one to the leader, one in the leader's sum.
inline constexpr double loadUpdateHops = 2.0;
inline constexpr duration recentSumHalfLife = 2s; // of what this router placed lately; spans some tens of requests
// Largest random score difference between equal engines, in multiples of unreportedPrefillMs().
inline constexpr double unreportedPrefillSpread = 2.0;
inline constexpr double loadUpdateIntervalWeight = 0.02; // of the newest time between two updates in the moving average
inline constexpr double engineFillLimit = 0.9; // of an engine's token memory; above it the engine preempts running requests
inline constexpr double serviceQueueShare = 1.0; // requests beyond its slots that an upstream without engines gets, per slot
inline constexpr double connectionShare = 0.8; // of an upstream's connections that routers use for requests in flight
inline constexpr double failurePenaltyMs = 400; // for an upstream that fails all its requests
inline constexpr double failureWeight = 0.15; // of the newest answer in the moving average of failures
inline constexpr duration minEjectionTime = 300ms; // after a failed connection; doubles with each further one
inline constexpr duration maxEjectionTime = 4s; // a recovered upstream is used again within this time
inline constexpr duration leavingAnnounceTime = 5s; // to other routers, after an upstream announced that it leaves
// The requests of other routers in an upstream's last load report lose half of their weight in this time.
inline constexpr duration reportHalfLife = 700ms;
inline constexpr duration reportLifetime = 5s; // less than a hundredth of a report's weight is left by then
inline constexpr std::size_t routersPerColdUpstream = 4; // routers that may send to one cold upstream
inline constexpr double coldRateShare = 0.9; // of the rate that a cold upstream tolerates
inline constexpr std::size_t queueLimit = 512; // requests that wait for an upstream at one router
inline constexpr double queueTargetShare = 0.25; // of its target that a request waits for an upstream before it is refused
inline constexpr duration retryAfterNoRoom = 400ms; // some running requests have ended by then
inline constexpr duration retryAfterNoUpstream = 1s; // a new upstream is listed within about a second
inline constexpr duration retryAfterRefused = 200ms; // the caller's retry reaches another router and upstream
inline constexpr duration retryAfterDraining = 20ms; // other routers are available at once
inline constexpr duration drainAcceptTime = 2800ms; // new connections stop after two missed readiness checks, a second apart
inline constexpr duration minProcessPause = 1500ms; // between two events; a process that is only short of CPU is late by less
inline constexpr duration verifyTimeout = 400ms; // wait for an update of another router after a pause; then the known state is used
inline constexpr double overdueTargetShare = 0.6; // of its target after which an idempotent request is sent to another upstream
inline constexpr double overdueStreamTargets = 2.0; // targets without a first event that count as a failure of the upstream
inline constexpr int neutralPriority = 5; // what an engine assumes for a request without a priority
inline constexpr duration minAttemptTime = 20ms; // a request with less time left cannot be answered

// Quarantine of prompt parts that crash engines.
inline constexpr unsigned minQuarantineCrashes = 3; // the first ones may have another cause; until then one request at a time is sent
inline constexpr duration quarantineTerms[] = {60s, 10min}; // after minQuarantineCrashes, and after more
inline constexpr unsigned crashesOutweighedBySurvival = 2;
// A suspected part is tried by one router after the other, so that the first one's result is known to the next.
inline constexpr duration trialStagger = 300ms;
inline constexpr duration maxTrialWait = 3s; // of the last routers of a large fleet
inline constexpr duration crashLifetime = 1h; // longer than the longest term, so that the trial after it ends with one crash
inline constexpr duration quarantineSweepInterval = 1s; // between two removals of old evidence
inline constexpr duration crashShareTime = 10s; // that a single crash is told to other routers; parts of more are told while they are kept
inline constexpr duration survivalShareTime = 5s; // that a cleared part is told to other routers; covers lost heartbeats
inline constexpr duration survivalRefreshInterval = 500ms; // by which a told survival has to be newer; more than routers need to pass it on
inline constexpr std::size_t maxCrashesPerPart = 8;
inline constexpr std::size_t maxSuspectedParts = 256;
inline constexpr std::size_t maxSharedEvidence = 32; // parts in a heartbeat; about a kilobyte
inline constexpr std::size_t maxSurvivedParts = 8192; // remembered survivals; about 300 KB
inline constexpr std::size_t maxLoggedParts = 16; // in one line of the log
inline constexpr duration retryAfterSuspicion = 500ms; // another request with the part has been answered by then, or was its end

// Limits of requests that upstreams state.
inline constexpr double minPermitsPerSecond = 0.25; // also for an upstream that takes none: only an answer tells that it takes more
inline constexpr double minPermitBurst = 2.0; // permits that a bucket holds at least: one, and one that is left for more urgent requests
inline constexpr duration permitBurstTime = 500ms; // of the limit, that a bucket holds
inline constexpr double standbyPermitShare = 0.5; // of the limit that the second issuer grants; it does not know what the first one does
inline constexpr duration permitTimeout = 60ms; // for an issuer's answer: ten round trips within a region
inline constexpr duration silentIssuerTime = 2s; // that an issuer without an answer is not asked
inline constexpr duration minPermitWait = 5ms; // after a denial, about the time on the way
inline constexpr duration maxPermitWait = 2s; // after a denial; limits may end or rise meanwhile
inline constexpr duration permitMemory = 1s; // that denied requests are left a permit
inline constexpr duration permitShareHalfLife = 5s; // of the permits counted for a client account
inline constexpr double maxAccountPermitShare = 0.5; // of an upstream's permits for one account while others are denied
inline constexpr std::size_t maxPermitAccounts = 64; // counted for one upstream
inline constexpr std::size_t maxPermitClaims = 256; // remembered for one upstream until their waits are over
inline constexpr unsigned maxPermitDenials = 4; // of one request, before it goes where no permit is needed, or waits
inline constexpr double limitNewsShare = 0.1; // of a limit; other routers are told of a smaller change in turn
inline constexpr duration limitRefreshInterval = 500ms; // by which the same statement has to be newer; more than routers need to pass it on
inline constexpr duration limitEndShareTime = 5s; // that the end of a limit is told to other routers; covers lost heartbeats
inline constexpr std::size_t maxSharedLimits = 48; // in a heartbeat; 700 bytes
inline constexpr duration maxLimitReturn = 3s; // longest Retry-After while all upstreams are at their limits
// Added to the score of an upstream with a limit, which had better keep its permits for prompts that it has cached.
inline constexpr double limitedPenaltyMs = 30;

// Watching the platform's objects, and gossip between routers.
inline constexpr duration minCallBackoff = 60ms; // after a failed call to the object API; doubles
inline constexpr duration maxCallBackoff = 1s; // each call is charged, also a refused one
inline constexpr duration watchTimeoutAfterFailure = 300ms; // until the object API has answered again
inline constexpr duration closureWatchTimeout = 2500ms; // closures may take five seconds from their acknowledgement on
inline constexpr duration watchTimeoutMargin = 1s; // a slow store takes some hundred milliseconds to answer
inline constexpr std::size_t leadersPerDomain = 2; // one may be down, frozen or partitioned
inline constexpr duration leaderTimeout = 600ms; // without a heartbeat, until a leader counts as inactive
inline constexpr int leaderTimeoutIntervals = 5; // the same in heartbeat intervals, for a leader with longer intervals
inline constexpr duration leaderLoadLifetime = 300ms; // without a heartbeat, until another leader's sum is used
// Routers replace missing leaders one after the other, by rank, at this interval: the first one's heartbeats stop the others.
inline constexpr duration standbyStagger = 300ms;
// A substitute leader continues this long after there are enough leaders, so that roles do not change with each lost heartbeat.
inline constexpr duration stepDownDelay = 2s;
inline constexpr std::size_t maxRemovals = 512; // of one kind; a router that missed more gets the whole state
inline constexpr duration minHeldBackTime = 6s; // an entry of an upstream that is gone has expired again by then
// Entries expire three heartbeats of their upstreams after the API fell silent, and are back within two seconds of its return.
inline constexpr duration minSteadyService = 6s;
inline constexpr duration maxServiceBreak = 1800ms; // between two answers; more than a watch takes, and less than makes entries expire
inline constexpr duration minOutage = 700ms; // of failed calls; a single broken connection is replaced sooner
inline constexpr duration minDoubtInterval = 5s; // between lists because of another router's copy: that router may be the wrong one
inline constexpr duration syncInterval = 1s; // between syncs with other routers
inline constexpr duration steadySyncInterval = 4s; // after discoveryTime, when load updates carry digests of the state
inline constexpr duration discoveryTime = 10s; // after a start, while routers find each other
inline constexpr unsigned anyRouterSyncEvery = 3; // of so many syncs one goes to any router, the others to leaders
inline constexpr duration isolatedSyncInterval = 200ms; // while the object API does not answer, or no router is known
// After a start: syncs as often, each with the cached prompts that the other knows. When all routers start together, the first
// answers come from routers that have just started themselves.
inline constexpr duration joinTime = 1500ms;
inline constexpr duration minSyncBackoff = 1s; // for a router that did not answer; doubles
inline constexpr duration maxSyncBackoff = 8s;
inline constexpr duration minLagBeforeSync = 600ms; // routers receive a change within half a second of each other
inline constexpr duration recentlySeenTime = 1500ms; // a router seen within this time is reported as live
inline constexpr duration routerLifetime = 15s; // since a router was last seen; it keeps its part of shared limits for this long

// Rollouts of a new version.
inline constexpr duration rolloutWindow = 5s; // in which answers of the two versions are compared, beside all since the order
inline constexpr duration rolloutSampleInterval = 250ms; // between two stored sums of the window
inline constexpr std::uint32_t minRolloutBadAnswers = 6; // of the new version, for a verdict; the bound on bad answers is 50
inline constexpr double minRolloutShareDifference = 0.1; // of bad or slow answers, above the base version's share
inline constexpr double rolloutVerdictZ = 4; // the counts are tested several times a second, so chance would exceed a smaller value
inline constexpr double rolloutSuspicionZ = 3; // a version this much worse is not found good yet
// Of bad or slow answers, above the base version's share, for a suspicion. Without it, one failure of the target on trial beside none of
// the base is suspicious for ever: z is then the root of the ratio of their answers, about 3.4.
inline constexpr double minSuspicionShareDifference = 0.03;
inline constexpr std::uint32_t minRolloutAnswers = 20; // of a version that is found good
inline constexpr std::uint32_t minRolloutRouteAnswers = 3; // of it on each route with minRolloutBaseAnswers
// Of the base version's answers, that a version on trial has at least. A trial brings about 0.08; at less than 0.03, more than chance
// keeps requests from it, and the lack of bad answers shows nothing.
inline constexpr double minTrialAnswerShare = 0.03;
inline constexpr std::uint32_t minRolloutBaseAnswers = 20; // of the base version in a window; with fewer, all since the order count
// In which answers of a version are slow, for a verdict. In a shorter time everything may have been slow, while the base version got no
// requests any more that would show it.
inline constexpr duration minRolloutSlowTime = 1500ms;
inline constexpr double slowAnswerFactor = 2.5; // of the base version's usual time on the route
inline constexpr std::uint32_t minUsualTimeAnswers = 12; // of the base version on a route, for its usual time
inline constexpr duration brokenAnswerDelay = 300ms; // after which an answer shows that its upstream did not crash when others broke
inline constexpr duration brokenAnswerLifetime = 3s; // broken answers of an upstream that does not answer again are not the version's fault
inline constexpr duration startSlowTime = 3s; // after it is listed, an upstream's times do not count
inline constexpr double expectedTimeFloorMs = 20; // added to the predicted delay of an engine
inline constexpr double trialQuotaShare = 0.8; // of the fleet's share that routers use; their counts and the platform's do not coincide
inline constexpr double trialSlackShare = 0.3; // of the fleet's slack, divided among the routers; some may restart in the trial
inline constexpr duration unknownVersionHold = 2s; // of upstreams of a new version until the orders are known; a list takes less
inline constexpr double minTrialTime = 0.4; // of the ramp, before all requests go to the new version
inline constexpr duration shiftDoublingTime
    = 500ms; // of the share in a shift; a fault that shows with more load is found before all requests move
inline constexpr duration completionMargin = 1500ms; // for the status to reach all routers, and their counts to come back
inline constexpr duration rolloutTurnDelay = 400ms; // between two routers that may write a status; a write takes less
inline constexpr std::size_t maxRolloutTurns = 8;
inline constexpr duration rolloutRewriteDelay = 1s; // after a write without an answer, or a refused one
inline constexpr duration completionHold = 400ms; // without requests at base upstreams; covers two load updates
inline constexpr duration longestAnswerTime = 10s; // that the longest time at a base upstream is remembered, at least
inline constexpr duration unlistedTargetDelay = 2s; // until an order for a version without upstreams is logged

// Order of waiting requests, shares of accounts and expected waits.
inline constexpr duration accountUseHalfLife = 5s; // of the cost of an account's requests
// An account is over its share above this multiple of the other accounts' mean use; less is chance.
inline constexpr double overShareFactor = 1.25;
inline constexpr duration startRateHalfLife = 2s; // of the cost of started requests; follows changes of the capacity
inline constexpr duration backlogLifetime = 300ms; // of other routers' backlog; an older one would hold requests back for nothing
inline constexpr duration maxHoldBack = 100ms; // of a request while more urgent ones wait at other routers; lost updates cost little
inline constexpr double holdBackWaitShare = 0.8; // of the time that a request may wait; it is tried before it is refused
// Requests must have waited for this time until the rate of starts counts as the capacity; before, it may be that of the demand.
inline constexpr duration minBacklogTime = 500ms;
inline constexpr duration maxBacklogBreak = 300ms; // without waiting requests, within which the backlog counts as the same
inline constexpr double minShareLeft = 0.02; // of a class in the starts, for its expected wait; it is cut off at maxStatedReturn anyway
inline constexpr duration minStatedReturn = 200ms; // shortest Retry-After for want of capacity
inline constexpr duration maxStatedReturn = 3s; // longest one, before it is spread
inline constexpr double returnSpread = 0.5; // of the Retry-After, added by hash so that callers do not come back together
inline constexpr double returnLeftShare = 1.0 / 3; // of the time that callers have left, up to which they honour a Retry-After
inline constexpr duration returnTolerance = 2s; // after its time, in which a caller counts as returned
inline constexpr double minExpectedReturn = 0.5; // of callers whom other routers refused, for an arrival to count as one of them
inline constexpr std::size_t maxPromisedReturns = 2048; // remembered for one service
inline constexpr std::size_t maxSharedBacklogs = 16; // services and priorities in a heartbeat; 11 bytes each
inline constexpr std::size_t maxSharedUses = 32; // accounts in a heartbeat; 8 bytes each
inline constexpr std::size_t maxSharedReturns = 32; // services, priorities and accounts in a heartbeat; 11 bytes each
inline constexpr std::size_t maxSharedRates = 8; // services in a heartbeat; 8 bytes each
inline constexpr double minAccountUse = 0.05; // tokens or requests; a smaller use is forgotten
inline constexpr duration admissionReportInterval = 1s; // between two reports of the backlog to the log
inline constexpr std::size_t maxReportedAccounts = 32; // of a service, in one report

// Learned speed of upstreams.
inline constexpr double usualSpeedRange = 1.15; // factor around the median in which upstreams count as alike
inline constexpr duration speedHalfLife = 10s; // of the weight of an upstream's answers, and of its factor when it is not seen
// Without a decay of the factor: each of many routers sends a request to an upstream only every few seconds.
inline constexpr duration speedUnseenGrace = 5s;
inline constexpr duration speedForgetTime = 30s; // an upstream that was not seen for this time is tried like a new one
inline constexpr duration speedFitHalfLife = 30s; // of the answers in the usual time of a service
inline constexpr double speedPriorSamples = 1.0; // answers that the default speed counts as
inline constexpr double minSpeedFitSamples = 10; // answers of a service until its usual time is known; fewer give no usable line
inline constexpr double minExpectedMs = 0.1; // of an answer; a shorter time is not measured reliably
inline constexpr double minPrefillTokensPerMs = 10;
inline constexpr double maxPrefillTokensPerMs = 500;
inline constexpr double minStepMs = 0.2;
inline constexpr double maxStepMs = 20;
inline constexpr double minSlowness = 0.25; // a larger difference between servers of one service is a fault of the measurement
inline constexpr double maxSlowness = 8;
inline constexpr double minSpeedSamples = 3; // answers of an upstream; fewer say nothing about it
inline constexpr double maxSpeedWeight = 16; // answers in an upstream's moving average; more would follow a recovery too late
inline constexpr double speedVarianceWeight = 0.02; // of the newest answer in the variance of the times of a service
inline constexpr double speedErrors = 3; // standard errors; a smaller difference is chance
inline constexpr duration statedSpeedHalfLife = 1s; // of an upstream's statement about its machine, which changes many times a second
inline constexpr double statedSpeedShare = 0.5; // of an answer's weight that a statement has; it is old when it arrives
inline constexpr double maxStatedSpeedWeight = 8; // statements; with their share a quarter of maxSpeedWeight
inline constexpr double minStatedSpeedWeight = 0.05;
inline constexpr double minSentSpeedWeight = 0.5; // answers; other routers get no figure that rests on less
inline constexpr duration speedRefreshInterval = 100ms; // between two computations of the factors of a service; load updates come as often
inline constexpr duration minSpeedNoteInterval = 1s; // between two log lines about an upstream's factor
inline constexpr double minLoadTrendSamples = 12; // answers of an upstream; fewer give no usable line
inline constexpr double minLoadTrendVariance = 0.25; // of the load in requests; at an almost constant load no trend shows
inline constexpr double loadTrendErrors = 4; // standard errors; the trend is tested with each answer, so chance would exceed fewer
inline constexpr double usualLoadUse = 0.7; // of an upstream's usual load, from which an answer shows that it could take more
inline constexpr double usualLoadGrowthPerSecond = 0.03; // while answers come in the usual time
inline constexpr double maxUsualLoad = 1000; // requests; a larger one bounds nothing
inline constexpr double overUsualLoadMs = 60; // per request over the usual load, relative to it; as for requests over an upstream's slots
inline constexpr double unprovenLoadShare = 0.5; // of the service's mean load, for an upstream that is new or was not seen lately
inline constexpr double unprovenPenaltyMs = 2000; // for an upstream that has this share; above all other terms of a usual score

} // namespace nutmegtally::limits
