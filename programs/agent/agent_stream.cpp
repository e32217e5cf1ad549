#include "agent/agent_stream.h"

#include "daemon/daemon_clock.h"

#include <Poco/Exception.h>

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

void agent_stream::setHead(stream_record head)
{
    const std::lock_guard lock(m_mutex);
    if (m_hasHead) {
        return;
    }
    m_head = std::move(head);
    m_head.kind = record_kind::head;
    m_hasHead = true;
    m_changed.notify_all();
}

bool agent_stream::append(stream_piece piece)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_cancelled || m_unsentBytes < m_bufferBytes; });
    if (m_cancelled) {
        return false;
    }
    m_characters += countCharacters(piece.text);
    m_heldBytes += sizeOf(piece);
    m_unsentBytes += sizeOf(piece);
    m_pieces.push_back(std::move(piece));
    trim();
    m_changed.notify_all();
    return true;
}

void agent_stream::trim()
{
    while (m_heldBytes > m_bufferBytes && m_firstSeq < m_nextSeq) {
        m_heldBytes -= sizeOf(m_pieces.front());
        m_pieces.pop_front();
        ++m_firstSeq;
    }
}

void agent_stream::finish(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
        return;
    }
    m_last.kind = record_kind::end;
    m_last.promptTokens = promptTokens;
    m_last.cachedTokens = cachedTokens;
    m_last.seq = m_firstSeq + m_pieces.size();
    m_ended = true;
    m_changed.notify_all();
}

void agent_stream::refuse(error_code code, run_state state, duration retryAfter, upstream_id owner)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
        return;
    }
    m_last.kind = record_kind::refused;
    m_last.code = code;
    m_last.state = state;
    m_last.retryAfter = retryAfter;
    m_last.owner = owner;
    m_ended = true;
    m_changed.notify_all();
}

std::uint64_t agent_stream::characters() const
{
    const std::lock_guard lock(m_mutex);
    return m_characters;
}

bool agent_stream::setSession(client_session *session)
{
    const std::lock_guard lock(m_mutex);
    m_session = session;
    return !m_cancelled;
}

bool agent_stream::cancel()
{
    const std::lock_guard lock(m_mutex);
    if (m_cancelled) {
        return false;
    }
    m_cancelled = true;
    if (m_session != nullptr) {
        try {
            m_session->socket().shutdown();
        } catch (const Poco::Exception &) {
            m_session = nullptr; // the connection is closed already
        }
    }
    m_changed.notify_all();
    return true;
}

bool agent_stream::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

void agent_stream::markStarted()
{
    const std::lock_guard lock(m_mutex);
    m_started = true;
}

bool agent_stream::wasStarted() const
{
    const std::lock_guard lock(m_mutex);
    return m_started;
}

std::uint64_t agent_stream::attach(std::uint64_t seq)
{
    const std::lock_guard lock(m_mutex);
    if (seq < m_firstSeq || seq > m_firstSeq + m_pieces.size()) {
        return 0;
    }
    m_nextSeq = seq;
    m_unsentBytes = 0;
    for (std::size_t i = static_cast<std::size_t>(seq - m_firstSeq); i < m_pieces.size(); ++i) {
        m_unsentBytes += sizeOf(m_pieces[i]);
    }
    m_headSent = false;
    m_attached = true;
    m_changed.notify_all();
    return ++m_generation;
}

agent_stream::next_kind agent_stream::next(std::uint64_t generation, duration wait, stream_record &record)
{
    std::unique_lock lock(m_mutex);
    const auto ready = [&] {
        const bool hasPiece = m_nextSeq < m_firstSeq + m_pieces.size();
        return m_generation != generation || m_ended || hasPiece || (m_hasHead && !m_headSent);
    };
    if (!m_changed.wait_for(lock, wait, ready)) {
        return next_kind::idle;
    }
    if (m_generation != generation) {
        return next_kind::replaced;
    }
    return takeNext(record) ? next_kind::record : next_kind::idle;
}

bool agent_stream::takeNext(stream_record &record)
{
    if (m_hasHead && !m_headSent) {
        record = m_head;
        m_headSent = true;
        return true;
    }
    const auto index = static_cast<std::size_t>(m_nextSeq - m_firstSeq);
    if (index < m_pieces.size()) {
        const stream_piece &piece = m_pieces[index];
        record = stream_record();
        record.kind = record_kind::data;
        record.seq = m_nextSeq++;
        record.data = piece.text;
        record.event = piece.event;
        m_unsentBytes -= sizeOf(piece);
        trim();
        m_changed.notify_all();
        return true;
    }
    if (!m_ended) {
        return false;
    }
    record = m_last;
    return true;
}

void agent_stream::detach(std::uint64_t generation, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_generation == generation) {
        m_attached = false;
        m_detachedAt = now;
    }
}

bool agent_stream::isDetachedSince(time_point time) const
{
    const std::lock_guard lock(m_mutex);
    return !m_attached && m_detachedAt <= time;
}

bool agent_stream::isEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended;
}

bool agent_stream::isComplete() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended && m_last.kind == record_kind::end;
}

} // namespace nutmegtally
