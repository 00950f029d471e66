#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Schema/Schema.h"

/// Judges a run by what backend servers started and what callers were told, knowing nothing of how
/// the system works.
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
    /// Promises found broken, in the order they broke.
    std::vector<std::string> violations;
    std::map<std::string, std::int64_t> configVersions;
};

void taskStarted(Oracle &oracle, const std::string &job, std::int64_t index, std::int64_t nowMs);
std::size_t submissionMade(Oracle &oracle, const std::string &job, std::size_t tasks,
                           std::int64_t nowMs);
void submissionAnswered(Oracle &oracle, std::size_t submission, const Schema::JobAnswer &answer,
                        std::int64_t nowMs);
/// A process has this version in force now.
void recordConfigVersion(Oracle &oracle, const std::string &process, std::int64_t version);
/// What can only be judged once nothing moves any more.
void checkAtEnd(Oracle &oracle);

/// The result a backend server gives for a task: unlike that of any other.
std::string resultOf(const std::string &job, std::int64_t index);

} // namespace Whole
