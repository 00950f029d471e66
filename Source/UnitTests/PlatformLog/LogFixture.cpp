#include "UnitTests/PlatformLog/LogFixture.h"

#include <doctest/doctest.h>
#include <future>

void Delivered::add(const PlatformLog::ReadResult &result)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->received.push_back(result);
    }
    this->changed.notify_all();
}

void Delivered::waitForAvailable(bool available)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] {
        return !this->received.empty() && this->received.back().available == available;
    });
}

std::vector<std::string> Delivered::waitForRecords(std::size_t count)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->recordIds().size() >= count; });
    return this->recordIds();
}

std::vector<PlatformLog::ReadResult> Delivered::results() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->received;
}

std::vector<std::string> Delivered::recordIds() const
{
    std::vector<std::string> ids;
    for (const PlatformLog::ReadResult &result : this->received) {
        for (const Schema::LogEntry &entry : result.entries) {
            ids.push_back(entry.record.id);
        }
    }
    return ids;
}

PlatformLog::LogClientSettings quickSettings(const std::string &url)
{
    PlatformLog::LogClientSettings settings;
    settings.url = url;
    settings.appendTimeoutMs = 500;
    settings.longPollMs = 50;
    settings.readTimeoutMs = 500;
    settings.retryMs = 5;
    return settings;
}

std::vector<Schema::LogRecord> makeRecords(const std::vector<std::string> &ids)
{
    std::vector<Schema::LogRecord> records;
    for (const std::string &id : ids) {
        Schema::LogRecord record;
        record.id = id;
        record.kind = Schema::RecordKind::Join;
        record.instance = "gateway-1";
        records.push_back(record);
    }
    return records;
}

PlatformLog::AppendResult appendAndWait(PlatformLog::LogClient &client,
                                        const std::vector<std::string> &ids)
{
    std::promise<PlatformLog::AppendResult> promise;
    client.append(PlatformLog::Stream::Control, makeRecords(ids),
                  [&promise](PlatformLog::AppendResult result) { promise.set_value(result); });
    return promise.get_future().get();
}

std::unique_ptr<StandIn::FakeLogServer> startFakeLog(const char *change)
{
    auto server = StandIn::FakeLogServerBuilder().threads(2).build();
    changeFakeLog(*server, change);
    return server;
}

void changeFakeLog(StandIn::FakeLogServer &server, const char *change)
{
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(control, StandIn::changedControl(server.control(),
                                                                 nlohmann::json::parse(change)));
                server.setControl(control);
                return {};
            },
            [](const Common::Failure &failed) { FAIL(failed.detail); });
}

std::int64_t recordsWritten(const StandIn::FakeLogServer &server)
{
    const nlohmann::json streams = server.stats().at("streams");
    return streams.contains("control") ? streams.at("control").at("records").get<std::int64_t>()
                                       : 0;
}
