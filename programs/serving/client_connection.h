// Server side of a caller's connection: reads one request at a time, writes its answer and detects when the caller
// disconnects. Supports keep-alive, pipelining and lingering close.
#pragma once

#include "serving/http_message.h"
#include "serving/serving_limits.h"

#include <nutmegtally/time.h>
#include <nutmegtally/traffic_rules.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace nutmegtally
{

class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using pointer = std::shared_ptr<client_connection>;

    /// Callbacks to the owner. All of them are called from the event loop.
    struct handlers {
        /// A complete request was received.
        std::function<void(const pointer &, http_head &&, std::string &&body)> request;
        /// The input is not a valid request, or did not arrive in time. The owner sends an error answer with answer(); the
        /// connection closes after it.
        std::function<void(const pointer &, const message_fault &)> malformed;
        /// The caller closed the connection, or the connection failed, while a request was being served.
        std::function<void(const pointer &)> disconnected;
        /// The connection is closed. Called once, as the last callback.
        std::function<void(const pointer &)> closed;
        /// The pending output has fallen below half of serving_limits::outputHighWatermarkBytes.
        std::function<void(const pointer &)> drained;
        /// True while the process shuts down: answers then carry "Connection: close".
        std::function<bool()> isStopping;
        /// The limits of the current configuration.
        std::function<const caller_limits &()> limits;
        std::function<time_point()> now;
        duration sendTimeout = serving_limits::tcpUserTimeout; // TCP user timeout: a caller that accepts no output for this long is gone
    };

    client_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<const handlers> owner);

    void start();

    /// Sends a complete answer with a Content-Length, then reads the next request.
    /// @param fields Header fields without Content-Length, Transfer-Encoding and Connection.
    void answer(int status, std::string_view reason, std::vector<header_field> fields, std::string_view body);

    /// Sends the head of an answer with a chunked body. continueAnswer() sends each part of the body, endAnswer() the last
    /// chunk.
    void beginAnswer(int status, std::string_view reason, std::vector<header_field> fields);
    void continueAnswer(std::string_view body);
    void endAnswer();

    /// Closes the connection at once. The caller can tell that an unfinished answer is incomplete.
    void abort();

    /// Accepts no further requests: an idle connection is closed, otherwise the next answer carries "Connection: close".
    void closeWhenIdle();

    /// Closes a connection that has been idle, or reports a request that has taken too long to arrive, beyond the limits.
    void checkTimeouts(time_point now);

    bool isServing() const
    {
        return m_serving;
    }

    /// No byte of a request has been received since the last answer.
    bool isIdle() const
    {
        return !m_serving && !m_receiving;
    }

    time_point idleSince() const
    {
        return m_idleSince;
    }

    /// Bytes of output that are not written to the socket yet.
    std::size_t pendingOutputBytes() const
    {
        return m_output.size() + m_writing.size();
    }

private:
    void read();
    void received(std::size_t bytes);
    void parse();
    void requestDone();
    void write(std::string_view text);
    void flush();
    void finishAnswer();
    void startLingeringClose();
    void close();
    std::vector<header_field> withConnectionField(std::vector<header_field> fields, bool keep) const;

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<const handlers> m_owner;
    std::unique_ptr<request_parser> m_parser; // for the request that is being received
    std::array<char, 2048> m_readBuffer;
    std::string m_input; // received but not parsed yet
    std::string m_output; // queued until the write of m_writing completes
    std::string m_writing; // passed to the write operation in progress
    time_point m_idleSince; // end of the last answer, or start of the connection
    time_point m_receivingSince; // first byte of the request that is being received
    bool m_receiving = false; // part of a request has been received
    bool m_serving = false; // the owner has a request that is not answered yet
    bool m_isChunked = false; // the answer in progress uses chunked transfer coding
    bool m_keepAlive = true; // the connection stays open after the current answer
    bool m_closeWhenIdle = false;
    bool m_closeAfterWrite = false;
    bool m_lingering = false; // lingering close: output is shut down, input is discarded until the caller closes
    time_point m_lingeringSince;
    bool m_reading = false;
    bool m_closed = false;
    bool m_isHeadRequest = false; // the current request is a HEAD request: its answer has no body
    bool m_continueSent = false; // "100 Continue" was considered for the current request
};

} // namespace nutmegtally
