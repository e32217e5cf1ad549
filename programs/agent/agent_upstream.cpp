#include "agent/agent_upstream.h"

#include "daemon/daemon_clock.h"
#include "daemon/daemon_log.h"
#include "serving/line_buffer.h"
#include "serving/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t maxBookingAnswerBytes = std::size_t {4} * 1024 * 1024; // a booking with a longer answer counts as unknown
constexpr duration engineRetryAfter = std::chrono::seconds(1);
constexpr duration minUnstreamedTimeout = std::chrono::seconds(1); // lower bound when the request's deadline is near
constexpr const char *eventStreamType = "text/event-stream";

/// True for a chunk that carries more than text, so that it must be forwarded unchanged.
bool mustForwardVerbatim(const json &chunk)
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

/// True for the status of an overloaded or failing engine; another engine may succeed.
bool isEngineFailure(int status)
{
    return status >= 500 || status == 429;
}

std::string contentTypeOf(const http_head &head)
{
    const std::string *type = head.find("content-type");
    return type == nullptr ? std::string() : *type;
}

bool hasBody(const agent_stream &stream)
{
    return !stream.body().empty() || stream.header().method == "POST";
}

/// Formats the request for the upstream.
/// @param more Header fields in addition to Host, X-Request-Id and Content-Length.
std::string buildRequest(const agent_stream &stream, const std::string &address, std::vector<header_field> more)
{
    const work_header &header = stream.header();
    std::vector<header_field> fields {{"Host", address}, {"X-Request-Id", toHex(header.attempt.request.value())}};
    std::move(more.begin(), more.end(), std::back_inserter(fields));
    if (hasBody(stream)) {
        fields.push_back({"Content-Length", std::to_string(stream.body().size())});
    }
    return formatRequestHead(header.method, header.path, fields) + stream.body();
}

std::vector<header_field> workFields(const agent_stream &stream, unsigned priority)
{
    const work_header &header = stream.header();
    std::vector<header_field> fields;
    if (header.info.kind == work_kind::chat) {
        fields.push_back({"X-Priority", std::to_string(priority)});
        if (header.info.chat.isValid()) {
            // The engine identifies chats by this value in its cache events.
            fields.push_back({"X-Nutmegtally-Chat", toHex(header.info.chat.value())});
        }
        fields.push_back({"Content-Type", "application/json"});
    } else if (!header.contentType.empty()) {
        fields.push_back({"Content-Type", header.contentType});
    }
    if (header.stream && stream.characters() > 0) {
        fields.push_back({"X-Resume-Offset", std::to_string(stream.characters())});
    }
    if (!header.info.idempotencyKey.empty()) {
        fields.push_back({"Idempotency-Key", header.info.idempotencyKey});
    }
    return fields;
}

/// One call to the upstream over one connection, with a timeout that the owner restarts on progress.
class upstream_call
{
public:
    upstream_call(boost::asio::io_context &context, std::string address, duration connectTimeout)
        : m_context(context)
        , m_timer(context)
        , m_address(std::move(address))
        , m_connectTimeout(connectTimeout)
    {
    }

    /// @param reused Open connection, or null to open one.
    /// @return False if the upstream's address cannot be used.
    bool start(upstream_connection::pointer reused, std::string request, bool isHead, upstream_connection::handlers handlers)
    {
        isPaused = false;
        connection = std::move(reused);
        if (connection) {
            connection->send(std::move(request), isHead, std::move(handlers));
            return true;
        }
        const auto peer = parseEndpoint(m_address);
        if (!peer) {
            return false;
        }
        connection = std::make_shared<upstream_connection>(m_context);
        connection->open(*peer, m_connectTimeout, std::move(request), isHead, std::move(handlers));
        return true;
    }

    /// Calls owner->timedOut() unless called again within @p limit. Does not time out while reading is paused.
    template<typename Owner>
    void restartTimeout(const std::shared_ptr<Owner> &owner, duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([owner, this, limit](const boost::system::error_code &stopped) {
            if (stopped) {
                return;
            }
            if (isPaused) {
                restartTimeout(owner, limit);
                return;
            }
            owner->timedOut();
        });
    }

    void pauseReadingIf(bool isFull)
    {
        if (isFull && connection) {
            isPaused = true;
            connection->setReadingPaused(true);
        }
    }

    void resumeReading()
    {
        if (isPaused && connection) {
            isPaused = false;
            connection->setReadingPaused(false);
        }
    }

    /// Stops the timeout and gives up the connection without closing it.
    upstream_connection::pointer release()
    {
        m_timer.cancel();
        return std::exchange(connection, nullptr);
    }

