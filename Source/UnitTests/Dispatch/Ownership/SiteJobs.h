#pragma once

#include "SiteWorld.h"

/// A minimal model of how an owner handles callers' jobs, as far as the oracle needs it: one start
/// for each job.
namespace SiteTest {

/// Submits \a job, first submitted at the wall time \a firstMs, to a gateway. Returns whether the
/// gateway serves the job's shard and accepted the job.
bool submit(World &world, std::size_t gateway, const std::string &job, std::int64_t firstMs);
void startWaitingJobs(World &world, Gateway &gateway);
/// Begins the handovers that are wanted and sends those again that are not accepted yet.
void repeatHandovers(World &world, Gateway &gateway);

} // namespace SiteTest
