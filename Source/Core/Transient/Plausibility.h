#pragma once

#include <optional>
#include <string>

#include "Schema/Schema.h"
#include "Transient/Backend.h"

/// Ranges of what other writers may have left in the platform's store or announce to an agent. Each
/// function returns why the message is not to be used, or nothing if it is.
///
/// Failure: a record with a port out of range takes the place of a gateway among those that are
/// dialled; a number that exceeds all later ones makes them count as late.
namespace Transient {

std::optional<std::string> problemWith(const Schema::Member &gateway);
std::optional<std::string> problemWith(const Schema::LearnedTimes &learned);
std::optional<std::string> problemWith(const BackendAnnouncement &announcement);

} // namespace Transient
