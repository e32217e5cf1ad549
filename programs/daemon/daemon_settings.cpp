#include "daemon/daemon_settings.h"

#if defined(__GNUC__) && !defined(__clang__)
// g++ 12 at -O3 reports a false overlap inside valijson's json_pointer.hpp, inlined below.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include <nutmegtally/errors.h>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <sstream>

namespace nutmegtally
{

namespace
{

/// valijson writes paths as <root>[a][b]; a JSON pointer reads better in a message.
std::string toPointer(const std::string &context)
{
    std::string path;
    for (const char c : context.substr(context.find('>') + 1)) {
        if (c == '[') {
            path += '/';
        } else if (c != ']') {
            path += c;
        }
    }
    return path;
}

std::string remedyFor(const std::string &message)
{
    if (message.find("additional") != std::string::npos) {
        return "remove the unknown member or correct its spelling";
    }
    if (message.find("required") != std::string::npos) {
        return "add the missing member";
    }
    return "correct the value as docs/settings.md says";
}

} // namespace

nlohmann::json readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw error(error_code::settingsInvalid, path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        return nlohmann::json::parse(text.str(), nullptr, true, true);
    } catch (const nlohmann::json::parse_error &fault) {
        throw error(error_code::settingsInvalid, path + ": " + fault.what());
    }
}

std::vector<config_fault> checkAgainstSchema(const nlohmann::json &document, const nlohmann::json &schema)
{
    valijson::Schema parsed;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), parsed);
    valijson::ValidationResults results;
    valijson::Validator().validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<config_fault> faults;
    valijson::ValidationResults::Error result;
    while (results.popError(result)) {
        std::string path;
        for (const std::string &part : result.context) {
            path += toPointer(part.front() == '<' ? part : std::string(1, '>').append(part));
        }
        faults.push_back({path, result.description, remedyFor(result.description)});
    }
    return faults;
}

nlohmann::json loadSettings(const std::string &path, const nlohmann::json &schema)
{
    nlohmann::json document = readSettingsFile(path);
    const std::vector<config_fault> faults = checkAgainstSchema(document, schema);
    if (!faults.empty()) {
        throw error(error_code::settingsInvalid, path + ":\n" + describe(faults));
    }
    return document;
}

} // namespace nutmegtally
