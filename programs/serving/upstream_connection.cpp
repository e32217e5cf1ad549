#include "serving/upstream_connection.h"

#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace nutmegtally
{

upstream_connection::upstream_connection(boost::asio::io_context &context)
    : m_socket(context)
    , m_connectTimer(context)
{
}

upstream_connection::~upstream_connection()
{
    resetIfBusy();
    boost::system::error_code ignored;
    m_socket.close(ignored); // the socket's destructor would turn the reset into an orderly close
}

void upstream_connection::open(const boost::asio::ip::tcp::endpoint &peer, duration timeout, std::string request, bool isHeadRequest,
                               handlers owner)
{
    m_owner = std::make_shared<const handlers>(std::move(owner));
    m_request = std::move(request);
    m_isHeadRequest = isHeadRequest;
    m_busy = true;
    const std::uint64_t generation = ++m_generation;
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = shared_from_this(), generation](const boost::system::error_code &fault) {
        if (!fault && generation == self->m_generation && !self->m_open) {
            self->fail(attempt_failure::unreachable);
        }
    });
    m_socket.async_connect(peer, [self = shared_from_this(), generation](const boost::system::error_code &fault) {
        if (generation != self->m_generation) {
            return;
        }
        self->m_connectTimer.cancel();
        if (fault) {
            self->fail(attempt_failure::unreachable);
            return;
        }
        self->m_open = true;
        self->m_heardAt = std::chrono::steady_clock::now();
        setSocketOptions(self->m_socket);
        self->writeRequest();
        self->read();
    });
}

void upstream_connection::send(std::string request, bool isHeadRequest, handlers owner)
{
    m_idleClosed = nullptr;
    m_owner = std::make_shared<const handlers>(std::move(owner));
    m_request = std::move(request);
    m_isHeadRequest = isHeadRequest;
    m_busy = true;
    ++m_generation;
    writeRequest();
    read();
}

void upstream_connection::writeRequest()
{
    m_requestWritten = false;
    m_isDelivered = false;
    m_unacknowledged = 0;
    m_progressAt = std::chrono::steady_clock::now();
    m_writeFault.clear();
    m_headReceived = false;
    m_answerMatches = false;
    m_foreignAnswerSeen = false;
    m_skippedAnswers = 0;
    m_parser.reset();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_request),
                             [self = shared_from_this(), generation = m_generation](const boost::system::error_code &fault, std::size_t) {
                                 if (generation != self->m_generation || !self->m_busy) {
                                     return;
                                 }
                                 // After a failed write the upstream's answer may still be in the receive buffer: it is read to its end.
                                 self->m_requestWritten = !fault;
                                 self->m_writeFault = fault;
                             });
}

void upstream_connection::read()
{
    if (m_reading || m_paused || !m_open) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_readBuffer), [self = shared_from_this()](const boost::system::error_code &fault, std::size_t bytes) {
            self->m_reading = false;
            if (!self->m_open) {
                return;
            }
            if (!fault) {
                self->received(bytes);
                return;
            }
            if (!self->m_busy) {
                const auto closed = std::move(self->m_idleClosed);
                self->close();
                if (closed) {
                    closed();
                }
                return;
            }
            const boost::system::error_code cause = self->causeOfEnd(fault);
            // A close-delimited answer is complete only after an orderly close: a reset may have truncated it.
            if (cause == boost::asio::error::eof && self->m_parser && self->m_answerMatches && self->m_parser->feedEof()) {
                self->answerDone();
                return;
            }
            const bool isEndedByPeer = cause == boost::asio::error::eof || cause == boost::asio::error::connection_reset;
            self->fail(isEndedByPeer ? attempt_failure::lost : attempt_failure::silent);
        });
}

boost::system::error_code upstream_connection::causeOfEnd(const boost::system::error_code &readFault) const
{
    // The kernel reports a reset or timeout once, to the next operation of either direction. If that was the write, the read sees an
    // end of stream. A broken pipe is no such report: the upstream had already ended its side, so that all it sent was received.
    const bool isReportedByWrite = m_writeFault && m_writeFault != boost::asio::error::broken_pipe;
    return readFault == boost::asio::error::eof && isReportedByWrite ? m_writeFault : readFault;
}

void upstream_connection::received(std::size_t bytes)
{
    m_heardAt = std::chrono::steady_clock::now();
    if (!m_busy) {
        // Unsolicited data on an idle connection: it could be mistaken for the answer to the next request.
        const auto closed = std::move(m_idleClosed);
        close();
        if (closed) {
            closed();
        }
        return;
    }
    m_input.append(m_readBuffer.data(), bytes);
    parse();
    if (m_open) {
        read();
    }
}

