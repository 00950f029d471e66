#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

/// What a case has seen: one line for each event, in order, with the time since its start.
namespace Review {

/// Time on the steady clock since the start of the case.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// The start or end of a run, as the worker that ran it has seen it.
struct RunEvent
{
    std::int64_t atMs = 0;
    /// Name of the worker's life, and its service and labels.
    std::string worker;
    std::string service;
    std::vector<std::string> labels;
    std::string task;
    std::int64_t number = 0;
    /// Empty for a start; otherwise how the run ended.
    std::string end;
};

class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);
    void add(const RunEvent &event);
    std::vector<RunEvent> runs();

private:
    std::mutex mutex;
    std::ofstream file;
    std::vector<RunEvent> events;
};

/// Two runs of one task that were under way at the same time.
struct Overlap
{
    std::string task;
    RunEvent first;
    RunEvent second;
    std::int64_t ms = 0;
};

/// All overlaps among the recorded runs; runs without an end count until \a untilMs.
std::vector<Overlap> findOverlaps(const std::vector<RunEvent> &events, std::int64_t untilMs);

} // namespace Review
