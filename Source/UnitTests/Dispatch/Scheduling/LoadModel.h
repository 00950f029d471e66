#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Dispatch/Scheduling/Scheduler.h"

/// A model of a site around the scheduler, in virtual time: callers that submit regardless of the
/// answers (open loop), backend servers with slots and speeds, and the answers that callers
/// receive.
namespace LoadModel {

struct Backend
{
    std::string name;
    std::string failureDomain;
    std::int64_t slots = 8;
    /// Run times are multiplied by this factor.
    double factor = 1;
    std::vector<std::string> services;
    /// Fails every task after a few milliseconds.
    bool failing = false;
    /// Refuses every start.
    bool refusing = false;
    /// Accepts tasks and completes none; its agent fails each one after a timeout.
    bool hanging = false;
};

/// A change to the backend servers at a given time.
struct Change
{
    std::int64_t atMs = 0;
    std::function<void(std::vector<Backend> &)> apply;
};

enum class RunTimes {
    Fixed,
    /// Uniformly distributed from 0.5 to 1.5 times the run time.
    Uniform
};

struct Stream
{
    std::string label;
    std::string team = "team";
    std::string caller;
    std::string service = "any";
    double jobsPerSecond = 0;
    int tasks = 1;
    double runMs = 100;
    RunTimes runTimes = RunTimes::Fixed;
    std::int64_t declaredMs = 0;
    std::int64_t deadlineMs = 30000;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
    /// All unanswered jobs of the stream are cancelled at this time; 0 means never.
    std::int64_t cancelAtMs = 0;
    double processors = 1;
};

struct Experiment
{
    std::vector<Backend> backends;
    std::vector<Stream> streams;
    std::vector<Change> changes;
    Schema::Policy policy;
    Dispatch::SchedulerSwitches switches;
    bool predictsDeadlines = true;
    bool trustDeclared = false;
    /// Whether cancelled jobs are removed from the scheduler.
    bool cancels = true;
    std::int64_t untilMs = 30000;
    std::uint64_t seed = 7;
};

enum class Outcome { Pending, Completed, Failed, Refused, Cancelled };

/// What a caller received.
struct Answer
{
    std::string label;
    Outcome outcome = Outcome::Pending;
    Schema::Reason reason = Schema::Reason::None;
    std::int64_t submittedMs = 0;
    std::int64_t answeredMs = 0;
    std::int64_t retryAfterMs = 0;
    /// Response time on an unloaded site, with the tasks spread over the fastest slots.
    double idealMs = 0;
    /// Sum of the run times of the job's tasks at factor 1.
    double workMs = 0;
    int tasksStarted = 0;
};

struct Result
{
    std::vector<Answer> answers;
    std::int64_t starts = 0;
    std::int64_t refusedStarts = 0;
    /// Starts of tasks that had already started.
    std::int64_t doubleStarts = 0;
    /// Starts assigned after the caller had received the answer to the job.
    std::int64_t lateStarts = 0;
    /// Largest number of tasks by which a backend server exceeded its slots.
    std::int64_t overfilled = 0;
    std::int64_t startMessages = 0;
    std::map<std::string, std::int64_t> startsByBackend;
};

Result run(const Experiment &experiment);

/// Selects answers by label (empty for all) and time of submission in [fromMs, toMs).
struct Selection
{
    std::string label;
    std::int64_t fromMs = 0;
    std::int64_t toMs = INT64_MAX;
};

/// Quantile of response time divided by ideal time, over the completed answers; infinite for none.
double ratioQuantile(const Result &result, const Selection &selection, double quantile);
std::int64_t countOutcome(const Result &result, const Selection &selection, Outcome outcome);
double shareOf(const Result &result, const Selection &selection, Outcome outcome);
/// Work (at factor 1) of the jobs answered as completed in [fromMs, toMs), per millisecond. This is
/// the mean number of slots of factor 1 in use for jobs that completed.
double goodput(const Result &result, std::int64_t fromMs, std::int64_t toMs);

/// 11 backend servers of 8 slots in four failure domains, with factors spaced evenly from 1 to
/// \a slowest.
std::vector<Backend> smallSite(double slowest);
/// Work (at factor 1) that all slots of the site can do per millisecond.
double capacityOf(const std::vector<Backend> &backends);

} // namespace LoadModel
