#include "agent/agent_upstream.h"

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

using json = nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t pieceBytes = std::size_t {16} * 1024; // of a body that is not a chat stream
constexpr std::size_t maxBookingAnswerBytes = std::size_t {4} * 1024 * 1024; // a longer one counts as unknown
constexpr duration engineRetryAfter = std::chrono::seconds(1);

/// True for a chunk that is more than a piece of text, so that it must reach the caller as it is.
bool isSpecial(const json &chunk)
{
    const json choices = chunk.value("choices", json::array());
    if (choices.size() != 1) {
        return true;
    }
    const json &choice = choices.front();
    if (!choice.value("finish_reason", json()).is_null() || !choice.value("logprobs", json()).is_null()) {
        return true;
    }
    const json delta = choice.value("delta", json::object());
    return std::any_of(delta.items().begin(), delta.items().end(),
                       [](const auto &member) { return member.key() != "content" && member.key() != "role"; });
}

std::string textOf(const json &chunk)
{
    const json choices = chunk.value("choices", json::array());
    if (choices.empty() || !choices.front().contains("delta")) {
        return {};
    }
    const json content = choices.front().at("delta").value("content", json());
    return content.is_string() ? content.get<std::string>() : std::string();
}

struct token_usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t generatedTokens = 0;
};

token_usage usageOf(const json &answer)
{
    token_usage usage;
    const json counts = answer.value("usage", json());
    if (!counts.is_object()) {
        return usage;
    }
    usage.promptTokens = counts.value("prompt_tokens", 0U);
    usage.generatedTokens = counts.value("completion_tokens", 0U);
    const json details = counts.value("prompt_tokens_details", json());
    if (details.is_object()) {
        usage.cachedTokens = details.value("cached_tokens", 0U);
    }
    return usage;
}

/// An engine that is overloaded or failing; another one may answer.
bool isEngineFailure(int status)
{
    return status >= 500 || status == 429;
}

} // namespace

/// Reads the chunks of a streamed chat. Lives through all connections of one attempt.
class upstream_caller::chat_reader
{
public:
    chat_reader(agent_stream &stream, const std::function<void()> &firstToken)
        : m_stream(stream)
        , m_firstToken(firstToken)
    {
    }

    /// @param in Body of the engine's answer.
    /// @return False if the body ended before the answer did.
    bool read(std::istream &in, client_session &session, const upstream_options &options)
    {
        std::string line;
        while (readLine(in, line, options.maxLineBytes) == line_result::line) {
            if (!take(line)) {
                continue;
            }
            if (m_done) {
                break;
            }
            session.socket().setReceiveTimeout(Poco::Timespan(options.tokenSilence.count()));
        }
        if (!m_done && !m_sawFinish) {
            return false;
        }
        m_stream.finish(m_usage.promptTokens, m_usage.cachedTokens);
        return true;
    }

    std::uint32_t pieces() const
    {
        return m_pieces;
    }

private:
    /// @return True if the line brought a part of the answer.
    bool take(const std::string &line)
    {
        static constexpr std::string_view prefix = "data:";
        if (line.compare(0, prefix.size(), prefix) != 0) {
            return false;
        }
        const std::size_t begin = line.find_first_not_of(' ', prefix.size());
        const std::size_t end = line.find_last_not_of("\r ");
        const std::string payload = begin == std::string::npos ? std::string() : line.substr(begin, end + 1 - begin);
        if (payload == "[DONE]") {
            m_done = true;
            return true;
        }
        const json chunk = json::parse(payload);
        if (chunk.contains("error")) {
            throw error(error_code::upstreamFailed, "the engine reported an error within its answer", run_state::unknown);
        }
        takeChunk(chunk, payload);
        return true;
    }

