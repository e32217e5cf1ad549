// One attempt at the agent: the answer of the upstream between the connection that brings it and the connection that
// sends it to the router. The buffer is bounded, and keeps what was sent as far as the bound allows, so that a router
// can resume over a new connection. Used in the event loop only.
#pragma once

#include "daemon/daemon_records.h"

#include <nutmegtally/time.h>
#include <nutmegtally/work.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace nutmegtally
{

/// One data record's content.
struct stream_piece {
    std::string text;
    std::string event; // see stream_record::event
};

class agent_stream
{
public:
    enum class next_result : std::uint8_t {
        record, // of any kind but keepalive
        idle, // nothing to send now
        replaced, // another connection sends this stream now
        count
    };

    agent_stream(work_header header, std::string body, std::size_t bufferBytes);

    const work_header &header() const
    {
        return m_header;
    }

    const std::string &body() const
    {
        return m_body;
    }

    // For who reads the upstream.

    /// Head of the answer. Later calls change nothing.
    void setHead(stream_record head);
    void append(stream_piece piece);

    /// No more should be read until the room handler is called.
    bool isFull() const
    {
        return m_unsentBytes >= m_bufferBytes;
    }

    void finish(std::uint32_t promptTokens, std::uint32_t cachedTokens);

    /// Ends the stream with a refusal. Ignored after the end.
    void refuse(error_code code, run_state state, duration retryAfter, upstream_id owner = {});

    /// Characters of the answer, including those before the resume offset.
    std::uint64_t characters() const
    {
        return m_characters;
    }

    /// @param room Called when a full buffer has room again.
    /// @param cancelled Called once by cancel().
    void setReaderCallbacks(std::function<void()> spaceAvailable, std::function<void()> cancelled);

    /// @return True for the first call, which has to cancel at the upstream if work was started there.
    bool cancel();

    bool isCancelled() const
    {
        return m_cancelled;
    }

    /// Marks that the upstream may have the request, so that a cancellation must reach it.
    void markStarted()
    {
        m_started = true;
    }

    bool wasStarted() const
    {
        return m_started;
    }

    // For connections of routers.

    /// Makes the caller the only sender, from record @p seq on.
    /// @param changed Called when there may be something new for next().
    /// @return Its generation, or 0 if the buffer does not hold that record any more.
    std::uint64_t attach(std::uint64_t seq, std::function<void()> recordAvailable);

    /// @param generation From attach().
    next_result next(std::uint64_t generation, stream_record &record);
    void detach(std::uint64_t generation, time_point now);

    /// True if no connection has sent the stream since @p time.
    bool isDetachedSince(time_point time) const
    {
        return !m_recordAvailable && m_detachedAt <= time;
    }

    bool isEnded() const
    {
        return m_ended;
    }

    /// True if it has ended with the whole answer.
    bool isComplete() const
    {
        return m_ended && m_lastRecord.kind == record_kind::end;
    }

private:
    void notify();
    void trim();

    work_header m_header;
    std::string m_body;
    std::size_t m_bufferBytes;
    std::deque<stream_piece> m_pieces; // m_firstSeq is the number of the first one
    std::uint64_t m_firstSeq = 0;
    std::uint64_t m_nextSeq = 0; // the next one to send; m_firstSeq <= m_nextSeq <= m_firstSeq + m_pieces.size()
    std::size_t m_bufferedBytes = 0; // of m_pieces
    std::size_t m_unsentBytes = 0; // of the pieces from m_nextSeq on
    std::uint64_t m_characters = 0;
    stream_record m_head;
    stream_record m_lastRecord; // end or refused
    bool m_hasHead = false;
    bool m_headSent = false; // by the attached connection
    bool m_ended = false;
    bool m_cancelled = false;
    bool m_started = false;
    std::function<void()> m_spaceAvailable;
    std::function<void()> m_cancelHandler;
    std::function<void()> m_recordAvailable; // of the attached connection; empty if there is none
    std::uint64_t m_generation = 0; // of the attached connection
    time_point m_detachedAt;
};

} // namespace nutmegtally
