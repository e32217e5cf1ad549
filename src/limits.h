// Every compile-time limit and default of the library, with its unit in the name or type.
#pragma once

#include <nutmegtally/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace nutmegtally::limits
{

using namespace std::chrono_literals;

// Platform.
inline constexpr std::size_t maxObjectBytes = 1'000'000; // the object API holds values up to a megabyte

// Configuration.
inline constexpr std::size_t maxNameLength = 64;
inline constexpr double defaultLoadBound = 1.25;
inline constexpr double minLoadBound = 1.05; // a bound at the mean would leave no upstream to choose
inline constexpr double maxLoadBound = 10.0;
inline constexpr std::size_t maxHeadChanges = 64; // a longer head costs each watcher more bytes per change
inline constexpr std::size_t maxConfigHeadBytes = 262'144;
inline constexpr std::size_t maxAuditSegmentBytes = 800'000; // below maxObjectBytes with room for one more record's frame
inline constexpr std::size_t maxRecentChanges = 256; // patches kept for peers; a peer further behind gets the whole state

// Dissemination.
inline constexpr std::size_t maxHolders = 6; // ids in a push; 19 bytes each
inline constexpr unsigned pushRetries = 2; // other peers that are tried for a push that failed
inline constexpr duration digestRetryDelay = 100ms; // bounds the calls of a process whose peers all fail
inline constexpr duration watcherRankInterval = 1s; // ranking passes over all members
inline constexpr std::size_t maxRecentRecords = 8; // records sent at once when digests differ
inline constexpr duration recentRecordLifetime = 30s;

// Routing.
inline constexpr std::size_t maxCandidates = 4;
inline constexpr duration loadReportLifetime = 10s;
inline constexpr duration flapPenaltyHalfLife = 30s;
inline constexpr double maxFlapPenalty = 5; // all running attempts fail at once when an engine dies: one loss, not thirty
inline constexpr duration failureBackoff = 250ms; // without new work after a failure; doubles with each point of penalty
inline constexpr duration flapPenaltyDelay = 100ms; // added to the expected delay per point of penalty
inline constexpr double retryBudgetShare = 0.10; // retries per success
inline constexpr duration retryBudgetHalfLife = 10s; // weight of past successes and retries
inline constexpr double assumedPrefillTokensPerSecond = 8000; // until an upstream reports a rate
// Weight of a token that has to be prefilled again against one that already waits: it delays all work of the engine,
// not only its own request, and at high load each move causes others. Shares of the ideal reuse at 85% load: 0.77 with
// weight 8, 0.87 with 32, and the highest from 128 on (trial, nutmegtally-bench policy, Mauritius, no churn, seed 1).
inline constexpr double recomputeCost = 1000;
inline constexpr std::uint64_t ringPointsPerUpstream = 64; // consistent_hash_policy
inline constexpr double loadFloorRequests = 4; // a bound relative to the mean says nothing below this load
inline constexpr duration ejectionAfterRefusal = 3s; // P3 and P7: the configuration or membership record arrives within this time
inline constexpr duration meanLoadRefreshInterval = 20ms; // spacing of the scans for the mean in a large pool
inline constexpr std::size_t smallPoolSize = 64; // upstreams; the mean of a smaller pool is computed for each decision
inline constexpr std::size_t cacheHintEntries = 4096; // newest cache events of a router; not a directory of chats
inline constexpr double hitRatioWeight = 0.05; // of the newest answer in the moving average
inline constexpr duration minRetryAfter = 100ms;

// Admission.
inline constexpr duration meanLoadHalfLife
    = 200ms; // weight of past estimates of the mean load; with 1 s the bound rose too slowly after idle times
inline constexpr duration meanLoadLifetime = 10s; // an estimate is not used longer
inline constexpr duration minLatencyJump = 50ms; // a usual latency below this counts as this: scheduling noise
inline constexpr std::uint32_t minLatencyJumps = 3; // a single slow first token may be a prefix that left the cache
inline constexpr double jumpWindowShare = 0.25; // of the window, late in one interval, before it collapses
inline constexpr std::uint32_t goodSamplesPerBad = 4; // samples per late one with which the window still grows
inline constexpr double firstTokenModelWeight = 0.02; // of the newest sample
inline constexpr double minModelSamples = 10; // fewer give no usable line
inline constexpr double maxPrefillTokensPerSecond = 1e6; // lower end of the slope; a flat or falling line is noise
inline constexpr double latencyModelWeight = 0.1; // of the newest sample
inline constexpr duration probeInterval = 5s; // without a start of a priority until one is tried against the prediction
inline constexpr std::uint32_t minPaceSamples = 20; // tokens; fewer give no usual pace
inline constexpr double paceWeight = 0.05; // of the newest token in the usual pace
inline constexpr double slowPaceFactor = 3.0; // a step with a prompt chunk takes about twice as long as one without
inline constexpr duration minSlowPace = 25ms; // scheduling noise below this is no sign of the upstream
inline constexpr duration slowPaceTime = 100ms; // of slow tokens only, until the window collapses
inline constexpr double windowCollapseFactor = 0.25;
inline constexpr double windowShrinkFactor = 0.9; // per interval with tokens slower than the target
inline constexpr double windowUseToGrow = 0.7; // an unused window says nothing about a larger one
inline constexpr double betweenTokensGrowthRatio = 0.9; // the window stops growing this close to the target
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
inline constexpr duration ownerCacheTime = 2s; // the head is read again after this time to learn its owner
inline constexpr duration unknownRetryAfter = 5s;
// A former owner never sends a claim later than its commitTimeout, but its call may be delayed in the network.
inline constexpr duration notRunWait = 10s;
inline constexpr duration settleRetryInterval = 1s;
inline constexpr unsigned maxSettleTries = 60;

// Serving without agents: a router sends straight to upstreams.
inline constexpr double retryRatioShare = 0.7; // of the fleet's ratio: windows of judge and router do not coincide
inline constexpr double retrySlackShare = 0.6; // of the fleet's slack, for the time in which routers disagree on their number
inline constexpr std::size_t maxPrefixParts = 4096; // prompt parts in a router's map; about 300 KB
inline constexpr std::size_t maxHoldersPerPart = 64; // engines remembered for one part
inline constexpr std::size_t maxCacheQueries = 8; // engines that one router asks for their cached parts after a start
inline constexpr duration prefixLifetime = 30s; // engines under load evict unused parts within this time
inline constexpr duration prefixAnnounceInterval = 10s; // until a prompt at an engine is told again; well below prefixLifetime
inline constexpr double assumedPrefillTokensPerMs = 45; // engines of both deployments read 48 to 55 tokens a millisecond
inline constexpr double engineStepMsPerRequest = 2.0; // added to the first event by each running request
inline constexpr double fetchCostMsPerToken = 0.02; // what moving cached tokens costs others, as delay of this request
inline constexpr std::uint64_t minFetchTokens = 256; // fewer are read sooner than fetched
inline constexpr double nonPreferredPenaltyMs = 20; // for an engine that is none of an unknown subject's homes
inline constexpr duration loadUpdateLifetime = 1500ms; // of what another router told of its load; a few notices may be lost
inline constexpr duration cacheQueryDelay = 700ms; // after the first list of upstreams, for other routers to tell what they know
inline constexpr std::size_t promptsPerUpdate = 256; // four kilobytes, beside as much for the load
inline constexpr std::size_t maxOutgoingPrompts = 2048; // that wait for a notice; beyond that they are left out and read again
inline constexpr double crossDomainMs = 2.0; // round trip between failure domains of one region
inline constexpr double loadOverMean = 1.5; // an engine takes part in a choice below this multiple of the mean load
inline constexpr double loadOverMeanSlack = 2.0; // requests; a ratio says nothing about a nearly idle fleet
inline constexpr double loadUpdateHops = 2.0; // intervals until a router knows of another one's request: its notice, then a sum
inline constexpr duration prefillRateHalfLife = 2s; // of what this router gave engines to read; some tens of requests
inline constexpr double unreportedPrefillSpread
    = 2.0; // widest difference in score between equal engines, in multiples of the unseen reading
inline constexpr double loadUpdateIntervalWeight = 0.02; // of the newest time between two notices in the moving average
inline constexpr double engineFillLimit = 0.9; // of an engine's token memory, beyond which runs are preempted
inline constexpr double serviceQueueShare = 1.0; // requests beyond its slots that a plain upstream gets, per slot
inline constexpr double connectionShare = 0.8; // of an upstream's connections that routers use for requests in flight
inline constexpr double failurePenaltyMs = 400; // for an upstream that fails all its requests
inline constexpr double failureWeight = 0.15; // of the newest answer in the moving average of failures
inline constexpr duration minEjectionTime = 300ms; // after a failed connection; doubles with each further one
inline constexpr duration maxEjectionTime = 4s; // an upstream that came back is found within this time
inline constexpr duration leavingAnnounceTime = 5s; // to other routers, after an upstream said that it leaves
inline constexpr duration reportHalfLife = 700ms; // of what others have at an upstream since its last statement
inline constexpr duration reportLifetime = 5s; // less than a hundredth of a statement's weight is left by then
inline constexpr std::size_t routersPerColdUpstream = 4; // routers that may send to one cold upstream
inline constexpr double coldRateShare = 0.9; // of the rate that a cold upstream tolerates
inline constexpr std::size_t queueLimit = 512; // requests that wait for an upstream at one router
inline constexpr double queueTargetShare = 0.25; // of its target that a request waits for room before it is refused
inline constexpr duration retryAfterNoRoom = 400ms; // a few answers have ended by then
inline constexpr duration retryAfterNoUpstream = 1s; // a new upstream is listed within about a second
inline constexpr duration retryAfterRefused = 200ms; // the caller's next try reaches another router and upstream
inline constexpr duration retryAfterDraining = 20ms; // other routers are there at once
inline constexpr duration drainAcceptTime = 2800ms; // new connections stop after two missed readiness checks, a second apart
inline constexpr duration minProcessPause = 1500ms; // between events; a starved process is late by less
inline constexpr duration verifyTimeout = 400ms; // after a pause, for a notice of another router; then what is known has to do
inline constexpr double overdueTargetShare = 0.6; // of its target after which an idempotent request is sent once more
inline constexpr double overdueStreamTargets = 2.0; // targets without a first event that count against an upstream
inline constexpr duration minAttemptTime = 20ms; // a request with less time left cannot be answered

// Following the platform's objects, and news between routers.
inline constexpr duration minCallBackoff = 60ms; // after a failed call to the object API; doubles
inline constexpr duration maxCallBackoff = 1s; // each call is priced, also a refused one
inline constexpr duration watchTimeoutAfterFailure = 300ms; // for changes, until the object API has answered again
inline constexpr std::size_t shortWatchRouters = 2; // per kind of object; one of them may be down when a wait is lost
inline constexpr std::size_t leadersPerDomain = 2; // one may be down, frozen or cut off
inline constexpr duration leaderTimeout = 600ms; // until a lead counts as gone
inline constexpr int leaderTimeoutIntervals = 5; // of a lead with longer intervals
inline constexpr duration leaderLoadLifetime = 300ms; // until the sum of another lead is used
inline constexpr duration standbyStagger = 300ms; // between the routers of a domain that become leads as leads are missed
inline constexpr duration stepDownDelay = 2s; // that a lead beyond the planned ones goes on, so that roles do not change with each gap
inline constexpr std::size_t maxRemovals = 512; // of one kind; a router that missed more gets the whole state
inline constexpr duration minOutage = 700ms; // of failed calls; a cut connection alone is mended sooner
inline constexpr duration syncInterval = 1s; // between exchanges with other routers
inline constexpr duration steadySyncInterval = 4s; // once the routers know each other and notices tell what changed
inline constexpr duration discoveryTime = 10s; // after a start, while routers find each other
inline constexpr unsigned anyRouterSyncEvery = 3; // one question in so many goes to any router
inline constexpr duration isolatedSyncInterval = 200ms; // while the object API does not answer, or no router is known
inline constexpr duration minSyncBackoff = 1s; // for a router that did not answer; doubles
inline constexpr duration maxSyncBackoff = 8s;
inline constexpr duration minLagBeforeSync = 600ms; // routers take a change within half a second of each other
inline constexpr duration recentlySeenTime = 1500ms; // a router that was heard of within this time is told of as alive
inline constexpr duration routerLifetime = 15s; // since a router was last heard of; shared limits stay divided that long

} // namespace nutmegtally::limits
