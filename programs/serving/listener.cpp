#include "serving/listener.h"

namespace nutmegtally
{

listener::listener(boost::asio::io_context &context, const std::string &address, std::function<void(boost::asio::ip::tcp::socket)> accepted)
    : m_acceptor(context)
    , m_pause(context)
    , m_accepted(std::move(accepted))
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, "listen address " + address);
    }
    m_acceptor.open(endpoint->protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(*endpoint);
    m_acceptor.listen(serving_limits::backlog);
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
        m_pause.expires_after(serving_limits::acceptPause);
        m_pause.async_wait([this](const boost::system::error_code &stopped) {
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
    m_pause.cancel();
}

call_server::call_server(boost::asio::io_context &context, const std::string &address, std::function<time_point()> now, handler serve)
    : m_serve(std::move(serve))
    , m_listener(context, address, [this](boost::asio::ip::tcp::socket socket) {
        auto client = std::make_shared<client_connection>(std::move(socket), m_handlers);
        m_clients.insert(client);
        client->start();
    })
{
    const auto reply = [](const client_connection::pointer &client, const own_answer &answer) {
        client->answer(answer.status, reasonOf(answer.status), answer.fields, answer.body);
    };
    m_handlers->request = [this, reply](const client_connection::pointer &client, http_head &&head, std::string &&body) {
        reply(client, m_serve(head, body));
    };
    m_handlers->malformed = [reply](const client_connection::pointer &client, const message_fault &fault) {
        reply(client, own_answer {fault.status, {}, fault.text + '\n'});
    };
    m_handlers->left = [](const client_connection::pointer &) {};
    m_handlers->closed = [this](const client_connection::pointer &client) { m_clients.erase(client); };
    m_handlers->drained = [](const client_connection::pointer &) {};
    m_handlers->isStopping = [] { return false; };
    m_handlers->limits = [this]() -> const caller_limits & { return m_limits; };
    m_handlers->now = std::move(now);
}

void call_server::checkTime(time_point now)
{
    const std::vector<client_connection::pointer> clients(m_clients.begin(), m_clients.end());
    for (const client_connection::pointer &client : clients) {
        client->checkTime(now);
    }
}

} // namespace nutmegtally
