// HTTP server and client connections of the daemons.
#include "daemon/daemon_http.h"

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
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <set>

namespace nutmegtally
{

namespace
{

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPServerParams;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Connections over the limit still need a thread for the moment of their refusal.
constexpr int refusalThreads = 16;
constexpr int acceptQueue = 256; // connections
constexpr int lingerBytes = 16 * 1024 * 1024; // of an unread body that are discarded before the connection is closed
constexpr std::chrono::seconds lingerTime {5}; // for the same
constexpr std::size_t maxIdlePerAddress = 64; // connections
constexpr int threadStackBytes = 256 * 1024;

Poco::Timespan toTimespan(duration value)
{
    return Poco::Timespan(value.count());
}

std::size_t headerBytes(const HTTPServerRequest &request)
{
    std::size_t bytes = request.getURI().size();
    for (const auto &[name, value] : request) {
        bytes += name.size() + value.size() + 4;
    }
    return bytes;
}

/// POCO reports oversized and malformed headers with the same exception type; only its text tells them apart.
error_code headerFault(const std::string &text)
{
    const bool tooLarge = text.find("Too many") != std::string::npos || text.find("value too long") != std::string::npos
                          || text.find("URI too long") != std::string::npos || text.find("URI invalid or too long") != std::string::npos;
    return tooLarge ? error_code::headersTooLarge : error_code::malformedRequest;
}

/// Closes so that the peer gets the answer although a part of its request was not read: closing a socket with unread
/// input resets the connection, which may discard the answer at the peer.
void lingeringClose(Poco::Net::StreamSocket socket)
{
    try {
        socket.shutdownSend();
        socket.setReceiveTimeout(Poco::Timespan(1, 0));
        std::array<char, 8192> buffer {};
        const auto end = std::chrono::steady_clock::now() + lingerTime;
        int left = lingerBytes;
        while (left > 0 && std::chrono::steady_clock::now() < end) {
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return;
            }
            left -= count;
        }
    } catch (const Poco::Exception &) {
        return; // the peer is gone
    }
}

} // namespace

