// Listening TCP socket that passes accepted connections to a callback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace nutmegtally
{

/// Accepts connections until closed. After a failed accept it waits and retries.
class listener
{
public:
    /// @param address "IP:PORT".
    /// @throws boost::system::system_error if the address is invalid or cannot be bound.
    listener(boost::asio::io_context &context, const std::string &address, std::function<void(boost::asio::ip::tcp::socket)> accepted);

    void close();

    /// Bound address; with the port that the kernel chose if port 0 was asked for.
    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer; // delay after a failed accept, for example when no file descriptors are left
    std::function<void(boost::asio::ip::tcp::socket)> m_accepted;
};

} // namespace nutmegtally
