#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Schema/Schema.h"

/// Validates and applies configuration changes. Ranges are defined by the message schema. Rules
/// that the schema can't express are checked here: a change has the value that its kind requires,
/// and a key that is removed exists.
namespace Dispatch {

/// Name of the key that \a change sets, e.g. "team/quotes".
std::string configKey(const Schema::ConfigChange &change);
/// Version of the last change to \a key; 0 if it was never changed. A removed key keeps the version
/// of its removal, so that a change based on an older document is still rejected.
std::int64_t keyVersion(const Schema::Configuration &configuration, const std::string &key);

/// The evacuated failure domains; none in a document of an earlier version.
std::vector<Schema::Evacuation> evacuationsOf(const Schema::Configuration &configuration);
bool isEvacuated(const Schema::Configuration &configuration, const std::string &failureDomain);

/// Returns what is wrong with \a change by itself, or an empty string if it is valid.
std::string configChangeError(const Schema::ConfigChange &change);
/// Returns an error if \a change removes a key that \a configuration doesn't contain, otherwise an
/// empty string.
std::string configReferenceError(const Schema::Configuration &configuration,
                                 const Schema::ConfigChange &change);
/// Returns an error if \a change evacuates a failure domain that is not among \a known ones,
/// otherwise an empty string: an operator who mistypes a name would believe it evacuated.
std::string evacuationError(const Schema::ConfigChange &change,
                            const std::vector<std::string> &known);
/// Sets or removes the key in \a configuration and sets the configuration's version to \a version.
void applyConfigChange(Schema::Configuration &configuration, const Schema::ConfigChange &change,
                       std::int64_t version);

} // namespace Dispatch
