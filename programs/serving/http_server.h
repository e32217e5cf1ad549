// HTTP server for requests that the process answers itself: at once, later, or as a stream.
#pragma once

#include "serving/client_connection.h"
#include "serving/listener.h"
#include "serving/serving_limits.h"

#include <nutmegtally/time.h>
#include <nutmegtally/traffic_rules.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace nutmegtally
{

/// One request and its answer. Used in the event loop only. If it is destroyed before the answer is complete, the connection is
/// closed, so that no caller waits for an answer that will never come.
class http_exchange
{
public:
    using pointer = std::shared_ptr<http_exchange>;

    http_exchange(client_connection::pointer client, http_head head, std::string body);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    const std::string &method() const
    {
        return m_head.method;
    }

    /// Path and query, as received.
    const std::string &target() const
    {
        return m_head.target;
    }

    /// Path without the query.
    std::string path() const;

    /// @return Value of a request header field; empty if absent.
    std::string header(std::string_view name) const;

    const std::string &body() const
    {
        return m_body;
    }

    /// Sets a header field of the answer. Must be called before the answer is started.
    void setHeader(const std::string &name, const std::string &value);

    /// Sends a complete answer. Does nothing once the exchange is over.
    void reply(int status, const std::string &contentType, std::string_view body);
    void reply(const local_answer &answer);

    /// Sends the head of an answer of unknown length, with chunked transfer coding.
    void startStream(int status, const std::string &contentType);

    /// Sends a part of a started answer. Does nothing once the exchange is over.
    void write(std::string_view data);

    /// Completes a started answer.
    void endStream();

    /// Closes the connection. The caller can tell that a started answer is incomplete.
    void abort();

    /// The head of an answer was sent.
    bool isStarted() const
    {
        return m_isStarted;
    }

    /// The answer is complete, or the caller has disconnected.
    bool isOver() const
    {
        return m_isOver;
    }

    /// Bytes of output that are not written to the caller's connection yet.
    std::size_t pendingOutputBytes() const
    {
        return m_client->pendingOutputBytes();
    }

    /// @param disconnected Called once if the caller disconnects before the answer is complete.
    /// @param drained Called when the pending output has fallen below half of serving_limits::outputHighWatermarkBytes.
    void setCallbacks(std::function<void()> disconnected, std::function<void()> drained);

private:
    friend class http_server;

    void handleDisconnect();
    void handleDrained();
    void setContentType(const std::string &contentType);

    client_connection::pointer m_client;
    http_head m_head;
    std::string m_body;
    std::vector<header_field> m_fields; // header fields of the answer
    std::function<void()> m_disconnected;
    std::function<void()> m_drained;
    bool m_isStarted = false;
    bool m_isOver = false;
};

struct server_limits {
    caller_limits callers;
    std::size_t maxConnections = 1024;
    duration sendTimeout = serving_limits::tcpUserTimeout; // TCP user timeout: a caller that accepts no output for this long is gone
};

class http_server
{
public:
    using handler = std::function<void(const http_exchange::pointer &)>;

    /// Creates the answer to a malformed request, and the 503 answer to a connection over the limit.
    using fault_encoder = std::function<local_answer(const message_fault &)>;

    /// @throws boost::system::system_error if the address cannot be bound.
    http_server(boost::asio::io_context &context, const std::string &address, server_limits limits, std::function<time_point()> now,
                handler serve, fault_encoder encodeFault = plainFault);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// "host:port" that is listened on; with the port that the kernel chose if port 0 was asked for.
    const std::string &address() const
    {
        return m_address;
    }

    std::size_t connections() const
    {
        return m_clients.size();
    }

    /// Number of connections that were refused because of the connection limit.
    std::uint64_t refusedConnections() const
    {
        return m_refusedConnections;
    }

    /// Closes the listener and idle connections. Running requests are still answered; their connections close afterwards.
    void stopAccepting();

    /// Closes all connections at once.
    void abort();

    /// Default encoder: a text/plain body with the reason.
    static local_answer plainFault(const message_fault &fault);

private:
    void accept(boost::asio::ip::tcp::socket socket);
    std::shared_ptr<const client_connection::handlers> clientHandlers(std::function<time_point()> now);
    void refuse(const client_connection::pointer &client, const message_fault &fault);
    /// Returns a copy, since closing a connection erases it from m_clients.
    std::vector<client_connection::pointer> clients() const;
    /// @return The exchange that a connection is serving; nullptr if there is none.
    http_exchange::pointer findExchange(const client_connection::pointer &client) const;
    /// Checks the timeouts of all connections, periodically.
    void sweep();

    server_limits m_limits;
    std::function<time_point()> m_now;
    handler m_serve;
    fault_encoder m_encodeFault;
    std::shared_ptr<const client_connection::handlers> m_handlers;
    std::unordered_map<client_connection::pointer, std::weak_ptr<http_exchange>> m_clients; // with the exchange that it serves
    std::unordered_set<client_connection *> m_overLimit; // accepted beyond maxConnections, to answer one request with 503
    std::uint64_t m_refusedConnections = 0;
    bool m_isStopping = false;
    boost::asio::steady_timer m_sweepTimer;
    listener m_listener;
    std::string m_address;
};

} // namespace nutmegtally
