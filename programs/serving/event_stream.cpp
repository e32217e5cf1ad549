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
            return parseDecimal(value);
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> event_stream::scan(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        ++m_unfinishedBytes;
        if (bytes[i] != '\n') {
            m_isLineEmpty = m_isLineEmpty && bytes[i] == '\r';
            continue;
        }
        if (m_isLineEmpty) {
            m_unfinishedBytes = 0;
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
    observe(bytes);
    m_partial += bytes;
    std::string completeEvents;
    std::size_t start = 0;
    for (std::size_t end = m_partial.find("\n\n"); end != std::string::npos; end = m_partial.find("\n\n", start)) {
        const std::string_view event(m_partial.data() + start, end + 2 - start);
        const std::optional<std::uint64_t> id = eventId(event);
        const bool isRepeated = id && m_lastEventId && *id <= *m_lastEventId;
        if (!isRepeated) {
            completeEvents += event;
            m_lastEventId = id ? id : m_lastEventId;
        }
        start = end + 2;
    }
    m_partial.erase(0, start);
    return completeEvents;
}

} // namespace nutmegtally
