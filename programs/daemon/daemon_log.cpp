#include "daemon/daemon_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace nutmegtally
{

namespace
{

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> instance = [] {
        auto created = spdlog::stderr_logger_mt("nutmegtally");
        created->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
        created->flush_on(spdlog::level::warn);
        return created;
    }();
    return *instance;
}

spdlog::level::level_enum toSpdlog(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    default:
        return spdlog::level::err;
    }
}

} // namespace

void logEvent(log_event event, std::string_view text)
{
    const log_event_info &info = logEventInfo(event);
    logger().log(toSpdlog(info.level), "NT{} {} {}", static_cast<int>(event), fmt::string_view(info.name.data(), info.name.size()),
                 fmt::string_view(text.data(), text.size()));
}

void logEvent(const log_record &record)
{
    logEvent(record.event, record.text);
}

void setLogLevel(const std::string &level)
{
    logger().set_level(level == "warning" ? spdlog::level::warn : level == "error" ? spdlog::level::err : spdlog::level::from_str(level));
}

} // namespace nutmegtally
