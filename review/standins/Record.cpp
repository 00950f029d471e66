#include "Record.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

struct Interval
{
    RunEvent start;
    std::int64_t endMs = 0;
};

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

} // namespace

std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &path)
    : file(path)
{}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << nowMs() << " ms " << line << std::endl;
}

void Record::add(const RunEvent &event)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->events.push_back(event);
    this->file << event.atMs << " ms worker " << event.worker << " service=" << event.service
               << " labels=" << joined(event.labels) << ' ' << (event.end.empty() ? "start" : "end")
               << ' ' << event.task << " run " << event.number << ' ' << event.end << std::endl;
}

std::vector<RunEvent> Record::runs()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->events;
}

std::vector<Overlap> findOverlaps(const std::vector<RunEvent> &events, std::int64_t untilMs)
{
    std::map<std::string, std::vector<Interval>> byTask;
    for (const RunEvent &event : events) {
        std::vector<Interval> &runs = byTask[event.task];
        if (event.end.empty()) {
            runs.push_back({event, untilMs});
            continue;
        }
        for (Interval &run : runs) {
            const bool isOpen = run.endMs == untilMs;
            if (isOpen && run.start.worker == event.worker && run.start.number == event.number) {
                run.endMs = event.atMs;
            }
        }
    }
    std::vector<Overlap> found;
    for (const auto &[task, runs] : byTask) {
        for (std::size_t one = 0; one < runs.size(); ++one) {
            for (std::size_t other = one + 1; other < runs.size(); ++other) {
                const std::int64_t from = std::max(runs[one].start.atMs, runs[other].start.atMs);
                const std::int64_t to = std::min(runs[one].endMs, runs[other].endMs);
                if (from < to) {
                    found.push_back({task, runs[one].start, runs[other].start, to - from});
                }
            }
        }
    }
    return found;
}

} // namespace Review
