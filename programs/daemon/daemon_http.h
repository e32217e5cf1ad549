// HTTP listeners of the daemons: limits from their settings, and errors as JSON answers.
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
    duration idleTimeout = std::chrono::seconds(60); // between requests of a connection; also the limit for receiving a body
    duration sendTimeout = std::chrono::seconds(30); // a peer that reads nothing for this long counts as disconnected
};

/// Body of an error answer or an SSE error event.
std::string errorBody(const error &fault, const std::string &request);

/// Sends an error answer with errorBody() (section 4.1 of the design), and Retry-After if the error has one.
/// @param request Request id in hexadecimal, empty for none.
void replyError(http_exchange &exchange, const error &fault, const std::string &request);

/// Starts a listener on the event loop. An exception of the handler becomes an error answer, or aborts an answer that has
/// started.
/// @param address "IP:port"; port 0 lets the kernel choose a port.
/// @throws error settingsInvalid if the address cannot be used.
std::unique_ptr<http_server> startServer(event_loop &loop, const std::string &address, const http_limits &limits,
                                         http_server::handler serve);

/// Stops a listener: closes it and its idle connections, waits up to @p limit for running exchanges, then aborts them.
void stopServer(event_loop &loop, std::unique_ptr<http_server> &server, duration limit);

} // namespace nutmegtally
