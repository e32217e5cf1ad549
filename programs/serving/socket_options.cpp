#include "serving/socket_options.h"

#include "serving/http_message.h"
#include "serving/serving_limits.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegtally
{

namespace
{

template<int Level, int Name>
using int_option = boost::asio::detail::socket_option::integer<Level, Name>;

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket, duration tcpUserTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto probeDelayS = std::chrono::duration_cast<std::chrono::seconds>(serving_limits::keepAliveProbeDelay).count();
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>(static_cast<int>(probeDelayS)), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>(serving_limits::keepAliveProbeIntervalS), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(serving_limits::keepAliveProbeCount), ignored);
    const auto tcpUserTimeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(tcpUserTimeout).count();
    socket.set_option(int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(tcpUserTimeoutMs)), ignored);
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(host, fault);
    const std::optional<std::uint64_t> port = parseDecimal(std::string_view(text).substr(colon + 1));
    if (fault || !port || *port > 65535) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(*port));
}

} // namespace nutmegtally
