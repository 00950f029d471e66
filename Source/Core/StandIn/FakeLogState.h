#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Common/Common.h"

/// State of the stand-in for the platform's log service, without network or clock.
namespace StandIn {

/// What a request meets during an outage: status 503 at once, or no answer.
enum class OutageMode { Refuse, Hang };

/// What the client of a lost answer sees: status 500, or no answer.
enum class LostAnswer { Error, Hang };

/// Faults and limits, changed while the service runs.
struct FakeLogControl
{
    bool outage = false;
    OutageMode outageMode = OutageMode::Refuse;
    /// Added to each answer, after the write has taken effect.
    std::int64_t delayMs = 0;
    /// Share of appends that are written, but whose answer is lost.
    double loseAnswers = 0;
    LostAnswer lostAnswer = LostAnswer::Error;
    std::int64_t appendsPerSecond = 400;
    std::int64_t retentionMs = 3600000;
    /// What a synced write takes.
    std::int64_t syncMs = 4;
};

nlohmann::json controlJson(const FakeLogControl &control);
/// \a control with the members of \a change set.
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
    /// Offset of the first entry that retention has left.
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
    /// Records as JSON texts, the first of which has the offset \a first.
    std::vector<std::string> records;
    std::int64_t first = 0;
    std::int64_t next = 0;
    std::int64_t oldest = 0;
    bool atEnd = true;
};

/// False where this append would exceed the limit of appends a second.
bool admitAppend(FakeLog &log, std::int64_t nowMs);
/// When an append admitted now takes effect. Never before an earlier one, also where syncMs has
/// been lowered since: offsets follow the order of admission.
std::int64_t commitTime(FakeLog &log, std::int64_t nowMs);
/// Writes \a records and returns the offset of the first.
std::int64_t commitAppend(FakeLog &log, const std::string &stream, std::vector<std::string> records,
                          std::int64_t nowMs);
/// Draws whether the answer to an append that took effect is lost.
bool losesAnswer(FakeLog &log);
/// At most \a maximum records from offset \a from on, or from the oldest one left.
FakeLogBatch readStream(FakeLog &log, const std::string &stream, std::int64_t from,
                        std::int64_t maximum, std::int64_t nowMs);
/// Body of the answer to a read.
std::string batchJson(const FakeLogBatch &batch);
nlohmann::json logStats(const FakeLog &log);

} // namespace StandIn
