#include "router/router_answer.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace nutmegtally
{

namespace
{

using json = nlohmann::json;

constexpr const char *eventStream = "text/event-stream";

} // namespace

caller_answer::caller_answer(http_exchange::pointer exchange, bool stream, std::string request, std::size_t bufferBytes)
    : m_exchange(std::move(exchange))
    , m_stream(stream)
    , m_request(std::move(request))
    , m_bufferBytes(bufferBytes)
{
    m_exchange->setHeader("X-Nutmegtally-Request", m_request);
}

void caller_answer::setRoutingToken(const std::string &token)
{
    if (!token.empty() && !hasStarted()) {
        m_exchange->setHeader("X-Nutmegtally-Token", token);
    }
}

void caller_answer::reset()
{
    m_body.clear();
    m_head = stream_record();
}

void caller_answer::setHead(const stream_record &record)
{
    if (hasStarted()) {
        return; // the head was sent before the stream was resumed
    }
    m_head = record;
    m_isEventStream = m_stream && record.status == 200 && record.contentType == eventStream;
    if (!record.outcome.empty()) {
        m_exchange->setHeader("X-Nutmegtally-Outcome", record.outcome);
    }
    if (m_isEventStream) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const json common = {{"id", record.answerId},
                             {"model", record.model},
                             {"object", "chat.completion.chunk"},
                             {"created", std::chrono::duration_cast<std::chrono::seconds>(now).count()}};
        m_chunkPrefix = common.dump();
        m_chunkPrefix.back() = ',';
        m_chunkPrefix.insert(0, "data: ");
        m_chunkPrefix += R"("choices":[{"index":0,"finish_reason":null,"delta":{)";
    }
}

void caller_answer::addData(const stream_record &record)
{
    if (m_isEventStream) {
        sendEvent(record);
        return;
    }
    if (hasStarted()) {
        m_exchange->write(record.data);
        return;
    }
    m_body += record.data;
    if (m_body.size() > m_bufferBytes) {
        m_exchange->startStream(m_head.status, m_head.contentType);
        m_exchange->write(m_body);
        m_body = std::string();
    }
}

void caller_answer::startEventStream()
{
    if (!hasStarted()) {
        m_exchange->setHeader("Cache-Control", "no-store");
        m_exchange->startStream(200, eventStream);
    }
}

void caller_answer::sendEvent(const stream_record &record)
{
    startEventStream();
    if (!record.event.empty()) {
        m_exchange->write("data: " + record.event + "\n\n");
        return;
    }
    std::string event = m_chunkPrefix;
    if (m_isFirstChunk) {
        event += R"("role":"assistant",)";
        m_isFirstChunk = false;
    }
    event += R"("content":)";
    event += json(record.data).dump(-1, ' ', false, json::error_handler_t::replace);
    event += "}}]}\n\n";
    m_exchange->write(event);
}

void caller_answer::finish()
{
    if (m_isEventStream) {
        startEventStream();
        m_exchange->write("data: [DONE]\n\n");
    }
    if (hasStarted()) {
        m_exchange->endStream();
    } else {
        m_exchange->reply(m_head.status, m_head.contentType, m_body);
    }
}

void caller_answer::fail(const error &fault)
{
    if (!hasStarted()) {
        replyError(*m_exchange, fault, m_request);
        return;
    }
    if (m_isEventStream) {
        m_exchange->write("event: error\ndata: " + errorBody(fault, m_request) + "\n\n");
        m_exchange->endStream();
        return;
    }
    m_exchange->abort();
}

} // namespace nutmegtally
