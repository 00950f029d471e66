#include "StandIn/FakeBackendState.h"

#include <algorithm>

#include "StandIn/ControlJson.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;

std::string taskKey(const Schema::RunTask &task)
{
    return task.job + '/' + std::to_string(task.index);
}

Json startsJson(const TaskStarts &task)
{
    return {{"job", task.job},
            {"index", task.index},
            {"starts", task.starts},
            {"firstWallMs", task.firstWallMs},
            {"lastWallMs", task.lastWallMs}};
}

void recordStart(FakeBackend &backend, const Schema::RunTask &task, std::int64_t wallMs)
{
    TaskStarts &record = backend.tasks[taskKey(task)];
    if (record.starts == 0) {
        record.job = task.job;
        record.index = task.index;
        record.firstWallMs = wallMs;
    }
    ++record.starts;
    record.lastWallMs = wallMs;
    ++backend.starts;
    ++backend.running;
    backend.maxRunning = std::max(backend.maxRunning, backend.running);
}

} // namespace

Json controlJson(const FakeBackendControl &control)
{
    return {{"speed", control.speed},         {"slots", control.slots},
            {"memoryMb", control.memoryMb},   {"accelerators", control.accelerators},
            {"failAll", control.failAll},     {"hang", control.hang},
            {"refuseAll", control.refuseAll}, {"silent", control.silent},
            {"unhealthy", control.unhealthy}};
}

Common::Outcome<FakeBackendControl> changedControl(const FakeBackendControl &control,
                                                   const Json &change)
{
    BOOST_LEAF_AUTO(json, mergeControl(controlJson(control), change));
    FakeBackendControl changed;
    changed.speed = json.at("speed").get<double>();
    changed.slots = json.at("slots").get<std::int64_t>();
    changed.memoryMb = json.at("memoryMb").get<std::int64_t>();
    changed.accelerators = json.at("accelerators").get<std::int64_t>();
    changed.failAll = json.at("failAll").get<bool>();
    changed.hang = json.at("hang").get<bool>();
    changed.refuseAll = json.at("refuseAll").get<bool>();
    changed.silent = json.at("silent").get<bool>();
    changed.unhealthy = json.at("unhealthy").get<bool>();
    if (changed.speed <= 0) {
        return Common::failure(Schema::Reason::Malformed, "speed: must be above 0");
    }
    return changed;
}

Common::Outcome<FakeTask> parsePayload(const std::string &payload)
{
    const Json json = Json::parse(payload, nullptr, false);
    if (!json.is_object()) {
        return Common::failure(Schema::Reason::Malformed, "payload is not a JSON object");
    }
    try {
        FakeTask task;
        task.runMs = std::max(0.0, json.value("runMs", 0.0));
        task.result = json.value("result", std::string());
        task.fail = json.value("fail", false);
        task.memoryMb = std::max<std::int64_t>(0, json.value("memoryMb", std::int64_t{0}));
        task.accelerators = std::max<std::int64_t>(0, json.value("accelerators", std::int64_t{0}));
        return task;
    } catch (const Json::exception &error) {
        return Common::failure(Schema::Reason::Malformed, error.what());
    }
}

RunStatus startTask(FakeBackend &backend, const Schema::RunTask &task, const FakeTask &fake,
                    std::int64_t wallMs)
{
    if (backend.control.refuseAll) {
        ++backend.refusedAll;
        return RunStatus::Refused;
    }
    // The agent checks its lease before it sends the task. If it is paused in between, the start
    // could arrive after the agent was fenced. Agent and backend server share a clock, so this
    // check refuses such a start.
    if (wallMs > task.notAfterMs) {
        ++backend.refusedNotAfter;
        return RunStatus::NotAfterPassed;
    }
    if (backend.running >= backend.control.slots) {
        ++backend.refusedNoSlot;
        return RunStatus::NoSlot;
    }
    const bool fits =
            backend.usedMemoryMb + fake.memoryMb <= backend.control.memoryMb
            && backend.usedAccelerators + fake.accelerators <= backend.control.accelerators;
    if (!fits) {
        ++backend.refusedNoResources;
        return RunStatus::NoResources;
    }
    backend.usedMemoryMb += fake.memoryMb;
    backend.usedAccelerators += fake.accelerators;
    recordStart(backend, task, wallMs);
    return RunStatus::Started;
}

void endTask(FakeBackend &backend, const FakeTask &fake, bool hasFailed)
{
    --backend.running;
    backend.usedMemoryMb -= fake.memoryMb;
    backend.usedAccelerators -= fake.accelerators;
    if (hasFailed) {
        ++backend.failed;
    } else {
        ++backend.succeeded;
    }
}

double runTimeMs(const FakeBackendControl &control, const FakeTask &task)
{
    if (control.failAll) {
        return 0;
    }
    return task.runMs / control.speed;
}

Json backendStats(const FakeBackend &backend)
{
    Json doubles = Json::array();
    for (const auto &[key, task] : backend.tasks) {
        if (task.starts > 1) {
            doubles.push_back(startsJson(task));
        }
    }
    return {{"starts", backend.starts},
            {"distinct", backend.tasks.size()},
            {"doubles", std::move(doubles)},
            {"running", backend.running},
            {"mostRunning", backend.maxRunning},
            {"succeeded", backend.succeeded},
            {"failed", backend.failed},
            {"refused",
             {{"no_slot", backend.refusedNoSlot},
              {"not_after_passed", backend.refusedNotAfter},
              {"no_resources", backend.refusedNoResources},
              {"backend_refused", backend.refusedAll}}},
            {"control", controlJson(backend.control)}};
}

Json backendStarts(const FakeBackend &backend)
{
    Json starts = Json::array();
    for (const auto &[key, task] : backend.tasks) {
        starts.push_back(startsJson(task));
    }
    return starts;
}

} // namespace StandIn
