#include "router/router_attempt.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "serving/serving_limits.h"
#include "serving/socket_options.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace nutmegtally
{

namespace
{

constexpr std::size_t maxRecordBytes = std::size_t {4} * 1024 * 1024; // the longest records hold engine chunks that are forwarded unchanged
constexpr std::size_t maxRefusalBytes = std::size_t {64} * 1024;
constexpr duration cancelTimeout = std::chrono::seconds(2); // best effort: the agent also cancels a stream that is not resumed

/// Reads the error object of an answer that is not a record stream.
void readRefusal(std::string_view text, attempt_result &result)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    const nlohmann::json fault = body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
    if (!fault.is_object()) {
        return; // the run state stays unknown
    }
    result.reason.code = errorCodeFromName(fault.value("code", std::string())).value_or(error_code::internal);
    result.reason.retryAfter = std::chrono::milliseconds(fault.value("retry_after_ms", std::int64_t {0}));
    result.state = runStateFromName(fault.value("run_state", std::string())).value_or(run_state::unknown);
}

} // namespace

attempt_runner::attempt_runner(const attempt_context &context, attempt_options options, std::string address, work_header work,
                               std::string body, attempt_observer observer)
    : m_context(context)
    , m_options(options)
    , m_address(std::move(address))
    , m_work(std::move(work))
    , m_body(std::move(body))
    , m_observer(std::move(observer))
    , m_idleTimer(context.loop)
{
}

duration attempt_runner::timeLeft() const
{
    return m_work.info.deadline - steadyNow();
}

std::string attempt_runner::describe() const
{
    return "request=" + toHex(m_work.attempt.request.value()) + " attempt=" + std::to_string(m_work.attempt.attempt)
           + " agent=" + m_address;
}

void attempt_runner::start(const std::shared_ptr<caller_answer> &answer)
{
    m_answer = answer;
    connect();
}

std::string attempt_runner::requestText() const
{
    work_header header = m_work;
    header.info.deadline = time_point(std::max(timeLeft(), duration(0)));
    nlohmann::json fields = toJson(header);
    m_context.authenticator.sign("POST", workPath, fields, m_body);
    return nutmegtally::formatRequestHead("POST", workPath,
                                          {{"Host", m_address},
                                           {workHeaderName, fields.dump()},
                                           {"Content-Type", "application/octet-stream"},
                                           {"Content-Length", std::to_string(m_body.size())}})
           + m_body;
}

void attempt_runner::connect()
{
    m_checksum = stream_checksum();
    m_input.clear();
    m_status = 0;
    m_isPaused = false;
    restartIdleTimer();
    // Pooled connections to the same agent often time out together, so a resume opens a new one.
    m_connection = m_work.resume ? nullptr : m_context.pool.acquire(m_address, steadyNow());
    if (m_connection) {
        m_mayHaveReachedAgent = true;
        m_connection->send(requestText(), false, handlers());
        return;
    }
    const auto peer = parseEndpoint(m_address);
    if (!peer) {
        logEvent(log_event::internalFault, describe() + " fault=\"the agent address is invalid\"");
        m_result.state = run_state::notRun;
        end(attempt_outcome::failed);
        return;
    }
    m_connection = std::make_shared<upstream_connection>(m_context.loop);
    m_connection->open(*peer, m_options.connectTimeout, requestText(), false, handlers());
}

upstream_connection::handlers attempt_runner::handlers()
{
    upstream_connection::handlers handlers;
    handlers.head = [self = shared_from_this()](const http_head &head) {
        self->m_status = head.status;
        self->m_mayHaveReachedAgent = true;
        return true;
    };
    handlers.body = [self = shared_from_this()](std::string &&piece) { self->bodyReceived(std::move(piece)); };
    handlers.done = [self = shared_from_this()](bool reusable) { self->answerEnded(reusable); };
    handlers.failed = [self = shared_from_this()](attempt_failure failure) {
        self->m_mayHaveReachedAgent = self->m_mayHaveReachedAgent || failure != attempt_failure::unreachable;
        self->m_connection.reset();
        self->connectionLost();
    };
    return handlers;
}

void attempt_runner::restartIdleTimer()
{
    m_idleTimer.expires_after(m_options.streamIdleTimeout);
    m_idleTimer.async_wait([self = shared_from_this()](const boost::system::error_code &fault) {
        if (!fault) {
            self->timedOut();
        }
    });
}

void attempt_runner::timedOut()
{
    if (m_isPaused) {
        restartIdleTimer(); // reading is paused, so no record can arrive
        return;
    }
    closeConnection();
    if (m_isFinished) {
        return; // the answer is complete; only the end of the HTTP body is missing
    }
    logEvent(log_event::streamSilent, describe());
    m_observer.idleTimedOut();
    connectionLost();
}

void attempt_runner::closeConnection()
{
    m_idleTimer.cancel();
    if (m_connection) {
        m_mayHaveReachedAgent = m_mayHaveReachedAgent || m_connection->isOpen();
        m_connection->close();
        m_connection.reset();
    }
}

void attempt_runner::bodyReceived(std::string &&piece)
{
    if (m_isFinished) {
        return;
    }
    m_input.add(piece);
    if (m_status == 200) {
        readRecords();
    } else if (m_input.rest().size() > maxRefusalBytes) {
        closeConnection();
        connectionLost();
    }
}

