#include "serving/event_stream.h"

#include "serving/http_message.h"

namespace nutmegtally
{

namespace
{

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (line.starts_with("id:")) {
            std::string_view value = line.substr(3);
            while (!value.empty() && value.front() == ' ') {
                value.remove_prefix(1);
            }
            if (value.ends_with('\r')) {
                value.remove_suffix(1);
            }
            return parseDecimal(value);
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    return std::nullopt;
}

} // namespace

void event_stream::startAttempt()
{
    m_partial.clear();
    m_unfinishedBytes = 0;
    m_isLineEmpty = true;
    m_hasField = false;
    m_events = 0;
}

std::optional<std::size_t> event_stream::scan(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        ++m_unfinishedBytes;
        if (bytes[i] != '\n') {
            m_hasField = m_hasField || (m_isLineEmpty && bytes[i] != '\r' && bytes[i] != ':');
            m_isLineEmpty = m_isLineEmpty && bytes[i] == '\r';
            continue;
        }
        if (m_isLineEmpty) {
            m_unfinishedBytes = 0;
            m_events += m_hasField ? 1 : 0;
            m_hasField = false;
            return i + 1;
        }
        m_isLineEmpty = true;
    }
    return std::nullopt;
}

void event_stream::observe(std::string_view bytes)
{
    while (const std::optional<std::size_t> end = scan(bytes)) {
        bytes.remove_prefix(*end);
    }
}

std::string event_stream::feed(std::string_view bytes)
{
    std::string completeEvents;
    while (const std::optional<std::size_t> end = scan(bytes)) {
        m_partial += bytes.substr(0, *end);
        bytes.remove_prefix(*end);
        const std::optional<std::uint64_t> id = eventId(m_partial);
        const bool isRepeated = id && m_lastEventId && *id <= *m_lastEventId;
        if (!isRepeated) {
            completeEvents += m_partial;
            m_lastEventId = id ? id : m_lastEventId;
        }
        m_partial.clear();
    }
    m_partial += bytes;
    return completeEvents;
}

} // namespace nutmegtally
