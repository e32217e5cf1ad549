#include "daemon/daemon_settings.h"

#if defined(__GNUC__) && !defined(__clang__)
// g++ 12 at -O3 reports a false overlap in valijson's json_pointer.hpp, which is inlined in this file.
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include <nutmegtally/errors.h>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string_view>
#include <utility>

namespace nutmegtally
{

namespace
{

/// Converts a path of valijson, <root>[a][b], to a JSON pointer for messages.
std::string toJsonPointer(const std::string &context)
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

/// Finds the part of a schema that a value has to match.
/// @param path JSON pointer of the value.
/// @return nullptr if the schema says nothing about it.
const nlohmann::json *schemaAt(const nlohmann::json &schema, const std::string &path)
{
    const nlohmann::json *node = &schema;
    const auto resolve = [&] {
        while (node->contains("$ref")) {
            node = &schema.at(nlohmann::json::json_pointer(node->at("$ref").get<std::string>().substr(1)));
        }
    };
    resolve();
    std::istringstream parts(path);
    std::string part;
    std::getline(parts, part, '/'); // skips the empty part before the first slash
    while (std::getline(parts, part, '/')) {
        if (node->contains("properties") && node->at("properties").contains(part)) {
            node = &node->at("properties").at(part);
        } else if (node->contains("additionalProperties") && node->at("additionalProperties").is_object()) {
            node = &node->at("additionalProperties");
        } else if (node->contains("items")) {
            node = &node->at("items");
        } else {
            return nullptr;
        }
        resolve();
    }
    return node;
}

std::string join(const nlohmann::json &names)
{
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ", ") + (name.is_string() ? name.get<std::string>() : name.dump());
    }
    return text;
}

/// Describes the values that a part of a schema allows, for a message.
std::string describeAllowedValues(const nlohmann::json &node)
{
    if (node.contains("enum")) {
        return "one of " + join(node.at("enum"));
    }
    std::string text = node.contains("type") ? (node.at("type").is_array() ? join(node.at("type")) : node.at("type").get<std::string>())
                                             : std::string("value");
    for (const auto &[key, phrase] :
         {std::pair("minimum", " of at least "), std::pair("exclusiveMinimum", " above "), std::pair("maximum", " of at most "),
          std::pair("minLength", " with a length of at least "), std::pair("maxLength", " with a length of at most "),
          std::pair("minItems", " with at least "), std::pair("pattern", " that matches ")}) {
        if (node.contains(key)) {
            const nlohmann::json &limit = node.at(key);
            text += phrase + (limit.is_string() ? limit.get<std::string>() : limit.dump());
        }
    }
    return text;
}

/// Remedy for a fault; names what the schema allows at its place.
std::string remedyFor(const std::string &message, const nlohmann::json *node)
{
    if (message.find("additional") != std::string::npos) {
        nlohmann::json known = nlohmann::json::array();
        if (node != nullptr && node->contains("properties")) {
            for (const auto &[name, unused] : node->at("properties").items()) {
                known.push_back(name);
            }
        }
        return "remove the unknown member or correct its spelling" + (known.empty() ? std::string() : "; known members: " + join(known));
    }
    if (message.find("required") != std::string::npos) {
        return "add the missing member";
    }
    return node == nullptr ? "correct the value as docs/settings.md says" : "use " + describeAllowedValues(*node);
}

/// Whether the fault only repeats another one: valijson reports a fault again for each object, array and alternative that
/// encloses it.
bool isEnclosingFault(const config_fault &fault, const std::vector<config_fault> &all)
{
    constexpr std::string_view enclosingFaultPrefix = "Failed to validate";
    const auto isNestedFault = [&](const config_fault &other) {
        return other.message.rfind(enclosingFaultPrefix, 0) != 0 && other.path.compare(0, fault.path.size(), fault.path) == 0;
    };
    return fault.message.rfind(enclosingFaultPrefix, 0) == 0 && std::any_of(all.begin(), all.end(), isNestedFault);
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
            path += toJsonPointer(part.front() == '<' ? part : std::string(1, '>').append(part));
        }
        faults.push_back({path, result.description, remedyFor(result.description, schemaAt(schema, path))});
    }
    std::vector<config_fault> innermost;
    std::copy_if(faults.begin(), faults.end(), std::back_inserter(innermost),
                 [&](const config_fault &fault) { return !isEnclosingFault(fault, faults); });
    return innermost;
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
