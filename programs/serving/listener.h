// Listening socket that hands over the connections it accepts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

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
    boost::asio::steady_timer m_retryTimer; // after a failure to accept, for example for lack of descriptors
    std::function<void(boost::asio::ip::tcp::socket)> m_accepted;
};

} // namespace nutmegtally
