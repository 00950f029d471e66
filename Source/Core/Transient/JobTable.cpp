#include "Transient/JobTable.h"

#include <algorithm>
#include <charconv>

namespace Transient {

namespace {

std::optional<int> parseNumber(const std::string &text)
{
    int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size() && value >= 0;
    return isWhole ? std::optional<int>(value) : std::nullopt;
}

bool isOpen(const JobRecord &job, const StepRecord &step)
{
    return std::all_of(step.request.after.begin(), step.request.after.end(), [&job](int earlier) {
        const StepRecord &before = job.steps[static_cast<std::size_t>(earlier)];
        return before.succeeded == static_cast<int>(before.tasks.size());
    });
}

} // namespace

std::string taskName(const JobRecord &job, int step, int index)
{
    return job.id + '.' + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<TaskRef> parseTaskName(const std::string &name)
{
    const std::size_t last = name.rfind('.');
    if (last == std::string::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = name.rfind('.', last - 1);
    if (middle == std::string::npos) {
        return std::nullopt;
    }
    const auto step = parseNumber(name.substr(middle + 1, last - middle - 1));
    const auto index = parseNumber(name.substr(last + 1));
    if (!step || !index) {
        return std::nullopt;
    }
    return TaskRef{name.substr(0, middle), *step, *index};
}

TaskRecord *findTask(JobRecord &job, const TaskRef &task)
{
    if (task.step >= static_cast<int>(job.steps.size())) {
        return nullptr;
    }
    std::vector<TaskRecord> &tasks = job.steps[static_cast<std::size_t>(task.step)].tasks;
    return task.index < static_cast<int>(tasks.size())
                   ? &tasks[static_cast<std::size_t>(task.index)]
                   : nullptr;
}

int openSteps(JobRecord &job)
{
    int opened = 0;
    for (StepRecord &step : job.steps) {
        if (step.tasks.empty() || step.tasks.front().phase != TaskPhase::Blocked
            || !isOpen(job, step)) {
            continue;
        }
        for (TaskRecord &task : step.tasks) {
            task.phase = TaskPhase::Ready;
            ++opened;
        }
    }
    job.ready += opened;
    return opened;
}

bool allSucceeded(const JobRecord &job)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [](const StepRecord &step) {
        return step.succeeded == static_cast<int>(step.tasks.size());
    });
}

double longestChainMs(const std::vector<StepRecord> &steps, const std::vector<double> &stepMs)
{
    std::vector<double> endMs(steps.size(), 0);
    double longest = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        double beginMs = 0;
        for (const int earlier : steps[index].request.after) {
            beginMs = std::max(beginMs, endMs[static_cast<std::size_t>(earlier)]);
        }
        endMs[index] = beginMs + stepMs[index];
        longest = std::max(longest, endMs[index]);
    }
    return longest;
}

} // namespace Transient
