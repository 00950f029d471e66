#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Dispatch/Persistence/JobEntry.h"

/// What a caller is told of a job: its outcome and, truthfully, whether any of it may have run.
namespace Dispatch {

/// The answer if the job's tasks decide it: all succeeded, one failed, or one lost and none open.
std::optional<Schema::JobAnswer> decidedAnswer(const JobEntry &job);
/// The answer when the job is given up for \a reason, from what is known now.
Schema::JobAnswer abortedAnswer(const JobEntry &job, Schema::Reason reason,
                                std::string detail = {});
/// What a job's state is while it is running.
Schema::JobAnswer pendingAnswer(const JobEntry &job);
/// A refusal that started nothing.
Schema::JobAnswer refusal(const std::string &id, std::size_t taskCount, Schema::Reason reason,
                          std::string detail, std::int64_t retryAfterMs = 0);

} // namespace Dispatch
