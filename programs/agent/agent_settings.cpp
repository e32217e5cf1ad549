#include "agent/agent_settings.h"

#include "daemon/daemon_options.h"
#include "daemon/daemon_schemas.h"

namespace nutmegtally
{

const nlohmann::json &agentSchema()
{
    static const nlohmann::json schema = nlohmann::json::parse(agentSchemaText);
    return schema;
}

agent_settings readAgentSettings(const nlohmann::json &document)
{
    agent_settings settings;
    readMember(document, "listen", settings.listen);
    readMember(document, "statusListen", settings.statusListen);
    settings.self.name = document.at("name").get<std::string>();
    settings.self.upstream = upstream_id::fromName(settings.self.name);
    settings.self.domain = domain_id::fromName(document.at("domain").get<std::string>());
    settings.self.region = region_id::fromName(document.at("region").get<std::string>());
    settings.self.model = model_id::fromName(document.value("model", std::string()));
    settings.self.service = service_id::fromName(document.value("service", std::string()));

    const nlohmann::json upstream = section(document, "upstream");
    readMember(upstream, "address", settings.upstream.address);
    readMilliseconds(upstream, "connectTimeoutMs", settings.upstream.connectTimeout);
    readMilliseconds(upstream, "firstTokenTimeoutMs", settings.upstream.firstTokenTimeout);
    readMilliseconds(upstream, "tokenSilenceMs", settings.upstream.interTokenTimeout);

    const nlohmann::json admission = section(document, "admission");
    settings.admission.domain = settings.self.domain;
    readMember(admission, "initialWindow", settings.admission.initialWindow);
    readMember(admission, "maxWindow", settings.admission.maxWindow);
    readMember(admission, "loadFloor", settings.admission.loadFloor);
    readMember(admission, "maxQueue", settings.admission.maxQueue);

    const nlohmann::json stream = section(document, "stream");
    readMember(stream, "bufferBytes", settings.streamBufferBytes);
    readMilliseconds(stream, "keepaliveMs", settings.keepaliveInterval);
    readMilliseconds(stream, "resumeWindowMs", settings.resumeWindow);

    settings.limits = readLimits(document);
    readMember(document, "innerKeys", settings.innerKeys);
    settings.platform = readPlatformSettings(document, settings.listen);
    settings.member.name = settings.self.name;
    settings.member.role = "agent";
    settings.member.domain = document.at("domain").get<std::string>();
    settings.member.region = document.at("region").get<std::string>();
    settings.member.upstream = settings.self.name;
    settings.member.model = document.value("model", std::string());
    settings.member.service = document.value("service", std::string());
    readMilliseconds(document, "loadIntervalMs", settings.loadInterval);
    readMilliseconds(document, "shutdownLimitMs", settings.shutdownLimit);
    readMember(document, "logLevel", settings.logLevel);
    return settings;
}

} // namespace nutmegtally
