#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Dispatch/Scheduling/Scheduler.h"

/// A site in virtual time around the scheduler: callers that submit whatever happens (open loop),
/// backend servers with slots and speeds, and the answers that callers receive.
namespace LoadModel {

struct Backend
{
    std::string name;
    std::string failureDomain;
    std::int64_t slots = 8;
    /// Run times are multiplied by it.
    double factor = 1;
    std::vector<std::string> services;
    /// Fails every task after a few milliseconds.
    bool failing = false;
    /// Refuses every start.
    bool refusing = false;
    /// Takes tasks, which its agent gives up after a while.
    bool hanging = false;
};

/// A change to the site or its callers at some time.
struct Change
{
    std::int64_t atMs = 0;
    std::function<void(std::vector<Backend> &)> apply;
};

enum class RunTimes {
    Fixed,
    /// From half to one and a half times.
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
    /// All of it that waits then is cancelled; 0 is never.
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
    /// Cancelled jobs are taken out of the queue.
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
    /// On an unloaded site: each task on the fastest backend servers, spread over their slots.
    double idealMs = 0;
    /// Sum of its tasks' run times at factor 1.
    double workMs = 0;
    int tasksStarted = 0;
};

struct Result
{
    std::vector<Answer> answers;
    std::int64_t starts = 0;
    std::int64_t refusedStarts = 0;
    /// Tasks that started more than once.
    std::int64_t doubleStarts = 0;
    /// Starts after the caller was told that the job had ended.
    std::int64_t lateStarts = 0;
    /// Most tasks at one backend server above its slots.
    std::int64_t overfilled = 0;
    std::int64_t startMessages = 0;
    std::map<std::string, std::int64_t> startsByBackend;
};

Result run(const Experiment &experiment);

/// Picks answers by label and time of submission.
struct Selection
{
    std::string label;
    std::int64_t fromMs = 0;
    std::int64_t toMs = INT64_MAX;
};

/// Response over ideal of the completed answers.
double ratioQuantile(const Result &result, const Selection &selection, double quantile);
std::int64_t countOutcome(const Result &result, const Selection &selection, Outcome outcome);
double shareOf(const Result &result, const Selection &selection, Outcome outcome);
/// Work of the jobs completed with their answer in [fromMs, toMs), per millisecond: slots in use
/// for work that was worth it.
double goodput(const Result &result, std::int64_t fromMs, std::int64_t toMs);

/// 11 backend servers of 8 slots in four failure domains, factors evenly from 1 to \a slowest.
std::vector<Backend> smallSite(double slowest);
/// All that the site's slots can do in a millisecond.
double capacityOf(const std::vector<Backend> &backends);

} // namespace LoadModel
