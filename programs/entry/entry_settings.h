// Settings of nutmegtally-entry. docs/settings.md describes each of them.
#pragma once

#include <nutmegtally/entry_core.h>
#include <nutmegtally/log_events.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtally
{

struct entry_settings {
    std::string name;
    std::string domain; // failure domain
    std::string listen; // IP number and port for callers; the other listeners have the same form
    std::string readyListen; // readiness checks
    std::string routersListen; // syncs of other routers
    std::string loadListen; // heartbeats of other routers, UDP
    std::string metricsListen; // empty for none
    std::vector<std::string> seeds; // addresses of routers to start with
    std::string objectsAddress; // of the object API
    bool isFirstStart = false; // of the whole system; no router has any state to sync
    retry_bounds retries;
    std::optional<rollout_bounds> rollouts; // nothing: orders for rollouts are not read
    mechanism_set mechanisms; // all but those that the settings disable, or do not switch on
    std::string disabledForMeasurement {}; // names of the mechanisms that the settings disable, separated by commas
    duration shutdownLimit = std::chrono::seconds(8);
    std::size_t maxDescriptors = 1024; // file descriptors that this process may open
    log_level logLevel = log_level::info;
    double logLinesPerSecond = 500; // over a few seconds; warnings and errors always pass
};

/// JSON Schema of the settings file.
const nlohmann::json &entrySchema();

/// @param document Settings that were validated against entrySchema().
/// @throws nlohmann::json::exception if a required member is absent.
entry_settings readEntrySettings(const nlohmann::json &document);

} // namespace nutmegtally
