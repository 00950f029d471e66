#pragma once

#include <nlohmann/json.hpp>

#include "Common/Outcome.h"

namespace StandIn {

/// Returns \a current with the members that \a change contains replaced. Fails with
/// Reason::Malformed if \a change is not an object, or if a member is unknown, has another type or
/// is negative.
Common::Outcome<nlohmann::json> mergeControl(nlohmann::json current, const nlohmann::json &change);

} // namespace StandIn