    void close()
    {
        if (const auto open = release()) {
            open->close();
        }
    }

    /// For a complete answer: stops the timeout and puts a reusable connection back into the pool.
    void returnToPool(connection_pool &pool, bool reusable)
    {
        const upstream_connection::pointer used = release();
        if (reusable) {
            pool.release(m_address, used, steadyNow());
        }
    }

    upstream_connection::pointer connection;
    bool isPaused = false; // reading is paused because the stream's buffer is full

private:
    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    duration m_connectTimeout;
};

} // namespace

upstream_caller::upstream_caller(boost::asio::io_context &context, upstream_options options)
    : m_shared(std::make_shared<shared_state>(context, std::move(options)))
    , m_client(context, steadyNow)
{
}

/// A streamed chat. Resumes over a new connection after a timeout or a lost connection.
class upstream_caller::streamed_chat_run : public std::enable_shared_from_this<streamed_chat_run>
{
public:
    streamed_chat_run(std::shared_ptr<shared_state> shared, stream_ptr stream, unsigned priority, std::function<void(bool)> token,
                      std::function<void(upstream_result)> done)
        : m_shared(std::move(shared))
        , m_stream(std::move(stream))
        , m_priority(priority)
        , m_token(std::move(token))
        , m_done(std::move(done))
        , m_call(m_shared->context, m_shared->options.address, m_shared->options.connectTimeout)
    {
    }

    void start()
    {
        m_stream->setReaderCallbacks([self = shared_from_this()] { self->m_call.resumeReading(); },
                                     [self = shared_from_this()] { self->cancelled(); });
        connect();
    }

    void timedOut()
    {
        m_call.close();
        if (m_isAnswerComplete) {
            finish(true); // the answer is complete; only the end of the HTTP body is missing
            return;
        }
        connectionLost();
    }

private:
    void connect()
    {
        m_lines.clear();
        m_status = 0;
        // Pooled connections to the same upstream often fail together, so a resume opens a new one.
        const bool isFirst = !std::exchange(m_isResume, true);
        const std::string &address = m_shared->options.address;
        upstream_connection::pointer reused = isFirst ? m_shared->pool.acquire(address, steadyNow()) : nullptr;
        m_mayHaveReachedUpstream = m_mayHaveReachedUpstream || reused;
        m_stream->markStarted();
        m_call.restartTimeout(shared_from_this(), m_shared->options.firstTokenTimeout);
        if (!m_call.start(std::move(reused), buildRequest(*m_stream, address, workFields(*m_stream, m_priority)), false, handlers())) {
            unreachable();
        }
    }

    upstream_connection::handlers handlers()
    {
        upstream_connection::handlers handlers;
        handlers.head = [self = shared_from_this()](const http_head &head) {
            self->headReceived(head);
            return true;
        };
        handlers.body = [self = shared_from_this()](std::string &&piece) { self->bodyReceived(std::move(piece)); };
        handlers.done = [self = shared_from_this()](bool reusable) { self->bodyEnded(reusable); };
        handlers.failed = [self = shared_from_this()](attempt_failure failure) {
            self->m_call.release();
            if (failure == attempt_failure::unreachable && !self->m_mayHaveReachedUpstream) {
                self->unreachable();
                return;
            }
            self->m_mayHaveReachedUpstream = true;
            if (self->m_isAnswerComplete) {
                self->finish(true);
            } else {
                self->connectionLost();
            }
        };
        return handlers;
    }

    void headReceived(const http_head &head)
    {
        m_mayHaveReachedUpstream = true;
        m_status = head.status;
        if (isEngineFailure(head.status)) {
            refuse(error_code::upstreamFailed);
        } else if (head.status != 200) {
            stream_record record;
            record.status = head.status;
            record.contentType = contentTypeOf(head);
            m_stream->setHead(std::move(record));
        }
    }

    void bodyReceived(std::string &&piece)
    {
        if (m_isFinished) {
            return;
        }
        if (m_status != 200) {
            m_call.restartTimeout(shared_from_this(), m_shared->options.firstTokenTimeout);
            m_stream->append({std::move(piece), {}});
            m_call.pauseReadingIf(m_stream->isFull());
            return;
        }
        m_lines.add(piece);
        const std::uint64_t before = m_progress;
        try {
            processLines();
        } catch (const std::exception &) {
            refuse(error_code::upstreamFailed); // not a valid chat answer
            return;
        }
        // Only tokens restart the timeout: a hung engine may keep sending SSE comment lines.
        if (m_progress != before) {
            m_call.restartTimeout(shared_from_this(), m_shared->options.interTokenTimeout);
        }
        if (m_doneReceived) {
            // Deferred so that the end of the body, which usually follows in the same bytes, is read first and the connection
            // can be reused.
            boost::asio::post(m_shared->context, [self = shared_from_this()] { self->finish(true); });
            return;
        }
        m_call.pauseReadingIf(m_stream->isFull());
    }

