#include "daemon/daemon_http.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace nutmegtally
{

namespace
{

constexpr const char *jsonType = "application/json";
constexpr duration tooManyConnectionsRetryAfter = std::chrono::seconds(1); // by then idle or finished connections may have closed

local_answer errorAnswer(const error &fault, const std::string &request)
{
    local_answer answer {errorInfo(fault.code()).httpStatus, {{"Content-Type", jsonType}}, errorBody(fault, request)};
    if (fault.retryAfter()) {
        answer.fields.push_back({"Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*fault.retryAfter()).count())});
    }
    return answer;
}

/// Answer to a request that the listener rejects before the handler is called.
local_answer toErrorAnswer(const message_fault &fault)
{
    switch (fault.status) {
    case 413:
        return errorAnswer(error(error_code::bodyTooLarge, fault.text), "");
    case 431:
        return errorAnswer(error(error_code::headersTooLarge, fault.text), "");
    case 503:
        return errorAnswer(error(error_code::tooManyConnections, {}, run_state::notRun, tooManyConnectionsRetryAfter), "");
    default:
        return errorAnswer(error(error_code::malformedRequest, fault.text), "");
    }
}

server_limits toServerLimits(const http_limits &limits)
{
    server_limits result;
    result.callers.maxBodyBytes = limits.maxBodyBytes;
    result.callers.maxHeaderBytes = limits.maxHeaderBytes;
    result.callers.headerTimeout = limits.headerTimeout;
    result.callers.idleTimeout = limits.idleTimeout;
    result.maxConnections = limits.maxConnections;
    result.sendTimeout = limits.sendTimeout;
    return result;
}

void replyErrorOrAbort(http_exchange &exchange, const error &fault)
{
    if (exchange.isStarted()) {
        exchange.abort();
        return;
    }
    replyError(exchange, fault, "");
}

} // namespace

std::string errorBody(const error &fault, const std::string &request)
{
    const error_info &info = errorInfo(fault.code());
    std::string message(info.message);
    if (!fault.detail().empty()) {
        message += " (" + fault.detail() + ")";
    }
    nlohmann::json body = {{"code", info.name}, {"message", message}, {"remedy", info.remedy}, {"run_state", name(fault.state())}};
    if (fault.retryAfter()) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*fault.retryAfter()).count();
    }
    if (!request.empty()) {
        body["request"] = request;
    }
    return nlohmann::json {{"error", body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void replyError(http_exchange &exchange, const error &fault, const std::string &request)
{
    exchange.reply(errorAnswer(fault, request));
}

std::unique_ptr<http_server> startServer(event_loop &loop, const std::string &address, const http_limits &limits,
                                         http_server::handler serve)
{
    const auto guardedHandler = [serve = std::move(serve)](const http_exchange::pointer &exchange) {
        try {
            serve(exchange);
        } catch (const error &fault) {
            replyErrorOrAbort(*exchange, fault);
        } catch (const std::exception &fault) {
            logEvent(log_event::internalFault, fault.what());
            replyErrorOrAbort(*exchange, error(error_code::internal, {}, run_state::unknown));
        }
    };
    std::unique_ptr<http_server> server;
    loop.run([&] {
        try {
            server
                = std::make_unique<http_server>(loop.context(), address, toServerLimits(limits), steadyNow, guardedHandler, toErrorAnswer);
        } catch (const boost::system::system_error &fault) {
            throw error(error_code::settingsInvalid, "cannot listen on " + address + ": " + fault.what());
        }
    });
    return server;
}

void stopServer(event_loop &loop, std::unique_ptr<http_server> &server, duration limit)
{
    if (!server) {
        return;
    }
    loop.run([&] { server->stopAccepting(); });
    loop.waitFor([&] { return server->connections() == 0; }, limit);
    loop.run([&] {
        server->abort();
        server.reset();
    });
}

} // namespace nutmegtally
