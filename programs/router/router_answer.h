// Answer to one caller: server-sent events for a streamed chat, a whole body otherwise.
#pragma once

#include "daemon/daemon_http.h"
#include "daemon/daemon_records.h"

#include <nutmegtally/errors.h>

#include <string>

namespace nutmegtally
{

class caller_answer
{
public:
    /// @param bufferBytes Part of a whole answer that is held back until its check.
    caller_answer(http_exchange::pointer exchange, bool stream, std::string request, std::size_t bufferBytes);

    /// Routing token for the answer's headers. Without effect once the answer has started.
    void setRoutingToken(const std::string &token);

    /// Forgets what an attempt brought. Only valid before the answer has started.
    void reset();
    void setHead(const stream_record &record);
    void addData(const stream_record &record);

    /// The answer is complete and checked.
    void finish();

    /// Ends the answer with an error, in the form that fits how far it has come.
    void fail(const error &fault);

    /// True once a byte went to the caller.
    bool hasStarted() const
    {
        return m_exchange->isStarted();
    }

    /// Bytes that the caller has not taken yet.
    std::size_t pendingOutputBytes() const
    {
        return m_exchange->pendingOutputBytes();
    }

private:
    void sendEvent(const stream_record &record);
    void startEventStream();

    http_exchange::pointer m_exchange;
    bool m_stream;
    std::string m_request;
    std::size_t m_bufferBytes;
    stream_record m_head;
    bool m_isEventStream = false; // the head belongs to a streamed chat
    std::string m_chunkPrefix; // of a chunk that holds only text
    std::string m_body; // held back part of a whole answer
    bool m_isFirstChunk = true;
};

} // namespace nutmegtally
