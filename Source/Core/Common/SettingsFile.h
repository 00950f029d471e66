#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "Common/Outcome.h"
#include "Schema/Schema.h"

namespace Common {

/// Reads a YAML settings file, checks each setting against the definition \a definition of the
/// settings schema and adds the schema's defaults. The failure for an invalid setting names file,
/// key, the value found and what is allowed. An empty \a path gives the defaults.
Outcome<nlohmann::json> loadSettingsJson(const std::string &path, const std::string &definition);

template <typename Settings>
Outcome<Settings> loadSettings(const std::string &path, const std::string &definition)
{
    BOOST_LEAF_AUTO(json, loadSettingsJson(path, definition));
    return json.template get<Settings>();
}

/// Reads a YAML or JSON file that holds one object, without checking it against a schema. An empty
/// \a path gives an empty object.
Outcome<nlohmann::json> readYamlFile(const std::string &path);

/// Returns the effective settings as YAML, for --print-settings.
std::string settingsYaml(const nlohmann::json &settings);

/// Checks \a value against the definition \a definition of the message schema. The failure's detail
/// names the member and the rule.
Outcome<void> checkMessage(const nlohmann::json &value, const std::string &definition);

} // namespace Common
