// Options that every connection of a daemon has: no delay for small writes, and probes that find a silent peer.
#pragma once

#include "serving/serving_limits.h"

#include <nutmegtally/time.h>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <utility>

namespace nutmegtally
{

/// Sets the options. Failures are ignored: a connection that has just been reset reports itself on its next read.
/// @param tcpUserTimeout A peer that leaves bytes unacknowledged, or takes none, for this time counts as gone.
void setSocketOptions(boost::asio::ip::tcp::socket &socket, duration tcpUserTimeout = serving_limits::tcpUserTimeout);

/// Parses "IP:PORT". @return Nothing if the text is not an IPv4 or bracketed IPv6 number and a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace nutmegtally
