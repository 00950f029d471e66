#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace Common {

/// Passes typed messages from the I/O threads to the single control thread.
template <typename Message>
class Mailbox
{
public:
    void post(Message message)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->messages.push_back(std::move(message));
        }
        this->arrived.notify_one();
    }

    /// Takes all messages that have arrived, after waiting at most \a timeout for the first one.
    std::deque<Message> take(std::chrono::milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->arrived.wait_for(lock, timeout, [this] { return !this->messages.empty(); });
        return std::exchange(this->messages, {});
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Message> messages;
};

} // namespace Common
