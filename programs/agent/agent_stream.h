// One attempt at the agent: the answer of the upstream between the thread that reads it and the connection that sends
// it to the router. The buffer is bounded, and keeps what was sent as far as the bound allows, so that a router can
// resume over a new connection.
#pragma once

#include "daemon/daemon_http.h"
#include "daemon/daemon_records.h"

#include <nutmegtally/time.h>
#include <nutmegtally/work.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
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
    enum class next_kind : std::uint8_t {
        record, // of any kind but keepalive
        idle, // nothing within the time
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

    // For the thread that reads the upstream.

    /// Head of the answer. Later calls change nothing.
    void setHead(stream_record head);

    /// Waits while the buffer is full.
    /// @return False if the work was cancelled.
    bool append(stream_piece piece);
    void finish(std::uint32_t promptTokens, std::uint32_t cachedTokens);

    /// Ends the stream with a refusal. Ignored after the end.
    void refuse(error_code code, run_state state, duration retryAfter, upstream_id owner = {});

    /// Characters of the answer, including those before the resume offset.
    std::uint64_t characters() const;

    /// Registers the upstream connection so that cancel() can interrupt a read.
    /// @return False if the work was cancelled.
    bool setSession(client_session *session);

    /// @return True for the first call, which has to cancel at the upstream if work was started there.
    bool cancel();
    bool isCancelled() const;

    /// Marks that the upstream has the request, so that a cancellation must reach it.
    void markStarted();
    bool wasStarted() const;

    // For connections of routers.

    /// Makes the caller the only sender, from record @p seq on.
    /// @return Its generation, or 0 if the buffer does not hold that record any more.
    std::uint64_t attach(std::uint64_t seq);

    /// @param generation From attach().
    next_kind next(std::uint64_t generation, duration wait, stream_record &record);
    void detach(std::uint64_t generation, time_point now);

    /// True if no connection has sent the stream since @p time.
    bool isDetachedSince(time_point time) const;

    bool isEnded() const;

    /// True if it has ended with the whole answer.
    bool isComplete() const;

private:
    bool takeNext(stream_record &record);
    void trim();

    work_header m_header;
    std::string m_body;
    std::size_t m_bufferBytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<stream_piece> m_pieces; // m_firstSeq is the number of the first one
    std::uint64_t m_firstSeq = 0;
    std::uint64_t m_nextSeq = 0; // the next one to send; m_firstSeq <= m_nextSeq <= m_firstSeq + m_pieces.size()
    std::size_t m_heldBytes = 0; // of m_pieces
    std::size_t m_unsentBytes = 0; // of the pieces from m_nextSeq on; the bound applies to it at append()
    std::uint64_t m_characters = 0;
    stream_record m_head;
    stream_record m_last; // end or refused
    bool m_hasHead = false;
    bool m_headSent = false; // by the attached connection
    bool m_ended = false;
    bool m_cancelled = false;
    bool m_started = false;
    client_session *m_session = nullptr;
    std::uint64_t m_generation = 0; // of the attached connection
    bool m_attached = false;
    time_point m_detachedAt;
};

} // namespace nutmegtally
