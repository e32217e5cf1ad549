#include "serving/listener.h"

#include "serving/serving_limits.h"
#include "serving/socket_options.h"

namespace nutmegtally
{

listener::listener(boost::asio::io_context &context, const std::string &address, std::function<void(boost::asio::ip::tcp::socket)> accepted)
    : m_acceptor(context)
    , m_retryTimer(context)
    , m_accepted(std::move(accepted))
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, "invalid listen address " + address);
    }
    m_acceptor.open(endpoint->protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(*endpoint);
    m_acceptor.listen(serving_limits::listenBacklog);
    accept();
}

void listener::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &fault, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!fault) {
            m_accepted(std::move(socket));
            accept();
            return;
        }
        m_retryTimer.expires_after(serving_limits::acceptRetryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code &stopped) {
            if (!stopped) {
                accept();
            }
        });
    });
}

void listener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
}

} // namespace nutmegtally
