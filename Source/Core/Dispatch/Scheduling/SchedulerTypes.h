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

/// The properties of a job that scheduling decisions depend on.
struct JobDemand
{
    std::string id;
    std::string team;
    std::string caller;
    std::string service;
    /// The resources of the service are used if absent.
    std::optional<Schema::Resources> resources;
    int taskCount = 0;
    /// Wall-clock time.
    std::int64_t deadlineMs = 0;
    /// 0 means the expected run time of the service.
    std::int64_t declaredRunMs = 0;
    bool idempotent = false;
};

/// Why a job was refused or ended without any of its tasks having started.
struct Refusal
{
    Schema::Reason reason = Schema::Reason::None;
    std::string detail;
    /// 0 if a retry would not help.
    std::int64_t retryAfterMs = 0;
};

/// A task to be sent to an agent now.
struct Assignment
{
    TaskKey task;
    std::string agent;
};

/// A job to be ended because none of its tasks was started in time.
struct ExpiredJob
{
    std::string job;
    Refusal refusal;
};

/// How to proceed with a task that is proven not to have started.
enum class RetryDecision {
    /// The task waits to be assigned again.
    Requeued,
    /// All attempts are used up, and the task will not be assigned again.
    AttemptsExhausted,
    /// The task is not in flight at that agent, or its job no longer exists.
    Ignored
};

} // namespace Dispatch