    void takeChunk(const json &chunk, const std::string &payload)
    {
        const bool hasUsage = chunk.contains("usage") && chunk.at("usage").is_object();
        if (hasUsage) {
            m_usage = usageOf(chunk);
        }
        sendHead(chunk);
        const bool special = isSpecial(chunk);
        const bool usageOnly = hasUsage && chunk.value("choices", json::array()).empty();
        std::string text = textOf(chunk);
        if ((text.empty() && !special) || (usageOnly && !m_stream.header().usage)) {
            return;
        }
        m_sawFinish = m_sawFinish
                      || (special && !usageOnly && !chunk.at("choices").empty()
                          && !chunk.at("choices").front().value("finish_reason", json()).is_null());
        if (!text.empty() && ++m_pieces == 1) {
            m_firstToken();
        }
        m_stream.append({std::move(text), special ? payload : std::string()});
    }

    void sendHead(const json &chunk)
    {
        if (m_headSent) {
            return;
        }
        m_headSent = true;
        stream_record head;
        head.contentType = "text/event-stream";
        head.answerId = chunk.value("id", std::string());
        head.model = chunk.value("model", std::string());
        m_stream.setHead(std::move(head));
    }

    agent_stream &m_stream;
    const std::function<void()> &m_firstToken;
    token_usage m_usage;
    std::uint32_t m_pieces = 0;
    bool m_headSent = false;
    bool m_done = false;
    bool m_sawFinish = false;
};

upstream_caller::upstream_caller(upstream_options options)
    : m_options(std::move(options))
    , m_pool(m_options.connectTimeout)
{
}

upstream_result upstream_caller::run(agent_stream &stream, unsigned priority, const std::function<void()> &firstToken)
{
    if (!stream.header().stream) {
        return runWhole(stream, priority);
    }
    chat_reader reader(stream, firstToken);
    std::uint32_t seen = 0;
    for (unsigned resumes = 0; resumes <= m_options.maxResumes; ++resumes) {
        if (streamOnce(reader, stream, priority) == try_result::finished) {
            return {stream.isComplete(), reader.pieces()};
        }
        if (stream.isCancelled()) {
            return {true, reader.pieces()};
        }
        if (reader.pieces() > seen) {
            seen = reader.pieces();
            resumes = 0;
        }
        logEvent(log_event::streamSilent, "request=" + toHex(stream.header().attempt.request.value()) + " side=upstream");
    }
    stream.refuse(seen > 0 ? error_code::streamLost : error_code::upstreamFailed, run_state::unknown, engineRetryAfter);
    return {false, reader.pieces()};
}

upstream_caller::try_result upstream_caller::streamOnce(chat_reader &reader, agent_stream &stream, unsigned priority)
{
    std::unique_ptr<client_session> session;
    try {
        // A connection that broke may have taken others of the pool with it, so a resume opens a new one.
        session = m_pool.take(m_options.address, m_options.firstTokenTimeout, stream.wasStarted());
    } catch (const Poco::Exception &) {
        if (stream.wasStarted()) {
            return try_result::broken;
        }
        stream.refuse(error_code::upstreamFailed, run_state::notRun, engineRetryAfter);
        return try_result::finished;
    }
    if (!stream.setSession(session.get())) {
        stream.setSession(nullptr);
        return try_result::broken;
    }
    stream.markStarted();
    auto result = try_result::broken;
    try {
        HTTPResponse response;
        std::istream &in = send(*session, stream, priority, response);
        if (isEngineFailure(response.getStatus())) {
            stream.refuse(error_code::upstreamFailed, run_state::unknown, engineRetryAfter);
            result = try_result::finished;
        } else if (response.getStatus() != HTTPResponse::HTTP_OK) {
            copyBody(*session, in, response, stream);
            stream.finish(0, 0);
            result = try_result::finished;
        } else if (reader.read(in, *session, m_options)) {
            result = try_result::finished;
            stream.setSession(nullptr);
            while (!readSome(in, pieceBytes).empty()) { }
            m_pool.give(m_options.address, std::move(session));
        }
    } catch (const Poco::Exception &) {
        result = try_result::broken; // time-out or broken connection
    } catch (const std::exception &) {
        stream.refuse(error_code::upstreamFailed, run_state::unknown, engineRetryAfter); // not a chat answer
        result = try_result::finished;
    }
    stream.setSession(nullptr);
    return stream.isEnded() ? try_result::finished : result;
}

