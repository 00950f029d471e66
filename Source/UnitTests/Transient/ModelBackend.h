#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Transient/Transient.h"

/// A backend server in virtual time, by the platform's rules: leases on a clock of its own, rising
/// run numbers, numbered ends, room.
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

/// What a payload asks for: "RUNMS PROCESSORS", with "fail" behind for a task that always fails.
struct ModelWork
{
    std::int64_t runMs = 0;
    double processors = 1;
    bool fails = false;
};

std::string payloadOf(const ModelWork &work);
ModelWork workOf(const std::string &payload);

/// What is wrong with a backend server that lives and works on.
struct BackendTrouble
{
    /// Of the calls: it refuses them and has done nothing then.
    double refusedShare = 0;
    /// It carries calls out and answers none.
    std::int64_t muteUntilMs = 0;
    /// It neither carries calls out nor answers them.
    std::int64_t hungUntilMs = 0;
    /// No connection can be made.
    std::int64_t unreachableUntilMs = 0;
};

struct ModelBackend
{
    std::string id;
    double processors = 8;
    double speed = 1;
    /// Every task fails at once.
    bool failsAll = false;
    bool isUp = true;
    bool isLeaving = false;
    BackendTrouble trouble;
    /// What the life before this one said last.
    std::optional<Transient::BackendAnnouncement> previousAnnouncement;
    std::int64_t startedAtMs = 1;
    std::int64_t clockOffsetMs = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    std::int64_t lastEnd = 0;
    std::vector<ModelRun> runs;
    std::deque<ModelEnd> ends;
    /// No run of the task up to this number starts.
    std::map<std::string, std::int64_t> barred;
};

/// The backend server's own clock, slow by a fiftieth.
std::int64_t clockOf(const ModelBackend &backend, std::int64_t nowMs);

Transient::StartAnswer applyStart(ModelBackend &backend, const Transient::RunStart &start,
                                  std::int64_t nowMs);
/// False where the fence forbids it.
bool applyStop(ModelBackend &backend, const std::string &task, std::int64_t number,
               std::int64_t fence, std::int64_t nowMs);
Transient::ObserveAnswer applyObserve(ModelBackend &backend, std::int64_t fence,
                                      std::int64_t lastEnd, std::int64_t leaseUntilMs,
                                      std::int64_t nowMs);
/// True where it has ends that \a lastEnd does not cover.
bool hasNewEnds(const ModelBackend &backend, std::int64_t lastEnd);

/// Ends what is done and, where the lease has lapsed, everything.
void advance(ModelBackend &backend, std::int64_t nowMs);
/// Another life under the same id.
void restart(ModelBackend &backend, std::int64_t nowMs);

} // namespace TransientSite
