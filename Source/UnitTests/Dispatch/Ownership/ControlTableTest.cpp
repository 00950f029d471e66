#include <doctest/doctest.h>

#include "Dispatch/Ownership/ControlTable.h"

using namespace Dispatch;

namespace {

Schema::Member member(const std::string &instance, int port)
{
    Schema::Member made;
    made.instance = instance;
    made.host = "10.0.0.1";
    made.peerPort = port;
    return made;
}

Schema::LogRecord join(const std::string &instance, int port, std::int64_t basedOn,
                       const std::string &replaces = "")
{
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::Join;
    record.instance = instance;
    record.member = member(instance, port);
    record.basedOn = basedOn * EpochStep;
    if (!replaces.empty()) {
        record.replaces = replaces;
    }
    return record;
}

Schema::LogRecord leave(const std::string &instance, std::int64_t basedOn)
{
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::Leave;
    record.instance = instance;
    record.basedOn = basedOn * EpochStep;
    return record;
}

Schema::LogRecord shards(Schema::RecordKind kind, const std::string &instance, std::int64_t epoch)
{
    Schema::LogRecord record;
    record.kind = kind;
    record.instance = instance;
    record.shards.emplace();
    record.shards->emplace_back();
    record.shards->back().owner = instance;
    record.shards->back().epoch = epoch;
    return record;
}

Schema::LogRecord claim(const std::string &instance, std::int64_t base)
{
    return shards(Schema::RecordKind::Claim, instance, base * EpochStep);
}

Schema::LogRecord handedOver(const std::string &instance, std::int64_t base, std::int64_t count)
{
    return shards(Schema::RecordKind::HandedOver, instance, base * EpochStep + count);
}

/// Whether the last of \a records takes effect.
bool lastCounts(const std::vector<Schema::LogRecord> &records, const Safeguards &safeguards)
{
    ControlTable table = makeControlTable(1);
    bool counts = false;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        Schema::LogEntry entry;
        entry.offset = static_cast<std::int64_t>(offset);
        entry.record = records[offset];
        counts = applyControlRecord(table, entry, safeguards);
    }
    return counts;
}

} // namespace

TEST_CASE("A control record counts only where what it was based on still holds")
{
    // An append is repeated because its answer was late or lost, or two gateways append at the same
    // time. The first record in log order takes effect; the other must not, for any reader at any
    // time.
    struct Row
    {
        const char *name;
        std::vector<Schema::LogRecord> records;
        bool counts;
        bool countsUnconditionally;
    };
    const Schema::LogRecord a = join("a", 1, 0);
    const Schema::LogRecord b = join("b", 2, 1);
    const std::vector<Row> rows = {
            {"join", {a}, true, true},
            {"two joins on one roster", {a, b, join("c", 3, 1)}, false, true},
            {"the join repeated", {a, a}, false, false},
            {"a join repeated after its member left", {a, b, leave("b", 2), b}, false, true},
            {"a seat at the same address", {a, join("z", 1, 0, "a")}, true, true},
            {"a seat of one who is not there", {a, join("z", 1, 0, "y")}, false, false},
            {"claim", {a, claim("a", 0)}, true, true},
            {"a claim by a stranger", {a, claim("b", 0)}, false, false},
            {"a second claim on the same epoch", {a, b, claim("a", 0), claim("b", 0)}, false, true},
            {"a claim on the new epoch", {a, b, claim("a", 0), claim("b", 2)}, true, true},
            {"handover", {a, b, claim("a", 0), handedOver("b", 2, 1)}, true, true},
            {"a handover after a claim",
             {a, b, claim("a", 0), claim("b", 2), handedOver("a", 2, 1)},
             false,
             false},
            {"an older handover",
             {a, b, claim("a", 0), handedOver("b", 2, 2), handedOver("a", 2, 1)},
             false,
             false},
    };
    Safeguards unconditional;
    unconditional.conditionalRecords = false;
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        CHECK(lastCounts(row.records, Safeguards{}) == row.counts);
        CHECK(lastCounts(row.records, unconditional) == row.countsUnconditionally);
    }
}
