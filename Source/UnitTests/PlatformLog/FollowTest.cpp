#include <doctest/doctest.h>

#include "Net/HttpClient.h"
#include "UnitTests/PlatformLog/LogFixture.h"

using PlatformLog::Stream;

namespace {

std::function<void(PlatformLog::ReadResult)> into(Delivered &delivered)
{
    return [&delivered](const PlatformLog::ReadResult &result) { delivered.add(result); };
}

} // namespace

TEST_CASE("Records are delivered in order of their offsets, once")
{
    const auto server = startFakeLog();
    Delivered delivered;
    PlatformLog::LogClient client(quickSettings(server->url()));
    appendAndWait(client, {"a", "b"});
    client.follow(Stream::Control, 1, into(delivered));
    appendAndWait(client, {"c"});
    appendAndWait(client, {"d", "e"});
    CHECK(delivered.waitForRecords(4) == std::vector<std::string>{"b", "c", "d", "e"});
    std::int64_t offset = 1;
    for (const PlatformLog::ReadResult &result : delivered.results()) {
        for (const Schema::LogEntry &entry : result.entries) {
            CHECK(entry.offset == offset++);
        }
    }
}

TEST_CASE("An empty answer reports that the end was reached")
{
    const auto server = startFakeLog();
    Delivered delivered;
    PlatformLog::LogClient client(quickSettings(server->url()));
    client.follow(Stream::Journal, 0, into(delivered));
    delivered.waitForAvailable(true);
    client.stop();
    CHECK(delivered.results().front().atEnd);
    CHECK(delivered.results().front().entries.empty());
}

TEST_CASE("A follower goes on after an outage without losing or repeating a record")
{
    // The log refuses, hangs or is too slow for some time while a gateway follows it. The follower
    // is notified once that the log is unavailable. After the outage it continues at the last
    // offset, so that no record is skipped or delivered twice.
    struct Row
    {
        const char *name;
        const char *outage;
    };
    const Row rows[] = {
            {"refusing", R"({"outage":true,"outageMode":"refuse"})"},
            {"hanging", R"({"outage":true,"outageMode":"hang"})"},
            {"too slow", R"({"delayMs":3000})"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const auto server = startFakeLog();
        Delivered delivered;
        PlatformLog::LogClient client(quickSettings(server->url()));
        client.follow(Stream::Control, 0, into(delivered));
        appendAndWait(client, {"a"});
        delivered.waitForRecords(1);
        changeFakeLog(*server, row.outage);
        delivered.waitForAvailable(false);
        changeFakeLog(*server, R"({"outage":false,"delayMs":0})");
        appendAndWait(client, {"b"});
        CHECK(delivered.waitForRecords(2) == std::vector<std::string>{"a", "b"});
        client.stop();
        int announcements = 0;
        for (const PlatformLog::ReadResult &result : delivered.results()) {
            announcements += result.available ? 0 : 1;
        }
        CHECK(announcements == 1);
    }
}

TEST_CASE("A follower learns that retention has dropped what it asked for")
{
    // A gateway was disconnected for longer than the log retains records. If it continued as if
    // none were missing, it would keep an old table. Instead it gets the oldest retained offset and
    // continues there.
    const auto server = startFakeLog();
    PlatformLog::LogClient client(quickSettings(server->url()));
    appendAndWait(client, {"a", "b"});
    changeFakeLog(*server, R"({"retentionMs":0})");
    appendAndWait(client, {"c"});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Delivered delivered;
    client.follow(Stream::Control, 1, into(delivered));
    delivered.waitForAvailable(true);
    CHECK(delivered.results().front().oldestOffset == 3);
    CHECK(delivered.results().front().nextOffset == 3);
    changeFakeLog(*server, R"({"retentionMs":60000})");
    appendAndWait(client, {"d"});
    CHECK(delivered.waitForRecords(1) == std::vector<std::string>{"d"});
}

TEST_CASE("A record that can't be decoded is skipped")
{
    // An operator's tool or a newer version wrote a record that the follower can't decode. If it
    // stopped there, the gateway would get no later record.
    const auto server = startFakeLog();
    Net::HttpClient raw(1);
    Net::HttpCall call;
    call.method = "POST";
    call.url = server->url() + "/streams/control/append";
    call.body = R"([{"id":"x","kind":"poem","instance":"i","wallMs":1},{"text":"hello"}])";
    REQUIRE(raw.perform(call).status == 200);
    PlatformLog::LogClient client(quickSettings(server->url()));
    appendAndWait(client, {"a"});
    Delivered delivered;
    client.follow(Stream::Control, 0, into(delivered));
    CHECK(delivered.waitForRecords(1) == std::vector<std::string>{"a"});
    CHECK(delivered.results().front().nextOffset == 3);
}

TEST_CASE("Stopping during a long poll ends it")
{
    const auto server = startFakeLog();
    PlatformLog::LogClientSettings settings = quickSettings(server->url());
    settings.longPollMs = 60000;
    Delivered delivered;
    PlatformLog::LogClient client(settings);
    client.follow(Stream::Control, 0, into(delivered));
    client.stop();
    const std::size_t count = delivered.results().size();
    CHECK(count <= 1);
}
