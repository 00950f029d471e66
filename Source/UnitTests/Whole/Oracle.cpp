#include "Oracle.h"

#include <algorithm>

namespace Whole {

namespace {

void reportViolation(Oracle &oracle, const std::string &what)
{
    oracle.violations.push_back(what);
}

bool isComplete(const Schema::JobAnswer &answer, std::size_t tasks)
{
    if (!answer.results || answer.results->size() != tasks) {
        return false;
    }
    for (std::size_t index = 0; index < tasks; ++index) {
        if ((*answer.results)[index] != resultOf(answer.id, static_cast<std::int64_t>(index))) {
            return false;
        }
    }
    return true;
}

std::size_t startedTasks(const Oracle &oracle, const std::string &job)
{
    return static_cast<std::size_t>(
            std::count_if(oracle.starts.begin(), oracle.starts.end(),
                          [&job](const auto &entry) { return entry.first.first == job; }));
}

/// Whether another submission of the job, not answered before this one, may have started its tasks.
bool hasOtherSubmission(const Oracle &oracle, const Submission &checked)
{
    return std::any_of(oracle.submissions.begin(), oracle.submissions.end(),
                       [&checked](const Submission &other) {
                           const bool endedBefore =
                                   other.isAnswered && other.answeredAtMs < checked.answeredAtMs;
                           return &other != &checked && other.job == checked.job && !endedBefore;
                       });
}

} // namespace

std::string resultOf(const std::string &job, std::int64_t index)
{
    return job + '/' + std::to_string(index);
}

void recordStart(Oracle &oracle, const std::string &job, std::int64_t index, std::int64_t nowMs)
{
    const int count = ++oracle.starts[{job, index}];
    oracle.lastStartMs[job] = nowMs;
    if (count > 1) {
        reportViolation(oracle,
                        "started " + std::to_string(count) + " times: " + resultOf(job, index));
    }
}

std::size_t recordSubmission(Oracle &oracle, const std::string &job, std::size_t tasks,
                             std::int64_t nowMs)
{
    Submission submission;
    submission.job = job;
    submission.submittedAtMs = nowMs;
    oracle.taskCounts[job] = tasks;
    oracle.submissions.push_back(std::move(submission));
    return oracle.submissions.size() - 1;
}

void recordAnswer(Oracle &oracle, std::size_t submission, const Schema::JobAnswer &answer,
                  std::int64_t nowMs)
{
    Submission &record = oracle.submissions[submission];
    if (record.isAnswered) {
        reportViolation(oracle, "answered twice: " + record.job);
    }
    record.isAnswered = true;
    record.answer = answer;
    record.answeredAtMs = nowMs;
    if (answer.id != record.job) {
        reportViolation(oracle, "answer of " + answer.id + " reached " + record.job);
    }
    const bool isCompleted = answer.outcome == Schema::JobOutcome::Completed;
    if (isCompleted && !isComplete(answer, oracle.taskCounts[record.job])) {
        reportViolation(oracle, "completed with incomplete results: " + record.job);
    }
    if (!isCompleted && answer.results) {
        reportViolation(oracle, "results in an answer that is not completed: " + record.job);
    }
    if (answer.notRun && startedTasks(oracle, record.job) > 0) {
        reportViolation(oracle, "answered as not run after a start: " + record.job);
    }
}

void recordConfigVersion(Oracle &oracle, const std::string &process, std::int64_t version)
{
    std::int64_t &known = oracle.configVersions[process];
    if (version < known) {
        reportViolation(oracle, "configuration version decreased on " + process);
    }
    known = version;
}

void checkAtEnd(Oracle &oracle)
{
    for (const Submission &submission : oracle.submissions) {
        const bool startedLater =
                submission.isAnswered && submission.answer.notRun
                && oracle.lastStartMs.count(submission.job) != 0
                && oracle.lastStartMs.at(submission.job) > submission.answeredAtMs;
        if (startedLater && !hasOtherSubmission(oracle, submission)) {
            reportViolation(oracle, "answered as not run before a start: " + submission.job);
        }
    }
}

} // namespace Whole