    void processLines()
    {
        while (const std::optional<std::string_view> line = m_doneReceived ? std::nullopt : m_lines.next()) {
            processLine(*line);
        }
        if (m_lines.rest().size() > m_shared->options.maxLineBytes) {
            throw error(error_code::upstreamFailed, "a line is too long", run_state::unknown);
        }
    }

    void processLine(std::string_view line)
    {
        static constexpr std::string_view prefix = "data:";
        if (line.substr(0, prefix.size()) != prefix) {
            return;
        }
        const std::size_t begin = line.find_first_not_of(' ', prefix.size());
        const std::size_t end = line.find_last_not_of("\r ");
        const std::string payload(begin == std::string_view::npos ? std::string_view() : line.substr(begin, end + 1 - begin));
        if (payload == "[DONE]") {
            m_doneReceived = true;
            m_isAnswerComplete = true;
            return;
        }
        const json chunk = json::parse(payload);
        if (chunk.contains("error")) {
            throw error(error_code::upstreamFailed, "the engine reported an error within its answer", run_state::unknown);
        }
        processChunk(chunk, payload);
    }

    void processChunk(const json &chunk, const std::string &payload)
    {
        const bool hasUsage = chunk.contains("usage") && chunk.at("usage").is_object();
        if (hasUsage) {
            m_usage = usageOf(chunk);
        }
        sendHead(chunk);
        const bool forwardVerbatim = mustForwardVerbatim(chunk);
        const bool usageOnly = hasUsage && chunk.value("choices", json::array()).empty();
        std::string text = textOf(chunk);
        if ((text.empty() && !forwardVerbatim) || (usageOnly && !m_stream->header().usage)) {
            return;
        }
        m_isAnswerComplete = m_isAnswerComplete
                             || (forwardVerbatim && !usageOnly && !chunk.at("choices").empty()
                                 && !chunk.at("choices").front().value("finish_reason", json()).is_null());
        if (!text.empty()) {
            m_token(++m_pieces == 1);
        }
        ++m_progress;
        m_stream->append({std::move(text), forwardVerbatim ? payload : std::string()});
    }

    void sendHead(const json &chunk)
    {
        if (std::exchange(m_headSent, true)) {
            return;
        }
        stream_record head;
        head.contentType = eventStreamType;
        head.answerId = chunk.value("id", std::string());
        head.model = chunk.value("model", std::string());
        m_stream->setHead(std::move(head));
    }

    void bodyEnded(bool reusable)
    {
        m_call.returnToPool(m_shared->pool, reusable);
        if (m_isFinished) {
            return;
        }
        if (m_status != 200 || m_isAnswerComplete) {
            finish(true);
        } else {
            connectionLost(); // the body ended before the answer was complete
        }
    }

    void connectionLost()
    {
        if (m_isFinished) {
            return;
        }
        if (m_pieces > m_piecesAtLastLoss) {
            m_piecesAtLastLoss = m_pieces;
            m_resumes = 0;
        }
        logEvent(log_event::streamSilent, "request=" + toHex(m_stream->header().attempt.request.value()) + " side=upstream");
        if (m_resumes >= m_shared->options.maxResumes) {
            refuse(m_piecesAtLastLoss > 0 ? error_code::streamLost : error_code::upstreamFailed);
            return;
        }
        ++m_resumes;
        connect();
    }

    void unreachable()
    {
        m_stream->refuse(error_code::upstreamFailed, run_state::notRun, engineRetryAfter);
        finish(false);
    }

    void refuse(error_code code)
    {
        m_call.close();
        m_stream->refuse(code, run_state::unknown, engineRetryAfter);
        finish(false);
    }

    void cancelled()
    {
        m_call.close();
        finish(true);
    }

    void finish(bool ok)
    {
        if (std::exchange(m_isFinished, true)) {
            return;
        }
        if (ok && !m_stream->isCancelled()) {
            m_stream->finish(m_usage.promptTokens, m_usage.cachedTokens);
        }
        m_stream->setReaderCallbacks(nullptr, nullptr);
        m_done({ok, m_pieces});
    }

