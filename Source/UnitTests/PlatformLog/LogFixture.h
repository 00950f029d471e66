#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "PlatformLog/PlatformLog.h"
#include "StandIn/StandIn.h"

/// What a follower was given, collected for the test's thread.
class Delivered
{
public:
    void add(const PlatformLog::ReadResult &result);
    /// Waits for a result that is available, or is not.
    void waitForAvailable(bool available);
    /// Waits until \a count records were delivered, and returns their ids in order.
    std::vector<std::string> waitForRecords(std::size_t count);
    std::vector<PlatformLog::ReadResult> results() const;

private:
    std::vector<std::string> recordIds() const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<PlatformLog::ReadResult> received;
};

PlatformLog::LogClientSettings quickSettings(const std::string &url);
std::vector<Schema::LogRecord> makeRecords(const std::vector<std::string> &ids);
/// Appends and waits for the result.
PlatformLog::AppendResult appendAndWait(PlatformLog::LogClient &client,
                                        const std::vector<std::string> &ids);
/// A fake log with the faults that \a change names, in JSON.
std::unique_ptr<StandIn::FakeLogServer> startFakeLog(const char *change = "{}");
void changeFakeLog(StandIn::FakeLogServer &server, const char *change);
std::int64_t recordsWritten(const StandIn::FakeLogServer &server);