void attempt_runner::readRecords()
{
    while (const std::optional<std::string_view> line = m_input.next()) {
        stream_record record;
        try {
            record = decodeRecord(*line);
        } catch (const error &) {
            record.request = request_id(); // invalid, so the comparison below fails
        }
        if (record.request != m_work.attempt.request) {
            logEvent(log_event::streamCorrupt, describe() + " reason=request");
            closeConnection();
            connectionLost();
            return;
        }
        restartIdleTimer(); // only complete records count, so that a connection that trickles single bytes still times out
        if (processRecord(record)) {
            return;
        }
    }
    if (m_input.rest().size() > maxRecordBytes) {
        logEvent(log_event::streamCorrupt, describe() + " reason=length");
        closeConnection();
        connectionLost();
        return;
    }
    if (m_answer->pendingOutputBytes() > serving_limits::outputHighWatermarkBytes && m_connection) {
        m_isPaused = true;
        m_connection->setReadingPaused(true);
    }
}

void attempt_runner::resumeReading()
{
    if (m_isPaused && m_connection) {
        m_isPaused = false;
        restartIdleTimer();
        m_connection->setReadingPaused(false);
    }
}

void attempt_runner::answerEnded(bool reusable)
{
    m_idleTimer.cancel();
    const upstream_connection::pointer connection = std::move(m_connection);
    if (reusable) {
        m_context.pool.release(m_address, connection, steadyNow());
    }
    if (m_isFinished) {
        return;
    }
    if (m_status == 200) {
        connectionLost(); // the body ended without a final record
        return;
    }
    readRefusal(m_input.rest(), m_result);
    end(m_result.state == run_state::notRun && !m_work.resume ? attempt_outcome::refused : attempt_outcome::failed);
}

void attempt_runner::connectionLost()
{
    m_idleTimer.cancel();
    if (m_isFinished) {
        return;
    }
    if (timeLeft() <= duration(0)) {
        end(attempt_outcome::deadlinePassed);
        return;
    }
    if (!m_mayHaveReachedAgent || m_resumes >= m_options.maxResumes) {
        m_result.state = m_mayHaveReachedAgent ? run_state::unknown : run_state::notRun;
        end(attempt_outcome::failed);
        return;
    }
    ++m_resumes;
    m_context.pool.closeIdle(m_address);
    m_work.resume = true;
    m_observer.resumed();
    connect();
}

bool attempt_runner::end(attempt_outcome outcome)
{
    if (!m_isFinished) {
        m_isFinished = true;
        m_result.outcome = outcome;
        m_observer.ended(m_result);
    }
    return true;
}

/// @return True if the attempt has ended or the connection was given up.
bool attempt_runner::processRecord(const stream_record &record)
{
    if (record.kind == record_kind::keepalive) {
        return false;
    }
    if (record.kind == record_kind::data) {
        return processData(record);
    }
    m_result.hasLoad = true;
    m_result.load = record.load;
    m_observer.versionSeen(record.configVersion);
    if (record.kind == record_kind::head) {
        m_answer->setHead(record);
        if (!m_isHeadReceived) {
            m_isHeadReceived = true;
            m_observer.started(record.load);
        }
        return false;
    }
    if (record.kind == record_kind::end) {
        return processEnd(record);
    }
    m_result.reason = {record.code, record.retryAfter};
    m_result.owner = record.owner;
    m_result.state = record.state;
    return end(record.state == run_state::notRun && !m_isHeadReceived ? attempt_outcome::refused : attempt_outcome::failed);
}

bool attempt_runner::processData(const stream_record &record)
{
    if (record.seq != m_work.resumeSeq) {
        logEvent(log_event::streamCorrupt, describe() + " reason=sequence");
        closeConnection();
        connectionLost();
        return true;
    }
    m_checksum.add(record.data);
    if (!m_isDataReceived) {
        m_isDataReceived = true;
        m_observer.firstData();
    }
    m_answer->addData(record);
    ++m_work.resumeSeq;
    m_work.offset += countCharacters(record.data);
    m_resumes = 0;
    return false;
}

bool attempt_runner::processEnd(const stream_record &record)
{
    const bool valid = record.seq == m_work.resumeSeq && record.bytes == m_checksum.bytes() && record.checksum == m_checksum.value();
    if (!valid) {
        // The corrupt record cannot be identified, so a resume would not help.
        logEvent(log_event::streamCorrupt, describe() + " reason=checksum");
        m_result.state = run_state::unknown;
        return end(attempt_outcome::failed);
    }
    m_result.promptTokens = record.promptTokens;
    m_result.cachedTokens = record.cachedTokens;
    m_answer->finish();
    return end(attempt_outcome::finished);
}

void attempt_runner::cancel()
{
    const bool wasFinished = std::exchange(m_isFinished, true);
    closeConnection();
    if (wasFinished || !m_mayHaveReachedAgent) {
        return;
    }
    const std::string path = std::string(workPath) + "/" + toHex(m_work.attempt.request.value()) + "/" + toHex(m_work.attempt.attempt);
    nlohmann::json fields = nlohmann::json::object();
    m_context.authenticator.sign("DELETE", path, fields, "");
    call_request call;
    call.address = m_address;
    call.method = "DELETE";
    call.target = path;
    call.fields = {{workHeaderName, fields.dump()}};
    call.timeout = cancelTimeout;
    m_context.client.call(call, [text = describe()](const call_result &result) {
        if (result.status != 204) {
            logEvent(log_event::cancelFailed, text + " status=" + std::to_string(result.status) + " why=\"" + result.failure + "\"");
        }
    });
}

} // namespace nutmegtally
