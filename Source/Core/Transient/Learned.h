#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Jobs.h"

/// Saves and restores what a gateway has learned about run times and callers, so that another one
/// can start with it.
///
/// Load pattern: all gateways restart at once and lose what they have learned, and the requests
/// that callers have made meanwhile arrive together. Without the saved values every backend server
/// counts as equally fast, and those that take twice as long get as many tasks: in the first two
/// seconds a quarter of the late jobs waited for one of eleven backend servers.
namespace Transient {

/// Creates the record of what this gateway has learned. \a gateway is its instance.
Schema::LearnedTimes learnedTimes(const GatewayState &state, const std::string &gateway,
                                  Common::Moment now);

/// Takes over values for which this gateway has fewer samples itself. Of several records the newest
/// has to come first: the speed of an agent is taken from the first record that has one, and any
/// other value is replaced only by one with more samples.
void recallTimes(GatewayState &state, const Schema::LearnedTimes &learned);

/// Takes over the recalled speed of an agent that has just announced itself, unless its labels
/// differ.
void recallSpeedOf(Fleet &fleet, AgentView &agent);

/// When what was learned is read and written.
struct LearnedSchedule
{
    std::int64_t startedMs = 0;
    /// None once the records have been read or are no longer worth reading.
    std::optional<std::int64_t> nextReadMs;
    std::int64_t nextWriteMs = 0;
};

/// Schedule of a gateway that starts at \a now: it reads at once, and writes after the first pause,
/// when it has had time to learn.
LearnedSchedule scheduleLearned(const Fleet &fleet, Common::Moment now);

/// Returns true if the records have to be read now, and schedules the next attempt. The store may
/// not answer when a gateway starts: reading is repeated until it succeeds, or until the gateway
/// has learned more than the records contain.
bool takeReadDue(LearnedSchedule &schedule, Common::Moment now);
/// The records have been read: ends the attempts.
void finishReading(LearnedSchedule &schedule);

/// Returns true if a record has to be written now, and schedules the next one. The pause between
/// records grows with the fleet, since the record does.
bool takeWriteDue(LearnedSchedule &schedule, const Fleet &fleet, Common::Moment now);

} // namespace Transient
