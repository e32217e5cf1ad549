// HTTP listeners of the daemons: limits from their settings, and typed errors as answers.
#pragma once

#include "serving/event_loop.h"
#include "serving/http_server.h"

#include <nutmegtally/errors.h>
#include <nutmegtally/time.h>

#include <cstddef>
#include <memory>
#include <string>

namespace nutmegtally
{

/// Limits of one listener. A request over a limit gets 413, 431 or 503.
struct http_limits {
    std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
    std::size_t maxHeaderBytes = std::size_t {32} * 1024;
    unsigned maxConnections = 1024;
    duration headerTimeout = std::chrono::seconds(30);
    duration idleTimeout = std::chrono::seconds(60); // between requests of a connection; also for a body
    duration sendTimeout = std::chrono::seconds(30); // a peer that takes nothing for this time counts as gone
};

/// Body of an error answer or an SSE error event.
std::string errorBody(const error &fault, const std::string &request);

/// Sends an error in the form of section 4.1 of the design.
/// @param request Request id in hexadecimal, empty for none.
void replyError(http_exchange &exchange, const error &fault, const std::string &request);

/// Starts a listener in the loop. What the handler throws becomes the answer, or cuts an answer that has begun.
/// @param address "host:port" with an IP number; port 0 lets the kernel choose.
/// @throws error settingsInvalid if the address cannot be used.
std::unique_ptr<http_server> startServer(event_loop &loop, const std::string &address, const http_limits &limits,
                                         http_server::handler serve);

/// Ends a listener: closes it and idle connections, waits for running exchanges up to @p limit, then cuts them.
void stopServer(event_loop &loop, std::unique_ptr<http_server> &server, duration limit);

} // namespace nutmegtally
