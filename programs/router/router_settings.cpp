#include "router/router_settings.h"

#include "daemon/daemon_access.h"
#include "daemon/daemon_options.h"
#include "daemon/daemon_schemas.h"

namespace nutmegtally
{

namespace
{

upstream_info readUpstream(const nlohmann::json &object)
{
    upstream_info info;
    info.name = object.at("name").get<std::string>();
    info.upstream = upstream_id::fromName(info.name);
    info.domain = domain_id::fromName(object.at("domain").get<std::string>());
    info.region = region_id::fromName(object.at("region").get<std::string>());
    info.model = model_id::fromName(object.value("model", std::string()));
    info.service = service_id::fromName(object.value("service", std::string()));
    info.address = object.at("address").get<std::string>();
    return info;
}

} // namespace

const nlohmann::json &routerSchema()
{
    static const nlohmann::json schema = nlohmann::json::parse(routerSchemaText);
    return schema;
}

router_settings readRouterSettings(const nlohmann::json &document)
{
    router_settings settings;
    settings.name = document.at("name").get<std::string>();
    readMember(document, "listen", settings.listen);
    readMember(document, "statusListen", settings.statusListen);
    settings.limits = readLimits(document);
    readMember(document, "innerKeys", settings.innerKeys);
    readMember(document, "innerListen", settings.innerListen);
    settings.platform = readPlatformSettings(document, settings.innerListen);
    settings.member.name = settings.name;
    settings.member.role = "router";
    settings.member.domain = document.at("domain").get<std::string>();
    settings.member.region = document.at("region").get<std::string>();
    for (const nlohmann::json &entry : document.value("upstreams", nlohmann::json::array())) {
        settings.upstreams.push_back(readUpstream(entry));
    }

    const nlohmann::json stream = section(document, "stream");
    readMilliseconds(stream, "silenceMs", settings.streamIdleTimeout);
    readMember(stream, "bufferBytes", settings.answerBufferBytes);
    readMember(stream, "maxResumes", settings.maxResumes);

    const nlohmann::json routing = section(document, "routing");
    settings.routing.seed = randomId();
    settings.routing.region = region_id::fromName(document.at("region").get<std::string>());
    readMember(routing, "candidates", settings.routing.candidates);
    readMember(routing, "retryBudgetShare", settings.routing.retryBudgetShare);
    readMember(routing, "retryBudgetFloor", settings.routing.retryBudgetFloor);
    readMember(routing, "maxAttempts", settings.routing.maxAttempts);
    readMilliseconds(routing, "retryJitterMs", settings.routing.retryJitter);

    readMilliseconds(document, "connectTimeoutMs", settings.connectTimeout);
    readMilliseconds(document, "requestLimitMs", settings.requestLimit);
    readMilliseconds(document, "shutdownLimitMs", settings.shutdownLimit);
    readMember(document, "logLevel", settings.logLevel);
    return settings;
}

} // namespace nutmegtally
