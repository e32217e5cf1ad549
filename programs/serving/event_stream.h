// Splits a relayed stream of server-sent events into complete events, decides whether a stream that ended is whole, and records
// the id of the last event, so that another upstream can resume the stream after it.
#pragma once

#include "serving/serving_limits.h"

#include <nutmegtally/answer_framing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

class event_stream
{
public:
    /// Adds bytes of the stream.
    /// @return Events that are now complete, without those whose id is not above lastEventId().
    std::string feed(std::string_view bytes);

    /// Adds bytes of a stream that is relayed byte by byte: no event is held back, filtered, or recorded as the last one.
    void observe(std::string_view bytes);

    /// Number of bytes after the last complete event.
    std::uint64_t unfinishedBytes() const
    {
        return m_unfinishedBytes;
    }

    /// Number of complete events of this attempt. Comments alone are no event.
    std::uint64_t events() const
    {
        return m_events;
    }

    /// @return False if the stream was broken off, now that its upstream has ended it: within an event, or without any event if
    /// nothing but the end of the connection says that the stream is over.
    bool isWhole(answer_framing framing) const
    {
        return m_unfinishedBytes == 0 && (m_events > 0 || framing != answer_framing::connection);
    }

    /// The unfinished event exceeds serving_limits::maxEventBytes: the input is not a valid event stream.
    bool isEventTooLong() const
    {
        return m_unfinishedBytes > serving_limits::maxEventBytes;
    }

    /// Starts the stream of another attempt, which begins with a complete event. Keeps lastEventId().
    void startAttempt();

    /// Id of the last complete event.
    const std::optional<std::uint64_t> &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    /// Scans up to the next end of an event: an empty line, where lines end with LF or CR LF.
    /// @return Number of bytes up to and including that end; nothing if all bytes were scanned without one.
    std::optional<std::size_t> scan(std::string_view bytes);

    std::string m_partial; // bytes after the last complete event, as given to feed()
    std::uint64_t m_unfinishedBytes = 0;
    bool m_isLineEmpty = true; // no byte of a line was scanned since the last end of a line
    bool m_hasField = false; // in the unfinished event; comments are no fields
    std::uint64_t m_events = 0; // as events()
    std::optional<std::uint64_t> m_lastEventId; // never decreases
};

} // namespace nutmegtally
