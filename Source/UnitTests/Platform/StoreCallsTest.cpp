#include <doctest/doctest.h>
#include <ostream>

#include "platform/Platform.h"

using Platform::StoreTopic;

namespace {

Net::HttpResult answered(int status, const std::string &body)
{
    Net::HttpResult result;
    result.transport = Net::HttpTransport::Answered;
    result.status = status;
    result.body = body;
    return result;
}

std::string head()
{
    return std::string(16, '\0');
}

} // namespace

TEST_CASE("What was written is read back")
{
    const Net::HttpCall call =
            Platform::writeCall("10.0.0.7:80", StoreTopic::Gateways, {"gateway-1", "where"});
    CHECK(call.url == "http://10.0.0.7:80/log-append?topic=keyed.gateways&part=0");
    const auto read = Platform::decodeRead(answered(200, head() + call.body + call.body), 40);
    REQUIRE(read.has_value());
    CHECK(read->nextOffset == 42);
    REQUIRE(read->records.size() == 2);
    CHECK(read->records[0].key == "gateway-1");
    CHECK(read->records[0].value == "where");
    CHECK(read->records[1].offset == 41);
}

TEST_CASE("Records of other writers do not hide those behind them")
{
    const std::string good =
            Platform::writeCall("s:1", StoreTopic::Gateways, {"gateway-1", "where"}).body;
    const std::string empty(4, '\0');
    const std::string shortKey = std::string("\0\0\0\x02\x09z", 6);
    const auto read = Platform::decodeRead(answered(200, head() + empty + shortKey + good), 0);
    REQUIRE(read.has_value());
    CHECK(read->nextOffset == 3);
    REQUIRE(read->records.size() == 1);
    // A record that was cut off is read again.
    const auto cut = Platform::decodeRead(answered(200, head() + good + good.substr(0, 9)), 0);
    REQUIRE(cut.has_value());
    CHECK(cut->nextOffset == 1);
    const auto members = Platform::decodeMembers({{"a", "{", 1}, {"b", "{}", 2}});
    CHECK(members.values.empty());
    CHECK(members.skipped.size() == 2);
}

TEST_CASE("History that has gone, and a store that does not answer")
{
    const auto gone = Platform::decodeRead(answered(410, R"({"startOffset":70})"), 12);
    REQUIRE(gone.has_value());
    CHECK(gone->expired);
    CHECK_FALSE(Platform::decodeRead(answered(503, ""), 12).has_value());
    CHECK_FALSE(Platform::decodeRead(answered(200, "short"), 12).has_value());
    CHECK_FALSE(Platform::decodeRead({}, 12).has_value());
    CHECK_FALSE(Platform::decodeNewest(answered(429, "")).has_value());
    CHECK_FALSE(Platform::decodeNewest(answered(200, "{}")).has_value());
}

TEST_CASE("The newest record of each key")
{
    const auto newest = Platform::decodeNewest(answered(
            200, R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4},{"key":7}],)"
                 R"("hasMore":true,"endOffset":6})"));
    REQUIRE(newest.has_value());
    CHECK(newest->nextOffset == 6);
    CHECK(newest->hasMore);
    REQUIRE(newest->records.size() == 1);
    CHECK(newest->records[0].key == "config");
    CHECK(newest->records[0].offset == 4);
    CHECK(newest->records[0].value == "{\"a\":1}");
}

