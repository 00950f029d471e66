#include <doctest/doctest.h>

#include "Common/Hash.h"
#include "Dispatch/Persistence/Journal.h"

using namespace Dispatch;

namespace {

constexpr std::int64_t WallMs = 1700000000000;

Common::Moment at(std::int64_t ms)
{
    return Common::Moment{ms, WallMs + ms};
}

Schema::Intent intentOf(const std::string &job, std::int64_t firstMs)
{
    Schema::Intent intent;
    intent.job = job;
    intent.digest = Common::digest("content of " + job);
    intent.tasks = 3;
    intent.firstSubmittedMs = WallMs + firstMs;
    return intent;
}

struct Journal
{
    JournalState state = makeJournal(JournalSettings{}, "gateway-1");
    std::uint64_t nextBatch = 1;
    Common::Random random;

    /// Runs a tick at \a ms. Returns the append that it sends, if any.
    std::optional<AppendToLog> tick(std::int64_t ms)
    {
        for (const Effect &effect :
             journalTick(this->state, this->nextBatch, at(ms), this->random)) {
            if (const auto *append = std::get_if<AppendToLog>(&effect)) {
                return *append;
            }
        }
        return std::nullopt;
    }
};

std::vector<std::string> jobsIn(const AppendToLog &append)
{
    std::vector<std::string> jobs;
    for (const Schema::Intent &intent : *append.records[0].intents) {
        jobs.push_back(intent.job);
    }
    return jobs;
}

LogRead readOf(const std::vector<Schema::LogRecord> &records)
{
    LogRead read;
    for (const Schema::LogRecord &record : records) {
        Schema::LogEntry entry;
        entry.offset = read.nextOffset++;
        entry.record = record;
        read.entries.push_back(std::move(entry));
    }
    read.atEnd = true;
    return read;
}

} // namespace

TEST_CASE("Intents share appends, one in flight, and keep their order")
{
    Journal journal;
    addIntent(journal.state, intentOf("a", 0), at(0));
    const auto first = journal.tick(0);
    addIntent(journal.state, intentOf("b", 1), at(1));
    addIntent(journal.state, intentOf("c", 1), at(1));
    addIntent(journal.state, intentOf("b", 1), at(1));
    CHECK(jobsIn(*first) == std::vector<std::string>{"a"});
    CHECK_FALSE(journal.tick(20).has_value());
    handleJournalAppendResult(journal.state, first->batch, AppendStatus::Durable, at(20));
    CHECK(takeNewlyDurable(journal.state) == std::vector<std::string>{"a"});
    CHECK(intentState(journal.state, "a") == IntentState::Durable);
    CHECK(jobsIn(*journal.tick(21)) == std::vector<std::string>{"b", "c"});
}

TEST_CASE("An append whose answer is lost goes out again under the same record id")
{
    // The log wrote the intents, but its answer was lost, so that the caller's job waits. The same
    // record is sent again. The job may start when the append is answered or the record is read
    // back; the copies count once.
    for (const bool readBack : {true, false}) {
        CAPTURE(readBack);
        Journal journal;
        addIntent(journal.state, intentOf("a", 0), at(0));
        const auto first = journal.tick(0);
        handleJournalAppendResult(journal.state, first->batch, AppendStatus::Unknown, at(100));
        CHECK(intentState(journal.state, "a") == IntentState::Waiting);
        CHECK_FALSE(journal.tick(150).has_value());
        const auto second = journal.tick(400);
        CHECK(second->records[0].id == first->records[0].id);
        if (readBack) {
            handleJournalRead(journal.state, readOf({first->records[0], second->records[0]}),
                              at(410));
        } else {
            handleJournalAppendResult(journal.state, second->batch, AppendStatus::Durable, at(410));
        }
        CHECK(takeNewlyDurable(journal.state) == std::vector<std::string>{"a"});
        handleJournalAppendResult(journal.state, second->batch, AppendStatus::Durable, at(420));
        CHECK(takeNewlyDurable(journal.state).empty());
    }
}

TEST_CASE(
        "In a long outage jobs start once a majority knows, and are written later, in order, once")
{
    // The log is unavailable. After the configured time without a durable append the owner declares
    // itself unlogged as of the oldest submission that it holds; jobs start only after the
    // declaration is acknowledged. When the log is available again, all held intents are written in
    // order before the declaration is withdrawn.
    Journal journal;
    addIntent(journal.state, intentOf("a", -5000), at(0));
    const auto first = journal.tick(0);
    handleJournalAppendResult(journal.state, first->batch, AppendStatus::Unavailable, at(100));
    addIntent(journal.state, intentOf("b", 1000), at(1000));
    const auto second = journal.tick(1990);
    handleJournalAppendResult(journal.state, second->batch, AppendStatus::Unavailable, at(2090));
    CHECK(journal.state.unloggedSinceMs == 0);
    const auto retried = journal.tick(2500);
    CHECK(journal.state.unloggedSinceMs == WallMs - 5000);
    CHECK(intentState(journal.state, "a") == IntentState::Waiting);
    journal.state.acknowledgedSinceMs = journal.state.unloggedSinceMs;
    CHECK(intentState(journal.state, "a") == IntentState::Unlogged);
    addIntent(journal.state, intentOf("older", -6000), at(2500));
    CHECK(intentState(journal.state, "older") == IntentState::Waiting);
    handleJournalAppendResult(journal.state, retried->batch, AppendStatus::Durable, at(3000));
    CHECK(intentState(journal.state, "b") == IntentState::Waiting);
    CHECK(journal.state.unloggedSinceMs != 0);
    const auto rest = journal.tick(3010);
    CHECK(jobsIn(*rest) == std::vector<std::string>{"b", "older"});
    handleJournalAppendResult(journal.state, rest->batch, AppendStatus::Durable, at(3020));
    CHECK(journal.state.unloggedSinceMs == 0);
}

TEST_CASE("The index knows each id for the dedup window, in bounded memory")
{
    Journal journal;
    Schema::LogRecord record;
    record.id = "r";
    record.kind = Schema::RecordKind::Intents;
    record.intents.emplace();
    record.intents->push_back(intentOf("a", 0));
    handleJournalRead(journal.state, readOf({record, record}), at(10));
    const auto found = findIntent(journal.state, "a");
    REQUIRE(found.has_value());
    CHECK(found->tasks == 3);
    CHECK(sameContent(*found, Common::digest("content of a")));
    CHECK_FALSE(sameContent(*found, Common::digest("other content")));
    CHECK_FALSE(findIntent(journal.state, "b").has_value());
    const std::int64_t window = journal.state.settings.dedupWindowMs;
    journal.tick(window - 1);
    CHECK(findIntent(journal.state, "a").has_value());
    journal.tick(window + 20000);
    CHECK(journal.state.index.intents.empty());
    CHECK(journal.state.index.byExpiry.empty());
}
