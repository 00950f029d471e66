#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/Common.h"

/// State of the stand-in for the platform's log service, without network access or a clock.
namespace StandIn {

/// How a request is answered during an outage: with status 503 immediately, or not within any
/// client's timeout.
enum class OutageMode { Refuse, Hang };

/// How an append whose answer is lost ends for the client: with status 500, or without an answer
/// within any client's timeout.
enum class LostAnswer { Error, Hang };

/// Faults and limits. They can be changed while the service runs.
struct FakeLogControl
{
    bool outage = false;
    OutageMode outageMode = OutageMode::Refuse;
    /// Delays the answers to reads and to admitted appends. An append takes effect before the
    /// delay.
    std::int64_t delayMs = 0;
    /// Fraction of appends that are written although their answer is lost.
    double loseAnswers = 0;
    LostAnswer lostAnswer = LostAnswer::Error;
    std::int64_t appendsPerSecond = 400;
    std::int64_t retentionMs = 3600000;
    /// Time that a synced write takes.
    std::int64_t syncMs = 4;
};

nlohmann::json controlJson(const FakeLogControl &control);
/// Returns \a control with the members of \a change applied. Fails with Reason::Malformed if one is
/// unknown or has an invalid value.
Common::Outcome<FakeLogControl> changedControl(const FakeLogControl &control,
                                               const nlohmann::json &change);

struct FakeLogEntry
{
    std::string record;
    std::int64_t writtenMs = 0;
};

struct FakeLogStream
{
    std::deque<FakeLogEntry> entries;
    /// Offset of the oldest entry that is still retained.
    std::int64_t oldest = 0;
    std::int64_t appends = 0;
    std::int64_t records = 0;
    std::int64_t bytes = 0;
};

struct FakeLog
{
    FakeLogControl control;
    std::map<std::string, FakeLogStream> streams;
    /// Times of the appends admitted within the last second.
    std::deque<std::int64_t> recentAppends;
    std::int64_t lastCommitMs = 0;
    std::int64_t rateLimited = 0;
    std::int64_t answersLost = 0;
    Common::Random random;
};

struct FakeLogBatch
{
    /// Records as JSON text. The first of them has the offset \a first.
    std::vector<std::string> records;
    std::int64_t first = 0;
    std::int64_t next = 0;
    std::int64_t oldest = 0;
    bool atEnd = true;
};

/// Counts an append against the limit of appends per second. Returns false if it would exceed the
/// limit.
bool admitAppend(FakeLog &log, std::int64_t nowMs);
/// Time at which an append admitted now takes effect. It is never before that of an earlier append,
/// even if syncMs was lowered in between, so that offsets follow the order of admission.
std::int64_t commitTime(FakeLog &log, std::int64_t nowMs);
/// Writes \a records and returns the offset of the first one.
std::int64_t commitAppend(FakeLog &log, const std::string &stream, std::vector<std::string> records,
                          std::int64_t nowMs);
/// Draws at random whether the answer to an append that took effect is lost.
bool losesAnswer(FakeLog &log);
/// Reads at most \a maximum records, beginning at offset \a from or at the oldest record still
/// retained.
FakeLogBatch readStream(FakeLog &log, const std::string &stream, std::int64_t from,
                        std::int64_t maximum, std::int64_t nowMs);
/// Body of the answer to a read, as JSON.
std::string batchJson(const FakeLogBatch &batch);
nlohmann::json logStats(const FakeLog &log);

} // namespace StandIn
