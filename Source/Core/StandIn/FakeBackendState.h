#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Common.h"

/// State of the stand-in for a backend server, without network or clock.
namespace StandIn {

/// Faults and size, changed while the server runs.
struct FakeBackendControl
{
    /// A task of 100 ms takes 50 ms at speed 2.
    double speed = 1;
    std::int64_t slots = 8;
    std::int64_t memoryMb = 262'144;
    std::int64_t accelerators = 0;
    /// Every task starts and fails at once.
    bool failAll = false;
    /// Tasks start, but do not end until this is switched off again.
    bool hang = false;
    /// Every task is refused, and nothing starts.
    bool refuseAll = false;
    /// No request is answered and nothing starts. Tasks that run go on; their answers are late.
    bool silent = false;
    /// /health answers 503.
    bool unhealthy = false;
};

nlohmann::json controlJson(const FakeBackendControl &control);
/// \a control with the members of \a change set.
Common::Outcome<FakeBackendControl> changedControl(const FakeBackendControl &control,
                                                   const nlohmann::json &change);

/// What a task's payload asks for.
struct FakeTask
{
    double runMs = 0;
    std::string result;
    bool fail = false;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

/// Reads a payload {"runMs":N,"result":"...","fail":bool,"memoryMb":N,"accelerators":N}; every
/// member may be absent.
Common::Outcome<FakeTask> parsePayload(const std::string &payload);

enum class RunStatus { Started, NoSlot, NotAfterPassed, Refused, NoResources };

/// All starts of one task: more than one breaks the promise the project is built on.
struct TaskStarts
{
    std::string job;
    std::int64_t index = 0;
    std::int64_t starts = 0;
    std::int64_t firstWallMs = 0;
    std::int64_t lastWallMs = 0;
};

struct FakeBackend
{
    FakeBackendControl control;
    /// By job and index.
    std::unordered_map<std::string, TaskStarts> tasks;
    std::int64_t running = 0;
    std::int64_t usedMemoryMb = 0;
    std::int64_t usedAccelerators = 0;
    std::int64_t maxRunning = 0;
    std::int64_t starts = 0;
    std::int64_t succeeded = 0;
    std::int64_t failed = 0;
    std::int64_t refusedNoSlot = 0;
    std::int64_t refusedNotAfter = 0;
    std::int64_t refusedAll = 0;
    std::int64_t refusedNoResources = 0;
};

/// Starts the task and records the start, or refuses with nothing started.
RunStatus startTask(FakeBackend &backend, const Schema::RunTask &task, const FakeTask &fake,
                    std::int64_t wallMs);
void endTask(FakeBackend &backend, const FakeTask &fake, bool hasFailed);
/// How long the task takes on this server.
double runTimeMs(const FakeBackendControl &control, const FakeTask &task);
nlohmann::json backendStats(const FakeBackend &backend);
/// Every task that ever started, with its number of starts.
nlohmann::json backendStarts(const FakeBackend &backend);

} // namespace StandIn
