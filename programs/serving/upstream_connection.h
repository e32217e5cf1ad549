// Client side of a connection to an upstream. It carries one request at a time and is kept open between requests.
#pragma once

#include "serving/http_message.h"

#include <nutmegtally/attempt_failure.h>
#include <nutmegtally/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegtally
{

class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    using pointer = std::shared_ptr<upstream_connection>;

    /// Callbacks to the owner of the current request. Released when the request is over.
    struct handlers {
        /// The head of an answer was received. Returns true if the answer belongs to the request, false to skip it and wait for the
        /// next one.
        std::function<bool(const http_head &)> head;
        /// Receives the body in parts, in order.
        std::function<void(std::string &&)> body;
        /// The answer is complete. If @p reusable, the connection is open and can take another request.
        std::function<void(bool reusable)> done;
        /// The request failed; the connection is closed.
        std::function<void(attempt_failure)> failed;
    };

    explicit upstream_connection(boost::asio::io_context &context);
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;
    ~upstream_connection();

    /// Connects and sends a request. Exactly one of done and failed is called, unless close() is called first.
    /// @param timeout Limit for connecting; then the failure is attempt_failure::unreachable.
    /// @param isHeadRequest The method is HEAD: the answer has no body.
    void open(const boost::asio::ip::tcp::endpoint &peer, duration timeout, std::string request, bool isHeadRequest, handlers owner);

    /// Sends another request on an open, idle connection.
    void send(std::string request, bool isHeadRequest, handlers owner);

    /// Pauses or resumes reading from the socket: backpressure for a slow caller.
    void setReadingPaused(bool paused);

    /// Closes the connection at once. No callback is called afterwards. A request in progress is given up: what the upstream has not
    /// received of it is dropped, so that it does not begin to run later.
    void close();

    /// Fails a request of which no byte gets through on a connection that has gone silent, before the kernel gives the connection up: only
    /// a connection that is still established can be reset, which drops the bytes that are held up. Call it several times a second.
    void checkDelivery();

    /// Watches an idle connection. It is closed, and @p closed called, when the upstream closes it or sends unsolicited data.
    void watchIdle(std::function<void()> closed);

    /// Timeout of the Keep-Alive field in the upstream's last answer; zero if it had none.
    duration keepAliveTimeout() const
    {
        return m_keepAliveTimeout;
    }

    /// Framing of the last answer whose head was received.
    answer_framing framing() const
    {
        return m_framing;
    }

    /// Number of complete answers to the requests of this connection.
    std::uint64_t answerCount() const
    {
        return m_answerCount;
    }

    bool isOpen() const
    {
        return m_open;
    }

    /// A request is in progress: its answer is not complete.
    bool isBusy() const
    {
        return m_busy;
    }

private:
    /// Makes the next close of the socket a reset, which drops what is still to be sent, while a request is in progress.
    void resetIfBusy();
    void writeRequest();
    void read();
    void received(std::size_t bytes);
    /// @param readFault Why the read operation failed.
    /// @return How the connection ended: eof only if the upstream closed its side in an orderly way.
    boost::system::error_code causeOfEnd(const boost::system::error_code &readFault) const;
    void parse();
    void answerDone();
    void fail(attempt_failure failure);
    /// Bytes that the kernel holds and the peer has not acknowledged; 0 if that cannot be told.
    int unacknowledgedBytes();
    /// Drops an interim answer or one to another request. @return True if there were too many: the request has failed.
    bool skipAnswer();
    /// Reads the Keep-Alive field ("timeout=SECONDS") of an answer.
    void parseKeepAliveTimeout(const http_head &head);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    std::shared_ptr<const handlers> m_owner; // shared: a callback may end the request, which releases the handlers
    std::function<void()> m_idleClosed;
    std::unique_ptr<answer_parser> m_parser;
    std::array<char, 4096> m_readBuffer;
    std::string m_input; // received but not parsed yet
    std::string m_request;
    duration m_keepAliveTimeout {0};
    answer_framing m_framing = answer_framing::length;
    std::uint64_t m_answerCount = 0;
    bool m_open = false;
    bool m_busy = false; // a request is in progress
    bool m_requestWritten = false; // the whole request was written to the socket
    boost::system::error_code m_writeFault; // why the request could not be written
    bool m_isDelivered = false; // the peer acknowledged the whole request
    int m_unacknowledged = 0; // bytes at the last check of the delivery
    std::chrono::steady_clock::time_point m_progressAt; // end of the write, or the last check that found fewer bytes unacknowledged
    std::chrono::steady_clock::time_point m_heardAt; // of the peer: when it accepted the connection, or last sent data
    bool m_reading = false;
    bool m_paused = false;
    bool m_isHeadRequest = false;
    bool m_headReceived = false; // head of the answer that is being parsed
    bool m_answerMatches = false; // the answer that is being parsed belongs to the request
    bool m_foreignAnswerSeen = false; // an answer to another request was received: the connection is not reused
    unsigned m_skippedAnswers = 0; // since the request was sent, including interim answers
    std::uint64_t m_generation = 0; // changes with each request, so that completions of an earlier one are ignored
};

} // namespace nutmegtally
