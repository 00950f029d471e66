#pragma once

#include "SiteWorld.h"

/// What an owner does with callers' jobs, as little as the oracle needs: one start for each job.
namespace SiteTest {

/// Hands \a job to a gateway, which takes it if it serves the shard. Returns whether it did.
bool submit(World &world, std::size_t gateway, const std::string &job, std::int64_t firstMs);
void startWaitingJobs(World &world, Gateway &gateway);
/// Begins the handovers that are wanted, and repeats those that are not accepted yet.
void repeatHandovers(World &world, Gateway &gateway);

} // namespace SiteTest
