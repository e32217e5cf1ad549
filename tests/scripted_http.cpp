#include "tests/scripted_http.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <algorithm>

namespace nutmegtally::test
{

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int maxThreads = 128; // a connection of the pools of a router and an agent each
constexpr std::size_t readBytes = 65536;

class exchange_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit exchange_handler(const scripted_handler &handler)
        : m_handler(handler)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        scripted_exchange exchange(request, response);
        m_handler(exchange);
    }

private:
    const scripted_handler &m_handler;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(scripted_handler handler)
        : m_handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new exchange_handler(m_handler);
    }

private:
    scripted_handler m_handler;
};

Poco::Net::HTTPServerParams *serverParams()
{
    auto *params = new Poco::Net::HTTPServerParams; // owned by the server
    params->setMaxThreads(maxThreads);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    return params;
}

void setStatus(HTTPServerResponse &response, int status)
{
    response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setReason(HTTPServerResponse::getReasonForStatus(response.getStatus()));
}

} // namespace

scripted_exchange::scripted_exchange(HTTPServerRequest &request, HTTPServerResponse &response)
    : m_request(request)
    , m_response(response)
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
    for (std::string part = readSome(m_request.stream(), readBytes); !part.empty(); part = readSome(m_request.stream(), readBytes)) {
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
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket().shutdown();
    } catch (const Poco::Exception &) {
        return; // already closed
    }
}

scripted_server::scripted_server(scripted_handler handler)
    : m_threads(2, maxThreads)
    , m_server(new handler_factory(std::move(handler)), m_threads, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
               serverParams())
{
    m_server.start();
}

scripted_server::~scripted_server()
{
    m_server.stopAll(true);
    m_threads.joinAll();
}

std::string scripted_server::address() const
{
    return m_server.socket().address().toString();
}

std::string readSome(std::istream &in, std::size_t maxBytes)
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
