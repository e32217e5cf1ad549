// HTTP server for tests, with blocking handlers: an upstream or agent whose behaviour the test scripts.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegtally::test
{

/// One request and its answer. Not thread-safe.
class scripted_exchange
{
public:
    scripted_exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                      const Poco::Net::StreamSocket &socket);

    const std::string &method() const;

    /// Path without the query.
    std::string path() const;

    /// @return Value of a request header; empty if absent.
    std::string header(const std::string &name) const;

    /// Reads the whole body. A second call returns an empty text.
    std::string readBody();

    /// Sets a header of the answer. Must be called before the answer is started.
    void setHeader(const std::string &name, const std::string &value);

    /// Sends a complete answer.
    void reply(int status, const std::string &contentType, std::string_view body);

    /// Sends the head of an answer of unknown length, which is completed when the handler returns.
    void startStream(int status, const std::string &contentType);

    /// Sends a part of a started answer and flushes it.
    /// @return False if the peer has disconnected.
    bool write(std::string_view data);

    /// Closes the connection.
    void abort();

private:
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    Poco::Net::StreamSocket m_socket;
    std::ostream *m_out = nullptr;
    bool m_bodyRead;
    bool m_aborted = false;
};

using scripted_handler = std::function<void(scripted_exchange &)>;

/// Server on a port that the kernel chooses, with one thread per connection.
class scripted_server
{
public:
    explicit scripted_server(scripted_handler handler);

    /// Closes all connections and waits for the handlers.
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /// "host:port".
    std::string address() const;

private:
    class connection;
    class connection_factory;
    struct state;

    std::shared_ptr<state> m_state;
};

/// Reads the available bytes, at most @p maxBytes; waits if there are none.
/// @return Empty at the end of the stream.
/// @throws Poco::Exception on errors of the socket.
std::string readAvailable(std::istream &in, std::size_t maxBytes);

} // namespace nutmegtally::test