    std::shared_ptr<shared_state> m_shared;
    stream_ptr m_stream;
    unsigned m_priority;
    std::function<void(bool isFirst)> m_token;
    std::function<void(upstream_result)> m_done;
    upstream_call m_call;
    int m_status = 0; // HTTP status on the current connection
    line_buffer m_lines; // body on the current connection
    token_usage m_usage;
    std::uint32_t m_pieces = 0;
    std::uint64_t m_progress = 0; // chunks that were forwarded
    std::uint32_t m_piecesAtLastLoss = 0; // m_pieces when a connection was last lost
    unsigned m_resumes = 0; // since the last new piece
    bool m_isResume = false;
    bool m_mayHaveReachedUpstream = false; // some bytes of the request may have been delivered
    bool m_headSent = false;
    bool m_doneReceived = false; // the [DONE] line was received
    bool m_isAnswerComplete = false; // a finish reason or the [DONE] line was received
    bool m_isFinished = false;
};

/// A chat without streaming, or a read of a plain service.
class upstream_caller::unstreamed_run : public std::enable_shared_from_this<unstreamed_run>
{
public:
    unstreamed_run(std::shared_ptr<shared_state> shared, stream_ptr stream, unsigned priority, std::function<void(upstream_result)> done)
        : m_shared(std::move(shared))
        , m_stream(std::move(stream))
        , m_priority(priority)
        , m_done(std::move(done))
        , m_call(m_shared->context, m_shared->options.address, m_shared->options.connectTimeout)
        , m_isChat(m_stream->header().info.kind == work_kind::chat)
        , m_idleTimeout(std::max<duration>(m_stream->header().info.deadline.time_since_epoch(), minUnstreamedTimeout))
    {
    }

    void start()
    {
        m_stream->setReaderCallbacks([self = shared_from_this()] { self->m_call.resumeReading(); },
                                     [self = shared_from_this()] {
                                         self->m_call.close();
                                         self->finish(true);
                                     });
        m_stream->markStarted();
        upstream_connection::handlers handlers;
        handlers.head = [self = shared_from_this()](const http_head &head) {
            self->headReceived(head);
            return true;
        };
        handlers.body = [self = shared_from_this()](std::string &&piece) { self->bodyReceived(std::move(piece)); };
        handlers.done = [self = shared_from_this()](bool reusable) { self->bodyEnded(reusable); };
        handlers.failed = [self = shared_from_this()](attempt_failure failure) {
            self->m_call.release();
            self->refuse(failure == attempt_failure::unreachable ? run_state::notRun : run_state::unknown);
        };
        const std::string &address = m_shared->options.address;
        m_call.restartTimeout(shared_from_this(), m_idleTimeout);
        if (!m_call.start(m_shared->pool.acquire(address, steadyNow()), buildRequest(*m_stream, address, workFields(*m_stream, m_priority)),
                          m_stream->header().method == "HEAD", std::move(handlers))) {
            refuse(run_state::notRun);
        }
    }

    void timedOut()
    {
        m_call.close();
        refuse(run_state::unknown);
    }

private:
    void headReceived(const http_head &head)
    {
        m_status = head.status;
        if (m_isChat && isEngineFailure(m_status)) {
            m_call.close();
            refuse(run_state::unknown);
            return;
        }
        stream_record record;
        record.status = head.status;
        record.contentType = contentTypeOf(head);
        m_stream->setHead(std::move(record));
    }

    void bodyReceived(std::string &&piece)
    {
        m_call.restartTimeout(shared_from_this(), m_idleTimeout);
        if (m_isChat && m_chatBody.size() <= m_shared->options.maxLineBytes) {
            m_chatBody += piece;
        }
        m_stream->append({std::move(piece), {}});
        m_call.pauseReadingIf(m_stream->isFull());
    }

    void bodyEnded(bool reusable)
    {
        m_call.returnToPool(m_shared->pool, reusable);
        // The body is not kept beyond the line limit, so the token counts of a longer answer are not read.
        token_usage usage;
        if (m_isChat && m_status == 200 && m_chatBody.size() <= m_shared->options.maxLineBytes) {
            const json answer = json::parse(m_chatBody, nullptr, false);
            if (answer.is_discarded()) {
                refuse(run_state::unknown);
                return;
            }
            usage = usageOf(answer);
        }
        m_stream->finish(usage.promptTokens, usage.cachedTokens);
        finish(true);
    }

    void refuse(run_state state)
    {
        m_stream->refuse(error_code::upstreamFailed, state, engineRetryAfter);
        finish(false);
    }

