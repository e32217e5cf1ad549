// Settings of a process: JSON with comments, checked against a JSON Schema. All faults are reported together.
#pragma once

#include <nutmegtally/fleet_config.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace nutmegtally
{

/// Reads JSON with // and block comments.
/// @throws error settingsInvalid if the file cannot be read or is not JSON.
nlohmann::json readSettingsFile(const std::string &path);

/// Checks a document against a JSON Schema.
/// @return Every fault with its path and remedy; empty if the document is valid.
std::vector<config_fault> checkAgainstSchema(const nlohmann::json &document, const nlohmann::json &schema);

/// Reads and checks a settings file.
/// @throws error settingsInvalid that lists every fault.
nlohmann::json loadSettings(const std::string &path, const nlohmann::json &schema);

} // namespace nutmegtally
