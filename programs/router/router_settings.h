// Settings of nutmegtally-router. docs/settings.md describes every member.
#pragma once

#include "daemon/daemon_http.h"
#include "daemon/daemon_platform.h"

#include <nutmegtally/router_core.h>
#include <nutmegtally/work.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace nutmegtally
{

struct router_settings {
    std::string name;
    std::string listen = "127.0.0.1:0";
    std::string statusListen = "127.0.0.1:0";
    router_options routing;
    http_limits limits;
    std::vector<std::string> innerKeys;
    std::string innerListen; // listener for peers; empty for none
    platform_settings platform;
    member_record member; // this process as announced to peers; address and incarnation are not set
    std::vector<upstream_info> upstreams;
    duration streamIdleTimeout = std::chrono::seconds(2);
    std::size_t answerBufferBytes = std::size_t {256} * 1024;
    unsigned maxResumes = 3;
    duration connectTimeout = std::chrono::seconds(1);
    duration requestLimit = std::chrono::minutes(10);
    duration shutdownLimit = std::chrono::seconds(30);
    std::string logLevel = "info";
};

/// JSON Schema of the settings file.
const nlohmann::json &routerSchema();

/// @param document Already validated against the schema.
router_settings readRouterSettings(const nlohmann::json &document);

} // namespace nutmegtally
