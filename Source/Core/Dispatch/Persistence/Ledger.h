#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Persistence/JobEntry.h"
#include "Schema/Schema.h"

/// The owner's memory of jobs: what was submitted, how far each task is, and what callers were
/// told. It answers the question on which "at most once" rests: has this id been seen, and with the
/// same content? It knows nothing of queues, agents' load or the log.
namespace Dispatch {

struct LedgerSettings
{
    std::int64_t shardCount = 64;
    std::int64_t dedupWindowMs = 600'000;
    std::int64_t defaultDeadlineMs = 30'000;
    std::int64_t maxDeadlineMs = 300'000;
    /// How far a first-submission time may lie ahead of this gateway's clock.
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

/// What the ledger says to a submission.
enum class SubmissionStatus {
    New,
    Pending,
    Ended,
    Conflict,
    /// Known only from the journal or from reports; adoptSubmission() may give it its content.
    Recovered,
    /// Refused before any start, and not by its caller's own wish: it may be submitted again.
    Refused
};

/// Refuses submissions that lie outside the dedup window or past their deadline.
Common::Outcome<void> checkTimes(const LedgerState &state, const Schema::SubmitJob &submit,
                                 Common::Moment now);

/// Looks the id up.
SubmissionStatus lookUpSubmission(const LedgerState &state, const Schema::SubmitJob &submit);

/// Hash of what makes a submission the same submission: all but the deadline.
std::string submissionDigest(const Schema::SubmitJob &submit);

std::int64_t deadlineOf(const LedgerState &state, const Schema::SubmitJob &submit);

/// Adds a job under an id that is not known, or in place of what was known of it.
JobEntry &insertJob(LedgerState &state, JobEntry job);
JobEntry &addJob(LedgerState &state, const Schema::SubmitJob &submit);
/// A job known only from the journal or an agent's report: each of its tasks may have started. Its
/// content is not known until a resubmission brings it.
JobEntry &addRecoveredJob(LedgerState &state, const std::string &id, std::int64_t taskCount,
                          std::int64_t firstSubmittedMs);
void adoptSubmission(LedgerState &state, JobEntry &job, const Schema::SubmitJob &submit);

JobEntry *findJob(LedgerState &state, const std::string &job);
const JobEntry *findJob(const LedgerState &state, const std::string &job);

/// Ends the job: waiting tasks are dropped and all waiters are returned, each owed \a answer.
std::vector<std::string> endJob(LedgerState &state, JobEntry &job, Schema::JobAnswer answer);

/// Jobs not ended whose deadline has passed.
std::vector<std::string> pastDeadline(const LedgerState &state, Common::Moment now);
/// Forgets ended jobs whose dedup window is over.
std::size_t removeExpiredJobs(LedgerState &state, Common::Moment now);

std::vector<std::string> jobsOfShard(const LedgerState &state, std::int64_t shard);
/// Takes the job out: its shard has another owner. Its waiters must have been dealt with.
void removeJob(LedgerState &state, const std::string &job);

} // namespace Dispatch
