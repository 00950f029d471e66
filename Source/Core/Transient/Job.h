#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Transient jobs: answered when they end, owned by the gateway that took them and kept nowhere
/// else. A caller whose connection breaks submits again, so that nothing needs to outlive the
/// gateway; what must hold is that no task of the first submission still runs by then.
namespace Transient {

/// Tasks of one kind that may start once the steps before them have ended.
struct StepRequest
{
    int taskCount = 0;
    Schema::Resources resources;
    /// A rough guess of the caller's.
    std::int64_t expectedRunMs = 0;
    /// Positions of the steps that must have succeeded first.
    std::vector<int> after;
    /// Label that the backend server must have; empty for any.
    std::string requiredLabel;
    /// Label of the rack that holds the data; empty where it does not matter.
    std::string dataRack;
    /// 0 is no limit.
    int maxTasksPerBackend = 0;
};

struct JobRequest
{
    std::string id;
    /// Goes to the backend server unread.
    std::string payload;
    std::vector<StepRequest> steps;
};

enum class JobOutcome {
    Succeeded,
    /// A task failed as often as its queue allows.
    Failed,
    /// Nothing of it has run or will run.
    Refused,
    /// It was given up after something may have run.
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
    /// With a refusal: when to submit again; 0 where that would not help.
    std::int64_t retryAfterMs = 0;
};

} // namespace Transient
