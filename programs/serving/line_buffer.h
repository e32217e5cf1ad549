// Splits a byte stream that arrives in pieces into lines.
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
    /// Appends received bytes.
    void add(std::string_view piece)
    {
        m_bytes.erase(0, m_begin);
        m_searched -= m_begin;
        m_begin = 0;
        m_bytes += piece;
    }

    /// Removes the next complete line.
    /// @return The line without its line feed, valid until add() or clear(); nothing if no complete line is left.
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

    /// Bytes that next() has not returned yet.
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
    std::size_t m_begin = 0; // start of the first line that next() has not returned
    std::size_t m_searched = 0; // there is no line feed between m_begin and this offset, so that no byte is searched twice
};

} // namespace nutmegtally
