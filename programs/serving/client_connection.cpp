#include "serving/client_connection.h"

#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace nutmegtally
{

client_connection::client_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<const handlers> owner)
    : m_socket(std::move(socket))
    , m_owner(std::move(owner))
{
}

void client_connection::start()
{
    setSocketOptions(m_socket, m_owner->sendTimeout);
    m_idleSince = m_owner->now();
    read();
}

void client_connection::read()
{
    // While a request is served, the input is read only to detect that the caller disconnects. What arrives is buffered for
    // the next request, up to a limit.
    if (m_reading || m_closed || (m_serving && m_input.size() >= serving_limits::maxPipelinedBytes)) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](const boost::system::error_code &fault, std::size_t bytes) {
                                 self->m_reading = false;
                                 if (self->m_closed) {
                                     return;
                                 }
                                 if (!fault) {
                                     self->received(bytes);
                                     return;
                                 }
                                 if (self->m_serving) {
                                     self->m_owner->disconnected(self);
                                     self->close();
                                 } else if (fault == boost::asio::error::eof && self->pendingOutputBytes() > 0) {
                                     self->m_closeAfterWrite = true;
                                 } else {
                                     self->close();
                                 }
                             });
}

void client_connection::received(std::size_t bytes)
{
    if (!m_lingering) {
        m_input.append(m_readBuffer.data(), bytes);
        parse();
    }
    read();
}

void client_connection::parse()
{
    while (!m_serving && !m_closed && !m_closeAfterWrite && !m_lingering && !m_input.empty()) {
        const caller_limits &limits = m_owner->limits();
        if (!m_parser) {
            m_parser = std::make_unique<request_parser>(limits.maxHeaderBytes);
            m_receiving = true;
            m_continueSent = false;
            m_receivingSince = m_owner->now();
        }
        const bool hadHead = m_parser->isHeadDone();
        const std::size_t used = m_parser->feed(m_input);
        m_input.erase(0, used);
        std::optional<message_fault> fault = m_parser->fault();
        if (!fault && m_parser->isHeadDone() && !hadHead) {
            fault = checkRequestHead(m_parser->head(), limits.maxBodyBytes);
        }
        if (!fault && m_parser->bodyBytes() > limits.maxBodyBytes) {
            fault = message_fault {413, "the body is larger than the configured limit"};
        }
        if (fault) {
            m_serving = true;
            m_keepAlive = false;
            m_owner->malformed(shared_from_this(), *fault);
            return;
        }
        if (m_parser->isDone()) {
            requestDone();
            continue;
        }
        if (m_parser->isHeadDone() && !m_continueSent) {
            m_continueSent = true;
            const std::string *expect = m_parser->head().find("expect");
            if (expect != nullptr && equalsIgnoreCase(*expect, "100-continue")) {
                write(formatAnswerHead(100, reasonPhrase(100), {}));
            }
        }
        if (used == 0 || m_input.empty()) {
            return;
        }
    }
}

void client_connection::requestDone()
{
    m_serving = true;
    m_receiving = false;
    m_keepAlive = m_parser->isKeepAlive() && !m_closeWhenIdle;
    m_isHeadRequest = m_parser->head().method == "HEAD";
    http_head head = std::move(m_parser->head());
    std::string body = std::move(m_parser->body());
    m_parser.reset();
    m_owner->request(shared_from_this(), std::move(head), std::move(body));
}

std::vector<header_field> client_connection::withConnectionField(std::vector<header_field> fields, bool keep) const
{
    if (!keep) {
        fields.push_back({"Connection", "close"});
    }
    return fields;
}

void client_connection::answer(int status, std::string_view reason, std::vector<header_field> fields, std::string_view body)
{
    m_keepAlive = m_keepAlive && !m_closeWhenIdle && !m_owner->isStopping();
    const bool bodyless = status == 204 || status == 304;
    if (!bodyless) {
        fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    write(formatAnswerHead(status, reason, withConnectionField(std::move(fields), m_keepAlive)));
    if (!bodyless && !m_isHeadRequest) {
        write(body);
    }
    finishAnswer();
}

void client_connection::beginAnswer(int status, std::string_view reason, std::vector<header_field> fields)
{
    m_keepAlive = m_keepAlive && !m_closeWhenIdle && !m_owner->isStopping();
    m_isChunked = true;
    fields.push_back({"Transfer-Encoding", "chunked"});
    write(formatAnswerHead(status, reason, withConnectionField(std::move(fields), m_keepAlive)));
}

void client_connection::continueAnswer(std::string_view body)
{
    write(formatChunk(body));
}

void client_connection::endAnswer()
{
    write(lastChunk);
    finishAnswer();
}

void client_connection::finishAnswer()
{
    m_serving = false;
    m_receiving = false;
    m_parser.reset();
    m_idleSince = m_owner->now();
    if (!m_keepAlive) {
        m_closeAfterWrite = true;
        if (pendingOutputBytes() == 0) {
            startLingeringClose();
        }
        return;
    }
    // Pipelined requests are parsed from the event loop, so that answers do not recurse.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void client_connection::write(std::string_view text)
{
    if (m_closed || text.empty()) {
        return;
    }
    m_output += text;
    flush();
}

void client_connection::flush()
{
    if (!m_writing.empty() || m_output.empty() || m_closed) {
        return;
    }
    m_writing.swap(m_output);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](const boost::system::error_code &fault, std::size_t) {
                                 self->m_writing.clear();
                                 if (self->m_closed) {
                                     return;
                                 }
                                 if (fault) {
                                     if (self->m_serving) {
                                         self->m_owner->disconnected(self);
                                     }
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                                 if (self->m_writing.empty() && self->m_closeAfterWrite) {
                                     self->startLingeringClose();
                                 }
                                 if (self->m_serving && self->pendingOutputBytes() < serving_limits::outputHighWatermarkBytes / 2) {
                                     self->m_owner->drained(self);
                                 }
                             });
}

void client_connection::startLingeringClose()
{
    if (m_lingering || m_closed) {
        return;
    }
    m_lingering = true;
    m_lingeringSince = m_owner->now();
    m_input.clear();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void client_connection::abort()
{
    close();
}

void client_connection::closeWhenIdle()
{
    m_closeWhenIdle = true;
    boost::system::error_code fault;
    // Bytes in the socket's receive buffer are the start of a request, which is still served.
    if (isIdle() && pendingOutputBytes() == 0 && m_socket.available(fault) == 0) {
        close();
    }
}

void client_connection::checkTimeouts(time_point now)
{
    if (m_lingering) {
        if (now - m_lingeringSince >= serving_limits::lingeringCloseTimeout) {
            close();
        }
        return;
    }
    if (m_serving) {
        return;
    }
    const caller_limits &limits = m_owner->limits();
    if (m_receiving) {
        // The body has the longer idle timeout: a slow uplink may need more than the header timeout for it.
        const bool hasHead = m_parser && m_parser->isHeadDone();
        if (now - m_receivingSince < (hasHead ? limits.idleTimeout : limits.headerTimeout)) {
            return;
        }
        m_serving = true;
        m_keepAlive = false;
        m_owner->malformed(shared_from_this(), message_fault {408, "the request did not arrive in time"});
        return;
    }
    if (now - m_idleSince >= limits.idleTimeout) {
        close();
    }
}

void client_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_owner->closed(shared_from_this());
}

} // namespace nutmegtally
