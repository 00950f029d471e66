#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Jobs.h"

/// What a gateway has learned of run times and callers, so that another one can start with it.
///
/// Load pattern: all gateways lose their memory at once, and the callers' requests of the meantime
/// come together. Without memory every backend server counts as equally fast, and those that take
/// twice as long get as many tasks: in the first two seconds a quarter of the late jobs waited for
/// one of eleven backend servers.
namespace Transient {

Schema::LearnedTimes learnedTimes(const GatewayState &state, const std::string &gateway,
                                  Common::Moment now);

/// Takes over what this gateway doesn't know as well by itself. Of several records the first one
/// that tells of a thing counts: the newest has to come first.
void recallTimes(GatewayState &state, const Schema::LearnedTimes &learned);

/// The speed of an agent that has just announced itself, where it is remembered.
void recallSpeedOf(Fleet &fleet, AgentView &agent);

/// When what was learned is read and written.
struct LearnedSchedule
{
    std::int64_t startedMs = 0;
    /// None once the records are known, or not worth reading any more.
    std::optional<std::int64_t> nextReadMs;
    std::int64_t nextWriteMs = 0;
};

/// A gateway that starts at \a now reads at once, and writes once it has had time to learn.
LearnedSchedule scheduleLearned(const Fleet &fleet, Common::Moment now);

/// Whether the records are to be read now. The store may be silent when a gateway starts: they are
/// asked for until they come, or until the gateway has learned more than they tell.
bool takeReadDue(LearnedSchedule &schedule, Common::Moment now);
/// The records have come.
void learnedRead(LearnedSchedule &schedule);

/// Whether a record is to be written now. The record grows with the fleet, so that the pause until
/// the next one does, too.
bool takeWriteDue(LearnedSchedule &schedule, const Fleet &fleet, Common::Moment now);

} // namespace Transient
