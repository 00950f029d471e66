#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Http.h"
#include "Record.h"

namespace Review {

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::vector<std::string> labels{"a"};
    /// In thousandths of a core.
    std::int64_t cpu = 16000;
    std::int64_t memMb = 32768;
    /// Where it listens, and the agent's registration address.
    std::uint16_t port = 0;
    std::uint16_t registrationPort = 0;
    std::int64_t firstPingAfterMs = 0;
    std::int64_t pingIntervalMs = 1500;
};

/// One life of an application worker. It guards its capacity, holds leases, and announces itself to
/// the agent beside it. The spec of a task is a JSON object with its run time (ms) and its cpu.
class Worker
{
public:
    Worker(WorkerOptions options, Record &record);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Ends all that runs, without a word to anybody.
    void crash();
    /// Body of its next ping.
    std::string pingBody();
    /// Tasks that run now.
    std::vector<std::string> running();

private:
    struct Run
    {
        std::string task;
        std::int64_t number = 0;
        std::int64_t startMs = 0;
        std::int64_t workMs = 0;
        std::int64_t cpu = 0;
    };

    struct End
    {
        std::int64_t position = 0;
        std::string task;
        std::int64_t number = 0;
        std::string how;
    };

    Response answer(const Request &request);
    Response start(const std::string &body);
    Response stop(const std::string &body);
    Response hold(const std::string &body);
    void renew(std::int64_t untilMs);
    void endRun(std::size_t index, const std::string &how, std::int64_t atMs);
    void advance();
    void runTimers();
    void ping();
    std::int64_t clockMs() const;

    WorkerOptions options;
    Record &record;
    std::int64_t bornMs = 0;
    std::int64_t clockStartMs = 0;
    std::mutex mutex;
    std::condition_variable ended;
    std::vector<Run> runs;
    std::vector<End> ends;
    std::int64_t lastEnd = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    /// By task: the highest run that was stopped or has ended.
    std::map<std::string, std::int64_t> barred;
    std::atomic<std::int64_t> sequence = 0;
    std::atomic<bool> registered = false;
    std::atomic<bool> isOver = false;
    std::unique_ptr<Server> server;
    std::thread timers;
    std::thread announcer;
};

} // namespace Review