std::string errorBody(const error &fault, const std::string &request)
{
    const error_info &info = errorInfo(fault.code());
    std::string message(info.message);
    if (!fault.detail().empty()) {
        message += " (" + fault.detail() + ")";
    }
    nlohmann::json body = {{"code", info.name}, {"message", message}, {"remedy", info.remedy}, {"run_state", name(fault.state())}};
    if (fault.retryAfter()) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*fault.retryAfter()).count();
    }
    if (!request.empty()) {
        body["request"] = request;
    }
    return nlohmann::json {{"error", body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_exchange::http_exchange(HTTPServerRequest &request, HTTPServerResponse &response, const Poco::Net::StreamSocket &socket,
                             std::size_t maxBodyBytes)
    : m_request(request)
    , m_response(response)
    , m_socket(socket)
    , m_maxBodyBytes(maxBodyBytes)
    , m_bodyRead(!request.getChunkedTransferEncoding() && request.getContentLength64() <= 0)
{
}

const std::string &http_exchange::method() const
{
    return m_request.getMethod();
}

const std::string &http_exchange::target() const
{
    return m_request.getURI();
}

std::string http_exchange::path() const
{
    return m_request.getURI().substr(0, m_request.getURI().find('?'));
}

std::string http_exchange::header(const std::string &name) const
{
    return m_request.get(name, "");
}

std::string http_exchange::readBody()
{
    const auto expected = m_request.getContentLength64();
    if (expected > static_cast<Poco::Int64>(m_maxBodyBytes)) {
        throw error(error_code::bodyTooLarge, "at most " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    if (m_bodyRead) {
        return {};
    }
    if (m_request.getExpectContinue()) {
        m_response.sendContinue();
    }
    std::string body;
    if (expected > 0) {
        body.reserve(static_cast<std::size_t>(expected));
    }
    for (std::string part = readSome(m_request.stream(), 65536); !part.empty(); part = readSome(m_request.stream(), 65536)) {
        body += part;
        if (body.size() > m_maxBodyBytes) {
            throw error(error_code::bodyTooLarge, "at most " + std::to_string(m_maxBodyBytes) + " bytes");
        }
    }
    if (expected > 0 && body.size() != static_cast<std::size_t>(expected)) {
        throw error(error_code::malformedRequest, "the body is shorter than its Content-Length");
    }
    m_bodyRead = true;
    return body;
}

void http_exchange::setHeader(const std::string &name, const std::string &value)
{
    m_response.set(name, value);
}

void http_exchange::reply(int status, const std::string &contentType, std::string_view body)
{
    m_started = true;
    m_response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
    m_response.setReason(HTTPServerResponse::getReasonForStatus(m_response.getStatus()));
    if (!contentType.empty()) {
        m_response.setContentType(contentType);
    }
    if (!m_bodyRead) {
        m_response.setKeepAlive(false);
    }
    if (status == 204 || status == 304) {
        m_response.send();
        return;
    }
    m_response.sendBuffer(body.data(), body.size());
}

void http_exchange::replyError(const error &fault, const std::string &request)
{
    if (fault.retryAfter()) {
        setHeader("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*fault.retryAfter()).count()));
    }
    reply(errorInfo(fault.code()).httpStatus, "application/json", errorBody(fault, request));
}

void http_exchange::startStream(int status, const std::string &contentType)
{
    m_started = true;
    m_response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
    m_response.setReason(HTTPServerResponse::getReasonForStatus(m_response.getStatus()));
    m_response.setContentType(contentType);
    m_response.setChunkedTransferEncoding(true);
    m_out = &m_response.send();
}

bool http_exchange::write(std::string_view data)
{
    if (m_out == nullptr || m_aborted) {
        return false;
    }
    m_out->write(data.data(), static_cast<std::streamsize>(data.size()));
    m_out->flush();
    return m_out->good();
}

void http_exchange::abort()
{
    m_aborted = true;
    m_response.setKeepAlive(false);
    try {
        m_socket.shutdown();
    } catch (const Poco::Exception &) {
        return; // already closed
    }
}

bool http_exchange::isPeerGone()
{
    try {
        if (!m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        char byte = 0;
        return m_socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

/// What the connections of one listener share.
struct http_server::state {
    http_limits limits;
    http_handler handler;
    Poco::AutoPtr<HTTPServerParams> params = new HTTPServerParams;
    std::atomic<unsigned> active = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<const void *, std::pair<Poco::Net::StreamSocket, bool>> sockets; // by connection; true while a request runs
};

class http_server::connection : public Poco::Net::TCPServerConnection
{
public:
    connection(const Poco::Net::StreamSocket &socket, std::shared_ptr<state> shared)
        : TCPServerConnection(socket)
        , m_shared(std::move(shared))
    {
    }

    void run() override
    {
        try {
            serve();
        } catch (const Poco::Exception &) {
            return; // the connection broke; the exchange's handler has seen it
        }
    }

private:
    /// Registers the connection for the time of its life.
    class registration
    {
    public:
        registration(state &shared, const Poco::Net::StreamSocket &socket)
            : m_shared(shared)
            , m_count(++shared.active)
        {
            const std::lock_guard lock(m_shared.mutex);
            m_shared.sockets.emplace(this, std::pair(socket, false));
        }

        ~registration()
        {
            const std::lock_guard lock(m_shared.mutex);
            m_shared.sockets.erase(this);
            --m_shared.active;
            m_shared.changed.notify_all();
        }

        registration(const registration &) = delete;
        registration &operator=(const registration &) = delete;

        /// @return False if a request may not start because the server stops.
        bool setBusy(bool busy)
        {
            const std::lock_guard lock(m_shared.mutex);
            m_shared.sockets.at(this).second = busy;
            m_shared.changed.notify_all();
            return !m_shared.stopping;
        }

        unsigned count() const
        {
            return m_count;
        }

    private:
        state &m_shared;
        unsigned m_count;
    };

    void serve()
    {
        socket().setNoDelay(true);
        socket().setSendTimeout(toTimespan(m_shared->limits.sendTimeout));
        registration self(*m_shared, socket());
        Poco::Net::HTTPServerSession session(socket(), m_shared->params);
        session.setTimeout(toTimespan(m_shared->limits.headerTimeout));
        const bool overLimit = self.count() > m_shared->limits.maxConnections;
        while (session.hasMoreRequests()) {
            const bool mayStart = self.setBusy(true);
            const bool keep = mayStart && serveOne(session, overLimit);
            if (!self.setBusy(false) || !keep) {
                break;
            }
        }
        lingeringClose(session.socket());
    }

    /// @return True if the connection stays open.
    bool serveOne(Poco::Net::HTTPServerSession &session, bool overLimit)
    {
        Poco::Net::HTTPServerResponseImpl response(session);
        try {
            Poco::Net::HTTPServerRequestImpl request(response, session, m_shared->params.get());
            response.setVersion(request.getVersion());
            response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive() && !overLimit);
            http_exchange exchange(request, response, session.socket(), m_shared->limits.maxBodyBytes);
            handle(exchange, overLimit, headerBytes(request));
            session.setKeepAlive(response.getKeepAlive());
            return response.getKeepAlive();
        } catch (const Poco::Net::NoMessageException &) {
            return false;
        } catch (const Poco::Net::MessageException &fault) {
            refuseHeader(response, error(headerFault(fault.displayText()), fault.message()));
            return false;
        }
    }

    void handle(http_exchange &exchange, bool overLimit, std::size_t bytes)
    {
        try {
            if (overLimit) {
                ++m_shared->refused;
                throw error(error_code::tooManyConnections, {}, run_state::notRun, std::chrono::seconds(1));
            }
            if (bytes > m_shared->limits.maxHeaderBytes) {
                throw error(error_code::headersTooLarge, "at most " + std::to_string(m_shared->limits.maxHeaderBytes) + " bytes");
            }
            m_shared->handler(exchange);
        } catch (const error &fault) {
            if (exchange.isStarted()) {
                exchange.abort();
                return;
            }
            exchange.replyError(fault, "");
        }
    }

    static void refuseHeader(HTTPServerResponse &response, const error &fault)
    {
        const std::string body = errorBody(fault, "");
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(errorInfo(fault.code()).httpStatus));
        response.setReason(HTTPServerResponse::getReasonForStatus(response.getStatus()));
        response.setVersion(HTTPMessage::HTTP_1_1);
        response.setContentType("application/json");
        response.setKeepAlive(false);
        response.sendBuffer(body.data(), body.size());
    }

    std::shared_ptr<state> m_shared;
};

class http_server::connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(std::shared_ptr<state> shared)
        : m_shared(std::move(shared))
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new connection(socket, m_shared);
    }

private:
    std::shared_ptr<state> m_shared;
};

struct http_server::implementation {
    implementation(const std::string &address, const std::shared_ptr<state> &shared)
        : pool(2, static_cast<int>(shared->limits.maxConnections) + refusalThreads, 60, threadStackBytes)
        , socket(Poco::Net::SocketAddress(address), 1024)
        , server(new connection_factory(shared), pool, socket, shared->params)
    {
    }

    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    Poco::Net::TCPServer server;
};

http_server::http_server(const std::string &address, http_limits limits, http_handler handler)
    : m_state(std::make_shared<state>())
{
    m_state->limits = limits;
    m_state->handler = std::move(handler);
    m_state->params->setMaxThreads(static_cast<int>(limits.maxConnections) + refusalThreads);
    m_state->params->setMaxQueued(acceptQueue);
    m_state->params->setTimeout(toTimespan(limits.headerTimeout));
    m_state->params->setKeepAlive(true);
    m_state->params->setKeepAliveTimeout(toTimespan(limits.idleTimeout));
    m_state->params->setMaxKeepAliveRequests(0);
    try {
        m_implementation = std::make_unique<implementation>(address, m_state);
    } catch (const Poco::Exception &fault) {
        throw error(error_code::settingsInvalid, "cannot listen on " + address + ": " + fault.displayText());
    }
    m_implementation->server.start();
}

http_server::~http_server()
{
    stop(duration(0));
}

std::uint16_t http_server::port() const
{
    return m_implementation->socket.address().port();
}

std::string http_server::address() const
{
    return m_implementation->socket.address().toString();
}

unsigned http_server::connections() const
{
    return m_state->active;
}

std::uint64_t http_server::refusedConnections() const
{
    return m_state->refused;
}

void http_server::stop(duration limit)
{
    m_implementation->server.stop();
    std::unique_lock lock(m_state->mutex);
    m_state->stopping = true;
    const auto close = [](auto &entry, bool alsoBusy) {
        if (!entry.second || alsoBusy) {
            try {
                entry.first.shutdown();
            } catch (const Poco::Exception &) {
                return; // already closed by the peer
            }
        }
    };
    for (auto &[key, entry] : m_state->sockets) {
        close(entry, false);
    }
    m_state->changed.wait_for(lock, limit, [&] { return m_state->sockets.empty(); });
    for (auto &[key, entry] : m_state->sockets) {
        close(entry, true);
    }
    m_state->changed.wait(lock, [&] { return m_state->sockets.empty(); });
    lock.unlock();
    m_implementation->pool.joinAll();
}

void client_session::open()
{
    if (!connected()) {
        reconnect();
    }
}

bool client_session::isStale()
{
    try {
        return !connected() || socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return true;
    }
}

session_pool::session_pool(duration connectTimeout)
    : m_connectTimeout(connectTimeout)
{
}

std::unique_ptr<client_session> session_pool::take(const std::string &address, duration receiveTimeout, bool fresh)
{
    std::unique_ptr<client_session> session;
    while (!fresh && !session) {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[address];
        if (idle.empty()) {
            break;
        }
        session = std::move(idle.back());
        idle.pop_back();
        if (session->isStale()) {
            session.reset();
        }
    }
    if (!session) {
        session = std::make_unique<client_session>(Poco::Net::SocketAddress(address));
        session->setKeepAlive(true);
        // The server closes idle connections later than this, so a reused one is rarely closed under a request.
        session->setKeepAliveTimeout(Poco::Timespan(20, 0));
        session->setTimeout(toTimespan(m_connectTimeout), toTimespan(receiveTimeout), toTimespan(receiveTimeout));
        session->open();
    }
    session->setTimeout(toTimespan(m_connectTimeout), toTimespan(receiveTimeout), toTimespan(receiveTimeout));
    session->socket().setReceiveTimeout(toTimespan(receiveTimeout));
    return session;
}

void session_pool::give(const std::string &address, std::unique_ptr<client_session> session)
{
    if (!session->connected() || !session->getKeepAlive()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < maxIdlePerAddress) {
        idle.push_back(std::move(session));
    }
}

void session_pool::drop(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(address);
}

line_result readLine(std::istream &in, std::string &line, std::size_t maxBytes)
{
    line.clear();
    using traits = std::istream::traits_type;
    for (auto c = in.rdbuf()->sbumpc(); !traits::eq_int_type(c, traits::eof()); c = in.rdbuf()->sbumpc()) {
        if (c == '\n') {
            return line_result::line;
        }
        if (line.size() == maxBytes) {
            return line_result::tooLong;
        }
        line.push_back(traits::to_char_type(c));
    }
    return line_result::ended;
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

} // namespace nutmegtally
