#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Common.h"

/// State of the stand-in backend server, without network access or a clock.
namespace StandIn {

/// Faults and capacity. They can be changed while the server runs.
struct FakeBackendControl
{
    /// A task of 100 ms takes 50 ms at speed 2.
    double speed = 1;
    std::int64_t slots = 8;
    std::int64_t memoryMb = 262'144;
    std::int64_t accelerators = 0;
    /// Every task starts and fails immediately.
    bool failAll = false;
    /// Tasks start, but do not end until this is switched off.
    bool hang = false;
    /// Every task is refused without being started.
    bool refuseAll = false;
    /// Answers to /run and /health are withheld until this is switched off, and no task starts.
    /// Tasks that are already running continue.
    bool silent = false;
    /// /health answers 503.
    bool unhealthy = false;
};

nlohmann::json controlJson(const FakeBackendControl &control);
/// Returns \a control with the members of \a change applied. Fails with Reason::Malformed if one is
/// unknown or has an invalid value.
Common::Outcome<FakeBackendControl> changedControl(const FakeBackendControl &control,
                                                   const nlohmann::json &change);

/// Run time, result and resources that a task's payload asks for.
struct FakeTask
{
    double runMs = 0;
    std::string result;
    bool fail = false;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

/// Parses a payload {"runMs":N,"result":"...","fail":bool,"memoryMb":N,"accelerators":N}. Every
/// member is optional. Fails with Reason::Malformed if it is not such an object.
Common::Outcome<FakeTask> parsePayload(const std::string &payload);

enum class RunStatus { Started, NoSlot, NotAfterPassed, Refused, NoResources };

/// All starts of one task. More than one violates the guarantee that a task is started at most
/// once, on which the project is built.
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
    /// Keyed by job and task index.
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

/// Starts the task and records the start, or refuses the task without starting it. \a wallMs is the
/// current time.
RunStatus startTask(FakeBackend &backend, const Schema::RunTask &task, const FakeTask &fake,
                    std::int64_t wallMs);
void endTask(FakeBackend &backend, const FakeTask &fake, bool hasFailed);
/// Run time of the task on this server, in milliseconds.
double runTimeMs(const FakeBackendControl &control, const FakeTask &task);
nlohmann::json backendStats(const FakeBackend &backend);
/// All tasks that have been started, each with its number of starts.
nlohmann::json backendStarts(const FakeBackend &backend);

} // namespace StandIn
