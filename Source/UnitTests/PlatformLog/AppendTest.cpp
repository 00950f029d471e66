#include <doctest/doctest.h>
#include <future>

#include "UnitTests/PlatformLog/LogFixture.h"

using PlatformLog::AppendStatus;

TEST_CASE("An append's status never claims more than is known")
{
    // A caller is answered "not run" if the intent of its job was not written. An append whose
    // answer is lost after the write, or a service that hangs, must end as Unknown, because the
    // records may have been written. Only a refusal proves that they were not.
    struct Row
    {
        const char *name;
        const char *control;
        AppendStatus status;
        std::int64_t written;
    };
    const Row rows[] = {
            {"sound", "{}", AppendStatus::Durable, 2},
            {"slow", R"({"delayMs":50})", AppendStatus::Durable, 2},
            {"slower than the timeout", R"({"delayMs":3000})", AppendStatus::Unknown, 2},
            {"answer lost with an error", R"({"loseAnswers":1})", AppendStatus::Unknown, 2},
            {"answer lost", R"({"loseAnswers":1,"lostAnswer":"hang"})", AppendStatus::Unknown, 2},
            {"refusing outage", R"({"outage":true})", AppendStatus::Unavailable, 0},
            {"hanging outage", R"({"outage":true,"outageMode":"hang"})", AppendStatus::Unknown, 0},
            {"too many appends", R"({"appendsPerSecond":0})", AppendStatus::Refused, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const auto server = startFakeLog(row.control);
        PlatformLog::LogClient client(quickSettings(server->url()));
        const PlatformLog::AppendResult result = appendAndWait(client, {"a", "b"});
        CHECK(result.status == row.status);
        CHECK(recordsWritten(*server) == row.written);
    }
}

TEST_CASE("An append to a service that is gone is Unavailable")
{
    std::string url;
    {
        url = startFakeLog()->url();
    }
    PlatformLog::LogClient client(quickSettings(url));
    CHECK(appendAndWait(client, {"a"}).status == AppendStatus::Unavailable);
}

TEST_CASE("The offset is that of the first record")
{
    const auto server = startFakeLog();
    PlatformLog::LogClient client(quickSettings(server->url()));
    CHECK(appendAndWait(client, {"a", "b", "c"}).offset == 0);
    CHECK(appendAndWait(client, {"d"}).offset == 3);
}

TEST_CASE("Appends are counted by stream and status")
{
    const auto server = startFakeLog();
    Common::Metrics metrics;
    PlatformLog::LogClientSettings settings = quickSettings(server->url());
    settings.metrics = &metrics;
    PlatformLog::LogClient client(settings);
    appendAndWait(client, {"a"});
    changeFakeLog(*server, R"({"outage":true})");
    appendAndWait(client, {"b"});
    const std::string text = metrics.expose();
    for (const char *status : {"durable", "unavailable"}) {
        CAPTURE(status);
        const std::string series = std::string("auburntrail_log_appends_total{status=\"") + status
                                   + "\",stream=\"control\"} 1";
        CHECK(text.find(series) != std::string::npos);
    }
}

TEST_CASE("Stopping ends an append in flight")
{
    // A gateway that stops during a hanging outage must not wait for the service. A pending append
    // ends before stop() returns, as Unknown or, if it was not sent yet, as Unavailable. An append
    // that is made afterwards ends as Unavailable.
    const auto server = startFakeLog(R"({"outage":true,"outageMode":"hang"})");
    PlatformLog::LogClientSettings settings = quickSettings(server->url());
    settings.appendTimeoutMs = 60000;
    PlatformLog::LogClient client(settings);
    std::vector<AppendStatus> ended;
    client.append(PlatformLog::Stream::Control, makeRecords({"a"}),
                  [&ended](PlatformLog::AppendResult result) { ended.push_back(result.status); });
    client.stop();
    REQUIRE(ended.size() == 1);
    const bool isTrue =
            ended.front() == AppendStatus::Unknown || ended.front() == AppendStatus::Unavailable;
    CHECK(isTrue);
    CHECK(appendAndWait(client, {"b"}).status == AppendStatus::Unavailable);
}
