#include <algorithm>
#include <doctest/doctest.h>

#include "Dispatch/Configuration/PolicyPresets.h"
#include "LoadModel.h"

using LoadModel::Backend;
using LoadModel::Experiment;
using LoadModel::Outcome;
using LoadModel::Result;
using LoadModel::RunTimes;
using LoadModel::Stream;

namespace {

constexpr std::int64_t EndMs = 30000;
/// Time after the start in which the estimates converge.
constexpr std::int64_t WarmUpMs = 5000;

/// Streams of \a callers callers in three teams, with a total load of \a load times the capacity of
/// the site.
std::vector<Stream> steadyLoad(const std::vector<Backend> &backends, double load, int callers,
                               double runMs, std::int64_t deadlineMs = 30000)
{
    std::vector<Stream> streams;
    for (int index = 0; index < callers; ++index) {
        Stream stream;
        stream.label = "steady";
        stream.team = "team-" + std::to_string(index % 3);
        stream.caller = "caller-" + std::to_string(index);
        stream.jobsPerSecond = load * LoadModel::capacityOf(backends) / runMs * 1000 / callers;
        stream.runMs = runMs;
        stream.runTimes = RunTimes::Uniform;
        stream.deadlineMs = deadlineMs;
        stream.toMs = EndMs;
        streams.push_back(stream);
    }
    return streams;
}

Experiment steadySite(double slowest, double load, double runMs = 200,
                      std::int64_t deadlineMs = 30000)
{
    Experiment experiment;
    experiment.backends = LoadModel::smallSite(slowest);
    experiment.streams = steadyLoad(experiment.backends, load, 10, runMs, deadlineMs);
    experiment.untilMs = EndMs + deadlineMs;
    return experiment;
}

Stream copyFirstStream(const Experiment &experiment, const char *label)
{
    Stream stream = experiment.streams.front();
    stream.label = label;
    stream.caller = label;
    return stream;
}

void useFifo(Experiment &experiment)
{
    experiment.policy.queueing = Schema::QueueingPolicy::Fifo;
}

void useRandom(Experiment &experiment)
{
    experiment.policy.placement = Schema::PlacementPolicy::Random;
}

void useRandomFifo(Experiment &experiment)
{
    useRandom(experiment);
    useFifo(experiment);
}

void admitAll(Experiment &experiment)
{
    experiment.predictsDeadlines = false;
    useFifo(experiment);
}

double steadyP99(const Result &result)
{
    return LoadModel::ratioQuantile(result, {"steady", WarmUpMs}, 0.99);
}

double steadyP50(const Result &result)
{
    return LoadModel::ratioQuantile(result, {"steady", WarmUpMs}, 0.5);
}

double steadyNotCompleted(const Result &result)
{
    return 1 - LoadModel::shareOf(result, {"steady", WarmUpMs}, Outcome::Completed);
}

/// One caller submits hundreds of jobs of ten tasks at once, on top of a normal load.
Experiment burst()
{
    Experiment experiment = steadySite(2, 0.4);
    Stream burst = copyFirstStream(experiment, "burst");
    burst.jobsPerSecond = 400;
    burst.tasks = 10;
    burst.fromMs = 10000;
    burst.toMs = 10500;
    experiment.streams.push_back(burst);
    return experiment;
}

/// One caller submits ten times as many jobs as each of the others.
Experiment hotCaller()
{
    Experiment experiment = steadySite(2, 0.5);
    Stream hot = copyFirstStream(experiment, "hot");
    hot.team = "team-hot";
    hot.jobsPerSecond *= 10;
    experiment.streams.push_back(hot);
    return experiment;
}

/// All callers also submit jobs of one service that only two backend servers run.
Experiment hotKey()
{
    Experiment experiment = steadySite(2, 0.4);
    experiment.backends[3].services = {"hot", "any"};
    experiment.backends[7].services = {"hot", "any"};
    for (std::size_t index = 0; index < experiment.backends.size(); ++index) {
        if (index != 3 && index != 7) {
            experiment.backends[index].services = {"any"};
        }
    }
    for (std::size_t index = 0; index < 10; ++index) {
        Stream hot = experiment.streams[index];
        hot.label = "hot";
        hot.service = "hot";
        hot.jobsPerSecond = 15;
        experiment.streams.push_back(hot);
    }
    return experiment;
}

/// A backend server becomes ten times slower and stays so.
Experiment slowBackend()
{
    Experiment experiment = steadySite(1.5, 0.6);
    experiment.changes.push_back(
            {3000, [](std::vector<Backend> &backends) { backends[0].factor = 10; }});
    return experiment;
}

/// Enough tasks of 5 s to fill every slot, among tasks of 80 ms.
Experiment longAmongShort()
{
    Experiment experiment = steadySite(1, 0.1, 80);
    Stream longJob = copyFirstStream(experiment, "long");
    longJob.jobsPerSecond = 20;
    longJob.runMs = 5000;
    longJob.declaredMs = 5000;
    longJob.deadlineMs = 120000;
    experiment.streams.push_back(longJob);
    return experiment;
}

/// Run times are declared ten times too long; the deadlines suffice for the true run times only.
Experiment declaredTooLong()
{
    Experiment experiment = steadySite(1.5, 0.6, 200, 1500);
    for (Stream &stream : experiment.streams) {
        stream.declaredMs = 2000;
    }
    return experiment;
}

/// Run times are declared ten times too short, at twice the capacity.
Experiment declaredTooShort()
{
    Experiment experiment = steadySite(1.5, 2, 200, 3000);
    for (Stream &stream : experiment.streams) {
        stream.declaredMs = 20;
    }
    return experiment;
}

/// A backend server fails every task within 4 ms.
Experiment failingBackend()
{
    Experiment experiment = steadySite(1.5, 0.5);
    experiment.changes.push_back(
            {3000, [](std::vector<Backend> &backends) { backends[2].failing = true; }});
    return experiment;
}

/// A backend server accepts tasks and completes none; its agent fails each one after 1.5 s.
Experiment hangingBackend()
{
    Experiment experiment = steadySite(1.5, 0.5, 200, 4000);
    experiment.changes.push_back(
            {6000, [](std::vector<Backend> &backends) { backends[2].hanging = true; }});
    return experiment;
}

/// Thousands of queued jobs of one caller are cancelled at once; the other callers of its team
/// start to submit 10 ms later.
Experiment cancelWave()
{
    Experiment experiment = steadySite(1, 0.3);
    for (Stream &stream : experiment.streams) {
        stream.fromMs = 12000;
        stream.team = "crowd";
    }
    Stream crowd = copyFirstStream(experiment, "crowd");
    crowd.jobsPerSecond = 2000;
    crowd.fromMs = 10000;
    crowd.toMs = 11900;
    crowd.cancelAtMs = 11990;
    crowd.deadlineMs = 60000;
    crowd.runMs = 1000;
    experiment.streams.push_back(crowd);
    return experiment;
}

/// Jobs that need more processors than any backend server has.
Experiment impossibleJobs()
{
    Experiment experiment = steadySite(1.5, 0.5);
    Stream impossible = copyFirstStream(experiment, "impossible");
    impossible.jobsPerSecond = 5;
    impossible.processors = 1000;
    impossible.toMs = 20000;
    experiment.streams.push_back(impossible);
    return experiment;
}

Experiment overloaded(double load)
{
    return steadySite(2, load, 200, 3000);
}

/// Five seconds at about four times the capacity, then back to 60%.
Experiment recovery()
{
    Experiment experiment = steadySite(2, 0.6, 200, 3000);
    for (std::size_t index = 0; index < 10; ++index) {
        Stream peak = experiment.streams[index];
        peak.label = "peak";
        peak.jobsPerSecond *= 6;
        peak.fromMs = 8000;
        peak.toMs = 13000;
        experiment.streams.push_back(peak);
    }
    return experiment;
}

/// All backend servers of a failure domain refuse every start for 10 s and then recover.
Experiment refusingDomain()
{
    Experiment experiment = steadySite(1.5, 0.6);
    const auto setRefusing = [](bool refusing) {
        return [refusing](std::vector<Backend> &backends) {
            for (Backend &backend : backends) {
                backend.refusing = refusing && backend.failureDomain == "tunis";
            }
        };
    };
    experiment.changes.push_back({8000, setRefusing(true)});
    experiment.changes.push_back({18000, setRefusing(false)});
    return experiment;
}

double overloadLoss(const Result &result)
{
    return 1
           - LoadModel::goodput(result, WarmUpMs, EndMs)
                     / LoadModel::capacityOf(LoadModel::smallSite(2));
}

double lateRefusalShare(const Result &result)
{
    constexpr std::int64_t AtOnceMs = 10;
    double refused = 0;
    double late = 0;
    for (const LoadModel::Answer &answer : result.answers) {
        refused += answer.outcome == Outcome::Refused ? 1 : 0;
        late += answer.outcome == Outcome::Refused
                                && answer.answeredMs - answer.submittedMs > AtOnceMs
                        ? 1
                        : 0;
    }
    return late / std::max(refused, 1.0);
}

double longestImpossibleJobMs(const Result &result)
{
    double longest = 0;
    for (const LoadModel::Answer &answer : result.answers) {
        const bool isCorrectRefusal = answer.outcome == Outcome::Refused && answer.tasksStarted == 0
                                      && answer.reason == Schema::Reason::NeverRunnable;
        if (answer.label == "impossible") {
            const auto durationMs = static_cast<double>(answer.answeredMs - answer.submittedMs);
            longest = std::max(longest, isCorrectRefusal ? durationMs : EndMs);
        }
    }
    return longest;
}

double lateStarts(const Result &result)
{
    return static_cast<double>(result.lateStarts);
}

double hotCallerRatio(const Result &result)
{
    static const double alone = steadyP99(LoadModel::run(steadySite(2, 0.5)));
    return steadyP99(result) / alone;
}

double wastedPerStart(const Result &result)
{
    return static_cast<double>(result.refusedStarts) / static_cast<double>(result.starts);
}

struct Pattern
{
    const char *name;
    Experiment experiment;
    /// Describes the measured figure, which must not exceed the bound.
    const char *figure;
    double (*measure)(const Result &);
    double bound;
    const char *switchedOff;
    void (*switchOff)(Experiment &);
};

} // namespace

