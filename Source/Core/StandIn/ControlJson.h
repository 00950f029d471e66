#pragma once

#include <nlohmann/json.hpp>

#include "Common/Outcome.h"

namespace StandIn {

/// \a current with the members that \a change names set anew. Fails with Reason::Malformed where a
/// member is unknown, of another type or negative.
Common::Outcome<nlohmann::json> mergeControl(nlohmann::json current, const nlohmann::json &change);

} // namespace StandIn
