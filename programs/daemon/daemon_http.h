// HTTP for the daemons over POCO: a server with limits that answers each refusal with a typed error, and a pool of
// persistent client connections.
#pragma once

#include <nutmegtally/errors.h>
#include <nutmegtally/time.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <istream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtally
{

/// Limits of one listener. A request over a limit gets 413, 431 or 503.
struct http_limits {
    std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
    std::size_t maxHeaderBytes = std::size_t {32} * 1024;
    unsigned maxConnections = 1024;
    duration headerTimeout = std::chrono::seconds(30); // also for each part of a body
    duration idleTimeout = std::chrono::seconds(60); // between requests of a connection
    duration sendTimeout = std::chrono::seconds(30); // a peer that takes nothing for this time counts as gone
};

/// One request and its answer. Used by one thread.
class http_exchange
{
public:
    http_exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const Poco::Net::StreamSocket &socket,
                  std::size_t maxBodyBytes);

    const std::string &method() const;

    /// Path and query as received.
    const std::string &target() const;

    /// Path without the query.
    std::string path() const;

    /// @return The header's value, empty if absent.
    std::string header(const std::string &name) const;

    /// Reads the whole body.
    /// @throws error bodyTooLarge, malformedRequest
    std::string readBody();

    /// Sets a header of the answer that is still to be sent.
    void setHeader(const std::string &name, const std::string &value);

    /// Sends a whole answer.
    void reply(int status, const std::string &contentType, std::string_view body);

    /// Sends an error in the form of section 4.1 of the design.
    /// @param request Request id in hexadecimal, empty for none.
    void replyError(const error &fault, const std::string &request);

    /// Starts an answer of unknown length.
    void startStream(int status, const std::string &contentType);

    /// Sends a part of a started answer at once.
    /// @return False if the peer is gone.
    bool write(std::string_view data);

    /// Ends a started answer without its regular end, so that the peer sees that it is incomplete.
    void abort();

    /// True if the peer has closed its connection.
    bool isPeerGone();

    bool isStarted() const
    {
        return m_started;
    }

private:
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    Poco::Net::StreamSocket m_socket;
    std::size_t m_maxBodyBytes;
    std::ostream *m_out = nullptr;
    bool m_started = false;
    bool m_aborted = false;
    bool m_bodyRead = false;
};

/// Body of an error answer or an SSE error event.
std::string errorBody(const error &fault, const std::string &request);

using http_handler = std::function<void(http_exchange &)>;

/// Listener with one thread per connection.
class http_server
{
public:
    /// Listens at once.
    /// @param address "host:port" with an IP number; port 0 lets the kernel choose.
    /// @throws error settingsInvalid if the address cannot be used.
    http_server(const std::string &address, http_limits limits, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    std::uint16_t port() const;

    /// "host:port" with the real port.
    std::string address() const;

    unsigned connections() const;

    /// Counts connections that were refused because of the limit.
    std::uint64_t refusedConnections() const;

    /// Closes the listener and idle connections, and waits for running exchanges up to @p limit; then cuts them.
    void stop(duration limit);

private:
    struct state;
    class connection;
    class connection_factory;
    struct implementation;

    std::shared_ptr<state> m_state;
    std::unique_ptr<implementation> m_implementation;
};

/// Client connection that can be opened before a request is sent, so that a refused connection is told from a
/// connection that broke after a byte went out.
class client_session : public Poco::Net::HTTPClientSession
{
public:
    using HTTPClientSession::HTTPClientSession;

    /// Opens the connection if it is not open.
    void open();

    /// True if the peer closed the connection or sent something unexpected while it was idle.
    bool isStale();
};

/// Persistent connections by address.
class session_pool
{
public:
    /// @param connectTimeout For opening a connection.
    explicit session_pool(duration connectTimeout);

    /// @param address "host:port".
    /// @param receiveTimeout For each read.
    /// @param fresh Never reuses a connection; for the replacement of a silent one.
    /// @throws Poco::Net::NetException and Poco::TimeoutException if no connection could be opened.
    std::unique_ptr<client_session> take(const std::string &address, duration receiveTimeout, bool fresh = false);

    /// Returns a connection whose last answer was read to its end.
    void give(const std::string &address, std::unique_ptr<client_session> session);

    /// Closes the idle connections to an address.
    void drop(const std::string &address);

private:
    duration m_connectTimeout;
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<client_session>>> m_idle; // by address, newest last
};

enum class line_result : std::uint8_t {
    line,
    ended,
    tooLong,
    count
};

/// Reads a line without its line feed. Exceptions of the socket pass through.
line_result readLine(std::istream &in, std::string &line, std::size_t maxBytes);

/// Reads what is there, at least one byte and at most @p maxBytes; empty at the end. Exceptions of the socket pass through.
std::string readSome(std::istream &in, std::size_t maxBytes);

} // namespace nutmegtally
