// Socket options of all connections of the daemons (TCP_NODELAY, keep-alive probes, user timeout), and parsing of addresses.
#pragma once

#include "serving/serving_limits.h"

#include <nutmegtally/time.h>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <utility>

namespace nutmegtally
{

/// Disables Nagle's algorithm, enables keep-alive probes and sets the user timeout. Errors are ignored: they occur on a connection
/// that has just been reset, which the next read reports.
/// @param tcpUserTimeout The connection is closed if the peer acknowledges no data, or keeps its window closed, for this long.
void setSocketOptions(boost::asio::ip::tcp::socket &socket, duration tcpUserTimeout = serving_limits::tcpUserTimeout);

/// Parses "IP:PORT". @return Nothing unless the text is an IPv4 address or a bracketed IPv6 address, and a port number.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace nutmegtally
