// Splits bytes that come in pieces into lines.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtally
{

class line_buffer
{
public:
    void add(std::string_view piece)
    {
        m_bytes.erase(0, m_begin);
        m_searched -= m_begin;
        m_begin = 0;
        m_bytes += piece;
    }

    /// @return The next whole line without its line feed, valid until add() or clear(); nothing if there is none.
    std::optional<std::string_view> next()
    {
        const std::size_t end = m_bytes.find('\n', m_searched);
        if (end == std::string::npos) {
            m_searched = m_bytes.size();
            return std::nullopt;
        }
        const std::string_view line = std::string_view(m_bytes).substr(m_begin, end - m_begin);
        m_begin = m_searched = end + 1;
        return line;
    }

    /// Bytes that were not taken as lines.
    std::string_view rest() const
    {
        return std::string_view(m_bytes).substr(m_begin);
    }

    void clear()
    {
        m_bytes.clear();
        m_begin = m_searched = 0;
    }

private:
    std::string m_bytes;
    std::size_t m_begin = 0; // of the first line that was not taken
    std::size_t m_searched = 0; // no line feed from m_begin to here
};

} // namespace nutmegtally
