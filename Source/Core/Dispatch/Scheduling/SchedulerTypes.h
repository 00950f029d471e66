#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Schema/Schema.h"

namespace Dispatch {

/// One task of a job.
struct TaskKey
{
    std::string job;
    int index = 0;
};

inline bool operator==(const TaskKey &left, const TaskKey &right)
{
    return left.index == right.index && left.job == right.job;
}

/// What a job asks for, as far as deciding on it needs.
struct JobDemand
{
    std::string id;
    std::string team;
    std::string caller;
    std::string service;
    /// Absent: the service's.
    std::optional<Schema::Resources> resources;
    int taskCount = 0;
    /// Wall clock.
    std::int64_t deadlineMs = 0;
    /// 0: the service's.
    std::int64_t declaredRunMs = 0;
    bool idempotent = false;
};

/// Nothing of the job was started.
struct Refusal
{
    Schema::Reason reason = Schema::Reason::None;
    std::string detail;
    /// 0 where trying again later would not help.
    std::int64_t retryAfterMs = 0;
};

/// A task that goes to an agent now.
struct Assignment
{
    TaskKey task;
    std::string agent;
};

/// A job to be ended without a start.
struct ExpiredJob
{
    std::string job;
    Refusal refusal;
};

/// What becomes of a task that was proven not to have started.
enum class RetryDecision {
    /// Waits for another agent.
    Requeued,
    /// Its attempts are used up: it will not be assigned again.
    AttemptsExhausted,
    /// Not known as in flight at that agent, or its job is gone.
    Ignored
};

} // namespace Dispatch
