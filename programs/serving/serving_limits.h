// Limits of the serving core, with their units.
#pragma once

#include <nutmegtally/time.h>

#include <cstddef>

namespace nutmegtally::serving_limits
{

using namespace std::chrono_literals;

inline constexpr std::size_t maxPipelinedBytes = 65'536; // kept of the requests behind the one that is served
inline constexpr std::size_t maxAnswerHeadBytes = 65'536; // of an upstream's answer
inline constexpr std::size_t maxChunkFramingBytes = 4096; // of one chunk's size line with its extension, or of a trailer section
inline constexpr unsigned maxSkippedAnswers = 8; // interim answers and answers to other requests in front of one answer
inline constexpr std::size_t maxEventBytes = 262'144; // of one event of a stream that may go on at another upstream
inline constexpr std::size_t maxCallAnswerBytes = 8'388'608; // a page of the object API holds a megabyte, a fleet's news a few
inline constexpr duration maxCallDuration = 10s; // of a call's answer from its first byte on, however steadily it comes
inline constexpr std::size_t maxBufferedAnswerBytes = 262'144; // answers up to this size are passed on only when they are whole
inline constexpr std::size_t outputHighWatermarkBytes
    = 262'144; // waiting for a caller that reads slowly; beyond it the upstream is not read
inline constexpr duration connectTimeout = 300ms; // to an upstream; a hundred round trips between domains
inline constexpr duration idleCloseMargin = 1s; // an idle connection is given up this long before the upstream would close it
inline constexpr duration defaultIdleTimeout = 4s; // if the upstream does not say how long it keeps idle connections
inline constexpr duration keepAliveProbeDelay = 1s; // until the first keep-alive probe of a quiet connection
inline constexpr duration tcpUserTimeout = 2500ms; // unacknowledged bytes end a connection
inline constexpr int keepAliveProbeIntervalS = 1;
inline constexpr int keepAliveProbeCount = 2;
inline constexpr duration lingeringCloseTimeout = 1s; // for the caller to read a last answer before the connection is closed
inline constexpr int listenBacklog = 512; // connections that wait to be accepted
inline constexpr duration sweepInterval = 100ms; // between checks of idle and slow connections
inline constexpr duration busyTickInterval = 20ms; // between ticks of the reducer while requests are open
inline constexpr duration idleTickInterval = 100ms; // and while there are none
inline constexpr duration callConnectTimeout = 500ms; // to the object API and other routers
inline constexpr duration callIdleTimeout = 1s; // between bytes of a call's answer; a large one takes its time on a narrow link
inline constexpr std::size_t maxRefusedConnections = 16; // connections over a listener's limit that get an answer
inline constexpr duration pollInterval = 5ms; // between looks of another thread at the loop, during start and shutdown
inline constexpr duration acceptRetryDelay = 50ms; // after a failed accept, until descriptors are free again

} // namespace nutmegtally::serving_limits
