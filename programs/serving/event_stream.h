// Splits a relayed stream of server-sent events into complete events and records the id of the last one, so that another
// upstream can resume the stream after it.
#pragma once

#include "serving/serving_limits.h"

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

    /// Adds bytes that are relayed as they are, events or not.
    void observe(std::string_view bytes);

    /// Number of bytes after the last complete event.
    std::uint64_t unfinishedBytes() const
    {
        return m_unfinishedBytes;
    }

    /// Bytes after the last complete event.
    const std::string &partialEvent() const
    {
        return m_partial;
    }

    /// The unfinished event exceeds serving_limits::maxEventBytes: the input is not a valid event stream.
    bool isEventTooLong() const
    {
        return m_partial.size() > serving_limits::maxEventBytes;
    }

    /// Discards an unfinished event. Called before another attempt, whose stream starts with a complete event.
    void discardPartialEvent()
    {
        m_partial.clear();
        m_unfinishedBytes = 0;
        m_isLineEmpty = true;
    }

    /// Id of the last complete event.
    const std::optional<std::uint64_t> &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    /// Scans up to the next end of an event: an empty line, where lines end with LF or CR LF.
    /// @return Number of bytes up to and including that end; nothing if all bytes were scanned without one.
    std::optional<std::size_t> scan(std::string_view bytes);

    std::uint64_t m_unfinishedBytes = 0;
    bool m_isLineEmpty = true; // no byte of a line was scanned since the last end of a line
    std::string m_partial;
    std::optional<std::uint64_t> m_lastEventId; // never decreases
};

} // namespace nutmegtally
