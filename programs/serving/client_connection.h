// A caller's connection: reads one request at a time, writes its answer, notices when the caller leaves.
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

    /// What the connection tells its owner. All calls come from the event loop.
    struct handlers {
        /// A whole request is in.
        std::function<void(const pointer &, http_head &&, std::string &&body)> request;
        /// What came is not one clear request. The owner answers with refuse().
        std::function<void(const pointer &, const message_fault &)> malformed;
        /// The caller closed the connection or it broke while a request was served.
        std::function<void(const pointer &)> disconnected;
        /// The connection is closed. Comes once, as the last call.
        std::function<void(const pointer &)> closed;
        /// Waiting output has shrunk below half of its limit.
        std::function<void(const pointer &)> drained;
        /// The process is stopping: answers say that the connection closes.
        std::function<bool()> isStopping;
        /// Limits in force now.
        std::function<const caller_limits &()> limits;
        std::function<time_point()> now;
        duration sendTimeout = serving_limits::tcpUserTimeout; // a caller that takes nothing for this time counts as gone
    };

    client_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<const handlers> owner);

    void start();

    /// Writes a whole answer with a Content-Length, and reads the next request.
    /// @param fields Without framing fields.
    void answer(int status, std::string_view reason, std::vector<header_field> fields, std::string_view body);

    /// Writes the head of an answer whose body follows in pieces.
    void beginAnswer(int status, std::string_view reason, std::vector<header_field> fields);
    void continueAnswer(std::string_view body);
    void endAnswer();

    /// Closes at once; an answer that is not finished looks incomplete.
    void abort();

    /// Asks for no further requests: the next answer says that the connection closes, an idle one is closed.
    void closeWhenIdle();

    /// Closes the connection if it was idle or slow for longer than the limits allow.
    void checkTimeouts(time_point now);

    bool isServing() const
    {
        return m_serving;
    }

    /// No byte of a request has come since the last answer.
    bool isIdle() const
    {
        return !m_serving && !m_receiving;
    }

    time_point idleSince() const
    {
        return m_idleSince;
    }

    /// Bytes that wait to be written.
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
    std::unique_ptr<request_parser> m_parser; // of the request that is being received
    std::array<char, 2048> m_readBuffer;
    std::string m_input; // received, not parsed
    std::string m_output; // waits until m_writing is written
    std::string m_writing;
    time_point m_idleSince; // end of the last answer, or start of the connection
    time_point m_receivingSince; // first byte of the request that is being received
    bool m_receiving = false; // part of a request is in
    bool m_serving = false; // a request is with the owner
    bool m_isChunked = false; // framing of the answer in pieces
    bool m_keepAlive = true; // after the answer that is being written
    bool m_closeWhenIdle = false;
    bool m_closeAfterWrite = false;
    bool m_lingering = false; // output is shut down; input is discarded until the caller closes
    time_point m_lingeringSince;
    bool m_reading = false;
    bool m_closed = false;
    bool m_isHeadRequest = false; // the answer has no body
    bool m_continueSent = false;
};

} // namespace nutmegtally
