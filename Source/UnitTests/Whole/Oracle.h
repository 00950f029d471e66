#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Schema/Schema.h"

/// Checks a run by the starts at the backend servers, the answers to callers and the configuration
/// versions in use only, independently of how the system works.
namespace Whole {

struct Submission
{
    std::string job;
    std::int64_t submittedAtMs = 0;
    bool isAnswered = false;
    Schema::JobAnswer answer;
    std::int64_t answeredAtMs = 0;
};

struct Oracle
{
    std::map<std::pair<std::string, std::int64_t>, int> starts;
    std::map<std::string, std::int64_t> lastStartMs;
    std::map<std::string, std::size_t> taskCounts;
    std::vector<Submission> submissions;
    /// Descriptions of the violations in the order in which they were found; each ends in the job,
    /// the task or the process.
    std::vector<std::string> violations;
    std::map<std::string, std::int64_t> configVersions;
};

void recordStart(Oracle &oracle, const std::string &job, std::int64_t index, std::int64_t nowMs);
std::size_t recordSubmission(Oracle &oracle, const std::string &job, std::size_t tasks,
                             std::int64_t nowMs);
void recordAnswer(Oracle &oracle, std::size_t submission, const Schema::JobAnswer &answer,
                  std::int64_t nowMs);
/// Records the configuration version that a process uses now. A decrease is a violation.
void recordConfigVersion(Oracle &oracle, const std::string &process, std::int64_t version);
/// Checks what can only be decided after the last event of a run.
void checkAtEnd(Oracle &oracle);

/// The result that a backend server returns for a task; unique for each task.
std::string resultOf(const std::string &job, std::int64_t index);

} // namespace Whole
