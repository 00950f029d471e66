#include <doctest/doctest.h>

#include "Net/HttpClient.h"
#include "StandIn/StandIn.h"

using StandIn::FakeLog;

TEST_CASE("Appends get consecutive offsets, each stream from 0")
{
    FakeLog log;
    CHECK(StandIn::commitAppend(log, "control", {"{}", "{}"}, 0) == 0);
    CHECK(StandIn::commitAppend(log, "journal", {"{}"}, 0) == 0);
    CHECK(StandIn::commitAppend(log, "control", {"{}"}, 0) == 2);
}

TEST_CASE("A read gives what is left from an offset on")
{
    struct Row
    {
        const char *name;
        std::int64_t from;
        std::int64_t maximum;
        std::int64_t nowMs;
        const char *body;
    };
    const Row rows[] = {
            {"all", 0, 10, 200,
             R"({"entries":[{"offset":0,"record":1},{"offset":1,"record":2},{"offset":2,"record":3}],"next":3,"oldest":0,"end":true})"},
            {"part", 1, 1, 200,
             R"({"entries":[{"offset":1,"record":2}],"next":2,"oldest":0,"end":false})"},
            {"nothing new", 3, 10, 200, R"({"entries":[],"next":3,"oldest":0,"end":true})"},
            {"expired", 0, 10, 1150,
             R"({"entries":[{"offset":2,"record":3}],"next":3,"oldest":2,"end":true})"},
            {"all expired", 1, 10, 5000, R"({"entries":[],"next":3,"oldest":3,"end":true})"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        FakeLog log;
        log.control.retentionMs = 1000;
        StandIn::commitAppend(log, "s", {"1", "2"}, 100);
        StandIn::commitAppend(log, "s", {"3"}, 200);
        const StandIn::FakeLogBatch batch =
                StandIn::readStream(log, "s", row.from, row.maximum, row.nowMs);
        CHECK(StandIn::batchJson(batch) == row.body);
    }
}

TEST_CASE("An append after everything expired goes on with the offsets")
{
    FakeLog log;
    log.control.retentionMs = 1000;
    StandIn::commitAppend(log, "s", {"1", "2"}, 0);
    CHECK(StandIn::commitAppend(log, "s", {"3"}, 9000) == 2);
}

TEST_CASE("No more than the limit of appends is admitted in any second")
{
    FakeLog log;
    log.control.appendsPerSecond = 2;
    CHECK(StandIn::admitAppend(log, 0));
    CHECK(StandIn::admitAppend(log, 900));
    CHECK_FALSE(StandIn::admitAppend(log, 999));
    CHECK(StandIn::admitAppend(log, 1000));
    CHECK_FALSE(StandIn::admitAppend(log, 1500));
    CHECK(log.rateLimited == 2);
}

TEST_CASE("Writes take effect in order of admission, also after syncMs was lowered")
{
    FakeLog log;
    log.control.syncMs = 50;
    CHECK(StandIn::commitTime(log, 100) == 150);
    log.control.syncMs = 1;
    CHECK(StandIn::commitTime(log, 110) == 150);
    CHECK(StandIn::commitTime(log, 300) == 301);
}

TEST_CASE("A change of control is taken whole or refused")
{
    struct Row
    {
        const char *change;
        const char *error;
    };
    const Row rows[] = {
            {R"({"outage":true,"outageMode":"hang","loseAnswers":0.5})", ""},
            {R"({"loseAnswers":1})", ""},
            {R"({"outageMode":"sulk"})", "unknown outageMode or lostAnswer"},
            {R"({"outtage":true})", "outtage: unknown member"},
            {R"({"outage":1})", "outage: wrong value"},
            {R"({"delayMs":-1})", "delayMs: wrong value"},
            {R"([])", "expected a JSON object"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.change);
        const std::string error = Common::handle(
                [&]() -> Common::Outcome<std::string> {
                    BOOST_LEAF_CHECK(StandIn::changedControl(StandIn::FakeLogControl(),
                                                             nlohmann::json::parse(row.change)));
                    return std::string();
                },
                [](const Common::Failure &failed) { return failed.detail; });
        CHECK(error == row.error);
    }
}

TEST_CASE("Malformed requests are refused and the service goes on")
{
    struct Row
    {
        const char *method;
        const char *path;
        const char *body;
        int status;
    };
    const Row rows[] = {
            {"POST", "/streams/s/append", "[{}", 400},
            {"POST", "/streams/s/append", "[]", 400},
            {"POST", "/streams/s/append", "[1]", 400},
            {"GET", "/streams/s/read?from=x", "", 400},
            {"GET", "/streams/s/read?from=-1", "", 400},
            {"GET", "/streams/s/append", "", 404},
            {"GET", "/streams//read", "", 404},
            {"GET", "/nothing", "", 404},
            {"POST", "/control", "{", 400},
            {"POST", "/streams/s/append", R"([{"id":"a"}])", 200},
    };
    const auto server = StandIn::FakeLogServerBuilder().build();
    Net::HttpClient client(1);
    for (const Row &row : rows) {
        CAPTURE(row.path);
        CAPTURE(row.body);
        Net::HttpCall call;
        call.method = row.method;
        call.url = server->url() + row.path;
        call.body = row.body;
        CHECK(client.perform(call).status == row.status);
    }
    CHECK(server->stats().at("streams").at("s").at("records") == 1);
}
