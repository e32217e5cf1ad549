// Answer to one caller: server-sent events for a streamed chat, a plain body otherwise.
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
    /// @param bufferBytes A plain body up to this size is sent only after the checksum was verified; a longer one is streamed.
    caller_answer(http_exchange::pointer exchange, bool stream, std::string request, std::size_t bufferBytes);

    /// Sets the routing token in the answer's headers. Has no effect once the answer has started.
    void setRoutingToken(const std::string &token);

    /// Discards the data of the previous attempt. Only valid before the answer has started.
    void reset();
    void setHead(const stream_record &record);
    void addData(const stream_record &record);

    /// Ends the answer after all data was received and verified.
    void finish();

    /// Ends the answer with an error: an error reply if it has not started, an error event in an event stream, and an aborted
    /// connection otherwise.
    void fail(const error &fault);

    /// True once the head of the answer was sent to the caller.
    bool hasStarted() const
    {
        return m_exchange->isStarted();
    }

    /// Bytes of output that are not yet written to the caller's connection.
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
    bool m_isEventStream = false; // the answer is sent as server-sent events
    std::string m_chunkPrefix; // start of each event that carries only text
    std::string m_body; // buffered part of a plain body
    bool m_isFirstChunk = true;
};

} // namespace nutmegtally
