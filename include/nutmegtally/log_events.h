// Numbered log events. docs/log-events.md is their catalogue; CI checks it against the table below.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegtally
{

enum class log_level : std::uint8_t {
    debug,
    info,
    warning,
    error,
    count
};

/// Ranges: 10xx daemon, 11xx callers, 12xx routing, 13xx admission, 14xx streams, 15xx ledger,
/// 16xx configuration, 17xx membership, 18xx access, 19xx orders.
enum class log_event : std::uint16_t {
    daemonStarted = 1001,
    daemonReady = 1002,
    daemonStopping = 1003,
    daemonStopped = 1004,
    settingsRejected = 1005,
    internalFault = 1006,
    settingsReloaded = 1007,
    logLinesDropped = 1008,
    clockGap = 1009,
    mechanismsDisabled = 1010,
    requestRefused = 1101,
    callerGone = 1102,
    connectionRefused = 1103,
    requestMalformed = 1104,
    answerCut = 1105,
    requestAnswered = 1106,
    attemptRefused = 1201,
    attemptFailed = 1202,
    retryBudgetEmpty = 1203,
    upstreamDamped = 1204,
    attemptStarted = 1205,
    answerReceived = 1206,
    attemptOverdue = 1207,
    answerForeign = 1208,
    heldPartsRead = 1209,
    heldPartsUnread = 1210,
    upstreamCrashed = 1211,
    partQuarantined = 1212,
    partReleased = 1213,
    limitUnreadable = 1214,
    upstreamLimited = 1215,
    upstreamUnlimited = 1216,
    permitIssuerSilent = 1217,
    workRefused = 1301,
    windowCollapsed = 1302,
    upstreamRestarted = 1303,
    drainStarted = 1304,
    drainFinished = 1305,
    streamSilent = 1401,
    streamResumed = 1402,
    streamLost = 1403,
    streamCorrupt = 1404,
    streamBroken = 1405,
    cancelFailed = 1406,
    shardTaken = 1501,
    shardLost = 1502,
    outcomeUnknown = 1503,
    commitUncertain = 1504,
    outcomeSettled = 1505,
    configurationApplied = 1601,
    configurationStale = 1602,
    configurationRejected = 1603,
    platformUnreachable = 1604,
    platformReachable = 1605,
    configurationIgnored = 1606,
    domainsClosed = 1607,
    listRead = 1608,
    entryUnreadable = 1609,
    memberJoined = 1701,
    memberLeaving = 1702,
    memberGone = 1703,
    memberFlapping = 1704,
    upstreamListed = 1705,
    upstreamLeaving = 1706,
    upstreamUnlisted = 1707,
    routersChanged = 1708,
    peerUnreachable = 1709,
    newsTaken = 1710,
    noticeUnreadable = 1711,
    upstreamPaused = 1712,
    roleChanged = 1713,
    stateUnverified = 1714,
    accessDenied = 1801,
    messageReplayed = 1802,
    messageForged = 1803,
    orderAccepted = 1901,
    orderRejected = 1902,
};

struct log_event_info {
    log_event event;
    std::string_view name;
    log_level level;
    std::string_view meaning;
};

inline constexpr auto logEventTable = std::to_array<log_event_info>({
    {log_event::daemonStarted, "daemon_started", log_level::info, "The process has read its settings and opens its listeners."},
    {log_event::daemonReady, "daemon_ready", log_level::info, "The process has a configuration and accepts work."},
    {log_event::daemonStopping, "daemon_stopping", log_level::info, "Graceful shutdown has begun."},
    {log_event::daemonStopped, "daemon_stopped", log_level::info, "Graceful shutdown has ended."},
    {log_event::settingsRejected, "settings_rejected", log_level::error, "The settings file has faults; each is listed with its remedy."},
    {log_event::internalFault, "internal_fault", log_level::error,
     "An unexpected exception was caught; the request got an internal error."},
    {log_event::settingsReloaded, "settings_reloaded", log_level::info, "The settings file was read again."},
    {log_event::logLinesDropped, "log_lines_dropped", log_level::warning,
     "Lines were dropped because their reader was slow or the rate limit was reached."},
    {log_event::clockGap, "clock_gap", log_level::warning, "The process was not scheduled for a while; its state may be outdated."},
    {log_event::mechanismsDisabled, "mechanisms_disabled", log_level::warning,
     "The settings switch off parts of the decisions; for measurement only."},
    {log_event::requestRefused, "request_refused", log_level::info, "A caller got a refusal."},
    {log_event::callerGone, "caller_gone", log_level::info,
     "A caller closed its connection before the response ended; the work was cancelled."},
    {log_event::connectionRefused, "connection_refused", log_level::warning, "A connection was refused because a limit was reached."},
    {log_event::requestMalformed, "request_malformed", log_level::info,
     "A caller sent a malformed or ambiguous request; its connection is closed."},
    {log_event::answerCut, "answer_cut", log_level::warning,
     "A response that had begun could not be completed; the connection was closed."},
    {log_event::requestAnswered, "request_answered", log_level::info, "A caller got a complete response from an upstream."},
    {log_event::attemptRefused, "attempt_refused", log_level::debug, "An agent refused an attempt; the request was not executed."},
    {log_event::attemptFailed, "attempt_failed", log_level::warning, "An attempt at an upstream failed."},
    {log_event::retryBudgetEmpty, "retry_budget_empty", log_level::warning, "A retry was not made because the retry budget is used up."},
    {log_event::upstreamDamped, "upstream_damped", log_level::info,
     "An upstream that joins and leaves repeatedly is ranked lower for a time."},
    {log_event::attemptStarted, "attempt_started", log_level::info,
     "A request was sent to an upstream; the line has the inputs of the routing decision."},
    {log_event::answerReceived, "answer_received", log_level::info,
     "An upstream's response, or the header of a streamed response, is passed on."},
    {log_event::attemptOverdue, "attempt_overdue", log_level::info, "An upstream did not respond within the usual time."},
    {log_event::answerForeign, "answer_foreign", log_level::warning,
     "An upstream sent a response that belongs to no request of its connection; it was discarded."},
    {log_event::heldPartsRead, "held_parts_read", log_level::info,
     "After this router's start, an engine listed the prompt parts in its cache."},
    {log_event::heldPartsUnread, "held_parts_unread", log_level::warning,
     "An engine's list of cached prompt parts could not be read; its prompts count as not cached."},
    {log_event::upstreamCrashed, "upstream_crashed", log_level::warning,
     "An upstream broke off answers at their beginning and accepts no connections; the parts of their prompts are suspected."},
    {log_event::partQuarantined, "part_quarantined", log_level::warning,
     "Requests whose prompts have a part that crashes engines are refused for a time."},
    {log_event::partReleased, "part_released", log_level::info,
     "A prompt part is no longer quarantined: an engine survived it, another part explains the crashes, or an operator released it."},
    {log_event::limitUnreadable, "limit_unreadable", log_level::warning,
     "An upstream stated a limit of requests that is no figure; what it stated before holds."},
    {log_event::upstreamLimited, "upstream_limited", log_level::info,
     "An upstream states how many requests a second it takes from all routers, or another figure than before."},
    {log_event::upstreamUnlimited, "upstream_unlimited", log_level::info, "An upstream no longer states a limit of requests."},
    {log_event::permitIssuerSilent, "permit_issuer_silent", log_level::warning,
     "The router that issues the permits of a limited upstream does not answer; the next in rank is asked."},
    {log_event::workRefused, "work_refused", log_level::debug, "The agent refused work; it was not executed."},
    {log_event::windowCollapsed, "window_collapsed", log_level::warning,
     "The concurrency window was reduced after a latency jump or failures."},
    {log_event::upstreamRestarted, "upstream_restarted", log_level::info,
     "The upstream has a new incarnation; the concurrency window starts small again."},
    {log_event::drainStarted, "drain_started", log_level::info, "The agent refuses new work and finishes the running work."},
    {log_event::drainFinished, "drain_finished", log_level::info, "No work is left."},
    {log_event::streamSilent, "stream_silent", log_level::warning,
     "No record of a stream arrived within the silence limit; its connection is replaced."},
    {log_event::streamResumed, "stream_resumed", log_level::info, "A stream continues at an offset over a new connection."},
    {log_event::streamLost, "stream_lost", log_level::warning, "A stream could not be resumed; the caller got an error."},
    {log_event::streamCorrupt, "stream_corrupt", log_level::error,
     "A stream record had the wrong request, sequence number, length or checksum."},
    {log_event::streamBroken, "stream_broken", log_level::warning, "A stream ended prematurely."},
    {log_event::cancelFailed, "cancel_failed", log_level::info,
     "An agent or engine could not be notified that its caller disconnected; it detects this itself."},
    {log_event::shardTaken, "shard_taken", log_level::info, "The agent became owner of a ledger shard."},
    {log_event::shardLost, "shard_lost", log_level::info, "Another agent became owner of a ledger shard."},
    {log_event::outcomeUnknown, "outcome_unknown", log_level::error, "A claimed request has no known outcome and will not be sent again."},
    {log_event::commitUncertain, "commit_uncertain", log_level::warning,
     "The response to a ledger commit was lost; the head is read back to find out whether it was stored."},
    {log_event::outcomeSettled, "outcome_settled", log_level::info, "An unknown outcome was settled by its former owner or an operator."},
    {log_event::configurationApplied, "configuration_applied", log_level::info, "A newer configuration is in force."},
    {log_event::configurationStale, "configuration_stale", log_level::warning,
     "The configuration could not be confirmed for the stated time."},
    {log_event::configurationRejected, "configuration_rejected", log_level::error, "A received configuration failed its validation."},
    {log_event::platformUnreachable, "platform_unreachable", log_level::warning, "The object API does not respond."},
    {log_event::platformReachable, "platform_reachable", log_level::info, "The object API responds again."},
    {log_event::configurationIgnored, "configuration_ignored", log_level::info,
     "A configuration that is not newer than the one in force was ignored."},
    {log_event::domainsClosed, "domains_closed", log_level::info, "The set of closed failure domains changed."},
    {log_event::listRead, "list_read", log_level::info, "All objects of a kind were read from the platform."},
    {log_event::entryUnreadable, "entry_unreadable", log_level::warning, "An object of the platform could not be parsed and is ignored."},
    {log_event::memberJoined, "member_joined", log_level::debug, "A process joined the membership."},
    {log_event::memberLeaving, "member_leaving", log_level::info, "A process announced that it leaves."},
    {log_event::memberGone, "member_gone", log_level::info, "A process is considered gone."},
    {log_event::memberFlapping, "member_flapping", log_level::warning, "A process joined and left repeatedly."},
    {log_event::upstreamListed, "upstream_listed", log_level::info, "The platform lists an upstream, or changed its entry."},
    {log_event::upstreamLeaving, "upstream_leaving", log_level::info, "An upstream is leaving and gets no new requests."},
    {log_event::upstreamUnlisted, "upstream_unlisted", log_level::info, "The platform no longer lists an upstream."},
    {log_event::routersChanged, "routers_changed", log_level::info, "The number of live routers changed; it divides the shared limits."},
    {log_event::peerUnreachable, "peer_unreachable", log_level::info, "A router did not respond to a state exchange."},
    {log_event::newsTaken, "news_taken", log_level::info, "Newer state was adopted from another router."},
    {log_event::noticeUnreadable, "notice_unreadable", log_level::warning, "A datagram was not a valid load notice."},
    {log_event::upstreamPaused, "upstream_paused", log_level::info, "An upstream asked this router to pause sending for a time."},
    {log_event::roleChanged, "role_changed", log_level::info, "This router became a lead of its failure domain, or ceased to be one."},
    {log_event::stateUnverified, "state_unverified", log_level::warning,
     "The process was suspended; it sends nothing until its state is up to date."},
    {log_event::accessDenied, "access_denied", log_level::warning, "A caller or operator had no valid key or lacked the required role."},
    {log_event::messageReplayed, "message_replayed", log_level::warning, "An internal message was received a second time and refused."},
    {log_event::messageForged, "message_forged", log_level::warning,
     "An internal message had no valid authentication tag and was refused."},
    {log_event::orderAccepted, "order_accepted", log_level::info, "An order was sent to the engine."},
    {log_event::orderRejected, "order_rejected", log_level::warning,
     "An order was refused, for example because of an outdated fencing token."},
});

/// Table entry of an event.
constexpr const log_event_info &logEventInfo(log_event event)
{
    for (const log_event_info &info : logEventTable) {
        if (info.event == event) {
            return info;
        }
    }
    return logEventTable.front();
}

/// Effect that writes one log line. Every reducer has it.
struct log_record {
    log_event event = log_event::internalFault;
    std::string text; // variable part as key=value pairs; must not contain secrets
};

} // namespace nutmegtally
