#include "ModelBackend.h"

#include <algorithm>
#include <sstream>

namespace TransientSite {

namespace {

constexpr std::int64_t StopDurationMs = 30;
constexpr std::int64_t MaxLeaseMs = 1000;

void addEnd(ModelBackend &backend, const ModelRun &run, Transient::RunEnd end)
{
    std::int64_t &barred = backend.barred[run.task];
    barred = std::max(barred, run.number);
    backend.ends.push_back({++backend.lastEnd, run.task, run.number, end});
}

bool passesFence(ModelBackend &backend, std::int64_t fence)
{
    if (fence < backend.fence) {
        return false;
    }
    backend.fence = fence;
    return true;
}

void renew(ModelBackend &backend, std::int64_t untilMs, std::int64_t nowMs)
{
    const std::int64_t latestMs = clockOf(backend, nowMs) + MaxLeaseMs;
    backend.leaseUntilMs = std::max(backend.leaseUntilMs, std::min(untilMs, latestMs));
}

} // namespace

std::string payloadOf(const ModelWork &work)
{
    std::string payload = std::to_string(work.runMs) + ' ' + std::to_string(work.processors)
                          + (work.fails ? " fail" : "");
    payload.resize(std::max(payload.size(), work.payloadBytes), ' ');
    return payload;
}

ModelWork workOf(const std::string &payload)
{
    ModelWork work;
    std::string suffix;
    std::istringstream text(payload);
    text >> work.runMs >> work.processors >> suffix;
    work.fails = suffix == "fail";
    return work;
}

std::int64_t clockOf(const ModelBackend &backend, std::int64_t nowMs)
{
    constexpr std::int64_t ClockDriftDivisor = 50;
    return backend.clockOffsetMs + nowMs - nowMs / ClockDriftDivisor;
}

Transient::StartAnswer applyStart(ModelBackend &backend, const Transient::RunStart &start,
                                  std::int64_t nowMs)
{
    using Transient::StartOutcome;
    const auto answer = [&](StartOutcome outcome) {
        return Transient::StartAnswer{outcome, clockOf(backend, nowMs)};
    };
    if (!passesFence(backend, start.fence)) {
        return answer(StartOutcome::Fenced);
    }
    const auto same =
            std::find_if(backend.runs.begin(), backend.runs.end(), [&start](const ModelRun &run) {
                return run.task == start.task && run.number == start.number;
            });
    if (same != backend.runs.end()) {
        return answer(StartOutcome::Started);
    }
    const auto barred = backend.barred.find(start.task);
    if (barred != backend.barred.end() && start.number <= barred->second) {
        return answer(StartOutcome::NumberUsed);
    }
    if (start.leaseUntilMs <= clockOf(backend, nowMs)) {
        return answer(StartOutcome::LeaseTooShort);
    }
    const ModelWork work = workOf(start.payload);
    double used = work.processors;
    for (const ModelRun &run : backend.runs) {
        used += run.processors;
    }
    if (used > backend.processors) {
        return answer(StartOutcome::NoRoom);
    }
    renew(backend, start.leaseUntilMs, nowMs);
    ModelRun run;
    run.task = start.task;
    run.number = start.number;
    run.startedMs = nowMs;
    run.fails = work.fails || backend.failsAll;
    const double runMs = backend.failsAll ? 2 : static_cast<double>(work.runMs) / backend.speed;
    run.endsMs = nowMs + std::max<std::int64_t>(1, static_cast<std::int64_t>(runMs));
    run.processors = work.processors;
    backend.runs.push_back(run);
    return answer(StartOutcome::Started);
}

bool applyStop(ModelBackend &backend, const std::string &task, std::int64_t number,
               std::int64_t fence, std::int64_t nowMs)
{
    if (!passesFence(backend, fence)) {
        return false;
    }
    std::int64_t &barred = backend.barred[task];
    barred = std::max(barred, number);
    for (ModelRun &run : backend.runs) {
        if (run.task == task && run.number <= number && run.endsMs > nowMs + StopDurationMs) {
            // A negative start time marks a stopped run: it ends as stopped, since its work was
            // not finished.
            run.endsMs = nowMs + StopDurationMs;
            run.startedMs = -1;
        }
    }
    return true;
}

Transient::ObserveAnswer applyObserve(ModelBackend &backend, std::int64_t fence,
                                      std::int64_t lastEnd, std::int64_t leaseUntilMs,
                                      std::int64_t nowMs)
{
    Transient::ObserveAnswer answer;
    if (!passesFence(backend, fence)) {
        answer.outcome = Transient::ObserveOutcome::Fenced;
        return answer;
    }
    if (leaseUntilMs > 0 && !backend.runs.empty()) {
        renew(backend, leaseUntilMs, nowMs);
    }
    while (!backend.ends.empty() && backend.ends.front().position <= lastEnd) {
        backend.ends.pop_front();
    }
    answer.outcome = Transient::ObserveOutcome::Observed;
    answer.seen.clockMs = clockOf(backend, nowMs);
    answer.seen.startedAtMs = backend.startedAtMs;
    for (const ModelRun &run : backend.runs) {
        const std::int64_t durationMs = std::max<std::int64_t>(1, run.endsMs - run.startedMs);
        const auto percent = static_cast<int>((nowMs - run.startedMs) * 100 / durationMs);
        answer.seen.active.push_back({run.task, run.number, std::clamp(percent, 0, 99)});
    }
    for (const ModelEnd &end : backend.ends) {
        answer.seen.ended.push_back({end.position, end.task, end.number, end.end});
    }
    return answer;
}

bool hasNewEnds(const ModelBackend &backend, std::int64_t lastEnd)
{
    return !backend.ends.empty() && backend.ends.back().position > lastEnd;
}

void advance(ModelBackend &backend, std::int64_t nowMs)
{
    if (!backend.isUp) {
        return;
    }
    const bool hasLapsed = clockOf(backend, nowMs) >= backend.leaseUntilMs;
    std::vector<ModelRun> remaining;
    for (const ModelRun &run : backend.runs) {
        if (run.endsMs <= nowMs) {
            const Transient::RunEnd end = run.startedMs < 0 ? Transient::RunEnd::Stopped
                                          : run.fails       ? Transient::RunEnd::Failed
                                                            : Transient::RunEnd::Succeeded;
            addEnd(backend, run, end);
        } else if (hasLapsed) {
            addEnd(backend, run, Transient::RunEnd::LeaseLapsed);
        } else {
            remaining.push_back(run);
        }
    }
    backend.runs = std::move(remaining);
}

void restart(ModelBackend &backend, std::int64_t nowMs, std::int64_t clockStepMs)
{
    backend.isUp = true;
    backend.isLeaving = false;
    backend.leavingKnownMs.reset();
    backend.trouble = {};
    backend.startedAtMs = nowMs + 1 + clockStepMs;
    // Its clock starts from zero.
    backend.clockOffsetMs -= clockOf(backend, nowMs);
    backend.leaseUntilMs = 0;
    backend.fence = 0;
    backend.lastEnd = 0;
    backend.runs.clear();
    backend.ends.clear();
    backend.barred.clear();
}

} // namespace TransientSite
