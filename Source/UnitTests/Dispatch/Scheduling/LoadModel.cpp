#include "LoadModel.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <set>

namespace LoadModel {
namespace {

constexpr std::int64_t LatencyMs = 1;
/// Time from the admission of a job until its intent is durable.
constexpr std::int64_t JournalDelayMs = 3;
constexpr std::int64_t HeartbeatIntervalMs = 500;
constexpr double FailureMs = 4;
/// Time after which the agent fails a hanging task.
constexpr double HangTimeoutMs = 1500;
constexpr std::int64_t WallOffsetMs = 1000000;

struct Job
{
    std::size_t answer = 0;
    std::size_t stream = 0;
    std::vector<double> runMs;
    int ended = 0;
    bool failed = false;
    std::set<int> started;
};

struct Event
{
    std::int64_t atMs = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
};

bool operator<(const Event &left, const Event &right)
{
    return std::tie(left.atMs, left.order) > std::tie(right.atMs, right.order);
}

struct World
{
    Experiment experiment;
    Dispatch::SchedulerState scheduler;
    Common::Random random;
    Result result;
    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
    std::int64_t nowMs = 0;
    std::map<std::string, Job> jobs;
    std::vector<std::int64_t> running;
};

Common::Moment moment(const World &world)
{
    return {world.nowMs, world.nowMs + WallOffsetMs};
}

void at(World &world, std::int64_t atMs, std::function<void()> run)
{
    world.events.push({std::max(atMs, world.nowMs), world.nextOrder++, std::move(run)});
}

double uniform(World &world)
{
    return static_cast<double>(world.random() >> 11U) * 0x1.0p-53;
}

double exponential(World &world, double mean)
{
    return -mean * std::log(1 - uniform(world));
}

/// Makespan on the unloaded site plus both network delays. Tasks are placed longest first, each on
/// the slot that finishes it first.
double idealMs(const std::vector<Backend> &backends, const Stream &stream,
               std::vector<double> runMs)
{
    std::vector<double> factors;
    for (const Backend &backend : backends) {
        const bool able =
                backend.services.empty()
                || std::count(backend.services.begin(), backend.services.end(), stream.service) > 0;
        factors.insert(factors.end(), able ? static_cast<std::size_t>(backend.slots) : 0,
                       backend.factor);
    }
    std::sort(factors.begin(), factors.end());
    std::sort(runMs.rbegin(), runMs.rend());
    std::vector<double> freeAt(factors.size(), 0);
    double last = 0;
    for (const double run : runMs) {
        std::size_t best = 0;
        for (std::size_t slot = 1; slot < factors.size(); ++slot) {
            if (freeAt[slot] + run * factors[slot] < freeAt[best] + run * factors[best]) {
                best = slot;
            }
        }
        if (!factors.empty()) {
            freeAt[best] += run * factors[best];
            last = std::max(last, freeAt[best]);
        }
    }
    return last + 2 * LatencyMs;
}

void answer(World &world, const std::string &id, Outcome outcome, Schema::Reason reason,
            std::int64_t retryAfterMs)
{
    const Job &job = world.jobs.at(id);
    Answer &known = world.result.answers[job.answer];
    if (known.outcome != Outcome::Pending) {
        return;
    }
    known.outcome = outcome;
    known.reason = reason;
    known.answeredMs = world.nowMs;
    known.retryAfterMs = retryAfterMs;
    known.tasksStarted = static_cast<int>(job.started.size());
    if (outcome != Outcome::Cancelled || world.experiment.cancels) {
        Dispatch::dropJob(world.scheduler, id);
    }
}

void taskDone(World &world, const Dispatch::TaskKey &key, const std::string &agent, bool succeeded,
              double runMs)
{
    Dispatch::taskEnded(world.scheduler, key, agent, succeeded, runMs, moment(world));
    Job &job = world.jobs.at(key.job);
    job.ended += 1;
    job.failed = job.failed || !succeeded;
    if (job.failed) {
        answer(world, key.job, Outcome::Failed, Schema::Reason::TaskFailed, 0);
    } else if (job.ended == static_cast<int>(job.runMs.size())) {
        answer(world, key.job, Outcome::Completed, Schema::Reason::None, 0);
    }
}

std::size_t backendOf(const World &world, const std::string &agent)
{
    const auto &backends = world.experiment.backends;
    const auto found = std::find_if(backends.begin(), backends.end(),
                                    [&](const Backend &backend) { return backend.name == agent; });
    return static_cast<std::size_t>(found - backends.begin());
}

void handleStart(World &world, const Dispatch::Assignment &assignment)
{
    const std::size_t index = backendOf(world, assignment.agent);
    const Backend &backend = world.experiment.backends[index];
    Job &job = world.jobs.at(assignment.task.job);
    if (backend.refusing) {
        world.result.refusedStarts += 1;
        at(world, world.nowMs + LatencyMs, [&world, assignment] {
            Dispatch::taskNotStarted(world.scheduler, assignment.task, assignment.agent,
                                     Schema::Reason::BackendUnreachable, moment(world),
                                     world.random);
        });
        return;
    }
    world.result.starts += 1;
    world.result.startsByBackend[backend.name] += 1;
    world.result.doubleStarts += job.started.insert(assignment.task.index).second ? 0 : 1;
    world.running[index] += 1;
    world.result.overfilled =
            std::max(world.result.overfilled, world.running[index] - backend.slots);
    const double runMs = job.runMs[static_cast<std::size_t>(assignment.task.index)];
    const double failureMs = backend.hanging ? HangTimeoutMs : FailureMs;
    const bool succeeded = !backend.failing && !backend.hanging;
    const double durationMs = succeeded ? std::max(1.0, runMs * backend.factor) : failureMs;
    const auto endMs = world.nowMs + static_cast<std::int64_t>(std::lround(durationMs));
    at(world, endMs, [&world, index] { world.running[index] -= 1; });
    at(world, endMs + LatencyMs, [&world, assignment, succeeded, durationMs] {
        taskDone(world, assignment.task, assignment.agent, succeeded, durationMs);
    });
}

void dispatch(World &world)
{
    for (const Dispatch::ExpiredJob &expired :
         Dispatch::expiredJobs(world.scheduler, moment(world))) {
        answer(world, expired.job, Outcome::Refused, expired.refusal.reason,
               expired.refusal.retryAfterMs);
    }
    std::set<std::string> agents;
    for (const Dispatch::Assignment &assignment :
         Dispatch::assignTasks(world.scheduler, moment(world), world.random)) {
        const Answer &known = world.result.answers[world.jobs.at(assignment.task.job).answer];
        world.result.lateStarts += known.outcome == Outcome::Pending ? 0 : 1;
        agents.insert(assignment.agent);
        at(world, world.nowMs + LatencyMs,
           [&world, assignment] { handleStart(world, assignment); });
    }
    world.result.startMessages += static_cast<std::int64_t>(agents.size());
}

void submit(World &world, std::size_t streamIndex)
{
    const Stream &stream = world.experiment.streams[streamIndex];
    const std::string id = "job-" + std::to_string(world.result.answers.size());
    Job job;
    job.answer = world.result.answers.size();
    job.stream = streamIndex;
    for (int task = 0; task < stream.tasks; ++task) {
        const double part = stream.runTimes == RunTimes::Fixed ? 1 : 0.5 + uniform(world);
        job.runMs.push_back(std::max(1.0, stream.runMs * part));
    }
    Answer pending;
    pending.label = stream.label;
    pending.submittedMs = world.nowMs;
    pending.idealMs = idealMs(world.experiment.backends, stream, job.runMs);
    for (const double runMs : job.runMs) {
        pending.workMs += runMs;
    }
    world.result.answers.push_back(pending);
    world.jobs.emplace(id, std::move(job));

    Dispatch::JobDemand demand;
    demand.id = id;
    demand.team = stream.team;
    demand.caller = stream.caller;
    demand.service = stream.service;
    demand.resources = Schema::Resources{0, 256, stream.processors};
    demand.taskCount = stream.tasks;
    demand.deadlineMs = moment(world).wallMs + stream.deadlineMs;
    demand.declaredRunMs = stream.declaredMs;
    demand.idempotent = true;
    const auto refused = Dispatch::admitJob(world.scheduler, demand, moment(world));
    if (refused) {
        answer(world, id, Outcome::Refused, refused->reason, refused->retryAfterMs);
        return;
    }
    at(world, world.nowMs + JournalDelayMs,
       [&world, id] { Dispatch::setJobRunnable(world.scheduler, id, moment(world)); });
    at(world, world.nowMs + stream.deadlineMs,
       [&world, id] { answer(world, id, Outcome::Failed, Schema::Reason::DeadlinePassed, 0); });
}

void arrive(World &world, std::size_t index)
{
    const Stream &stream = world.experiment.streams[index];
    if (world.nowMs >= stream.toMs) {
        return;
    }
    submit(world, index);
    const double gap = exponential(world, 1000 / stream.jobsPerSecond);
    at(world, world.nowMs + static_cast<std::int64_t>(std::lround(gap)),
       [&world, index] { arrive(world, index); });
}

void cancelStream(World &world, std::size_t index)
{
    for (auto &entry : world.jobs) {
        if (entry.second.stream == index) {
            answer(world, entry.first, Outcome::Cancelled, Schema::Reason::Cancelled, 0);
        }
    }
}

void heartbeat(World &world, std::size_t index)
{
    const Backend &backend = world.experiment.backends[index];
    Schema::AgentHello hello;
    hello.instance = backend.name;
    hello.backend.name = backend.name;
    hello.backend.failureDomain = backend.failureDomain;
    hello.backend.slots = backend.slots;
    hello.backend.connections = 64;
    hello.backend.resources = Schema::Resources{0, 262144, 64};
    hello.backend.services = backend.services;
    hello.window = backend.slots;
    hello.running = world.running[index];
    hello.healthy = true;
    Dispatch::agentHelloReceived(world.scheduler, hello, moment(world));
    at(world, world.nowMs + HeartbeatIntervalMs, [&world, index] { heartbeat(world, index); });
}

Schema::Configuration configurationOf(const Experiment &experiment)
{
    Schema::Configuration configuration;
    configuration.policy = experiment.policy;
    std::set<std::string> teams;
    std::set<std::string> services;
    for (const Stream &stream : experiment.streams) {
        if (teams.insert(stream.team).second) {
            configuration.teams.emplace_back();
            configuration.teams.back().name = stream.team;
        }
        if (services.insert(stream.service).second) {
            configuration.services.emplace_back();
            configuration.services.back().name = stream.service;
        }
    }
    return configuration;
}

void prepare(World &world)
{
    Dispatch::configureScheduler(world.scheduler, configurationOf(world.experiment), moment(world));
    world.scheduler.switches = world.experiment.switches;
    world.scheduler.estimates.trustDeclared = world.experiment.trustDeclared;
    world.scheduler.limits.predictsDeadlines = world.experiment.predictsDeadlines;
    world.running.resize(world.experiment.backends.size());
    for (std::size_t index = 0; index < world.experiment.backends.size(); ++index) {
        heartbeat(world, index);
    }
    for (std::size_t index = 0; index < world.experiment.streams.size(); ++index) {
        const Stream &stream = world.experiment.streams[index];
        at(world, stream.fromMs, [&world, index] { arrive(world, index); });
        if (stream.cancelAtMs > 0) {
            at(world, stream.cancelAtMs, [&world, index] { cancelStream(world, index); });
        }
    }
    for (const Change &change : world.experiment.changes) {
        at(world, change.atMs, [&world, &change] { change.apply(world.experiment.backends); });
    }
}

bool isSelected(const Answer &answer, const Selection &selection)
{
    return (selection.label.empty() || answer.label == selection.label)
           && answer.submittedMs >= selection.fromMs && answer.submittedMs < selection.toMs;
}

} // namespace

Result run(const Experiment &experiment)
{
    World world;
    world.experiment = experiment;
    world.random.seed(experiment.seed);
    prepare(world);
    std::int64_t wakeMs = 0;
    while (!world.events.empty() && world.nowMs < experiment.untilMs) {
        const std::int64_t nextMs = world.events.top().atMs;
        world.nowMs = std::min(nextMs, std::max(wakeMs, world.nowMs));
        while (!world.events.empty() && world.events.top().atMs <= world.nowMs) {
            const Event event = world.events.top();
            world.events.pop();
            event.run();
        }
        dispatch(world);
        wakeMs = Dispatch::nextWakeMs(world.scheduler, moment(world));
    }
    return std::move(world.result);
}

double ratioQuantile(const Result &result, const Selection &selection, double quantile)
{
    std::vector<double> ratios;
    for (const Answer &answer : result.answers) {
        if (isSelected(answer, selection) && answer.outcome == Outcome::Completed) {
            ratios.push_back(static_cast<double>(answer.answeredMs - answer.submittedMs)
                             / answer.idealMs);
        }
    }
    if (ratios.empty()) {
        return INFINITY;
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios[static_cast<std::size_t>(quantile * static_cast<double>(ratios.size() - 1))];
}

std::int64_t countOutcome(const Result &result, const Selection &selection, Outcome outcome)
{
    return std::count_if(result.answers.begin(), result.answers.end(), [&](const Answer &answer) {
        return isSelected(answer, selection) && answer.outcome == outcome;
    });
}

double shareOf(const Result &result, const Selection &selection, Outcome outcome)
{
    const auto all =
            std::count_if(result.answers.begin(), result.answers.end(),
                          [&](const Answer &answer) { return isSelected(answer, selection); });
    return static_cast<double>(countOutcome(result, selection, outcome))
           / static_cast<double>(std::max<std::int64_t>(all, 1));
}

double goodput(const Result &result, std::int64_t fromMs, std::int64_t toMs)
{
    double work = 0;
    for (const Answer &answer : result.answers) {
        if (answer.outcome == Outcome::Completed && answer.answeredMs >= fromMs
            && answer.answeredMs < toMs) {
            work += answer.workMs;
        }
    }
    return work / static_cast<double>(toMs - fromMs);
}

std::vector<Backend> smallSite(double slowest)
{
    constexpr int Count = 11;
    const char *const domains[] = {"tunis", "bizerte", "nabeul", "beja"};
    std::vector<Backend> backends;
    for (int index = 0; index < Count; ++index) {
        Backend backend;
        backend.name = "backend-" + std::to_string(index);
        backend.failureDomain = domains[index % 4];
        backend.factor = 1 + (slowest - 1) * index / (Count - 1);
        backends.push_back(backend);
    }
    return backends;
}

double capacityOf(const std::vector<Backend> &backends)
{
    double capacity = 0;
    for (const Backend &backend : backends) {
        capacity += static_cast<double>(backend.slots) / backend.factor;
    }
    return capacity;
}

} // namespace LoadModel
