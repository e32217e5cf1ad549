// Listening sockets: one that hands over connections, and one that serves small calls of the daemon itself.
#pragma once

#include "serving/client_connection.h"
#include "serving/serving_core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace nutmegtally
{

/// Accepts connections until it is closed.
class listener
{
public:
    /// @throws boost::system::system_error if the address cannot be bound.
    listener(boost::asio::io_context &context, const std::string &address, std::function<void(boost::asio::ip::tcp::socket)> accepted);

    void close();

    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause; // after a failure to accept, for example for lack of descriptors
    std::function<void(boost::asio::ip::tcp::socket)> m_accepted;
};

/// Serves calls whose answers are ready at once: readiness, metrics, exchanges between routers.
class call_server
{
public:
    using handler = std::function<own_answer(const http_head &head, const std::string &body)>;

    call_server(boost::asio::io_context &context, const std::string &address, std::function<time_point()> now, handler serve);

    /// Closes connections that are idle for too long.
    void checkTime(time_point now);

private:
    handler m_serve;
    caller_limits m_limits;
    std::shared_ptr<client_connection::handlers> m_handlers = std::make_shared<client_connection::handlers>();
    std::unordered_set<client_connection::pointer> m_clients;
    listener m_listener;
};

} // namespace nutmegtally
