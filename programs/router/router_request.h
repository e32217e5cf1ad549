// Parses a caller's request and validates it against the configuration.
#pragma once

#include "daemon/daemon_access.h"
#include "daemon/daemon_http.h"
#include "daemon/daemon_records.h"

#include <nutmegtally/fleet_config.h>
#include <nutmegtally/work.h>

#include <string>

namespace nutmegtally
{

struct caller_request {
    request_id id;
    work_header work; // attempt, configuration version and mean are not set
    std::string body; // as sent to the upstream
    std::string className; // for logs and metrics
};

/// Configuration and limits that a caller's request is validated against.
struct request_context {
    const fleet_config &config;
    const account_index &accounts;
    duration requestLimit;
};

/// @param id Identifies the request in the answer and in logs.
/// @throws error malformedRequest, unknownAccount, unknownClass, unknownModel, unknownService, keyMissing, keyInvalid
caller_request readCallerRequest(const http_exchange &exchange, request_id id, const request_context &context);

/// True for the textual form of a UUID version 7.
bool isUuidVersion7(std::string_view text);

} // namespace nutmegtally
