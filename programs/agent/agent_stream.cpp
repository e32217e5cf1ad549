#include "agent/agent_stream.h"

#include "daemon/daemon_clock.h"

#include <utility>

namespace nutmegtally
{

namespace
{

std::size_t sizeOf(const stream_piece &piece)
{
    return piece.text.size() + piece.event.size();
}

} // namespace

agent_stream::agent_stream(work_header header, std::string body, std::size_t bufferBytes)
    : m_header(std::move(header))
    , m_body(std::move(body))
    , m_bufferBytes(bufferBytes)
    , m_firstSeq(m_header.resumeSeq)
    , m_nextSeq(m_header.resumeSeq)
    , m_characters(m_header.offset)
    , m_detachedAt(steadyNow())
{
}

void agent_stream::notify()
{
    // Calls a copy, because the callback may detach the connection, which destroys the stored callback.
    if (const auto recordAvailable = m_recordAvailable) {
        recordAvailable();
    }
}

void agent_stream::setHead(stream_record head)
{
    if (m_hasHead) {
        return;
    }
    m_head = std::move(head);
    m_head.kind = record_kind::head;
    m_hasHead = true;
    notify();
}

void agent_stream::append(stream_piece piece)
{
    if (m_ended) {
        return;
    }
    m_characters += countCharacters(piece.text);
    m_bufferedBytes += sizeOf(piece);
    m_unsentBytes += sizeOf(piece);
    m_pieces.push_back(std::move(piece));
    trim();
    notify();
}

void agent_stream::trim()
{
    while (m_bufferedBytes > m_bufferBytes && m_firstSeq < m_nextSeq) {
        m_bufferedBytes -= sizeOf(m_pieces.front());
        m_pieces.pop_front();
        ++m_firstSeq;
    }
}

void agent_stream::finish(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    if (m_ended) {
        return;
    }
    m_lastRecord.kind = record_kind::end;
    m_lastRecord.promptTokens = promptTokens;
    m_lastRecord.cachedTokens = cachedTokens;
    m_lastRecord.seq = m_firstSeq + m_pieces.size();
    m_ended = true;
    notify();
}

void agent_stream::refuse(error_code code, run_state state, duration retryAfter, upstream_id owner)
{
    if (m_ended) {
        return;
    }
    m_lastRecord.kind = record_kind::refused;
    m_lastRecord.code = code;
    m_lastRecord.state = state;
    m_lastRecord.retryAfter = retryAfter;
    m_lastRecord.owner = owner;
    m_ended = true;
    notify();
}

void agent_stream::setReaderCallbacks(std::function<void()> spaceAvailable, std::function<void()> cancelled)
{
    m_spaceAvailable = std::move(spaceAvailable);
    m_cancelHandler = std::move(cancelled);
}

bool agent_stream::cancel()
{
    if (std::exchange(m_cancelled, true)) {
        return false;
    }
    if (const auto cancelled = std::exchange(m_cancelHandler, nullptr)) {
        cancelled();
    }
    return true;
}

std::uint64_t agent_stream::attach(std::uint64_t seq, std::function<void()> recordAvailable)
{
    if (seq < m_firstSeq || seq > m_firstSeq + m_pieces.size()) {
        return 0;
    }
    m_nextSeq = seq;
    m_unsentBytes = 0;
    for (std::size_t i = static_cast<std::size_t>(seq - m_firstSeq); i < m_pieces.size(); ++i) {
        m_unsentBytes += sizeOf(m_pieces[i]);
    }
    m_headSent = false;
    ++m_generation;
    // Wakes the previous connection: its call to next() returns replaced.
    if (const auto before = std::exchange(m_recordAvailable, std::move(recordAvailable))) {
        before();
    }
    return m_generation;
}

agent_stream::next_result agent_stream::next(std::uint64_t generation, stream_record &record)
{
    if (m_generation != generation) {
        return next_result::replaced;
    }
    if (m_hasHead && !m_headSent) {
        record = m_head;
        m_headSent = true;
        return next_result::record;
    }
    const auto index = static_cast<std::size_t>(m_nextSeq - m_firstSeq);
    if (index < m_pieces.size()) {
        const stream_piece &piece = m_pieces[index];
        record = stream_record();
        record.kind = record_kind::data;
        record.seq = m_nextSeq++;
        record.data = piece.text;
        record.event = piece.event;
        const bool wasFull = isFull();
        m_unsentBytes -= sizeOf(piece);
        trim();
        if (const auto spaceAvailable = m_spaceAvailable; spaceAvailable && wasFull && !isFull()) {
            spaceAvailable();
        }
        return next_result::record;
    }
    if (!m_ended) {
        return next_result::idle;
    }
    record = m_lastRecord;
    return next_result::record;
}

void agent_stream::detach(std::uint64_t generation, time_point now)
{
    if (m_generation == generation) {
        m_recordAvailable = nullptr;
        m_detachedAt = now;
    }
}

} // namespace nutmegtally