upstream_result upstream_caller::runWhole(agent_stream &stream, unsigned priority)
{
    std::unique_ptr<client_session> session;
    try {
        const duration limit = stream.header().info.deadline.time_since_epoch();
        session = m_pool.take(m_options.address, std::max<duration>(limit, std::chrono::seconds(1)));
    } catch (const Poco::Exception &) {
        stream.refuse(error_code::upstreamFailed, run_state::notRun, engineRetryAfter);
        return {};
    }
    if (!stream.setSession(session.get())) {
        stream.setSession(nullptr);
        return {true, 0};
    }
    stream.markStarted();
    upstream_result result;
    try {
        HTTPResponse response;
        std::istream &in = send(*session, stream, priority, response);
        if (stream.header().info.kind == work_kind::chat && isEngineFailure(response.getStatus())) {
            throw error(error_code::upstreamFailed, {}, run_state::unknown);
        }
        copyBody(*session, in, response, stream);
        result.ok = true;
        stream.setSession(nullptr);
        m_pool.give(m_options.address, std::move(session));
    } catch (const std::exception &) {
        stream.refuse(error_code::upstreamFailed, run_state::unknown, engineRetryAfter);
    }
    stream.setSession(nullptr);
    return result;
}

std::istream &upstream_caller::send(client_session &session, const agent_stream &stream, unsigned priority, HTTPResponse &response)
{
    const work_header &header = stream.header();
    const bool isChat = header.info.kind == work_kind::chat;
    HTTPRequest request(header.method, header.path, HTTPRequest::HTTP_1_1);
    request.set("X-Request-Id", toHex(header.attempt.request.value()));
    if (isChat) {
        request.set("X-Priority", std::to_string(priority));
        if (header.info.chat.isValid()) {
            // The engine's cache events name chats by this handle.
            request.set("X-Nutmegtally-Chat", toHex(header.info.chat.value()));
        }
        request.setContentType("application/json");
    } else if (!header.contentType.empty()) {
        request.setContentType(header.contentType);
    }
    if (header.stream && stream.characters() > 0) {
        request.set("X-Resume-Offset", std::to_string(stream.characters()));
    }
    if (!header.info.idempotencyKey.empty()) {
        request.set("Idempotency-Key", header.info.idempotencyKey);
    }
    const bool hasBody = !stream.body().empty() || header.method == HTTPRequest::HTTP_POST;
    if (hasBody) {
        request.setContentLength64(static_cast<Poco::Int64>(stream.body().size()));
    }
    std::ostream &out = session.sendRequest(request);
    out.write(stream.body().data(), static_cast<std::streamsize>(stream.body().size()));
    out.flush();
    return session.receiveResponse(response);
}

void upstream_caller::copyBody(client_session &session, std::istream &in, const HTTPResponse &response, agent_stream &stream)
{
    stream_record head;
    head.status = response.getStatus();
    head.contentType = response.getContentType() == HTTPResponse::UNKNOWN_CONTENT_TYPE ? "" : response.getContentType();
    stream.setHead(std::move(head));
    std::uint64_t bytes = 0;
    std::string whole; // of a chat, for its token counts
    const bool isChat = stream.header().info.kind == work_kind::chat;
    for (std::string part = readSome(in, pieceBytes); !part.empty(); part = readSome(in, pieceBytes)) {
        bytes += part.size();
        if (isChat && whole.size() <= m_options.maxLineBytes) {
            whole += part;
        }
        if (!stream.append({std::move(part), {}})) {
            return;
        }
    }
    const bool hasLength = response.hasContentLength() && stream.header().method != HTTPRequest::HTTP_HEAD;
    const bool closedEarly = response.getChunkedTransferEncoding() && response.getKeepAlive() && session.isStale();
    if ((hasLength && static_cast<std::uint64_t>(response.getContentLength64()) != bytes) || closedEarly) {
        throw error(error_code::upstreamFailed, "the answer broke off", run_state::unknown);
    }
    // The counts of an answer beyond the line limit are not worth the memory.
    const bool readCounts = isChat && response.getStatus() == HTTPResponse::HTTP_OK && whole.size() <= m_options.maxLineBytes;
    const token_usage usage = readCounts ? usageOf(json::parse(whole)) : token_usage();
    stream.finish(usage.promptTokens, usage.cachedTokens);
}

