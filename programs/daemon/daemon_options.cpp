#include "daemon/daemon_options.h"

namespace nutmegtally
{

nlohmann::json section(const nlohmann::json &document, const char *key)
{
    return document.contains(key) ? document.at(key) : nlohmann::json::object();
}

void readMilliseconds(const nlohmann::json &object, const char *key, duration &value)
{
    if (object.contains(key)) {
        value = std::chrono::milliseconds(object.at(key).get<std::int64_t>());
    }
}

http_limits readLimits(const nlohmann::json &document)
{
    const nlohmann::json object = section(document, "limits");
    http_limits limits;
    readMember(object, "maxBodyBytes", limits.maxBodyBytes);
    readMember(object, "maxHeaderBytes", limits.maxHeaderBytes);
    readMember(object, "maxConnections", limits.maxConnections);
    readMilliseconds(object, "headerTimeoutMs", limits.headerTimeout);
    readMilliseconds(object, "idleTimeoutMs", limits.idleTimeout);
    readMilliseconds(object, "sendTimeoutMs", limits.sendTimeout);
    return limits;
}

} // namespace nutmegtally
