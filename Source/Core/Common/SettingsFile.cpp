#include "Common/SettingsFile.h"

#include <map>
#include <memory>
#include <mutex>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <yaml-cpp/yaml.h>

namespace Common {

namespace {

using Json = nlohmann::json;
using JsonAdapter = valijson::adapters::NlohmannJsonAdapter;

std::unique_ptr<valijson::Schema> compileSchema(const Json &document)
{
    auto schema = std::make_unique<valijson::Schema>();
    valijson::SchemaParser parser;
    parser.populateSchema(JsonAdapter(document), *schema);
    return schema;
}

/// The error with the longest path into the value: it names the invalid member.
std::string deepestError(valijson::ValidationResults &results)
{
    std::string text;
    std::size_t depth = 0;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (!text.empty() && error.context.size() <= depth) {
            continue;
        }
        depth = error.context.size();
        text.clear();
        for (std::size_t part = 1; part < error.context.size(); ++part) {
            text += error.context[part];
        }
        text += (text.empty() ? "" : ": ") + error.description;
    }
    return text;
}

std::string validate(const valijson::Schema &schema, const Json &value)
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, JsonAdapter(value), &results)) {
        return {};
    }
    return deepestError(results);
}

Json scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    const bool isQuoted = node.Tag() == "!";
    if (isQuoted) {
        return text;
    }
    std::int64_t whole = 0;
    double fraction = 0;
    bool boolean = false;
    if (YAML::convert<std::int64_t>::decode(node, whole)) {
        return whole;
    }
    if (YAML::convert<double>::decode(node, fraction)) {
        return fraction;
    }
    if (YAML::convert<bool>::decode(node, boolean)) {
        return boolean;
    }
    return text;
}

Json yamlToJson(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Map: {
        Json object = Json::object();
        for (const auto &entry : node) {
            object[entry.first.as<std::string>()] = yamlToJson(entry.second);
        }
        return object;
    }
    case YAML::NodeType::Sequence: {
        Json array = Json::array();
        for (const auto &entry : node) {
            array.push_back(yamlToJson(entry));
        }
        return array;
    }
    case YAML::NodeType::Scalar:
        return scalarToJson(node);
    default:
        return nullptr;
    }
}

std::string allowedRange(const Json &rule)
{
    if (rule.contains("enum")) {
        return "one of " + rule.at("enum").dump();
    }
    std::string text = rule.value("type", "value");
    if (rule.contains("minimum") && rule.contains("maximum")) {
        text += " from " + rule.at("minimum").dump() + " to " + rule.at("maximum").dump();
    }
    if (rule.contains("minLength")) {
        text += " of at least " + rule.at("minLength").dump() + " characters";
    }
    if (rule.contains("maxLength")) {
        text += " of at most " + rule.at("maxLength").dump() + " characters";
    }
    if (rule.contains("pattern")) {
        text += " like " + rule.at("pattern").get<std::string>();
    }
    if (rule.contains("items")) {
        text += " of " + allowedRange(rule.at("items"));
    }
    return text;
}

Outcome<void> checkSetting(const std::string &path, const std::string &key, const Json &value,
                           const Json &properties)
{
    if (!properties.contains(key)) {
        std::string known;
        for (const auto &entry : properties.items()) {
            known += (known.empty() ? "" : ", ") + entry.key();
        }
        return failure(Schema::Reason::Malformed,
                       path + ": " + key + ": unknown key; allowed: " + known);
    }
    const Json &rule = properties.at(key);
    if (!validate(*compileSchema(rule), value).empty()) {
        return failure(Schema::Reason::Malformed, path + ": " + key + ": found " + value.dump()
                                                          + "; allowed: " + allowedRange(rule));
    }
    return {};
}

YAML::Node jsonToYaml(const Json &value)
{
    YAML::Node node;
    if (value.is_object()) {
        for (const auto &entry : value.items()) {
            node[entry.key()] = jsonToYaml(entry.value());
        }
    } else if (value.is_array()) {
        node = YAML::Node(YAML::NodeType::Sequence);
        for (const Json &entry : value) {
            node.push_back(jsonToYaml(entry));
        }
    } else if (value.is_string()) {
        node = value.get<std::string>();
    } else {
        node = value.dump();
    }
    return node;
}

/// Schemas are compiled once: compiling one for each request costs more than the check itself.
const valijson::Schema &messageSchema(const std::string &definition)
{
    static std::mutex mutex;
    static std::map<std::string, std::unique_ptr<valijson::Schema>> compiled;
    const std::lock_guard<std::mutex> lock(mutex);
    auto &schema = compiled[definition];
    if (!schema) {
        const Json whole = Json::parse(Schema::messagesSchemaText());
        Json document = whole.at("definitions").at(definition);
        document["definitions"] = whole.at("definitions");
        schema = compileSchema(document);
    }
    return *schema;
}

} // namespace

Outcome<Json> readYamlFile(const std::string &path)
{
    if (path.empty()) {
        return Json::object();
    }
    try {
        Json settings = yamlToJson(YAML::LoadFile(path));
        if (settings.is_null()) {
            return Json::object();
        }
        if (!settings.is_object()) {
            return failure(Schema::Reason::Malformed, path + ": expected lines of key: value");
        }
        return settings;
    } catch (const YAML::Exception &error) {
        return failure(Schema::Reason::Malformed, path + ": " + error.what());
    }
}

Outcome<Json> loadSettingsJson(const std::string &path, const std::string &definition)
{
    const Json schema = Json::parse(Schema::settingsSchemaText());
    const Json &properties = schema.at("definitions").at(definition).at("properties");
    BOOST_LEAF_AUTO(settings, readYamlFile(path));
    for (const auto &entry : settings.items()) {
        BOOST_LEAF_CHECK(checkSetting(path, entry.key(), entry.value(), properties));
    }
    for (const auto &property : properties.items()) {
        if (!settings.contains(property.key())) {
            settings[property.key()] = property.value().at("default");
        }
    }
    return settings;
}

std::string settingsYaml(const Json &settings)
{
    YAML::Emitter emitter;
    emitter << jsonToYaml(settings);
    return std::string(emitter.c_str()) + '\n';
}

Outcome<void> checkMessage(const Json &value, const std::string &definition)
{
    const std::string error = validate(messageSchema(definition), value);
    if (!error.empty()) {
        return failure(Schema::Reason::Malformed, error);
    }
    return {};
}

} // namespace Common
