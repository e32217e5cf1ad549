// Structured log on standard output: one JSON object a line, never blocking. What the reader does not take in time is
// kept in a bounded buffer, then dropped and counted.
#pragma once

#include <nutmegtally/log_events.h>
#include <nutmegtally/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegtally
{

struct json_log_options {
    std::string process; // name in each line
    log_level level = log_level::info;
    double linesPerSecond = 500; // over a few seconds; errors and warnings always pass
    std::size_t bufferBytes = 65'536; // not yet taken by the reader
    int descriptor = 1;
};

class json_log
{
public:
    /// Makes the descriptor non-blocking.
    explicit json_log(json_log_options options);

    /// @param text Members of the line's object, as log_line builds them.
    void write(time_point now, log_event event, std::string_view text);

    void write(time_point now, const log_record &record)
    {
        write(now, record.event, record.text);
    }

    /// Offers buffered bytes to the reader again, and reports dropped lines.
    void flush(time_point now);

    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    bool consumeRate(time_point now, log_level level);
    void append(time_point now, const log_event_info &info, std::string_view text);
    void writeBuffered();

    json_log_options m_options;
    std::string m_buffer;
    double m_availableLines; // lines that may be written now
    time_point m_refilledAt;
    std::uint64_t m_dropped = 0; // since the last report
    std::uint64_t m_droppedTotal = 0;
};

} // namespace nutmegtally
