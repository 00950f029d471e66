#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace Common {

/// Longest wait of a mailbox. A wait until the end of the clock would overflow and end at once, in
/// a loop that takes a whole processor.
constexpr std::chrono::hours MaxMailboxWait{1};

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

    /// Takes all messages that have arrived, after waiting at most \a timeout, and at most
    /// MaxMailboxWait, for the first one.
    std::deque<Message> take(std::chrono::milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->arrived.wait_for(lock, std::min<std::chrono::milliseconds>(timeout, MaxMailboxWait),
                               [this] { return !this->messages.empty(); });
        return std::exchange(this->messages, {});
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Message> messages;
};

/// A mailbox for a thread that receives messages and work. All messages are taken before any work,
/// and work is taken a few pieces at a time: messages, such as heartbeats, do not wait behind work
/// that has piled up.
template <typename Message, typename Work>
class WorkMailbox
{
public:
    struct Taken
    {
        std::deque<Message> messages;
        std::deque<Work> work;
    };

    void post(Message message)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->waiting.messages.push_back(std::move(message));
        }
        this->arrived.notify_one();
    }

    void postWork(Work work)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->waiting.work.push_back(std::move(work));
        }
        this->arrived.notify_one();
    }

    /// Takes all messages and at most \a maxWork pieces of work, after waiting at most \a timeout,
    /// and at most MaxMailboxWait, for the first of either.
    Taken take(std::chrono::milliseconds timeout, std::size_t maxWork)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        const auto limited = std::min<std::chrono::milliseconds>(timeout, MaxMailboxWait);
        this->arrived.wait_for(lock, limited, [this] {
            return !this->waiting.messages.empty() || !this->waiting.work.empty();
        });
        Taken taken;
        taken.messages = std::exchange(this->waiting.messages, {});
        while (!this->waiting.work.empty() && taken.work.size() < maxWork) {
            taken.work.push_back(std::move(this->waiting.work.front()));
            this->waiting.work.pop_front();
        }
        return taken;
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    Taken waiting;
};

} // namespace Common
