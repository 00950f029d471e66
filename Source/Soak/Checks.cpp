#include "Soak/Checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace Soak {

namespace {

using Net::HttpTransport;
using Transient::RunEnd;

constexpr Common::NameTable<Invariant, 11> InvariantNames{
        {{Invariant::OneRunAtATime, "two runs of one task at a time"},
         {Invariant::CorrectAnswer, "wrong answer"},
         {Invariant::RefusedNeverRuns, "a refused job has run"},
         {Invariant::GracefulStop, "request cut by a graceful stop"},
         {Invariant::ConfigurationMonotonic, "configuration went back to an older version"},
         {Invariant::ConfigurationInTime, "configuration not in force in time"},
         {Invariant::NoStartOnLeavingServer, "start on a leaving backend server"},
         {Invariant::NoStartInEvacuatedDomain, "start in an evacuated failure domain"},
         {Invariant::Recovery, "not served again"},
         {Invariant::EveryCallerAnswered, "caller without an answer"},
         {Invariant::NoUnexpectedExit, "process ended unexpectedly"}}};

/// A process counts as undisturbed if no fault has affected it for this long.
constexpr std::int64_t ContactMs = 3000;
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int TooMany = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int TimedOut = 504;

/// A run and the incarnation of the backend server that it ran on.
struct RunOnServer
{
    const Run *run = nullptr;
    const BackendIncarnation *incarnation = nullptr;
};

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string text(const RunOnServer &entry)
{
    const Run &run = *entry.run;
    const std::string end = run.endMs == NeverMs ? "open" : std::to_string(run.endMs);
    return "run " + std::to_string(run.number) + " on " + entry.incarnation->server + " from "
           + std::to_string(run.startMs) + " to " + end + (run.isLate ? " (late order)" : "");
}

std::map<std::string, std::vector<RunOnServer>>
runsByTask(const std::vector<BackendIncarnation> &backends)
{
    std::map<std::string, std::vector<RunOnServer>> runs;
    for (const BackendIncarnation &incarnation : backends) {
        for (const Run &run : incarnation.runs) {
            runs[run.task].push_back({&run, &incarnation});
        }
    }
    return runs;
}

/// Outcome of the runs of one job.
struct JobRuns
{
    std::set<std::string> succeeded;
    bool hasFailed = false;
    std::int64_t firstStartMs = NeverMs;
};

std::map<std::string, JobRuns> runsByJob(const std::vector<BackendIncarnation> &backends)
{
    std::map<std::string, JobRuns> jobs;
    for (const BackendIncarnation &incarnation : backends) {
        for (const Run &run : incarnation.runs) {
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

std::string answerError(const Submission &sent, const JobRuns &runs)
{
    switch (sent.status) {
    case TooMany:
    case BadGateway:
    case Unavailable:
    case TimedOut:
        return {};
    case Ok:
        break;
    default:
        return "status " + std::to_string(sent.status);
    }
    if (sent.state == "complete") {
        return runs.succeeded.size() >= static_cast<std::size_t>(sent.tasks)
                       ? std::string()
                       : "complete with " + std::to_string(runs.succeeded.size()) + " of "
                                 + std::to_string(sent.tasks) + " tasks done";
    }
    if (sent.state == "failed") {
        return runs.hasFailed ? std::string() : "failed though no run failed";
    }
    return "state \"" + sent.state + '"';
}

bool overlaps(const FaultWindow &fault, std::int64_t fromMs, std::int64_t toMs)
{
    return fault.fromMs <= toMs && fault.toMs >= fromMs;
}

/// Whether the fault affects the process itself or a link with the process at either end.
bool affectsProcess(const FaultWindow &fault, const std::string &process)
{
    const std::size_t slash = fault.target.find('/');
    return fault.target.substr(0, slash) == process
           || (slash != std::string::npos && fault.target.substr(slash + 1) == process);
}

bool isAgentDisturbed(const Records &records, int agent, std::int64_t atMs)
{
    const std::string name = processName("agent", agent);
    return std::any_of(records.faults.begin(), records.faults.end(), [&](const FaultWindow &fault) {
        return affectsProcess(fault, name) && overlaps(fault, atMs - ContactMs, atMs);
    });
}

/// An agent has the same number as its backend server.
int numberOf(const BackendIncarnation &incarnation)
{
    return std::stoi(incarnation.server.substr(incarnation.server.find('-') + 1));
}

/// When the evacuation has to be in force: counted from the end of the last fault of the store that
/// began before \a atMs.
std::int64_t evacuatedByMs(const Records &records, const EvacuationWindow &window,
                           std::int64_t atMs)
{
    constexpr std::int64_t EvacuateMs = 5000;
    std::int64_t knowableMs = window.acknowledgedMs;
    for (const FaultWindow &fault : records.faults) {
        const bool isStoreFault = traitsOf(fault.kind).target == FaultTarget::Store
                                  && traitsOf(fault.kind).action == FaultAction::Command;
        if (isStoreFault && fault.fromMs <= atMs) {
            knowableMs = std::max(knowableMs, fault.toMs);
        }
    }
    return knowableMs + EvacuateMs;
}

} // namespace

std::string_view nameOf(Invariant invariant)
{
    return Common::nameOf(InvariantNames, invariant);
}

std::vector<Finding> findOverlaps(const std::vector<BackendIncarnation> &backends)
{
    std::vector<Finding> findings;
    for (auto &[task, runs] : runsByTask(backends)) {
        std::vector<RunOnServer> ordered = runs;
        std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
            return left.run->startMs < right.run->startMs;
        });
        const RunOnServer *longest = nullptr;
        for (const RunOnServer &next : ordered) {
            if (longest != nullptr && next.run->startMs < longest->run->endMs) {
                findings.push_back({Invariant::OneRunAtATime, next.run->startMs,
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
    for (const Submission &sent : records.submissions) {
        if (sent.transport != HttpTransport::Answered) {
            continue;
        }
        const auto job = jobs.find(sent.job);
        const std::string why = answerError(sent, job == jobs.end() ? JobRuns() : job->second);
        if (!why.empty()) {
            findings.push_back({Invariant::CorrectAnswer, sent.endedMs,
                                sent.job + " at " + sent.gateway + ": " + why});
        }
    }
    return findings;
}

std::vector<Finding> findRefusedRuns(const Records &records)
{
    std::map<std::string, bool> refused;
    for (const Submission &sent : records.submissions) {
        const auto [entry, isNew] = refused.try_emplace(sent.job, true);
        entry->second = entry->second && isRefusal(sent);
    }
    std::vector<Finding> findings;
    for (const auto &[job, runs] : runsByJob(records.backends)) {
        const auto entry = refused.find(job);
        if (entry != refused.end() && entry->second) {
            findings.push_back({Invariant::RefusedNeverRuns, runs.firstStartMs, job});
        }
    }
    return findings;
}

std::vector<Finding> findCutRequests(const Records &records, std::int64_t graceMs)
{
    // A request that arrives while the process ends may be lost unread. Callers must expect that
    // of any server that closes its connections.
    constexpr std::int64_t UnreadMs = 200;
    // A fault is recorded after it was injected. A caller may observe it before.
    constexpr std::int64_t RecordDelayMs = 200;
    const auto jobs = runsByJob(records.backends);
    std::vector<Finding> findings;
    for (const Submission &sent : records.submissions) {
        if (sent.transport != HttpTransport::Lost) {
            continue;
        }
        const auto job = jobs.find(sent.job);
        const bool hasRun = job != jobs.end() && job->second.firstStartMs >= sent.sentMs
                            && job->second.firstStartMs <= sent.endedMs;
        if (!hasRun && sent.endedMs - sent.sentMs < UnreadMs) {
            continue;
        }
        bool isStopping = false;
        bool isDisturbed = false;
        for (const FaultWindow &fault : records.faults) {
            if (fault.target != sent.gateway && fault.target != sent.gateway + "/caller") {
                continue;
            }
            if (fault.kind == FaultKind::GatewayTerm) {
                isStopping =
                        isStopping
                        || (sent.endedMs >= fault.fromMs && sent.endedMs <= fault.fromMs + graceMs);
            } else {
                isDisturbed =
                        isDisturbed
                        || overlaps(fault, sent.sentMs - ContactMs, sent.endedMs + RecordDelayMs);
            }
        }
        if (isStopping && !isDisturbed) {
            findings.push_back({Invariant::GracefulStop, sent.endedMs,
                                sent.job + " at " + sent.gateway + ", sent at "
                                        + std::to_string(sent.sentMs)});
        }
    }
    return findings;
}

std::vector<Finding> findOlderVersions(const std::vector<ObservedVersion> &versions)
{
    std::vector<Finding> findings;
    for (const ObservedVersion &older : versions) {
        for (const ObservedVersion &newer : versions) {
            if (older.gateway == newer.gateway && newer.version > older.version
                && newer.answeredMs < older.requestedMs) {
                findings.push_back({Invariant::ConfigurationMonotonic, older.answeredMs,
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

std::vector<Finding> findLateVersions(const Records &records)
{
    constexpr std::int64_t ApplyMs = 2000;
    std::vector<Finding> findings;
    for (const MissingVersion &missing : records.missingVersions) {
        const auto written = std::find_if(
                records.writtenVersions.begin(), records.writtenVersions.end(),
                [&](const WrittenVersion &entry) { return entry.version == missing.version; });
        const bool isDue = written != records.writtenVersions.end()
                           && written->acknowledgedMs != NeverMs
                           && missing.requestedMs > written->acknowledgedMs + ApplyMs;
        const bool isReplaced = std::any_of(
                records.writtenVersions.begin(), records.writtenVersions.end(),
                [&](const WrittenVersion &entry) {
                    return entry.version > missing.version && entry.sentMs <= missing.answeredMs;
                });
        const std::int64_t sinceMs = missing.requestedMs - ContactMs;
        const bool isDisturbed = std::any_of(
                records.faults.begin(), records.faults.end(), [&](const FaultWindow &fault) {
                    return (affectsProcess(fault, missing.gateway) || fault.target == "store")
                           && fault.kind != FaultKind::CallerLinkHoldUp
                           && overlaps(fault, sinceMs, missing.answeredMs);
                });
        if (isDue && !isReplaced && !isDisturbed && sinceMs >= missing.startedMs) {
            findings.push_back({Invariant::ConfigurationInTime, missing.requestedMs,
                                missing.gateway + " lacks version "
                                        + std::to_string(missing.version) + ", acknowledged at "
                                        + std::to_string(written->acknowledgedMs)});
        }
    }
    return findings;
}

std::vector<Finding> findStartsOnLeaving(const Records &records)
{
    constexpr std::int64_t DrainMs = 2000;
    std::vector<Finding> findings;
    for (const BackendIncarnation &incarnation : records.backends) {
        if (!incarnation.leavingMs) {
            continue;
        }
        for (const Run &run : incarnation.runs) {
            if (run.isLate || run.startMs <= *incarnation.leavingMs + DrainMs) {
                continue;
            }
            if (!isAgentDisturbed(records, numberOf(incarnation), run.startMs)) {
                findings.push_back({Invariant::NoStartOnLeavingServer, run.startMs,
                                    run.task + ' ' + text({&run, &incarnation})
                                            + ", leaving acknowledged at "
                                            + std::to_string(*incarnation.leavingMs)});
            }
        }
    }
    return findings;
}

std::vector<Finding> findStartsInEvacuated(const Records &records)
{
    std::vector<Finding> findings;
    for (const BackendIncarnation &incarnation : records.backends) {
        const int number = numberOf(incarnation);
        for (const Run &run : incarnation.runs) {
            const auto broken = std::find_if(
                    records.evacuations.begin(), records.evacuations.end(),
                    [&](const EvacuationWindow &window) {
                        return window.failureDomain == failureDomainOf(number)
                               && run.startMs < window.takenBackMs
                               && run.startMs > evacuatedByMs(records, window, run.startMs);
                    });
            if (!run.isLate && broken != records.evacuations.end()
                && !isAgentDisturbed(records, number, run.startMs)) {
                findings.push_back({Invariant::NoStartInEvacuatedDomain, run.startMs,
                                    run.task + ' ' + text({&run, &incarnation}) + ", evacuated at "
                                            + std::to_string(broken->acknowledgedMs)});
            }
        }
    }
    return findings;
}

bool isServed(const std::vector<Submission> &submissions, std::int64_t sinceMs,
              const std::vector<std::string> &gateways)
{
    constexpr std::size_t MinRequests = 10;
    constexpr double MinServedShare = 0.9;
    std::set<std::string> serving;
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const Submission &submission : submissions) {
        if (submission.sentMs < sinceMs || submission.isAbandoned) {
            continue;
        }
        ++sent;
        if (submission.transport == HttpTransport::Answered && submission.status == Ok) {
            ++served;
            serving.insert(submission.gateway);
        }
    }
    return sent >= MinRequests
           && static_cast<double>(served) >= MinServedShare * static_cast<double>(sent)
           && serving.size() == gateways.size();
}

std::vector<Finding> findViolations(const Records &records, std::int64_t graceMs)
{
    std::vector<Finding> all;
    for (const auto &found : {findOverlaps(records.backends), findWrongAnswers(records),
                              findRefusedRuns(records), findCutRequests(records, graceMs),
                              findOlderVersions(records.versions), findLateVersions(records),
                              findStartsOnLeaving(records), findStartsInEvacuated(records)}) {
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

} // namespace Soak
