// Server-sent events as they pass through: whole events only, with the id of the last one, so that a stream can go on
// at another upstream.
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
    /// Takes bytes of a stream. @return The whole events among them that were not passed on before.
    std::string feed(std::string_view bytes);

    /// Bytes behind the last whole event.
    const std::string &partialEvent() const
    {
        return m_partial;
    }

    /// An event does not end within its limit: what follows is no stream of events.
    bool isEventTooLong() const
    {
        return m_partial.size() > serving_limits::maxEventBytes;
    }

    /// Forgets an unfinished event: another run of the request starts with a whole one.
    void discardPartialEvent()
    {
        m_partial.clear();
    }

    /// Id of the last whole event.
    const std::optional<std::uint64_t> &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastEventId; // never falls
};

} // namespace nutmegtally
