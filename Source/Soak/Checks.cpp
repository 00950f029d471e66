#include "Soak/Checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace Soak {

namespace {

using Net::HttpTransport;
using Transient::RunEnd;

constexpr Common::NameTable<Promise, 9> PromiseNames{
        {{Promise::OneRunAtATime, "two runs of one task at a time"},
         {Promise::OwnAnswer, "wrong answer"},
         {Promise::RefusedNeverRuns, "a refused job has run"},
         {Promise::GracefulStop, "request cut by a graceful stop"},
         {Promise::ConfigurationForward, "configuration went back"},
         {Promise::LeavingServer, "start on a server that leaves"},
         {Promise::ServedAgain, "not served again"},
         {Promise::EveryCallerAnswered, "caller without an answer"},
         {Promise::ProcessStays, "process ended by itself"}}};

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int TooMany = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int TimedOut = 504;

/// A run as it stands beside the others of its task.
struct PlacedRun
{
    const Run *run = nullptr;
    const BackendLife *life = nullptr;
};

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string text(const PlacedRun &placed)
{
    const Run &run = *placed.run;
    const std::string end = run.endMs == NeverMs ? "open" : std::to_string(run.endMs);
    return "run " + std::to_string(run.number) + " on " + placed.life->server + " from "
           + std::to_string(run.startMs) + " to " + end + (run.isLate ? " (late order)" : "");
}

std::map<std::string, std::vector<PlacedRun>> runsByTask(const std::vector<BackendLife> &backends)
{
    std::map<std::string, std::vector<PlacedRun>> runs;
    for (const BackendLife &life : backends) {
        for (const Run &run : life.runs) {
            runs[run.task].push_back({&run, &life});
        }
    }
    return runs;
}

/// What became of the runs of one job.
struct JobRuns
{
    std::set<std::string> succeeded;
    bool hasFailed = false;
    std::int64_t firstStartMs = NeverMs;
};

std::map<std::string, JobRuns> runsByJob(const std::vector<BackendLife> &backends)
{
    std::map<std::string, JobRuns> jobs;
    for (const BackendLife &life : backends) {
        for (const Run &run : life.runs) {
            JobRuns &job = jobs[jobOf(run.task)];
            job.firstStartMs = std::min(job.firstStartMs, run.startMs);
            job.hasFailed = job.hasFailed || run.end == RunEnd::Failed;
            if (run.end == RunEnd::Succeeded) {
                job.succeeded.insert(run.task);
            }
        }
    }
    return jobs;
}

bool isRefusal(const Submission &submission)
{
    if (submission.transport == HttpTransport::NotConnected) {
        return true;
    }
    return submission.transport == HttpTransport::Answered
           && (submission.status == TooMany || submission.status == Unavailable
               || submission.status == NotFound);
}

std::string whyWrong(const Submission &asked, const JobRuns &runs)
{
    switch (asked.status) {
    case TooMany:
    case BadGateway:
    case Unavailable:
    case TimedOut:
        return {};
    case Ok:
        break;
    default:
        return "status " + std::to_string(asked.status);
    }
    if (asked.state == "complete") {
        return runs.succeeded.size() >= static_cast<std::size_t>(asked.tasks)
                       ? std::string()
                       : "complete with " + std::to_string(runs.succeeded.size()) + " of "
                                 + std::to_string(asked.tasks) + " tasks done";
    }
    if (asked.state == "failed") {
        return runs.hasFailed ? std::string() : "failed though no run has";
    }
    return "state \"" + asked.state + '"';
}

bool overlaps(const FaultWindow &fault, std::int64_t fromMs, std::int64_t toMs)
{
    return fault.fromMs <= toMs && fault.toMs >= fromMs;
}

/// True for a fault of the process, or of a link at either end of which it stands.
bool concerns(const FaultWindow &fault, const std::string &process)
{
    const std::size_t slash = fault.target.find('/');
    return fault.target.substr(0, slash) == process
           || (slash != std::string::npos && fault.target.substr(slash + 1) == process);
}

} // namespace

std::string_view nameOf(Promise promise)
{
    return Common::nameOf(PromiseNames, promise);
}

std::vector<Finding> findOverlaps(const std::vector<BackendLife> &backends)
{
    std::vector<Finding> findings;
    for (auto &[task, runs] : runsByTask(backends)) {
        std::vector<PlacedRun> ordered = runs;
        std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
            return left.run->startMs < right.run->startMs;
        });
        const PlacedRun *longest = nullptr;
        for (const PlacedRun &next : ordered) {
            if (longest != nullptr && next.run->startMs < longest->run->endMs) {
                findings.push_back({Promise::OneRunAtATime, next.run->startMs,
                                    task + ": " + text(*longest) + " and " + text(next)});
            }
            if (longest == nullptr || next.run->endMs > longest->run->endMs) {
                longest = &next;
            }
        }
    }
    return findings;
}

std::vector<Finding> findWrongAnswers(const Records &records)
{
    const auto jobs = runsByJob(records.backends);
    std::vector<Finding> findings;
    for (const Submission &asked : records.submissions) {
        if (asked.transport != HttpTransport::Answered) {
            continue;
        }
        const auto job = jobs.find(asked.job);
        const std::string why = whyWrong(asked, job == jobs.end() ? JobRuns() : job->second);
        if (!why.empty()) {
            findings.push_back({Promise::OwnAnswer, asked.endedMs,
                                asked.job + " at " + asked.gateway + ": " + why});
        }
    }
    return findings;
}

