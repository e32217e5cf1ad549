#include "entry/entry_settings.h"

#include "entry/entry_schema.h"

namespace nutmegtally
{

namespace
{

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

log_level parseLogLevel(const std::string &name)
{
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

} // namespace

const nlohmann::json &entrySchema()
{
    static const nlohmann::json schema = nlohmann::json::parse(entrySchemaText);
    return schema;
}

entry_settings readEntrySettings(const nlohmann::json &document)
{
    entry_settings settings;
    settings.name = document.at("name").get<std::string>();
    settings.domain = document.at("domain").get<std::string>();
    settings.listen = document.at("listen").get<std::string>();
    settings.readyListen = document.at("readyListen").get<std::string>();
    settings.routersListen = document.at("routersListen").get<std::string>();
    settings.loadListen = document.at("loadListen").get<std::string>();
    settings.metricsListen = document.value("metricsListen", settings.metricsListen);
    settings.seeds = document.value("seeds", settings.seeds);
    settings.objectsAddress = document.at("objects").get<std::string>();
    settings.isFirstStart = document.value("firstStart", settings.isFirstStart);
    if (const auto retries = document.find("retries"); retries != document.end()) {
        settings.retries.ratio = retries->value("ratio", settings.retries.ratio);
        settings.retries.slack = retries->value("slack", settings.retries.slack);
        settings.retries.window = seconds(retries->value("windowSeconds", 10.0));
    }
    if (const auto rollouts = document.find("rollouts"); rollouts != document.end()) {
        rollout_bounds bounds;
        bounds.trialShare = rollouts->value("trialShare", bounds.trialShare);
        bounds.trialSlack = rollouts->value("trialSlack", bounds.trialSlack);
        settings.rollouts = bounds;
    }
    for (const std::string &name : document.value("disabledMechanisms", std::vector<std::string>())) {
        settings.mechanisms.disable(mechanismFromName(name).value()); // the schema allows only known names
    }
    settings.disabledForMeasurement = disabledNames(settings.mechanisms);
    if (!document.value("admissionOrder", false)) {
        settings.mechanisms.disable(mechanism::admissionOrder);
    }
    if (!document.value("learnedSpeed", false)) {
        settings.mechanisms.disable(mechanism::learnedSpeed);
    }
    settings.shutdownLimit = seconds(document.value("shutdownSeconds", 8.0));
    settings.maxDescriptors = document.value("maxDescriptors", settings.maxDescriptors);
    settings.logLevel = parseLogLevel(document.value("logLevel", std::string("info")));
    settings.logLinesPerSecond = document.value("logLinesPerSecond", settings.logLinesPerSecond);
    return settings;
}

} // namespace nutmegtally
