#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace Common {

/// Runs functions at given times on one thread, so that thousands of pending answers need no thread
/// each.
class TimerThread
{
public:
    TimerThread();
    ~TimerThread();
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /// Functions due at the same time run in the order in which they were added.
    void after(std::chrono::microseconds delay, std::function<void()> function);
    /// Waits for the function that is running; those still pending are dropped.
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    void run();

    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<Clock::time_point, std::function<void()>> entries;
    bool stopping = false;
    std::thread thread;
};

} // namespace Common
