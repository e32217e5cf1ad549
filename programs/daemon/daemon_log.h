// Log lines with numbered events: "NT1101 request_refused key=value ...". They must not contain secrets.
#pragma once

#include <nutmegtally/log_events.h>

#include <string>
#include <string_view>

namespace nutmegtally
{

/// Writes one line with the event's number and name at the event's level.
/// @param text key=value pairs.
void logEvent(log_event event, std::string_view text = {});

void logEvent(const log_record &record);

/// @param level "debug", "info", "warning", "error" or "off".
void setLogLevel(const std::string &level);

} // namespace nutmegtally
