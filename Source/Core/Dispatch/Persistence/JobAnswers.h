#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Dispatch/Persistence/JobEntry.h"

/// Answers to callers about a job: its outcome, and reliably whether any of its tasks may have run.
namespace Dispatch {

/// The final answer if the job's tasks determine it: all succeeded, one failed, or one is lost and
/// none is in TaskStage::Sent.
std::optional<Schema::JobAnswer> decidedAnswer(const JobEntry &job);
/// The final answer for a job that ends early for \a reason, from the current stages of its tasks.
Schema::JobAnswer abortedAnswer(const JobEntry &job, Schema::Reason reason,
                                std::string detail = {});
/// The answer for a job that has not ended.
Schema::JobAnswer pendingAnswer(const JobEntry &job);
/// The answer for a submission that is refused before any of its tasks was started.
Schema::JobAnswer refusal(const std::string &id, std::size_t taskCount, Schema::Reason reason,
                          std::string detail, std::int64_t retryAfterMs = 0);

} // namespace Dispatch
