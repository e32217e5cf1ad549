// A connection to an upstream, used for one request at a time and kept open between requests.
#pragma once

#include "serving/http_message.h"

#include <nutmegtally/attempt_failure.h>
#include <nutmegtally/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
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

    /// Who runs a request on the connection. Cleared when the request is over.
    struct handlers {
        /// Head of an answer is in; true if it belongs to the request, false to skip it and wait for the next one.
        std::function<bool(const http_head &)> head;
        /// Bytes of the body, in order.
        std::function<void(std::string &&)> body;
        /// The answer is whole. The connection may be reused if @p reusable.
        std::function<void(bool reusable)> done;
        std::function<void(attempt_failure)> failed;
    };

    explicit upstream_connection(boost::asio::io_context &context);

    /// Connects and sends. Exactly one of done and failed follows, unless close() comes first.
    /// @param isHeadRequest The answer has no body.
    void open(const boost::asio::ip::tcp::endpoint &peer, duration timeout, std::string request, bool isHeadRequest, handlers owner);

    /// Sends another request on an open, idle connection.
    void send(std::string request, bool isHeadRequest, handlers owner);

    /// Stops and resumes reading, for a caller that reads slowly.
    void setReadingPaused(bool paused);

    /// Closes at once, without a further call to the owner.
    void close();

    /// Watches an idle connection: @p ended is called when the upstream closes it or sends something unasked.
    void watchIdle(std::function<void()> closed);

    /// Idle time that the upstream stated in its last answer; zero if it stated none.
    duration keepAliveTimeout() const
    {
        return m_keepAliveTimeout;
    }

    /// Answers that came in whole.
    std::uint64_t answerCount() const
    {
        return m_answerCount;
    }

    bool isOpen() const
    {
        return m_open;
    }

    /// A request runs whose answer is not whole.
    bool isBusy() const
    {
        return m_busy;
    }

private:
    void writeRequest();
    void read();
    void received(std::size_t bytes);
    void parse();
    void answerDone();
    void fail(attempt_failure failure);
    /// Drops an answer that is not the request's. @return True if there were too many, so that the request has failed.
    bool skipAnswer();
    void parseKeepAliveTimeout(const http_head &head);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    std::shared_ptr<const handlers> m_owner; // shared: a call may end the request and with it the handlers
    std::function<void()> m_idleClosed;
    std::unique_ptr<answer_parser> m_parser;
    std::array<char, 4096> m_readBuffer;
    std::string m_input; // received, not parsed
    std::string m_request;
    duration m_keepAliveTimeout {0};
    std::uint64_t m_answerCount = 0;
    bool m_open = false;
    bool m_busy = false; // a request runs
    bool m_requestWritten = false; // all of the request was handed to the kernel
    bool m_reading = false;
    bool m_paused = false;
    bool m_isHeadRequest = false;
    bool m_headReceived = false; // of the answer that is being read
    bool m_answerMatches = false; // that answer belongs to the request
    bool m_foreignAnswerSeen = false; // an answer that belonged to nothing was read: not reused afterwards
    unsigned m_skippedAnswers = 0; // since the request was sent; interim ones count as well
    std::uint64_t m_generation = 0; // of the request, so that late completions of an earlier one are ignored
};

} // namespace nutmegtally
