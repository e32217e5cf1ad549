#include "serving/connection_check.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace nutmegtally
{

namespace
{

struct pending_check {
    explicit pending_check(boost::asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
};

} // namespace

void checkConnection(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &peer, duration timeout,
                     std::function<void(bool isRefused)> done)
{
    const auto check = std::make_shared<pending_check>(context);
    check->timer.expires_after(timeout);
    check->timer.async_wait([check](const boost::system::error_code &fault) {
        if (!fault) {
            boost::system::error_code ignored;
            check->socket.close(ignored); // ends the connect operation, which reports the result
        }
    });
    check->socket.async_connect(peer, [check, done = std::move(done)](const boost::system::error_code &fault) {
        check->timer.cancel();
        done(fault == boost::asio::error::connection_refused || fault == boost::asio::error::connection_reset);
    });
}

} // namespace nutmegtally
