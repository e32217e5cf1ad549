// Listener for requests that the process answers itself: at once, later, or in pieces.
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

/// One request and its answer. Used in the event loop only. Without an answer at its end the connection is cut, so that
/// no caller waits for a request that was dropped.
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

    /// Path and query as received.
    const std::string &target() const
    {
        return m_head.target;
    }

    /// Path without the query.
    std::string path() const;

    /// @return The field's value, empty if absent.
    std::string header(std::string_view name) const;

    const std::string &body() const
    {
        return m_body;
    }

    /// Sets a field of the answer that is still to be sent.
    void setHeader(const std::string &name, const std::string &value);

    /// Sends a whole answer.
    void reply(int status, const std::string &contentType, std::string_view body);
    void reply(const local_answer &answer);

    /// Starts an answer of unknown length.
    void startStream(int status, const std::string &contentType);

    /// Sends a part of a started answer. Without effect once the exchange is over.
    void write(std::string_view data);

    /// Ends a started answer properly.
    void endStream();

    /// Closes the connection; a started answer is seen to be incomplete.
    void abort();

    /// Head or answer went out.
    bool isStarted() const
    {
        return m_isStarted;
    }

    /// The answer has ended, or the caller is gone.
    bool isOver() const
    {
        return m_isOver;
    }

    /// Bytes that the caller has not taken yet.
    std::size_t pendingOutputBytes() const
    {
        return m_client->pendingOutputBytes();
    }

    /// @param gone Called once if the caller leaves before its answer has ended.
    /// @param drained Called when the waiting output has become small.
    void setCallbacks(std::function<void()> disconnected, std::function<void()> drained);

private:
    friend class http_server;

    void handleDisconnect();
    void handleDrained();
    void setContentType(const std::string &contentType);

    client_connection::pointer m_client;
    http_head m_head;
    std::string m_body;
    std::vector<header_field> m_fields; // of the answer
    std::function<void()> m_disconnected;
    std::function<void()> m_drained;
    bool m_isStarted = false;
    bool m_isOver = false;
};

struct server_limits {
    caller_limits callers;
    std::size_t maxConnections = 1024;
    duration sendTimeout = serving_limits::tcpUserTimeout; // a peer that takes nothing for this time counts as gone
};

class http_server
{
public:
    using handler = std::function<void(const http_exchange::pointer &)>;

    /// Writes the answer to what is not one clear request, and status 503 for a connection over the limit.
    using fault_encoder = std::function<local_answer(const message_fault &)>;

    /// @throws boost::system::system_error if the address cannot be bound.
    http_server(boost::asio::io_context &context, const std::string &address, server_limits limits, std::function<time_point()> now,
                handler serve, fault_encoder encodeFault = plainFault);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// "host:port" with the real port.
    const std::string &address() const
    {
        return m_address;
    }

    std::size_t connections() const
    {
        return m_clients.size();
    }

    /// Counts connections that were refused because of the limit.
    std::uint64_t refusedConnections() const
    {
        return m_refusedConnections;
    }

    /// Closes the listener and idle connections. Requests that run are answered, and their connections close then.
    void stopAccepting();

    /// Cuts all connections.
    void abort();

    static local_answer plainFault(const message_fault &fault);

private:
    void accept(boost::asio::ip::tcp::socket socket);
    std::shared_ptr<const client_connection::handlers> clientHandlers(std::function<time_point()> now);
    void refuse(const client_connection::pointer &client, const message_fault &fault);
    /// A copy: a connection that closes leaves m_clients.
    std::vector<client_connection::pointer> clients() const;
    http_exchange::pointer findExchange(const client_connection::pointer &client) const;
    void sweep();

    server_limits m_limits;
    std::function<time_point()> m_now;
    handler m_serve;
    fault_encoder m_encodeFault;
    std::shared_ptr<const client_connection::handlers> m_handlers;
    std::unordered_map<client_connection::pointer, std::weak_ptr<http_exchange>> m_clients; // with the request that is served
    std::unordered_set<client_connection *> m_overLimit;
    std::uint64_t m_refusedConnections = 0;
    bool m_isStopping = false;
    boost::asio::steady_timer m_sweepTimer;
    listener m_listener;
    std::string m_address;
};

} // namespace nutmegtally
