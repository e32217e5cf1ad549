// Size limits, timeouts and intervals of the serving code.
#pragma once

#include <nutmegtally/time.h>

#include <cstddef>
#include <cstdint>

namespace nutmegtally::serving_limits
{

using namespace std::chrono_literals;

inline constexpr std::size_t maxPipelinedBytes = 65'536; // buffered input of pipelined requests while one is served
inline constexpr int minStatus = 100; // of an answer; HTTP defines no other
inline constexpr int maxStatus = 599;
inline constexpr std::size_t maxAnswerHeadBytes = 65'536; // head of an upstream's answer
inline constexpr std::size_t maxChunkFramingBytes = 4096; // one chunk's size line with its extension, or a trailer section
inline constexpr unsigned maxSkippedAnswers = 8; // interim (1xx) answers and answers to other requests before the expected one
inline constexpr std::uint64_t eventsPastStart = 2; // events of a stream with which its upstream has got past the beginning
inline constexpr std::size_t maxEventBytes = 262'144; // one event of a stream that another upstream can resume
inline constexpr std::size_t maxCallAnswerBytes = 8'388'608; // an object API page takes 1 MB, the gossip of a whole fleet a few MB
inline constexpr duration maxCallDuration = 10s; // a call's answer from its first body byte on, even if data keeps arriving
inline constexpr std::size_t maxBufferedAnswerBytes = 262'144; // answers up to this size are buffered and forwarded when complete
inline constexpr std::size_t outputHighWatermarkBytes = 262'144; // pending output above which reading from the upstream pauses
inline constexpr duration connectTimeout = 300ms; // to an upstream; about 100 round trips between failure domains
inline constexpr duration idleCloseMargin = 1s; // idle connections are closed this long before the upstream would close them
inline constexpr duration defaultIdleTimeout = 4s; // for upstreams that send no Keep-Alive timeout
inline constexpr duration keepAliveProbeDelay = 1s; // idle time before the first TCP keep-alive probe
inline constexpr duration tcpUserTimeout = 2500ms; // a connection with data unacknowledged for this long is closed
inline constexpr int keepAliveProbeIntervalS = 1; // seconds between unanswered probes
inline constexpr int keepAliveProbeCount = 2; // unanswered probes that end a connection
// A request of which the upstream acknowledges nothing for minDeliveryStall fails once the connection has been silent for
// maxSilenceWhileSending: sooner than keep-alive probes or tcpUserTimeout end the connection.
inline constexpr duration minDeliveryStall = 400ms; // a lost packet is sent again after 200 ms
inline constexpr duration maxSilenceWhileSending = 2s;
inline constexpr duration lingeringCloseTimeout = 1s; // time for the caller to read the last answer before the connection is closed
inline constexpr int listenBacklog = 512; // connections that the kernel queues for accept
inline constexpr duration sweepInterval = 100ms; // between timeout checks of all connections
inline constexpr duration busyTickInterval = 20ms; // between ticks of the reducer while requests are open
inline constexpr duration idleTickInterval = 100ms; // and while no request is open
inline constexpr duration callConnectTimeout = 500ms; // to the object API and other routers
inline constexpr duration callIdleTimeout = 1s; // between bytes of a call's answer, which may be large and the link slow
inline constexpr std::size_t maxRefusedConnections = 16; // connections beyond a server's limit that still get a 503 answer
inline constexpr duration pollInterval = 5ms; // between polls of a condition in the loop by another thread, during startup and shutdown
inline constexpr duration acceptRetryDelay = 50ms; // after a failed accept, for file descriptors to become free

} // namespace nutmegtally::serving_limits
