// Settings of nutmegtally-entry. docs/settings.md describes every member.
#pragma once

#include <nutmegtally/entry_core.h>
#include <nutmegtally/log_events.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace nutmegtally
{

struct entry_settings {
    std::string name;
    std::string domain;
    std::string listen;
    std::string readyListen;
    std::string routersListen;
    std::string loadListen; // UDP
    std::string metricsListen; // empty for none
    std::vector<std::string> seeds;
    std::string objectsAddress;
    bool isFirstStart = false; // of the whole system
    retry_bounds retries;
    duration shutdownLimit = std::chrono::seconds(8);
    std::size_t maxDescriptors = 1024;
    log_level logLevel = log_level::info;
    double logLinesPerSecond = 500;
};

/// JSON Schema of the settings file.
const nlohmann::json &entrySchema();

/// @param document Passed the schema.
entry_settings readEntrySettings(const nlohmann::json &document);

} // namespace nutmegtally
