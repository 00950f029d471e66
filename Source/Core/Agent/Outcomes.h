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

/// The agent's memory of tasks: what it accepted, what it refused and what came of each. Two
/// promises rest on it: a task that may have started is never started again, and a refused start
/// stays refused. It also keeps which final states are still owed to an owner.
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
    /// In the agent's queue; the backend server has not seen it.
    Queued,
    /// Handed to the backend server; it may have started.
    Running,
    /// Has a final phase, NotStarted among them.
    Ended,
};

struct TaskRecord
{
    std::int64_t shard = 0;
    StartOrder start;
    /// Highest start that was answered with not_started; nothing up to it may start any more.
    StartOrder refused;
    std::int64_t notAfterMs = 0;
    /// Steady times: of the last change of stage, of the end of memory, of the next report.
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
    /// How long an outcome is kept after its end, acknowledged or not: a successor of its owner may
    /// ask for it, and a repeated start must meet it. At least the gateways' dedup window.
    std::int64_t retentionMs = 600'000;
    /// Time between two reports of a final state that is not acknowledged.
    std::int64_t repeatReportMs = 1000;
    /// Past these bounds new starts are refused: memory stays bounded while no owner acknowledges.
    std::size_t maxRecords = 200'000;
    std::size_t maxResultBytes = 32U << 20U;
    /// Switched off by tests, to show what they guard against.
    bool repeatsRefused = true;
    bool refusalsKept = true;
};

struct Outcomes
{
    using Records = std::unordered_map<TaskKey, TaskRecord, TaskKeyHash>;
    using PendingReport = std::pair<std::int64_t, const TaskKey *>;

    OutcomesOptions options;
    Records records;
    /// Final states owed to an owner, by the time of their next report. Keys live in records.
    std::set<PendingReport> pendingReports;
    /// Records by the second in which they may be forgotten.
    std::map<std::int64_t, std::vector<const TaskKey *>> expiries;
    std::size_t resultBytes = 0;
};

/// What the memory says to a start message.
enum class StartStatus { New, Known };

/// Known: the task may have started, or this start or a later one was refused. It must not be
/// started.
StartStatus lookUpStart(const Outcomes &outcomes, const Schema::StartTask &task);

bool hasRoom(const Outcomes &outcomes);
/// Room for remembering refusals lasts longer than that for accepting tasks: a refusal that cannot
/// be remembered must not be given.
bool hasRoomForRefusal(const Outcomes &outcomes);

TaskRecord *findRecord(Outcomes &outcomes, const TaskKey &key);

/// The task waits in the agent's queue.
void recordQueued(Outcomes &outcomes, const Schema::StartTask &task, Common::Moment now);
/// The task is about to be handed to the backend server. Breaks an invariant where that would be
/// its second start, or a start that was refused.
void recordRunning(Outcomes &outcomes, const TaskKey &key, Common::Moment now);
/// A start that was refused before it was accepted.
void recordRefused(Outcomes &outcomes, const Schema::StartTask &task, Schema::Reason reason,
                   Common::Moment now);

struct TaskEnd
{
    Schema::TaskPhase phase = Schema::TaskPhase::Unknown;
    Schema::Reason reason = Schema::Reason::None;
    std::string result;
    double runMs = 0;
};
/// An accepted task has its final phase, which is now owed to its owner.
void recordEnded(Outcomes &outcomes, const TaskKey &key, TaskEnd end, Common::Moment now);

/// The owner has the final state of \a key, of an attempt up to \a attempt. False where there is
/// nothing to acknowledge: an owner must not acknowledge states that are not final.
bool acknowledge(Outcomes &outcomes, const TaskKey &key, std::int64_t attempt);

/// Puts the next report of a final state at \a dueMs, also where it was acknowledged before.
void scheduleReportAt(Outcomes &outcomes, const TaskKey &key, std::int64_t dueMs);

/// Forgets what is past its time; returns how many final states were never acknowledged.
std::size_t removeExpired(Outcomes &outcomes, Common::Moment now);

Schema::TaskState stateOf(const TaskKey &key, const TaskRecord &record);

} // namespace Agent
