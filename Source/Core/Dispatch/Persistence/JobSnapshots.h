#pragma once

#include "Dispatch/Persistence/Ledger.h"

/// Snapshots of jobs, which a handover carries from one owner of a shard to the next.
namespace Dispatch {

Schema::JobSnapshot snapshotOf(const JobEntry &job);
/// Adds a predecessor's job. Returns null if the job is already known.
JobEntry *importJob(LedgerState &state, const Schema::JobSnapshot &snapshot);

} // namespace Dispatch