void upstream_connection::parse()
{
    const std::uint64_t generation = m_generation;
    const std::shared_ptr<const handlers> owner = m_owner;
    while (m_busy && generation == m_generation && !m_input.empty()) {
        if (!m_parser) {
            m_parser = std::make_unique<answer_parser>(serving_limits::maxAnswerHeadBytes);
            m_headReceived = false;
            m_answerMatches = false;
            if (m_isHeadRequest) {
                m_parser->expectNoBody();
            }
        }
        const std::size_t used = m_parser->feed(m_input);
        m_input.erase(0, used);
        if (m_parser->fault()) {
            fail(attempt_failure::damaged);
            return;
        }
        if (m_parser->isHeadDone() && !m_headReceived) {
            const int status = m_parser->head().status;
            if (status >= 100 && status < 200) {
                if (skipAnswer()) {
                    return;
                }
                continue;
            }
            m_headReceived = true;
            m_framing = m_parser->framing();
            parseKeepAliveTimeout(m_parser->head());
            m_answerMatches = owner->head(m_parser->head());
            if (generation != m_generation || !m_busy) {
                return;
            }
            if (!m_answerMatches && m_framing == answer_framing::connection) {
                fail(attempt_failure::lost);
                return;
            }
        }
        if (!m_parser->body().empty()) {
            std::string piece;
            piece.swap(m_parser->body());
            if (m_answerMatches) {
                owner->body(std::move(piece));
            }
            if (generation != m_generation || !m_busy) {
                return;
            }
        }
        if (m_parser->isDone()) {
            if (m_answerMatches) {
                answerDone();
                return;
            }
            m_foreignAnswerSeen = true;
            if (skipAnswer()) {
                return;
            }
            continue;
        }
        if (used == 0) {
            return;
        }
    }
}

bool upstream_connection::skipAnswer()
{
    m_parser.reset();
    if (++m_skippedAnswers <= serving_limits::maxSkippedAnswers) {
        return false;
    }
    fail(attempt_failure::damaged);
    return true;
}

void upstream_connection::parseKeepAliveTimeout(const http_head &head)
{
    m_keepAliveTimeout = duration(0);
    const std::string *value = head.find("keep-alive");
    if (value == nullptr) {
        return;
    }
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value->find(name);
    if (at == std::string::npos) {
        return;
    }
    std::string_view digits = std::string_view(*value).substr(at + name.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    if (const std::optional<std::uint64_t> seconds = parseDecimal(digits)) {
        m_keepAliveTimeout = std::chrono::seconds(*seconds);
    }
}

void upstream_connection::answerDone()
{
    ++m_answerCount;
    const bool keeps = m_parser->isKeepAlive() && m_framing != answer_framing::connection;
    // Not reusable after extra bytes behind the answer, an answer that arrived before the whole request was sent, or an answer to
    // another request.
    const bool reusable = keeps && m_requestWritten && m_input.empty() && !m_foreignAnswerSeen;
    m_busy = false;
    m_parser.reset();
    ++m_generation;
    const std::shared_ptr<const handlers> owner = std::move(m_owner);
    if (!reusable) {
        close();
    }
    owner->done(reusable);
}

void upstream_connection::fail(attempt_failure failure)
{
    const std::shared_ptr<const handlers> owner = std::move(m_owner);
    close();
    owner->failed(failure);
}

int upstream_connection::unacknowledgedBytes()
{
    int bytes = 0;
    return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

void upstream_connection::checkDelivery()
{
    if (!m_busy || !m_open || m_isDelivered) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!m_requestWritten) {
        m_progressAt = now; // the upstream cannot run a part of a request
        return;
    }
    const int bytes = unacknowledgedBytes();
    m_isDelivered = bytes == 0;
    if (bytes < m_unacknowledged) {
        m_progressAt = now;
    }
    m_unacknowledged = bytes;
    if (now - m_progressAt >= serving_limits::minDeliveryStall && now - m_heardAt >= serving_limits::maxSilenceWhileSending) {
        fail(attempt_failure::silent);
    }
}

void upstream_connection::setReadingPaused(bool paused)
{
    m_paused = paused;
    if (!paused) {
        read();
    }
}

void upstream_connection::resetIfBusy()
{
    if (m_busy && m_open) {
        // After an orderly close the kernel would go on sending for as long as the path may come back.
        boost::system::error_code ignored; // the connection has failed already, and its bytes are gone
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
}

void upstream_connection::close()
{
    resetIfBusy();
    ++m_generation;
    m_busy = false;
    m_open = false;
    m_idleClosed = nullptr;
    m_owner.reset();
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void upstream_connection::watchIdle(std::function<void()> closed)
{
    m_idleClosed = std::move(closed);
    m_paused = false;
    read();
}

} // namespace nutmegtally
