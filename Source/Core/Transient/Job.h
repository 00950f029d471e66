#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Transient jobs are answered when they end. They are owned by the gateway that admitted them and
/// stored nowhere else: a caller whose connection breaks submits again, so that nothing needs to
/// outlive the gateway. No task of the first submission may still run by then.
namespace Transient {

/// Tasks of one kind that may start once the steps before them have succeeded.
struct StepRequest
{
    int taskCount = 0;
    Schema::Resources resources;
    /// Rough estimate by the caller.
    std::int64_t expectedRunMs = 0;
    /// Positions of the steps that must succeed first.
    std::vector<int> after;
    /// Label that the backend server must have; empty for any.
    std::string requiredLabel;
    /// Label of the rack that holds the data; empty if the rack does not matter.
    std::string dataRack;
    /// 0 for no limit.
    int maxTasksPerBackend = 0;
};

struct JobRequest
{
    std::string id;
    /// Passed to the backend server without being read.
    std::string payload;
    std::vector<StepRequest> steps;
};

enum class JobOutcome {
    Succeeded,
    /// A task failed as often as its queue allows.
    Failed,
    /// None of its tasks has run or will run.
    Refused,
    /// Ended before it was complete; some of its tasks may have run.
    GaveUp
};

constexpr Common::NameTable<JobOutcome, 4> JobOutcomeNames{{{JobOutcome::Succeeded, "succeeded"},
                                                            {JobOutcome::Failed, "failed"},
                                                            {JobOutcome::Refused, "refused"},
                                                            {JobOutcome::GaveUp, "gave_up"}}};

struct JobResult
{
    JobOutcome outcome = JobOutcome::Refused;
    Schema::Reason reason = Schema::Reason::None;
    /// For a refusal: time after which to submit again; 0 if that would not help.
    std::int64_t retryAfterMs = 0;
};

} // namespace Transient
