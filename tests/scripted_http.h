// HTTP server for tests whose handlers block: an upstream or agent whose behaviour a test writes down.
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

/// One request and its answer. Used by one thread.
class scripted_exchange
{
public:
    scripted_exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                      const Poco::Net::StreamSocket &socket);

    const std::string &method() const;

    /// Path without the query.
    std::string path() const;

    /// @return The header's value, empty if absent.
    std::string header(const std::string &name) const;

    /// Reads the whole body.
    std::string readBody();

    /// Sets a header of the answer that is still to be sent.
    void setHeader(const std::string &name, const std::string &value);

    /// Sends a whole answer.
    void reply(int status, const std::string &contentType, std::string_view body);

    /// Starts an answer of unknown length, which ends properly when the handler returns.
    void startStream(int status, const std::string &contentType);

    /// Sends a part of a started answer at once.
    /// @return False if the peer is gone.
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

/// Listens on a port that the kernel chooses, with one thread for each connection.
class scripted_server
{
public:
    explicit scripted_server(scripted_handler handler);

    /// Cuts all connections and waits for the handlers.
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

/// Reads what is there, at least one byte and at most @p maxBytes; empty at the end. Exceptions of the socket pass through.
std::string readAvailable(std::istream &in, std::size_t maxBytes);

} // namespace nutmegtally::test
