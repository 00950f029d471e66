#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Agent/Effects.h"
#include "Common/Common.h"
#include "Schema/Schema.h"

/// Records of tasks: which starts the agent accepted, which it refused and the outcome of each. Two
/// guarantees rest on them: a task that may have started is never started again, and a refused
/// start stays refused. They also track which final states their owners have not acknowledged yet.
namespace Agent {

/// Orders the starts of one task: by epoch, then by attempt under that epoch.
struct StartOrder
{
    std::int64_t epoch = -1;
    std::int64_t attempt = 0;
};

inline bool operator<=(const StartOrder &left, const StartOrder &right)
{
    return std::pair(left.epoch, left.attempt) <= std::pair(right.epoch, right.attempt);
}

enum class TaskStage {
    /// In the agent's queue; not yet sent to the backend server.
    Queued,
    /// Sent to the backend server; it may have started.
    Running,
    /// Has a final phase, which may be NotStarted.
    Ended,
};

struct TaskRecord
{
    std::int64_t shard = 0;
    StartOrder start;
    /// Highest start that was answered with not_started; no start up to it may begin any more.
    StartOrder refused;
    std::int64_t notAfterMs = 0;
    /// Steady times of the last change of stage, of the record's expiry and of the next report.
    std::int64_t changedMs = 0;
    std::int64_t expiresMs = 0;
    std::int64_t dueMs = 0;
    std::string result;
    float runMs = 0;
    TaskStage stage = TaskStage::Queued;
    Schema::TaskPhase phase = Schema::TaskPhase::Running;
    Schema::Reason reason = Schema::Reason::None;
    bool resultDropped = false;
    bool unacked = false;
    bool runningReported = false;
    bool expiryScheduled = false;
};

struct OutcomesOptions
{
    /// How long the record of a task that may have started is kept after the task's end,
    /// acknowledged or not: a successor of its owner may ask for it, and a repeated start must be
    /// recognised. At least the gateways' dedup window.
    std::int64_t retentionMs = 600'000;
    /// Time between two reports of a final state that is not acknowledged.
    std::int64_t repeatReportMs = 1000;
    /// Beyond these bounds new starts are refused, so that memory use stays bounded while no owner
    /// acknowledges.
    std::size_t maxRecords = 200'000;
    std::size_t maxResultBytes = 32U << 20U;
    /// Disabled by tests, to show which failures these checks prevent.
    bool repeatsRefused = true;
    bool refusalsKept = true;
};

struct Outcomes
{
    using Records = std::unordered_map<TaskKey, TaskRecord, TaskKeyHash>;
    using PendingReport = std::pair<std::int64_t, const TaskKey *>;

    OutcomesOptions options;
    Records records;
    /// Final states to be reported to an owner, by the time of their next report. The keys are
    /// those of records.
    std::set<PendingReport> pendingReports;
    /// Records by the second in which they may be removed. The keys are those of records.
    std::map<std::int64_t, std::vector<const TaskKey *>> expiries;
    std::size_t resultBytes = 0;
};

/// Whether a start message repeats a start that is already on record.
enum class StartStatus { New, Known };

/// Known means that the task is queued or may have started, or that this start or a later one was
/// refused: it must not be started.
StartStatus lookUpStart(const Outcomes &outcomes, const Schema::StartTask &task);

bool hasRoom(const Outcomes &outcomes);
/// Refusals are recorded up to a higher bound than accepted tasks, since a refusal that cannot be
/// recorded must not be sent.
bool hasRoomForRefusal(const Outcomes &outcomes);

TaskRecord *findRecord(Outcomes &outcomes, const TaskKey &key);

/// Records that the task waits in the agent's queue.
void recordQueued(Outcomes &outcomes, const Schema::StartTask &task, Common::Moment now);
/// Records that the task is about to be sent to the backend server. Aborts the process if the task
/// is not queued, so that this would be a second start, or if the start was refused.
void recordRunning(Outcomes &outcomes, const TaskKey &key, Common::Moment now);
/// Records a start that was refused before it was queued.
void recordRefused(Outcomes &outcomes, const Schema::StartTask &task, Schema::Reason reason,
                   Common::Moment now);

struct TaskEnd
{
    Schema::TaskPhase phase = Schema::TaskPhase::Unknown;
    Schema::Reason reason = Schema::Reason::None;
    std::string result;
    double runMs = 0;
};
/// Records the final phase of an accepted task, which must then be reported to its owner. Aborts
/// the process if the task has no record or has ended already.
void recordEnded(Outcomes &outcomes, const TaskKey &key, TaskEnd end, Common::Moment now);

/// Handles the owner's acknowledgement of the final state of \a key for attempts up to \a attempt.
/// Returns false if there is nothing to acknowledge: an owner must not acknowledge states that are
/// not final.
bool acknowledge(Outcomes &outcomes, const TaskKey &key, std::int64_t attempt);

/// Schedules the next report of a final state at steady time \a dueMs, also if the state was
/// acknowledged before. Does nothing for a task that has not ended.
void scheduleReportAt(Outcomes &outcomes, const TaskKey &key, std::int64_t dueMs);

/// Removes expired records. Returns how many of them had a final state that was not acknowledged.
std::size_t removeExpired(Outcomes &outcomes, Common::Moment now);

Schema::TaskState stateOf(const TaskKey &key, const TaskRecord &record);

} // namespace Agent
