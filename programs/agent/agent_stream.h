// One attempt at the agent: buffers the answer between the connection to the upstream and the connection to the router.
// The buffer is bounded. It keeps records that were sent as long as there is space, so that a router can resume over a new
// connection. Used in the event loop only.
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

/// Content of one data record.
struct stream_piece {
    std::string text;
    std::string event; // see stream_record::event
};

class agent_stream
{
public:
    enum class next_result : std::uint8_t {
        record, // a record of any kind except keepalive
        idle, // nothing to send now
        replaced, // another connection has taken over this stream
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

    // Used by the reader of the upstream's answer.

    /// Sets the head of the answer. Only the first call has an effect.
    void setHead(stream_record head);
    void append(stream_piece piece);

    /// True if reading from the upstream must pause until the spaceAvailable callback.
    bool isFull() const
    {
        return m_unsentBytes >= m_bufferBytes;
    }

    void finish(std::uint32_t promptTokens, std::uint32_t cachedTokens);

    /// Ends the stream with a refusal. Ignored after the end.
    void refuse(error_code code, run_state state, duration retryAfter, upstream_id owner = {});

    /// Number of characters of the answer, including those before the resume offset.
    std::uint64_t characters() const
    {
        return m_characters;
    }

    /// @param spaceAvailable Called when a full buffer has space again.
    /// @param cancelled Called once by cancel().
    void setReaderCallbacks(std::function<void()> spaceAvailable, std::function<void()> cancelled);

    /// @return True for the first call; its caller must then cancel work that was started at the upstream.
    bool cancel();

    bool isCancelled() const
    {
        return m_cancelled;
    }

    /// Marks that the upstream may have received the request, so that a cancellation must be sent to it.
    void markStarted()
    {
        m_started = true;
    }

    bool wasStarted() const
    {
        return m_started;
    }

    // Used by connections to routers.

    /// Makes the caller the only sender, starting at record @p seq.
    /// @param recordAvailable Called when next() may have a new record.
    /// @return Generation to pass to next() and detach(), or 0 if record @p seq is not in the buffer.
    std::uint64_t attach(std::uint64_t seq, std::function<void()> recordAvailable);

    /// @param generation Returned by attach().
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

    /// True if the stream ended with the complete answer.
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
    std::deque<stream_piece> m_pieces; // the first one has sequence number m_firstSeq
    std::uint64_t m_firstSeq = 0;
    std::uint64_t m_nextSeq = 0; // next piece to send; m_firstSeq <= m_nextSeq <= m_firstSeq + m_pieces.size()
    std::size_t m_bufferedBytes = 0; // total size of m_pieces
    std::size_t m_unsentBytes = 0; // size of the pieces from m_nextSeq on
    std::uint64_t m_characters = 0;
    stream_record m_head;
    stream_record m_lastRecord; // of kind end or refused; valid once m_ended
    bool m_hasHead = false;
    bool m_headSent = false; // over the attached connection
    bool m_ended = false;
    bool m_cancelled = false;
    bool m_started = false;
    std::function<void()> m_spaceAvailable;
    std::function<void()> m_cancelHandler;
    std::function<void()> m_recordAvailable; // of the attached connection; empty if none is attached
    std::uint64_t m_generation = 0; // of the attached connection
    time_point m_detachedAt;
};

} // namespace nutmegtally
