#pragma once

#include "Transient/Jobs.h"

/// Jobs of which agents have tasks for other gateways that may be lost, or of whose callers another
/// gateway may know too little.
namespace Transient {

/// Lists the late jobs of this gateway for the others, which start nothing of them: those of which
/// tasks may run when half of the timeout that their callers had on arrival has passed.
///
/// Failure: a request is held up on its way, and later the end of its connection as well. The
/// caller's timeout passes earlier than this gateway assumes, and the tasks run at the gateway that
/// it submits to next beside those ordered here. At that time the job's age here is the timeout and
/// ResubmitMs, less the delay: all gateways know it by then unless the delay is more than half the
/// timeout and a second. Few jobs take as long, so that the lists are short.
void listLateJobs(GatewayState &state, Common::Moment now);

/// When the job has to be listed.
std::int64_t lateJobAtMs(const JobRecord &job);

/// True if tasks of the job \a id that another gateway ordered may still run.
bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now);

/// Handles parked submissions of ids of which no earlier tasks can run any more.
Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
