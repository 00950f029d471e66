#include "Common/TimerThread.h"

namespace Common {

TimerThread::TimerThread()
    : thread([this] { this->run(); })
{}

TimerThread::~TimerThread()
{
    this->stop();
}

void TimerThread::after(std::chrono::microseconds delay, std::function<void()> function)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping) {
            return;
        }
        this->entries.emplace(Clock::now() + delay, std::move(function));
    }
    this->changed.notify_one();
}

void TimerThread::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->entries.clear();
}

void TimerThread::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        if (this->entries.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const Clock::time_point due = this->entries.begin()->first;
        if (Clock::now() < due) {
            this->changed.wait_until(lock, due);
            continue;
        }
        const auto entry = this->entries.extract(this->entries.begin());
        lock.unlock();
        entry.mapped()();
        lock.lock();
    }
}

} // namespace Common
