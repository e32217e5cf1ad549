// Structured log: one JSON object per line, written without blocking, by default to standard output. Lines that the reader does
// not take in time are kept in a bounded buffer; beyond it they are dropped and counted.
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
    std::string process; // process name in each line
    log_level level = log_level::info;
    double linesPerSecond = 500; // refill rate of the token bucket; warnings and errors pass even if it is empty
    std::size_t bufferBytes = 65'536; // limit of the buffer for unwritten lines
    int descriptor = 1; // standard output
};

class json_log
{
public:
    /// Sets the descriptor to non-blocking mode.
    explicit json_log(json_log_options options);

    /// Writes a line, or drops and counts it.
    /// @param text Further members of the line's JSON object, as log_line builds them.
    void write(time_point now, log_event event, std::string_view text);

    void write(time_point now, const log_record &record)
    {
        write(now, record.event, record.text);
    }

    /// Writes buffered lines as far as the reader takes them, and logs how many lines were dropped.
    void flush(time_point now);

    /// Dropped lines since the start of the process.
    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    /// @return False if the line exceeds the rate limit.
    bool consumeRate(time_point now, log_level level);
    void append(time_point now, const log_event_info &info, std::string_view text);
    void writeBuffered();

    json_log_options m_options;
    std::string m_buffer;
    double m_availableLines; // token bucket of the rate limit
    time_point m_refilledAt;
    std::uint64_t m_dropped = 0; // since the last report
    std::uint64_t m_droppedTotal = 0;
};

} // namespace nutmegtally