TEST_CASE("The operators' queues")
{
    struct Row
    {
        const char *text;
        std::int64_t version;
        std::size_t queues;
    };
    const Row rows[] = {
            {R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
             R"("priority":2,"maxAttempts":5,"slackFactor":1.6,"targetLatencyMs":60}]})",
             7, 1},
            {R"({"version":8,"routes":[]})", 8, 0},
            {R"({"version":"x","routes":[]})", 0, 0},
            {R"({"version":9,"routes":[{"name":"r"}]})", 0, 0},
            {"", 0, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        const auto table = Common::handle(
                [&]() -> Common::Outcome<Schema::QueueTable> {
                    return Platform::decodeQueues(row.text);
                },
                [](const Common::Failure &) { return Schema::QueueTable{}; });
        CHECK(table.version == row.version);
        CHECK(table.queues.size() == row.queues);
        if (!table.queues.empty()) {
            CHECK(table.queues[0].path == "/p/");
            CHECK(table.queues[0].attemptLimit == 5);
            CHECK(table.queues[0].priority == 2);
        }
    }
}

TEST_CASE("Records of the operators")
{
    using Platform::OperatorRecordKind;
    struct Row
    {
        Platform::StoreRecord record;
        OperatorRecordKind kind;
        bool inForce;
    };
    const Row rows[] = {
            {{"config", "{}", 3}, OperatorRecordKind::Queues, false},
            {{"evacuate/beja", "{}", 4}, OperatorRecordKind::Evacuation, true},
            {{"evacuate/beja", "", 5}, OperatorRecordKind::Evacuation, false},
            {{"evacuate/a/b", "[", 6}, OperatorRecordKind::Evacuation, true},
            {{"evacuate/", "{}", 7}, OperatorRecordKind::Ignored, false},
            {{"evacuate", "{}", 8}, OperatorRecordKind::Ignored, false},
            {{"wave/1", "{}", 9}, OperatorRecordKind::Ignored, false},
            {{"", "{}", 10}, OperatorRecordKind::Ignored, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.record.key);
        CHECK(Platform::kindOf(row.record) == row.kind);
        const auto decoded = Platform::decodeEvacuations({row.record});
        REQUIRE(decoded.size() == (row.kind == OperatorRecordKind::Evacuation ? 1 : 0));
        if (!decoded.empty()) {
            CHECK(decoded[0].inForce == row.inForce);
            CHECK(decoded[0].version == row.record.offset + 1);
            CHECK("evacuate/" + decoded[0].failureDomain == row.record.key);
        }
    }
}

TEST_CASE("Members of the configuration that this system does not act on are named")
{
    struct Row
    {
        const char *text;
        std::vector<std::string> ignored;
    };
    const Row rows[] = {
            {R"({"routes":[{"name":"r","kind":"unsafe","timeoutMs":9}],"services":[{"name":"s",)"
             R"("tls":false,"coldStartS":0.0,"standby":false,"preconditions":true}]})",
             {}},
            {R"({"routes":[{"name":"r","allowedRegions":["north"]},{"allowedRegions":["x"]}],)"
             R"("services":[{"name":"s","standby":true,"coldStartS":2.5}]})",
             {"routes.allowedRegions", "services.coldStartS", "services.standby"}},
            {R"({"routes":7,"services":[7]})", {}},
            {"", {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(Platform::ignoredMembers(row.text) == row.ignored);
    }
}

TEST_CASE("Learned times are decoded newest first, without invalid records")
{
    Schema::LearnedTimes older;
    older.gateway = "gateway-2-a";
    older.writtenMs = 1000;
    older.speeds.push_back({"side-1", {"a", "rack-1"}, 0.5, 12});
    Schema::LearnedTimes newer = older;
    newer.gateway = "gateway-1-b";
    newer.writtenMs = 2000;
    const auto decoded = Platform::decodeLearned({{"gateway-2", Platform::encodeLearned(older)},
                                                  {"x", "[]"},
                                                  {"y", "{\"gateway\":1}"},
                                                  {"z", ""},
                                                  {"gateway-1", Platform::encodeLearned(newer)}});
    const std::vector<Schema::LearnedTimes> &learned = decoded.values;
    CHECK(decoded.skipped.size() == 2);
    REQUIRE(learned.size() == 2);
    CHECK(learned[0].gateway == "gateway-1-b");
    CHECK(learned[1].gateway == "gateway-2-a");
    REQUIRE(learned[0].speeds.size() == 1);
    CHECK(learned[0].speeds[0].labels == older.speeds[0].labels);
    CHECK(learned[0].speeds[0].logFactor == 0.5);
}

TEST_CASE("An answer of the store with positions that cannot be is no answer")
{
    // Guards against a reader that goes on from an offset that the store never had, or that reads
    // the same without a pause.
    for (const char *offset :
         {"-1", "1e300", "18446744073709551615", "9223372036854775807", "1.5", "\"7\"", "null"}) {
        CAPTURE(offset);
        std::string page = R"({"items":[],"hasMore":false,"endOffset":)";
        page += offset;
        page += '}';
        CHECK_FALSE(Platform::decodeNewest(answered(200, page)).has_value());
        std::string withItem = R"({"items":[{"key":"a","value":"","offset":)";
        withItem += offset;
        withItem += R"(}],"hasMore":false,"endOffset":6})";
        const auto newest = Platform::decodeNewest(answered(200, withItem));
        CHECK((!newest || newest->records.at(0).offset == 0));
    }
    const std::string good = Platform::writeCall("s:1", StoreTopic::Gateways, {"k", "v"}).body;
    const std::string cutHead = good.substr(0, 2);
    const std::string cutValue = good.substr(0, good.size() - 1);
    const std::string endless = "\xff\xff\xff\xff";
    for (const std::string &rest : {cutHead, cutValue, endless}) {
        const std::string whole = head() + good;
        CHECK_FALSE(Platform::decodeRead(answered(200, head() + rest), 3).has_value());
        const auto first = Platform::decodeRead(answered(200, whole + rest), 3);
        REQUIRE(first.has_value());
        CHECK(first->nextOffset == 4);
    }
}

TEST_CASE("Records that are not used are named")
{
    Schema::Member gateway;
    gateway.instance = "gateway-1-a";
    gateway.host = "10.0.0.1";
    gateway.peerPort = 7720;
    gateway.failureDomain = "beja";
    const std::string good = Platform::encodeMember(gateway);
    Schema::Member odd = gateway;
    odd.peerPort = 99'999;
    const auto members = Platform::decodeMembers({{"a", std::string(30, '['), 1},
                                                  {"b", good, 2},
                                                  {"c", Platform::encodeMember(odd), 3},
                                                  {"d", "", 4},
                                                  {"e", "{}", 5},
                                                  {"f", good, 6}});
    CHECK(members.values.size() == 2);
    REQUIRE(members.skipped.size() == 3);
    CHECK(members.skipped[0].key == "a");
    CHECK(members.skipped[1].key == "c");
    CHECK(members.skipped[1].offset == 3);
    CHECK(members.skipped[1].why == "a port is out of range");
    CHECK(members.skipped[2].key == "e");
}