TEST_CASE("Load patterns: each bound holds, and breaks with its module switched off")
{
    const Pattern patterns[] = {
            {"burst", burst(), "p99 of the others over ideal", steadyP99, 2.5, "fair queue",
             useFifo},
            {"hot caller", hotCaller(), "p99 of the others over the same without it",
             hotCallerRatio, 1.2, "fair queue", useFifo},
            {"hot key", hotKey(), "p99 of the others over ideal", steadyP99, 2.5,
             "lanes of the fair queue", useFifo},
            {"slow backend server", slowBackend(), "p99 over ideal", steadyP99, 2.0,
             "placement by speed", useRandom},
            {"long among short", longAmongShort(), "p99 of the short over ideal", steadyP99, 2.0,
             "slot reserve",
             [](Experiment &experiment) { experiment.switches.slotReserve = false; }},
            {"mixed speeds, p50", steadySite(2, 0.7), "p50 over ideal", steadyP50, 1.35,
             "placement by speed", useRandomFifo},
            {"mixed speeds, p99", steadySite(2, 0.7), "p99 over ideal", steadyP99, 2.5,
             "placement by speed", useRandomFifo},
            {"declared ten times too long", declaredTooLong(), "share not completed",
             steadyNotCompleted, 0.01, "learned estimates",
             [](Experiment &experiment) { experiment.trustDeclared = true; }},
            {"declared ten times too short", declaredTooShort(), "share of refusals not at once",
             lateRefusalShare, 0.05, "learned estimates",
             [](Experiment &experiment) { experiment.trustDeclared = true; }},
            {"failing worker", failingBackend(), "share not completed", steadyNotCompleted, 0.01,
             "ejection", [](Experiment &experiment) { experiment.switches.ejection = false; }},
            {"hanging backend server", hangingBackend(), "share not completed", steadyNotCompleted,
             0.01, "ejection",
             [](Experiment &experiment) { experiment.switches.ejection = false; }},
            {"cancel wave", cancelWave(), "starts after the cancellation", lateStarts, 0,
             "dropping cancelled jobs", [](Experiment &experiment) { experiment.cancels = false; }},
            {"cancel wave, others", cancelWave(), "p99 of the others over ideal", steadyP99, 2.0,
             "fair queue and dropping cancelled jobs",
             [](Experiment &experiment) {
                 experiment.cancels = false;
                 useFifo(experiment);
             }},
            {"impossible jobs, answered", impossibleJobs(), "longest time to a true refusal, ms",
             longestImpossibleJobMs, 5500, "refusal after the grace",
             [](Experiment &experiment) { experiment.policy.neverRunnableGraceMs = 600000; }},
            {"impossible jobs, others", impossibleJobs(), "p99 of the others over ideal", steadyP99,
             2.0, "lanes of the fair queue", useFifo},
            {"overload 2x", overloaded(2), "capacity lost to goodput", overloadLoss, 0.05,
             "admission", admitAll},
            {"overload 2x, refusals", overloaded(2), "share of refusals not at once",
             lateRefusalShare, 0.05, "admission", admitAll},
            {"overload 5x", overloaded(5), "capacity lost to goodput", overloadLoss, 0.05,
             "admission", admitAll},
            {"overload 5x, refusals", overloaded(5), "share of refusals not at once",
             lateRefusalShare, 0.05, "admission", admitAll},
            {"recovery after overload", recovery(), "p99 over ideal 5 s after its end",
             [](const Result &result) {
                 return LoadModel::ratioQuantile(result, {"steady", 18000, 19000}, 0.99);
             },
             5, "admission", admitAll},
            {"refusing failure domain", refusingDomain(), "refused starts per start",
             wastedPerStart, 0.05, "retry budget and pauses",
             [](Experiment &experiment) { experiment.switches.retryBudget = false; }},
    };
    for (const Pattern &pattern : patterns) {
        CAPTURE(pattern.name);
        const Result with = LoadModel::run(pattern.experiment);
        Experiment weakened = pattern.experiment;
        pattern.switchOff(weakened);
        const Result without = LoadModel::run(weakened);
        const double measuredWith = pattern.measure(with);
        const double measuredWithout = pattern.measure(without);
        MESSAGE(std::string(pattern.name)
                << ": " << std::string(pattern.figure) << " " << measuredWith << ", bound "
                << pattern.bound << ", without " << std::string(pattern.switchedOff) << " "
                << measuredWithout);
        CHECK(measuredWith <= pattern.bound);
        CHECK(measuredWithout > pattern.bound);
        CHECK(with.doubleStarts == 0);
        CHECK(with.lateStarts == 0);
        CHECK(with.overfilled <= 0);
    }
}

TEST_CASE("Each preset is better at the goal that it optimizes for")
{
    for (const double load : {0.3, 0.7}) {
        Experiment experiment = steadySite(2, load);
        const auto runPreset = [&experiment](Dispatch::PolicyPreset preset) {
            experiment.policy = Dispatch::presetPolicy(preset);
            return LoadModel::run(experiment);
        };
        const Result fast = runPreset(Dispatch::PolicyPreset::ResponseTime);
        const Result frugal = runPreset(Dispatch::PolicyPreset::FewMessages);
        const auto messages = [](const Result &result) {
            return static_cast<double>(result.startMessages) / static_cast<double>(result.starts);
        };
        MESSAGE("load " << load << ", p50 over ideal " << steadyP50(fast) << " and "
                        << steadyP50(frugal) << ", start messages per start " << messages(fast)
                        << " and " << messages(frugal));
        CHECK(steadyP50(fast) < steadyP50(frugal));
        CHECK(messages(frugal) < 0.8 * messages(fast));
        CHECK(steadyP50(frugal) < 1.1 * steadyP50(fast));
    }
}
