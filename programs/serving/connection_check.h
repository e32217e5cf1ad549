// Finds out whether a process still listens at an address.
#pragma once

#include <nutmegtally/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace nutmegtally
{

/// Opens a connection and closes it at once.
/// @param done Called once, from the event loop. True if the connection was refused: the VM answers, the process does not. False if it
/// was accepted, or if nothing is known after @p timeout.
void checkConnection(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &peer, duration timeout,
                     std::function<void(bool isRefused)> done);

} // namespace nutmegtally
