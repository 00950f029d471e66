#pragma once

#include "Dispatch/Persistence/Ledger.h"

/// Jobs on their way from one owner of a shard to the next.
namespace Dispatch {

Schema::JobSnapshot snapshotOf(const JobEntry &job);
/// A predecessor's job; null where it is known already.
JobEntry *importJob(LedgerState &state, const Schema::JobSnapshot &snapshot);

} // namespace Dispatch
