#include "entry/json_log.h"

#include <nutmegtally/log_line.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace nutmegtally
{

namespace
{

constexpr double burstSeconds = 2.0; // size of the token bucket in seconds of linesPerSecond
constexpr std::size_t levelCount = static_cast<std::size_t>(log_level::count);
constexpr std::array<std::string_view, levelCount> levelNames = {"debug", "info", "warning", "error"};

} // namespace

json_log::json_log(json_log_options options)
    : m_options(std::move(options))
    , m_availableLines(m_options.linesPerSecond * burstSeconds)
{
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void json_log::write(time_point now, log_event event, std::string_view text)
{
    const log_event_info &info = logEventInfo(event);
    if (info.level < m_options.level) {
        return;
    }
    if (!consumeRate(now, info.level) || m_buffer.size() + text.size() > m_options.bufferBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    append(now, info, text);
    writeBuffered();
}

bool json_log::consumeRate(time_point now, log_level level)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_availableLines = std::min(m_options.linesPerSecond * burstSeconds, m_availableLines + seconds * m_options.linesPerSecond);
    if (level < log_level::warning && m_availableLines < 1) {
        return false;
    }
    m_availableLines = std::max(0.0, m_availableLines - 1);
    return true;
}

void json_log::append(time_point now, const log_event_info &info, std::string_view text)
{
    const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    log_line line;
    line.with("time_ms", wallClock.count())
        .with("up_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count())
        .with("process", m_options.process)
        .with("event", static_cast<int>(info.event))
        .with("name", info.name)
        .with("level", levelNames[static_cast<std::size_t>(info.level)]);
    m_buffer += '{';
    m_buffer += line.take();
    if (!text.empty()) {
        m_buffer += ',';
        m_buffer += text;
    }
    m_buffer += "}\n";
}

void json_log::writeBuffered()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_options.descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            return; // the reader is slow or has closed the pipe; flush() tries again
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

void json_log::flush(time_point now)
{
    writeBuffered();
    if (m_dropped > 0 && m_buffer.size() < m_options.bufferBytes / 2) {
        log_line line;
        line.with("lines", m_dropped).with("total", m_droppedTotal);
        m_dropped = 0;
        append(now, logEventInfo(log_event::logLinesDropped), line.take());
        writeBuffered();
    }
}

} // namespace nutmegtally
