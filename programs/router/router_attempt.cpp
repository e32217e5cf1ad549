#include "router/router_attempt.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegtally
{

namespace
{

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxRecordBytes = std::size_t {4} * 1024 * 1024; // a special chunk of an engine is the longest
constexpr std::size_t maxRefusalBytes = std::size_t {64} * 1024;

/// Reads the typed error of an answer that is not a record stream.
void readRefusal(std::istream &in, attempt_result &result)
{
    const std::string text = readSome(in, maxRefusalBytes);
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    const nlohmann::json fault = body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
    if (!fault.is_object()) {
        return; // the state stays unknown
    }
    result.why.code = errorCodeFromName(fault.value("code", std::string())).value_or(error_code::internal);
    result.why.retryAfter = std::chrono::milliseconds(fault.value("retry_after_ms", std::int64_t {0}));
    result.state = runStateFromName(fault.value("run_state", std::string())).value_or(run_state::unknown);
}

} // namespace

attempt_runner::attempt_runner(session_pool &pool, const message_authenticator &authenticator, attempt_options options, std::string address,
                               work_header work, const std::string &body, const attempt_observer &observer)
    : m_pool(pool)
    , m_authenticator(authenticator)
    , m_options(options)
    , m_address(std::move(address))
    , m_work(std::move(work))
    , m_body(body)
    , m_observer(observer)
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

bool attempt_runner::end(attempt_outcome outcome)
{
    m_result.outcome = outcome;
    return true;
}

attempt_result attempt_runner::run(caller_answer &answer)
{
    while (runConnection(answer) == connection_end::broken) {
        if (timeLeft() <= duration(0)) {
            end(attempt_outcome::deadlinePassed);
            break;
        }
        if (!m_reachedAgent || m_resumes++ >= m_options.maxResumes) {
            m_result.state = m_reachedAgent ? run_state::unknown : run_state::notRun;
            end(attempt_outcome::failed);
            break;
        }
        // Connections that went silent usually do so together: a resume takes a new one.
        m_pool.drop(m_address);
        m_work.resume = true;
        m_observer.resumed();
    }
    return m_result;
}

attempt_runner::connection_end attempt_runner::runConnection(caller_answer &answer)
{
    std::unique_ptr<client_session> session;
    try {
        session = m_pool.take(m_address, m_options.streamSilence, m_work.resume);
    } catch (const Poco::Exception &) {
        return connection_end::broken; // no byte was sent over this connection
    }
    m_checksum = stream_checksum();
    try {
        m_reachedAgent = true;
        std::istream *in = send(*session);
        if (in == nullptr) {
            return connection_end::done;
        }
        const connection_end result = readRecords(*in, answer);
        if (result == connection_end::done && m_result.outcome != attempt_outcome::callerGone
            && m_result.outcome != attempt_outcome::deadlinePassed) {
            keep(std::move(session), *in);
        }
        return result;
    } catch (const Poco::TimeoutException &) {
        logEvent(log_event::streamSilent, describe());
        m_observer.silent();
        return connection_end::broken;
    } catch (const Poco::Exception &) {
        return connection_end::broken;
    }
}

std::istream *attempt_runner::send(client_session &session)
{
    work_header header = m_work;
    header.info.deadline = time_point(std::max(timeLeft(), duration(0)));
    nlohmann::json fields = toJson(header);
    m_authenticator.sign("POST", workPath, fields, m_body);
    HTTPRequest request(HTTPRequest::HTTP_POST, workPath, HTTPRequest::HTTP_1_1);
    request.set(workHeaderName, fields.dump());
    request.setContentType("application/octet-stream");
    request.setContentLength64(static_cast<Poco::Int64>(m_body.size()));
    std::ostream &out = session.sendRequest(request);
    out.write(m_body.data(), static_cast<std::streamsize>(m_body.size()));
    out.flush();
    HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    if (response.getStatus() != HTTPResponse::HTTP_OK) {
        readRefusal(in, m_result);
        end(m_result.state == run_state::notRun && !m_work.resume ? attempt_outcome::refused : attempt_outcome::failed);
        return nullptr;
    }
    return &in;
}

void attempt_runner::keep(std::unique_ptr<client_session> session, std::istream &in)
{
    if (readSome(in, 1).empty()) {
        m_pool.give(m_address, std::move(session));
    }
}

attempt_runner::connection_end attempt_runner::readRecords(std::istream &in, caller_answer &answer)
{
    std::string line;
    while (readLine(in, line, maxRecordBytes) == line_result::line) {
        stream_record record;
        try {
            record = decodeRecord(line);
        } catch (const error &) {
            record.request = request_id(); // never matches
        }
        if (record.request != m_work.attempt.request) {
            logEvent(log_event::streamCorrupt, describe() + " reason=request");
            return connection_end::broken;
        }
        if (take(record, answer)) {
            return connection_end::done;
        }
        if (answer.isCallerGone()) {
            end(attempt_outcome::callerGone);
            return connection_end::done;
        }
        if (timeLeft() <= duration(0)) {
            end(attempt_outcome::deadlinePassed);
            return connection_end::done;
        }
    }
    return connection_end::broken;
}

bool attempt_runner::take(const stream_record &record, caller_answer &answer)
{
    if (record.kind == record_kind::keepalive) {
        return false;
    }
    if (record.kind == record_kind::data) {
        return takeData(record, answer);
    }
    m_result.hasLoad = true;
    m_result.load = record.load;
    m_observer.versionSeen(record.configVersion);
    if (record.kind == record_kind::head) {
        answer.head(record);
        if (!m_sawHead) {
            m_sawHead = true;
            m_observer.started(record.load);
        }
        return false;
    }
    if (record.kind == record_kind::end) {
        return takeEnd(record, answer);
    }
    m_result.why = {record.code, record.retryAfter};
    m_result.owner = record.owner;
    m_result.state = record.state;
    return end(record.state == run_state::notRun && !m_sawHead ? attempt_outcome::refused : attempt_outcome::failed);
}

bool attempt_runner::takeData(const stream_record &record, caller_answer &answer)
{
    if (record.seq != m_work.resumeSeq) {
        logEvent(log_event::streamCorrupt, describe() + " reason=sequence");
        throw Poco::Net::HTTPException("a record is missing");
    }
    m_checksum.add(record.data);
    if (!m_sawData) {
        m_sawData = true;
        m_observer.firstData();
    }
    if (!answer.data(record)) {
        return end(attempt_outcome::callerGone);
    }
    ++m_work.resumeSeq;
    m_work.offset += countCharacters(record.data);
    m_resumes = 0;
    return false;
}

bool attempt_runner::takeEnd(const stream_record &record, caller_answer &answer)
{
    const bool valid = record.seq == m_work.resumeSeq && record.bytes == m_checksum.bytes() && record.checksum == m_checksum.value();
    if (!valid) {
        // A wrong byte cannot be found any more, so a resume would not help.
        logEvent(log_event::streamCorrupt, describe() + " reason=checksum");
        m_result.state = run_state::unknown;
        return end(attempt_outcome::failed);
    }
    m_result.promptTokens = record.promptTokens;
    m_result.cachedTokens = record.cachedTokens;
    return end(answer.finish() ? attempt_outcome::finished : attempt_outcome::callerGone);
}

void attempt_runner::cancel()
{
    try {
        const std::string path = std::string(workPath) + "/" + toHex(m_work.attempt.request.value()) + "/" + toHex(m_work.attempt.attempt);
        nlohmann::json fields = nlohmann::json::object();
        m_authenticator.sign("DELETE", path, fields, "");
        HTTPRequest request(HTTPRequest::HTTP_DELETE, path, HTTPRequest::HTTP_1_1);
        request.set(workHeaderName, fields.dump());
        std::unique_ptr<client_session> session = m_pool.take(m_address, m_options.streamSilence, true);
        session->sendRequest(request);
        HTTPResponse response;
        session->receiveResponse(response);
        m_pool.give(m_address, std::move(session));
    } catch (const Poco::Exception &) {
        return; // the agent cancels a stream that nobody resumes
    }
}

} // namespace nutmegtally
