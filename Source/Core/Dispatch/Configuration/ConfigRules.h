#pragma once

#include <cstdint>
#include <string>

#include "Schema/Schema.h"

/// What a configuration may hold. Ranges are those of the message schema; what the schema can't say
/// (a change carries what its kind names, a key that is removed exists) is checked here.
namespace Dispatch {

/// Name of the key that \a change sets, e.g. "team/quotes".
std::string configKey(const Schema::ConfigChange &change);
/// 0 where the key was never changed. A removed key keeps the version of its removal, so that a
/// change based on an older document still loses.
std::int64_t keyVersion(const Schema::Configuration &configuration, const std::string &key);

/// Empty when \a change is well formed; otherwise what is wrong with it.
std::string configChangeError(const Schema::ConfigChange &change);
/// Empty when \a change fits \a configuration as well.
std::string configReferenceError(const Schema::Configuration &configuration,
                                 const Schema::ConfigChange &change);
/// Sets or removes the key in \a configuration, which then has \a version.
void applyConfigChange(Schema::Configuration &configuration, const Schema::ConfigChange &change,
                       std::int64_t version);

} // namespace Dispatch
