// Readers of settings members that several programs share. The document must have passed its schema.
#pragma once

#include "daemon/daemon_http.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace nutmegtally
{

/// @return The member, an empty object if it is absent.
nlohmann::json section(const nlohmann::json &document, const char *key);

/// Replaces @p value if the member, a number of milliseconds, is present.
void readMilliseconds(const nlohmann::json &object, const char *key, duration &value);

/// Replaces @p value if the member is present.
template<typename Value>
void readMember(const nlohmann::json &object, const char *key, Value &value)
{
    if (object.contains(key)) {
        value = object.at(key).get<Value>();
    }
}

http_limits readLimits(const nlohmann::json &document);

} // namespace nutmegtally
