#include "Oracle.h"

#include <algorithm>

namespace Whole {

namespace {

void breakPromise(Oracle &oracle, const std::string &what)
{
    oracle.broken.push_back(what);
}

bool isWhole(const Schema::JobAnswer &answer, std::size_t tasks)
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

/// Whether a start of the job could be due to another submission than this one.
bool hasOtherSubmission(const Oracle &oracle, const Submission &judged)
{
    return std::any_of(oracle.submissions.begin(), oracle.submissions.end(),
                       [&judged](const Submission &other) {
                           const bool endedBefore =
                                   other.isAnswered && other.answeredAtMs < judged.answeredAtMs;
                           return &other != &judged && other.job == judged.job && !endedBefore;
                       });
}

} // namespace

std::string resultOf(const std::string &job, std::int64_t index)
{
    return job + '/' + std::to_string(index);
}

void taskStarted(Oracle &oracle, const std::string &job, std::int64_t index, std::int64_t nowMs)
{
    const int count = ++oracle.starts[{job, index}];
    oracle.lastStartMs[job] = nowMs;
    if (count > 1) {
        breakPromise(oracle,
                     "started " + std::to_string(count) + " times: " + resultOf(job, index));
    }
}

std::size_t submissionMade(Oracle &oracle, const std::string &job, std::size_t tasks,
                           std::int64_t nowMs)
{
    Submission submission;
    submission.job = job;
    submission.madeAtMs = nowMs;
    oracle.taskCounts[job] = tasks;
    oracle.submissions.push_back(std::move(submission));
    return oracle.submissions.size() - 1;
}

void submissionAnswered(Oracle &oracle, std::size_t submission, const Schema::JobAnswer &answer,
                        std::int64_t nowMs)
{
    Submission &asked = oracle.submissions[submission];
    if (asked.isAnswered) {
        breakPromise(oracle, "answered twice: " + asked.job);
    }
    asked.isAnswered = true;
    asked.answer = answer;
    asked.answeredAtMs = nowMs;
    if (answer.id != asked.job) {
        breakPromise(oracle, "answer of " + answer.id + " reached " + asked.job);
    }
    const bool isCompleted = answer.outcome == Schema::JobOutcome::Completed;
    if (isCompleted && !isWhole(answer, oracle.taskCounts[asked.job])) {
        breakPromise(oracle, "completed but not whole: " + asked.job);
    }
    if (!isCompleted && answer.results) {
        breakPromise(oracle, "partial answer: " + asked.job);
    }
    if (answer.notRun && startedTasks(oracle, asked.job) > 0) {
        breakPromise(oracle, "not run, but had started: " + asked.job);
    }
}

void configInForce(Oracle &oracle, const std::string &process, std::int64_t version)
{
    std::int64_t &known = oracle.configVersions[process];
    if (version < known) {
        breakPromise(oracle, "configuration went back on " + process);
    }
    known = version;
}

void judgeEnd(Oracle &oracle)
{
    for (const Submission &submission : oracle.submissions) {
        const bool startedLater =
                submission.isAnswered && submission.answer.notRun
                && oracle.lastStartMs.count(submission.job) != 0
                && oracle.lastStartMs.at(submission.job) > submission.answeredAtMs;
        if (startedLater && !hasOtherSubmission(oracle, submission)) {
            breakPromise(oracle, "not run, but started later: " + submission.job);
        }
    }
}

} // namespace Whole
