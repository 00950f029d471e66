#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace Common {

/// Runs functions at given times on one thread, so that thousands of pending answers do not need
/// one thread each.
class TimerThread
{
public:
    TimerThread();
    ~TimerThread();
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /// Runs \a function after \a delay. Functions due at the same time run in the order in which
    /// they were added. Does nothing after stop().
    void after(std::chrono::microseconds delay, std::function<void()> function);
    /// Waits for the function that is running. Pending functions are discarded.
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
