#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Persistence/JobEntry.h"
#include "Schema/Schema.h"

/// The owner's table of jobs: submissions, the progress of each task, and the answers given to
/// callers. The guarantee that a task runs at most once depends on it: it determines whether an id
/// has been seen before, and with the same content. It is independent of queues, the load of agents
/// and the log.
namespace Dispatch {

struct LedgerSettings
{
    std::int64_t shardCount = 64;
    std::int64_t dedupWindowMs = 600'000;
    std::int64_t defaultDeadlineMs = 30'000;
    std::int64_t maxDeadlineMs = 300'000;
    /// How far the time of a first submission may be ahead of this gateway's clock.
    std::int64_t clockSkewMs = 5'000;
};

struct LedgerState
{
    LedgerSettings settings;
    std::unordered_map<std::string, JobEntry> jobs;
    /// Ids by the time at which they leave the dedup window.
    std::multimap<std::int64_t, std::string> expiries;
    /// Jobs that have not ended, by deadline.
    std::multimap<std::int64_t, std::string> deadlines;
};

std::int64_t shardOf(const LedgerState &state, const std::string &job);

/// Result of looking up a submission in the ledger.
enum class SubmissionStatus {
    New,
    Pending,
    Ended,
    Conflict,
    /// Known only from the journal or from reports; adoptSubmission() can add its content.
    Recovered,
    /// Refused before any start, and not because its caller cancelled it: it may be submitted
    /// again.
    Refused
};

/// Fails for submissions that are outside the dedup window, too far ahead of this gateway's clock,
/// or past their deadline.
Common::Outcome<void> checkTimes(const LedgerState &state, const Schema::SubmitJob &submit,
                                 Common::Moment now);

/// Looks up the id of a submission and compares the content.
SubmissionStatus lookUpSubmission(const LedgerState &state, const Schema::SubmitJob &submit);

/// Hash of the content that identifies a submission: everything but the deadline.
std::string submissionDigest(const Schema::SubmitJob &submit);

std::int64_t deadlineOf(const LedgerState &state, const Schema::SubmitJob &submit);

/// Adds a job, or replaces the one with the same id.
JobEntry &insertJob(LedgerState &state, JobEntry job);
JobEntry &addJob(LedgerState &state, const Schema::SubmitJob &submit);
/// Adds a job that is known only from the journal or an agent's report. Each of its tasks may have
/// started. Its content is unknown until a resubmission supplies it.
JobEntry &addRecoveredJob(LedgerState &state, const std::string &id, std::int64_t taskCount,
                          std::int64_t firstSubmittedMs);
void adoptSubmission(LedgerState &state, JobEntry &job, const Schema::SubmitJob &submit);

JobEntry *findJob(LedgerState &state, const std::string &job);
const JobEntry *findJob(const LedgerState &state, const std::string &job);

/// Ends the job and drops its waiting tasks. Returns all waiting requests; the caller has to send
/// \a answer to each.
std::vector<std::string> endJob(LedgerState &state, JobEntry &job, Schema::JobAnswer answer);

/// Jobs that have not ended and whose deadline has passed.
std::vector<std::string> pastDeadline(const LedgerState &state, Common::Moment now);
/// Removes the jobs whose dedup window has passed. Returns the number of jobs removed.
std::size_t removeExpiredJobs(LedgerState &state, Common::Moment now);

std::vector<std::string> jobsOfShard(const LedgerState &state, std::int64_t shard);
/// Removes the job, because its shard has another owner or the job was not admitted. Its waiting
/// requests must have been handled before.
void removeJob(LedgerState &state, const std::string &job);

} // namespace Dispatch
