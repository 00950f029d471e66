#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Transient/Transient.h"

/// A model of a backend server in virtual time that follows the rules of the platform: leases on
/// its own clock, rising run numbers, numbered ends and limited processors.
namespace TransientSite {

struct ModelRun
{
    std::string task;
    std::int64_t number = 0;
    std::int64_t startedMs = 0;
    std::int64_t endsMs = 0;
    bool fails = false;
    double processors = 0;
};

struct ModelEnd
{
    std::int64_t position = 0;
    std::string task;
    std::int64_t number = 0;
    Transient::RunEnd end = Transient::RunEnd::Other;
};

/// The work that a payload describes: "RUNMS PROCESSORS", followed by "fail" for a task that always
/// fails.
struct ModelWork
{
    std::int64_t runMs = 0;
    double processors = 1;
    bool fails = false;
    /// Payloads that are shorter are filled with blanks.
    std::size_t payloadBytes = 0;
};

std::string payloadOf(const ModelWork &work);
ModelWork workOf(const std::string &payload);

/// Faults of a backend server whose runs continue.
struct BackendTrouble
{
    /// Share of the calls that it refuses without executing them.
    double refusedShare = 0;
    /// Until then it executes calls and answers none.
    std::int64_t muteUntilMs = 0;
    /// Until then it neither executes calls nor answers them.
    std::int64_t hungUntilMs = 0;
    /// Until then no connection can be made to it.
    std::int64_t unreachableUntilMs = 0;
};

struct ModelBackend
{
    std::string id;
    double processors = 8;
    double speed = 1;
    /// Every task that starts fails after 2 ms.
    bool failsAll = false;
    bool isUp = true;
    bool isLeaving = false;
    /// When its agent was first told that it is leaving.
    std::optional<std::int64_t> leavingKnownMs;
    BackendTrouble trouble;
    /// Last announcement of the previous incarnation.
    std::optional<Transient::BackendAnnouncement> previousAnnouncement;
    std::int64_t startedAtMs = 1;
    std::int64_t clockOffsetMs = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    std::int64_t lastEnd = 0;
    std::vector<ModelRun> runs;
    std::deque<ModelEnd> ends;
    /// By task: no run up to this number starts any more.
    std::map<std::string, std::int64_t> barred;
};

/// The backend server's own clock, slow by a fiftieth.
std::int64_t clockOf(const ModelBackend &backend, std::int64_t nowMs);

Transient::StartAnswer applyStart(ModelBackend &backend, const Transient::RunStart &start,
                                  std::int64_t nowMs);
/// False where the fence is too low.
bool applyStop(ModelBackend &backend, const std::string &task, std::int64_t number,
               std::int64_t fence, std::int64_t nowMs);
Transient::ObserveAnswer applyObserve(ModelBackend &backend, std::int64_t fence,
                                      std::int64_t lastEnd, std::int64_t leaseUntilMs,
                                      std::int64_t nowMs);
/// True if it has ends with positions above \a lastEnd.
bool hasNewEnds(const ModelBackend &backend, std::int64_t lastEnd);

/// Ends the runs that are due, and all runs if the lease has lapsed.
void advance(ModelBackend &backend, std::int64_t nowMs);
/// Starts the next incarnation, with the same id. Its time of day is \a clockStepMs ahead.
void restart(ModelBackend &backend, std::int64_t nowMs, std::int64_t clockStepMs);

} // namespace TransientSite