service_answer upstream_caller::book(const agent_stream &stream, const std::string &key, std::uint64_t fencing, duration limit)
{
    service_answer answer;
    std::unique_ptr<client_session> session;
    try {
        session = m_pool.take(m_options.address, std::max<duration>(limit, std::chrono::milliseconds(1)), true);
    } catch (const Poco::Exception &) {
        answer.state = run_state::notRun;
        return answer;
    }
    const work_header &header = stream.header();
    try {
        HTTPRequest request(header.method, header.path, HTTPRequest::HTTP_1_1);
        request.set("X-Request-Id", toHex(header.attempt.request.value()));
        request.set("Idempotency-Key", key);
        request.set("X-Nutmegtally-Fencing", std::to_string(fencing));
        if (!header.contentType.empty()) {
            request.setContentType(header.contentType);
        }
        request.setContentLength64(static_cast<Poco::Int64>(stream.body().size()));
        std::ostream &out = session->sendRequest(request);
        out.write(stream.body().data(), static_cast<std::streamsize>(stream.body().size()));
        out.flush();
        HTTPResponse response;
        std::istream &in = session->receiveResponse(response);
        for (std::string part = readSome(in, pieceBytes); !part.empty(); part = readSome(in, pieceBytes)) {
            answer.body += part;
            if (answer.body.size() > maxBookingAnswerBytes) {
                return answer;
            }
        }
        if (response.hasContentLength() && static_cast<std::uint64_t>(response.getContentLength64()) != answer.body.size()) {
            return answer;
        }
        answer.status = response.getStatus();
        answer.contentType = response.getContentType() == HTTPResponse::UNKNOWN_CONTENT_TYPE ? "" : response.getContentType();
        answer.state = run_state::ran;
    } catch (const Poco::Exception &) {
        answer.state = run_state::unknown;
    }
    return answer;
}

void upstream_caller::cancel(request_id request)
{
    try {
        const std::unique_ptr<client_session> session = m_pool.take(m_options.address, m_options.connectTimeout, true);
        HTTPRequest call(HTTPRequest::HTTP_DELETE, "/v1/requests/" + toHex(request.value()), HTTPRequest::HTTP_1_1);
        session->sendRequest(call);
        HTTPResponse response;
        session->receiveResponse(response);
    } catch (const Poco::Exception &) {
        return; // the closed connection tells the engine the same
    }
}

std::optional<upstream_load> upstream_caller::readLoad()
{
    try {
        std::unique_ptr<client_session> session = m_pool.take(m_options.address, m_options.connectTimeout);
        HTTPRequest call(HTTPRequest::HTTP_GET, "/load", HTTPRequest::HTTP_1_1);
        session->sendRequest(call);
        HTTPResponse response;
        std::istream &in = session->receiveResponse(response);
        std::string text;
        for (std::string part = readSome(in, pieceBytes); !part.empty(); part = readSome(in, pieceBytes)) {
            text += part;
        }
        const json load = json::parse(text);
        m_pool.give(m_options.address, std::move(session));
        return upstream_load {load.value("incarnation", std::uint64_t {0}), load.value("running", 0U)};
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace nutmegtally
