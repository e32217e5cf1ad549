#include "serving/http_server.h"

#include <utility>

namespace nutmegtally
{

http_exchange::http_exchange(client_connection::pointer client, http_head head, std::string body)
    : m_client(std::move(client))
    , m_head(std::move(head))
    , m_body(std::move(body))
{
}

http_exchange::~http_exchange()
{
    abort();
}

std::string http_exchange::path() const
{
    return m_head.target.substr(0, m_head.target.find('?'));
}

std::string http_exchange::header(std::string_view name) const
{
    const std::string *value = m_head.find(name);
    return value == nullptr ? std::string() : *value;
}

void http_exchange::setHeader(const std::string &name, const std::string &value)
{
    for (header_field &field : m_fields) {
        if (equalsIgnoreCase(field.name, name)) {
            field.value = value;
            return;
        }
    }
    m_fields.push_back({name, value});
}

void http_exchange::setContentType(const std::string &contentType)
{
    if (!contentType.empty()) {
        setHeader("Content-Type", contentType);
    }
}

void http_exchange::reply(int status, const std::string &contentType, std::string_view body)
{
    if (m_isOver) {
        return;
    }
    setContentType(contentType);
    m_isStarted = true;
    m_isOver = true;
    m_client->answer(status, reasonPhrase(status), std::move(m_fields), body);
}

void http_exchange::reply(const local_answer &answer)
{
    for (const header_field &field : answer.fields) {
        setHeader(field.name, field.value);
    }
    reply(answer.status, {}, answer.body);
}

void http_exchange::startStream(int status, const std::string &contentType)
{
    if (m_isOver || m_isStarted) {
        return;
    }
    setContentType(contentType);
    m_isStarted = true;
    m_client->beginAnswer(status, reasonPhrase(status), std::move(m_fields));
}

void http_exchange::write(std::string_view data)
{
    if (!m_isOver) {
        m_client->continueAnswer(data);
    }
}

void http_exchange::endStream()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_client->endAnswer();
}

void http_exchange::abort()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_client->abort();
}

void http_exchange::setCallbacks(std::function<void()> disconnected, std::function<void()> drained)
{
    m_disconnected = std::move(disconnected);
    m_drained = std::move(drained);
}

void http_exchange::handleDisconnect()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    if (const auto disconnected = std::exchange(m_disconnected, nullptr)) {
        disconnected();
    }
}

void http_exchange::handleDrained()
{
    if (const auto drained = m_drained; drained && !m_isOver) {
        drained();
    }
}

http_server::http_server(boost::asio::io_context &context, const std::string &address, server_limits limits,
                         std::function<time_point()> now, handler serve, fault_encoder encodeFault)
    : m_limits(limits)
    , m_now(std::move(now))
    , m_serve(std::move(serve))
    , m_encodeFault(std::move(encodeFault))
    , m_handlers(clientHandlers(m_now))
    , m_sweepTimer(context)
    , m_listener(context, address, [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); })
{
    const auto endpoint = m_listener.endpoint();
    m_address = endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
    sweep();
}

http_server::~http_server()
{
    m_listener.close();
    abort();
}

local_answer http_server::plainFault(const message_fault &fault)
{
    return {fault.status, {{"Content-Type", "text/plain"}}, fault.text + '\n'};
}

void http_server::accept(boost::asio::ip::tcp::socket socket)
{
    if (m_clients.size() >= m_limits.maxConnections + serving_limits::maxRefusedConnections) {
        ++m_refusedConnections;
        return; // the socket's destructor closes the connection without reading from it
    }
    auto client = std::make_shared<client_connection>(std::move(socket), m_handlers);
    if (m_clients.size() >= m_limits.maxConnections) {
        m_overLimit.insert(client.get());
    }
    m_clients.try_emplace(client);
    client->start();
}

std::shared_ptr<const client_connection::handlers> http_server::clientHandlers(std::function<time_point()> now)
{
    auto handlers = std::make_shared<client_connection::handlers>();
    handlers->request = [this](const client_connection::pointer &client, http_head &&head, std::string &&body) {
        if (m_overLimit.contains(client.get())) {
            ++m_refusedConnections;
            refuse(client, {503, "too many connections"});
            return;
        }
        const auto exchange = std::make_shared<http_exchange>(client, std::move(head), std::move(body));
        m_clients[client] = exchange;
        m_serve(exchange);
    };
    handlers->malformed = [this](const client_connection::pointer &client, const message_fault &fault) { refuse(client, fault); };
    handlers->disconnected = [this](const client_connection::pointer &client) {
        if (const http_exchange::pointer exchange = findExchange(client)) {
            exchange->handleDisconnect();
        }
    };
    handlers->closed = [this](const client_connection::pointer &client) {
        m_overLimit.erase(client.get());
        m_clients.erase(client);
    };
    handlers->drained = [this](const client_connection::pointer &client) {
        if (const http_exchange::pointer exchange = findExchange(client)) {
            exchange->handleDrained();
        }
    };
    handlers->isStopping = [this] { return m_isStopping; };
    handlers->limits = [this]() -> const caller_limits & { return m_limits.callers; };
    handlers->now = std::move(now);
    handlers->sendTimeout = m_limits.sendTimeout;
    return handlers;
}

void http_server::refuse(const client_connection::pointer &client, const message_fault &fault)
{
    const local_answer answer = m_encodeFault(fault);
    client->closeWhenIdle();
    client->answer(answer.status, reasonPhrase(answer.status), answer.fields, answer.body);
}

http_exchange::pointer http_server::findExchange(const client_connection::pointer &client) const
{
    const auto found = m_clients.find(client);
    return found == m_clients.end() ? nullptr : found->second.lock();
}

std::vector<client_connection::pointer> http_server::clients() const
{
    std::vector<client_connection::pointer> result;
    for (const auto &[client, exchange] : m_clients) {
        result.push_back(client);
    }
    return result;
}

void http_server::stopAccepting()
{
    m_isStopping = true;
    m_listener.close();
    for (const client_connection::pointer &client : clients()) {
        client->closeWhenIdle();
    }
}

void http_server::abort()
{
    for (const client_connection::pointer &client : clients()) {
        if (const http_exchange::pointer exchange = findExchange(client)) {
            exchange->handleDisconnect();
        }
        client->abort();
    }
}

void http_server::sweep()
{
    const time_point now = m_now();
    for (const client_connection::pointer &client : clients()) {
        if (m_isStopping) {
            client->closeWhenIdle();
        }
        client->checkTimeouts(now);
    }
    m_sweepTimer.expires_after(serving_limits::sweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code &fault) {
        if (!fault) {
            sweep();
        }
    });
}

} // namespace nutmegtally
