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
    std::string take(std::string_view bytes);

    /// Bytes behind the last whole event.
    const std::string &unfinished() const
    {
        return m_partial;
    }

    /// An event does not end within its limit: what follows is no stream of events.
    bool isOverlong() const
    {
        return m_partial.size() > serving_limits::eventBytes;
    }

    /// Forgets an unfinished event: another run of the request starts with a whole one.
    void restart()
    {
        m_partial.clear();
    }

    /// Id of the last whole event.
    const std::optional<std::uint64_t> &lastId() const
    {
        return m_lastId;
    }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId; // never falls
};

} // namespace nutmegtally