    void finish(bool ok)
    {
        if (std::exchange(m_isFinished, true)) {
            return;
        }
        m_stream->setReaderCallbacks(nullptr, nullptr);
        m_done({ok, 0});
    }

    std::shared_ptr<shared_state> m_shared;
    stream_ptr m_stream;
    unsigned m_priority;
    std::function<void(upstream_result)> m_done;
    upstream_call m_call;
    bool m_isChat;
    duration m_idleTimeout;
    int m_status = 0;
    std::string m_chatBody; // body of a chat, kept for its token counts
    bool m_isFinished = false;
};

class upstream_caller::booking_run : public std::enable_shared_from_this<booking_run>
{
public:
    booking_run(const std::shared_ptr<shared_state> &shared, std::function<void(service_answer)> done)
        : m_done(std::move(done))
        , m_call(shared->context, shared->options.address, shared->options.connectTimeout)
    {
    }

    void start(std::string request, duration limit)
    {
        upstream_connection::handlers handlers;
        handlers.head = [self = shared_from_this()](const http_head &head) {
            self->m_answer.status = head.status;
            self->m_answer.contentType = contentTypeOf(head);
            return true;
        };
        handlers.body = [self = shared_from_this()](std::string &&piece) {
            self->m_answer.body += piece;
            if (self->m_answer.body.size() > maxBookingAnswerBytes) {
                self->timedOut();
            }
        };
        handlers.done = [self = shared_from_this()](bool) { self->finish(run_state::ran); };
        handlers.failed = [self = shared_from_this()](attempt_failure failure) {
            self->finish(failure == attempt_failure::unreachable ? run_state::notRun : run_state::unknown);
        };
        m_call.restartTimeout(shared_from_this(), limit);
        if (!m_call.start(nullptr, std::move(request), false, std::move(handlers))) {
            finish(run_state::notRun);
        }
    }

    void timedOut()
    {
        finish(run_state::unknown);
    }

private:
    void finish(run_state state)
    {
        m_call.close();
        if (const auto done = std::exchange(m_done, nullptr)) {
            m_answer.state = state;
            done(std::move(m_answer));
        }
    }

    std::function<void(service_answer)> m_done; // empty once called
    upstream_call m_call;
    service_answer m_answer;
};

void upstream_caller::run(const stream_ptr &stream, unsigned priority, std::function<void(bool)> token,
                          std::function<void(upstream_result)> done)
{
    m_shared->pool.closeExpired(steadyNow());
    if (stream->header().stream) {
        std::make_shared<streamed_chat_run>(m_shared, stream, priority, std::move(token), std::move(done))->start();
    } else {
        std::make_shared<unstreamed_run>(m_shared, stream, priority, std::move(done))->start();
    }
}

void upstream_caller::sendBooking(const stream_ptr &stream, const std::string &key, std::uint64_t fencingToken, duration limit,
                                  std::function<void(service_answer)> done)
{
    std::vector<header_field> fields {{"Idempotency-Key", key}, {"X-Nutmegtally-Fencing", std::to_string(fencingToken)}};
    if (!stream->header().contentType.empty()) {
        fields.push_back({"Content-Type", stream->header().contentType});
    }
    std::make_shared<booking_run>(m_shared, std::move(done))
        ->start(buildRequest(*stream, m_shared->options.address, std::move(fields)),
                std::max<duration>(limit, std::chrono::milliseconds(1)));
}

void upstream_caller::cancel(request_id request)
{
    call_request call;
    call.address = m_shared->options.address;
    call.method = "DELETE";
    call.target = "/v1/requests/" + toHex(request.value());
    call.timeout = m_shared->options.connectTimeout;
    m_client.call(call, [request](const call_result &result) {
        if (result.status == 0) {
            logEvent(log_event::cancelFailed, "request=" + toHex(request.value()) + " side=upstream why=\"" + result.failure + "\"");
        }
    });
}

void upstream_caller::readLoad(std::function<void(std::optional<upstream_load>)> done)
{
    call_request call;
    call.address = m_shared->options.address;
    call.target = "/load";
    call.timeout = m_shared->options.connectTimeout;
    m_client.call(call, [done = std::move(done)](const call_result &result) {
        const json load = json::parse(result.body, nullptr, false);
        if (result.status != 200 || !load.is_object()) {
            done({});
            return;
        }
        done(upstream_load {load.value("incarnation", std::uint64_t {0}), load.value("running", 0U)});
    });
}

} // namespace nutmegtally
