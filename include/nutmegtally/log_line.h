// Builds the members of a structured log line as JSON text without the enclosing braces.
#pragma once

#include <nutmegtally/time.h>

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>

namespace nutmegtally
{

class log_line
{
public:
    log_line &with(std::string_view name, std::string_view value)
    {
        key(name);
        m_text += '"';
        for (const char c : value) {
            escape(c);
        }
        m_text += '"';
        return *this;
    }

    log_line &with(std::string_view name, const char *value)
    {
        return with(name, std::string_view(value));
    }

    template<std::integral Number>
    log_line &with(std::string_view name, Number value)
    {
        key(name);
        char digits[24];
        const auto end = std::to_chars(std::begin(digits), std::end(digits), value).ptr;
        m_text.append(digits, static_cast<std::size_t>(end - digits));
        return *this;
    }

    log_line &with(std::string_view name, bool value)
    {
        key(name);
        m_text += value ? "true" : "false";
        return *this;
    }

    /// Rounded to one decimal, which is enough for loads and scores.
    log_line &with(std::string_view name, double value)
    {
        key(name);
        char digits[32];
        const auto end = std::to_chars(std::begin(digits), std::end(digits), value, std::chars_format::fixed, 1).ptr;
        m_text.append(digits, static_cast<std::size_t>(end - digits));
        return *this;
    }

    /// Written in whole milliseconds.
    log_line &with(std::string_view name, duration value)
    {
        return with(name, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    }

    /// Moves the text out of the builder.
    std::string take()
    {
        return std::move(m_text);
    }

private:
    void key(std::string_view name)
    {
        if (!m_text.empty()) {
            m_text += ',';
        }
        m_text += '"';
        m_text += name;
        m_text += "\":";
    }

    void escape(char c)
    {
        if (c == '"' || c == '\\') {
            m_text += '\\';
            m_text += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            constexpr std::string_view hex = "0123456789abcdef";
            m_text += "\\u00";
            m_text += hex[static_cast<unsigned char>(c) >> 4];
            m_text += hex[static_cast<unsigned char>(c) & 15];
        } else {
            m_text += c;
        }
    }

    std::string m_text;
};

} // namespace nutmegtally
