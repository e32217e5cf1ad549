// Settings of nutmegtally-agent. docs/settings.md describes every member.
#pragma once

#include "agent/agent_upstream.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_platform.h"

#include <nutmegtally/admission.h>
#include <nutmegtally/work.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace nutmegtally
{

struct agent_settings {
    std::string listen = "127.0.0.1:0";
    std::string statusListen = "127.0.0.1:0";
    upstream_info self; // name, domain, region and model or service
    upstream_options upstream;
    admission_options admission;
    http_limits limits;
    std::vector<std::string> innerKeys;
    platform_settings platform;
    member_record member; // this process as announced to peers; address and incarnation are not set
    std::size_t streamBufferBytes = std::size_t {256} * 1024;
    duration keepaliveInterval = std::chrono::milliseconds(500);
    duration resumeWindow = std::chrono::seconds(10);
    duration loadInterval = std::chrono::seconds(1);
    duration shutdownLimit = std::chrono::seconds(30);
    std::string logLevel = "info";
};

/// JSON Schema of the settings file.
const nlohmann::json &agentSchema();

/// @param document Already validated against the schema. @throws error settingsInvalid
agent_settings readAgentSettings(const nlohmann::json &document);

} // namespace nutmegtally
