#include "tests/scripted_http.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace nutmegtally::test
{

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int maxThreads = 128; // one for each pooled connection of a router and an agent
constexpr std::size_t readBytes = 65536;

void setStatus(HTTPServerResponse &response, int status)
{
    response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setReason(HTTPServerResponse::getReasonForStatus(response.getStatus()));
}

} // namespace

scripted_exchange::scripted_exchange(HTTPServerRequest &request, HTTPServerResponse &response, const Poco::Net::StreamSocket &socket)
    : m_request(request)
    , m_response(response)
    , m_socket(socket)
    , m_bodyRead(!request.getChunkedTransferEncoding() && request.getContentLength64() <= 0)
{
}

const std::string &scripted_exchange::method() const
{
    return m_request.getMethod();
}

std::string scripted_exchange::path() const
{
    return m_request.getURI().substr(0, m_request.getURI().find('?'));
}

std::string scripted_exchange::header(const std::string &name) const
{
    return m_request.get(name, "");
}

std::string scripted_exchange::readBody()
{
    std::string body;
    if (m_bodyRead) {
        return body;
    }
    for (std::string part = readAvailable(m_request.stream(), readBytes); !part.empty();
         part = readAvailable(m_request.stream(), readBytes)) {
        body += part;
    }
    m_bodyRead = true;
    return body;
}

void scripted_exchange::setHeader(const std::string &name, const std::string &value)
{
    m_response.set(name, value);
}

void scripted_exchange::reply(int status, const std::string &contentType, std::string_view body)
{
    setStatus(m_response, status);
    if (!contentType.empty()) {
        m_response.setContentType(contentType);
    }
    if (!m_bodyRead) {
        m_response.setKeepAlive(false);
    }
    if (status == 204) {
        m_response.send();
        return;
    }
    m_response.sendBuffer(body.data(), body.size());
}

void scripted_exchange::startStream(int status, const std::string &contentType)
{
    setStatus(m_response, status);
    m_response.setContentType(contentType);
    m_response.setChunkedTransferEncoding(true);
    m_out = &m_response.send();
}

bool scripted_exchange::write(std::string_view data)
{
    if (m_out == nullptr || m_aborted) {
        return false;
    }
    m_out->write(data.data(), static_cast<std::streamsize>(data.size()));
    m_out->flush();
    return m_out->good();
}

void scripted_exchange::abort()
{
    m_aborted = true;
    m_response.setKeepAlive(false);
    try {
        m_socket.shutdown();
    } catch (const Poco::Exception &) {
        return; // already closed
    }
}

/// State that the server's threads share. Poco::Net::HTTPServer is not used: it notifies its connections of its shutdown through
/// delegates, in which the thread sanitizer reports races.
struct scripted_server::state {
    explicit state(scripted_handler function)
        : handler(std::move(function))
        , threads(2, maxThreads)
        , socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , params(new Poco::Net::HTTPServerParams)
    {
        params->setMaxThreads(maxThreads);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
    }

    scripted_handler handler;
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params;
    std::unique_ptr<Poco::Net::TCPServer> server;
    std::mutex mutex;
    std::map<const void *, Poco::Net::StreamSocket> open; // sockets by connection; guarded by mutex
    bool isStopping = false; // guarded by mutex
};

class scripted_server::connection : public Poco::Net::TCPServerConnection
{
public:
    connection(const Poco::Net::StreamSocket &socket, state &shared)
        : TCPServerConnection(socket)
        , m_shared(shared)
    {
    }

    void run() override
    {
        {
            const std::lock_guard lock(m_shared.mutex);
            if (m_shared.isStopping) {
                return;
            }
            m_shared.open.emplace(this, socket());
        }
        try {
            serve();
        } catch (const Poco::Exception &) {
            // The peer has disconnected, which the handler has noticed.
        }
        const std::lock_guard lock(m_shared.mutex);
        m_shared.open.erase(this);
    }

private:
    void serve()
    {
        socket().setNoDelay(true);
        Poco::Net::HTTPServerSession session(socket(), m_shared.params);
        while (session.hasMoreRequests()) {
            Poco::Net::HTTPServerResponseImpl response(session);
            Poco::Net::HTTPServerRequestImpl request(response, session, m_shared.params.get());
            response.setVersion(request.getVersion());
            response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive());
            scripted_exchange exchange(request, response, session.socket());
            m_shared.handler(exchange);
            session.setKeepAlive(response.getKeepAlive());
            if (!response.getKeepAlive()) {
                return;
            }
        }
    }

    state &m_shared;
};

class scripted_server::connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(state &shared)
        : m_shared(shared)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new connection(socket, m_shared);
    }

private:
    state &m_shared;
};

scripted_server::scripted_server(scripted_handler handler)
    : m_state(std::make_shared<state>(std::move(handler)))
{
    m_state->server
        = std::make_unique<Poco::Net::TCPServer>(new connection_factory(*m_state), m_state->threads, m_state->socket, m_state->params);
    m_state->server->start();
}

scripted_server::~scripted_server()
{
    m_state->server->stop();
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isStopping = true;
        for (auto &[key, socket] : m_state->open) {
            try {
                socket.shutdown();
            } catch (const Poco::Exception &) {
                continue; // already closed by the peer
            }
        }
    }
    m_state->threads.joinAll();
}

std::string scripted_server::address() const
{
    return m_state->socket.address().toString();
}

std::string readAvailable(std::istream &in, std::size_t maxBytes)
{
    using traits = std::istream::traits_type;
    if (traits::eq_int_type(in.rdbuf()->sgetc(), traits::eof())) {
        return {};
    }
    const auto available = static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 1));
    std::string data(std::min(available, maxBytes), '\0');
    const std::streamsize count = in.rdbuf()->sgetn(data.data(), static_cast<std::streamsize>(data.size()));
    data.resize(static_cast<std::size_t>(count));
    return data;
}

} // namespace nutmegtally::test