std::vector<Finding> findRefusedRuns(const Records &records)
{
    std::map<std::string, bool> refused;
    for (const Submission &asked : records.submissions) {
        const auto [entry, isNew] = refused.try_emplace(asked.job, true);
        entry->second = entry->second && isRefusal(asked);
    }
    std::vector<Finding> findings;
    for (const auto &[job, runs] : runsByJob(records.backends)) {
        const auto entry = refused.find(job);
        if (entry != refused.end() && entry->second) {
            findings.push_back({Promise::RefusedNeverRuns, runs.firstStartMs, job});
        }
    }
    return findings;
}

std::vector<Finding> findCutRequests(const Records &records, std::int64_t graceMs)
{
    // A request that comes as the process ends may be lost unread, and callers know that of any
    // server that closes its connections.
    constexpr std::int64_t UnreadMs = 200;
    constexpr std::int64_t CalmMs = 3000;
    // A fault is noted once it has been brought about; a caller may see it sooner.
    constexpr std::int64_t NotedMs = 200;
    const auto jobs = runsByJob(records.backends);
    std::vector<Finding> findings;
    for (const Submission &asked : records.submissions) {
        if (asked.transport != HttpTransport::Lost) {
            continue;
        }
        const auto job = jobs.find(asked.job);
        const bool hasRun = job != jobs.end() && job->second.firstStartMs >= asked.sentMs
                            && job->second.firstStartMs <= asked.endedMs;
        if (!hasRun && asked.endedMs - asked.sentMs < UnreadMs) {
            continue;
        }
        bool isStopping = false;
        bool isDisturbed = false;
        for (const FaultWindow &fault : records.faults) {
            if (fault.target != asked.gateway && fault.target != asked.gateway + "/caller") {
                continue;
            }
            if (fault.kind == FaultKind::GatewayTerm) {
                isStopping = isStopping
                             || (asked.endedMs >= fault.fromMs
                                 && asked.endedMs <= fault.fromMs + graceMs);
            } else {
                isDisturbed = isDisturbed
                              || overlaps(fault, asked.sentMs - CalmMs, asked.endedMs + NotedMs);
            }
        }
        if (isStopping && !isDisturbed) {
            findings.push_back({Promise::GracefulStop, asked.endedMs,
                                asked.job + " at " + asked.gateway + ", sent at "
                                        + std::to_string(asked.sentMs)});
        }
    }
    return findings;
}

std::vector<Finding> findOlderVersions(const std::vector<VersionSeen> &versions)
{
    std::vector<Finding> findings;
    for (const VersionSeen &older : versions) {
        for (const VersionSeen &newer : versions) {
            if (older.gateway == newer.gateway && newer.version > older.version
                && newer.answeredMs < older.askedMs) {
                findings.push_back({Promise::ConfigurationForward, older.answeredMs,
                                    older.gateway + " serves version "
                                            + std::to_string(older.version) + " after "
                                            + std::to_string(newer.version) + " at "
                                            + std::to_string(newer.answeredMs)});
                break;
            }
        }
    }
    return findings;
}

std::vector<Finding> findStartsOnLeaving(const Records &records)
{
    constexpr std::int64_t DrainMs = 2000;
    constexpr std::int64_t ContactMs = 3000;
    std::vector<Finding> findings;
    for (const BackendLife &life : records.backends) {
        if (!life.leavingMs) {
            continue;
        }
        for (const Run &run : life.runs) {
            if (run.isLate || run.startMs <= *life.leavingMs + DrainMs) {
                continue;
            }
            // Agents have the number of their backend server.
            const std::string agent = "agent-" + life.server.substr(life.server.find('-') + 1);
            const bool isInTouch = std::none_of(
                    records.faults.begin(), records.faults.end(), [&](const FaultWindow &fault) {
                        return concerns(fault, agent)
                               && overlaps(fault, run.startMs - ContactMs, run.startMs);
                    });
            if (isInTouch) {
                findings.push_back({Promise::LeavingServer, run.startMs,
                                    run.task + ' ' + text({&run, &life})
                                            + ", leaving acknowledged at "
                                            + std::to_string(*life.leavingMs)});
            }
        }
    }
    return findings;
}

bool isServed(const std::vector<Submission> &submissions, std::int64_t sinceMs,
              const std::vector<std::string> &gateways)
{
    constexpr std::size_t Least = 10;
    constexpr double NearlyAll = 0.9;
    std::set<std::string> serving;
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const Submission &submission : submissions) {
        if (submission.sentMs < sinceMs || submission.hasLeft) {
            continue;
        }
        ++asked;
        if (submission.transport == HttpTransport::Answered && submission.status == Ok) {
            ++served;
            serving.insert(submission.gateway);
        }
    }
    return asked >= Least && static_cast<double>(served) >= NearlyAll * static_cast<double>(asked)
           && serving.size() == gateways.size();
}

std::vector<Finding> findBroken(const Records &records, std::int64_t graceMs)
{
    std::vector<Finding> all;
    for (const auto &found : {findOverlaps(records.backends), findWrongAnswers(records),
                              findRefusedRuns(records), findCutRequests(records, graceMs),
                              findOlderVersions(records.versions), findStartsOnLeaving(records)}) {
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

} // namespace Soak
