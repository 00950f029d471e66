#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "PlatformLog/PlatformLog.h"
#include "StandIn/StandIn.h"

/// Collects the results that a follower receives, for the test's thread.
class Delivered
{
public:
    void add(const PlatformLog::ReadResult &result);
    /// Waits until the last result reports that the log is \a available, or that it is not.
    void waitForAvailable(bool available);
    /// Waits until \a count records were delivered, and returns the ids of all records in order.
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
/// Appends records and waits for the result.
PlatformLog::AppendResult appendAndWait(PlatformLog::LogClient &client,
                                        const std::vector<std::string> &ids);
/// Starts a fake log with the settings in \a change, a JSON object.
std::unique_ptr<StandIn::FakeLogServer> startFakeLog(const char *change = "{}");
void changeFakeLog(StandIn::FakeLogServer &server, const char *change);
std::int64_t recordsWritten(const StandIn::FakeLogServer &server);
