#include "Dispatch/Configuration/ConfigRules.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "Common/Outcome.h"
#include "Common/SettingsFile.h"

namespace Dispatch {

namespace {

constexpr std::size_t MaxNameLength = 128;

std::string schemaError(const Schema::ConfigChange &change)
{
    std::string error;
    Common::handle(
            [&]() -> Common::Outcome<void> {
                return Common::checkMessage(nlohmann::json(change), "ConfigChange");
            },
            [&](const Common::Failure &failed) { error = failed.detail; });
    return error;
}

std::string nameOfValue(const Schema::Service &service)
{
    return service.name;
}

std::string nameOfValue(const Schema::Team &team)
{
    return team.name;
}

std::string nameOfValue(const Schema::Drain &drain)
{
    return drain.backend;
}

std::string nameOfValue(const Schema::Evacuation &evacuation)
{
    return evacuation.failureDomain;
}

template <typename Value>
std::string namedValueError(const std::optional<Value> &value, const Schema::ConfigChange &change)
{
    if (change.name.empty() || change.name.size() > MaxNameLength) {
        return "name: allowed: 1 to 128 characters";
    }
    if (change.remove) {
        return value ? "a removal must not have a value" : "";
    }
    if (!value) {
        return "the value for this kind of change is missing";
    }
    return nameOfValue(*value) == change.name ? "" : "the value's name differs from the key";
}

int valueCount(const Schema::ConfigChange &change)
{
    return static_cast<int>(change.service.has_value()) + static_cast<int>(change.team.has_value())
           + static_cast<int>(change.drain.has_value())
           + static_cast<int>(change.evacuation.has_value())
           + static_cast<int>(change.policy.has_value());
}

std::string policyError(const Schema::ConfigChange &change)
{
    if (change.remove == change.policy.has_value()) {
        return "a policy change must either have a value or be a removal";
    }
    return "";
}

std::string valueError(const Schema::ConfigChange &change)
{
    switch (change.kind) {
    case Schema::ConfigKind::Service:
        return namedValueError(change.service, change);
    case Schema::ConfigKind::Team:
        return namedValueError(change.team, change);
    case Schema::ConfigKind::Drain:
        return namedValueError(change.drain, change);
    case Schema::ConfigKind::Evacuation:
        return namedValueError(change.evacuation, change);
    case Schema::ConfigKind::Policy:
        return policyError(change);
    }
    return "unknown kind";
}

template <typename Value>
bool containsName(const std::vector<Value> &values, const std::string &name)
{
    return std::any_of(values.begin(), values.end(),
                       [&](const Value &value) { return nameOfValue(value) == name; });
}

template <typename Value>
void setNamed(std::vector<Value> &values, const std::string &name,
              const std::optional<Value> &value)
{
    values.erase(std::remove_if(values.begin(), values.end(),
                                [&](const Value &old) { return nameOfValue(old) == name; }),
                 values.end());
    if (!value) {
        return;
    }
    const auto place = std::find_if(values.begin(), values.end(),
                                    [&](const Value &other) { return nameOfValue(other) > name; });
    values.insert(place, *value);
}

std::string keyOf(const Schema::ConfigChange &change)
{
    const std::string kind = Schema::enumName(change.kind);
    return change.kind == Schema::ConfigKind::Policy ? kind : kind + "/" + change.name;
}

void setKeyVersion(Schema::Configuration &configuration, const std::string &key,
                   std::int64_t version)
{
    for (Schema::KeyVersion &known : configuration.keyVersions) {
        if (known.key == key) {
            known.version = version;
            return;
        }
    }
    Schema::KeyVersion added;
    added.key = key;
    added.version = version;
    configuration.keyVersions.push_back(std::move(added));
}

} // namespace

std::string configKey(const Schema::ConfigChange &change)
{
    return keyOf(change);
}

std::int64_t keyVersion(const Schema::Configuration &configuration, const std::string &key)
{
    for (const Schema::KeyVersion &known : configuration.keyVersions) {
        if (known.key == key) {
            return known.version;
        }
    }
    return 0;
}

std::vector<Schema::Evacuation> evacuationsOf(const Schema::Configuration &configuration)
{
    return configuration.evacuations.value_or(std::vector<Schema::Evacuation>{});
}

bool isEvacuated(const Schema::Configuration &configuration, const std::string &failureDomain)
{
    return containsName(evacuationsOf(configuration), failureDomain);
}

std::string configChangeError(const Schema::ConfigChange &change)
{
    if (valueCount(change) > 1) {
        return "a change must not have more than one value";
    }
    const std::string error = schemaError(change);
    return error.empty() ? valueError(change) : error;
}

std::string configReferenceError(const Schema::Configuration &configuration,
                                 const Schema::ConfigChange &change)
{
    if (!change.remove) {
        return "";
    }
    bool known = true;
    switch (change.kind) {
    case Schema::ConfigKind::Service:
        known = containsName(configuration.services, change.name);
        break;
    case Schema::ConfigKind::Team:
        known = containsName(configuration.teams, change.name);
        break;
    case Schema::ConfigKind::Drain:
        known = containsName(configuration.drains, change.name);
        break;
    case Schema::ConfigKind::Evacuation:
        known = containsName(evacuationsOf(configuration), change.name);
        break;
    case Schema::ConfigKind::Policy:
        break;
    }
    return known ? "" : "there is no " + keyOf(change);
}

std::string evacuationError(const Schema::ConfigChange &change,
                            const std::vector<std::string> &known)
{
    if (!change.evacuation
        || std::find(known.begin(), known.end(), change.evacuation->failureDomain) != known.end()) {
        return "";
    }
    std::string error = "no gateway or backend server is known in " + change.name + ", only in";
    for (const std::string &failureDomain : known) {
        error += ' ' + failureDomain;
    }
    return error;
}

void applyConfigChange(Schema::Configuration &configuration, const Schema::ConfigChange &change,
                       std::int64_t version)
{
    switch (change.kind) {
    case Schema::ConfigKind::Service:
        setNamed(configuration.services, change.name, change.service);
        break;
    case Schema::ConfigKind::Team:
        setNamed(configuration.teams, change.name, change.team);
        break;
    case Schema::ConfigKind::Drain:
        setNamed(configuration.drains, change.name, change.drain);
        break;
    case Schema::ConfigKind::Evacuation: {
        std::vector<Schema::Evacuation> evacuations = evacuationsOf(configuration);
        setNamed(evacuations, change.name, change.evacuation);
        configuration.evacuations = std::move(evacuations);
        break;
    }
    case Schema::ConfigKind::Policy:
        configuration.policy = change.policy.value_or(Schema::Policy{});
        break;
    }
    setKeyVersion(configuration, keyOf(change), version);
    configuration.version = version;
}

} // namespace Dispatch
