#include "Net/AnswerWriter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <linux/sockios.h>
#include <map>
#include <mutex>
#include <sys/ioctl.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "Common/Clock.h"
#include "Common/Log.h"
#include "Net/HttpConnection.h"

namespace Net {

namespace {

/// One connection with an answer that is not completely written.
struct Watched
{
    std::shared_ptr<HttpConnection> connection;
    boost::asio::posix::stream_descriptor descriptor;
    UnreadAnswer answer;
    /// Bytes in the socket's buffer that the caller's side had not accepted when last looked at.
    int queuedBytes = 0;
};

int queuedBytesOf(Watched &watched)
{
    int queued = 0;
    ::ioctl(watched.descriptor.native_handle(), SIOCOUTQ, &queued);
    return queued;
}

/// Notes what the caller's side has accepted. The socket becomes writable only when a large part of
/// its buffer is free: a slow reader would appear to have stalled.
void updateProgress(Watched &watched, std::int64_t nowMs)
{
    const int queued = queuedBytesOf(watched);
    if (queued < watched.queuedBytes) {
        watched.answer.lastProgressMs = nowMs;
    }
    watched.queuedBytes = queued;
}

} // namespace

struct AnswerWriter::Implementation
{
    Implementation(UnreadLimits limits, DropListener dropped)
        : limits(limits)
        , dropped(std::move(dropped))
        , timer(this->context)
        , thread([this] { this->context.run(); })
    {}
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    /// The caller holds the mutex.
    void waitUntilWritable(Watched &watched)
    {
        const std::uint64_t number = watched.answer.connection;
        watched.descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_write,
                                      [this, number](const boost::system::error_code &failed) {
                                          if (!failed) {
                                              this->write(number);
                                          }
                                      });
    }

    void write(std::uint64_t number)
    {
        const std::shared_ptr<HttpConnection> connection = this->connectionOf(number);
        if (!connection) {
            return;
        }
        const WriteResult result = connection->writeMore();
        const std::size_t left = connection->unwrittenBytes();
        if (result == WriteResult::Complete || result == WriteResult::Failed) {
            return;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->watched.find(number);
        if (found == this->watched.end()) {
            return;
        }
        Watched &entry = found->second;
        if (result == WriteResult::Partial) {
            entry.answer.lastProgressMs = Common::currentMoment().steadyMs;
            entry.answer.bytes = left;
            entry.queuedBytes = queuedBytesOf(entry);
        }
        this->waitUntilWritable(entry);
    }

    std::shared_ptr<HttpConnection> connectionOf(std::uint64_t number)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->watched.find(number);
        return found == this->watched.end() ? nullptr : found->second.connection;
    }

    std::vector<UnreadAnswer> unreadAnswers(std::int64_t nowMs)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<UnreadAnswer> unread;
        for (auto &entry : this->watched) {
            updateProgress(entry.second, nowMs);
            unread.push_back(entry.second.answer);
        }
        return unread;
    }

    /// Applies the limits, now and again when the next answer may have stalled for too long. Runs
    /// on the writer's thread.
    void enforceLimits()
    {
        const std::int64_t nowMs = Common::currentMoment().steadyMs;
        for (const DroppedAnswer &answer :
             answersToDrop(this->unreadAnswers(nowMs), this->limits, nowMs)) {
            this->drop(answer);
        }
        const std::vector<UnreadAnswer> remaining = this->unreadAnswers(nowMs);
        if (remaining.empty()) {
            return;
        }
        this->timer.expires_after(
                std::chrono::milliseconds(nextDropMs(remaining, this->limits, nowMs) - nowMs));
        this->timer.async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->enforceLimits();
            }
        });
    }

    void drop(const DroppedAnswer &answer)
    {
        const std::shared_ptr<HttpConnection> connection = this->connectionOf(answer.connection);
        if (!connection || !connection->abort()) {
            return;
        }
        Common::logEvent(Common::LogLevel::Warning, "answer_dropped",
                         {{"connection", answer.connection},
                          {"bytes", answer.bytes},
                          {"cause", Common::nameOf(DropCauseNames, answer.cause)}});
        this->dropped(answer);
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopped = true;
        this->watched.clear();
    }

    const UnreadLimits limits;
    const DropListener dropped;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
            boost::asio::make_work_guard(this->context);
    boost::asio::steady_timer timer;
    std::mutex mutex;
    bool isStopped = false;
    std::map<std::uint64_t, Watched> watched;
    std::thread thread;
};

AnswerWriter::AnswerWriter(UnreadLimits limits, DropListener dropped)
    : implementation(std::make_unique<Implementation>(limits, std::move(dropped)))
{}

AnswerWriter::~AnswerWriter()
{
    this->stop();
}

bool AnswerWriter::add(std::shared_ptr<HttpConnection> connection, int socket, std::size_t bytes)
{
    Implementation &writer = *this->implementation;
    const std::uint64_t number = connection->number();
    {
        const std::lock_guard<std::mutex> lock(writer.mutex);
        boost::asio::posix::stream_descriptor descriptor(writer.context);
        boost::system::error_code failed;
        descriptor.assign(socket, failed);
        if (failed) {
            ::close(socket);
        }
        if (failed || writer.isStopped) {
            return false;
        }
        const UnreadAnswer answer{number, bytes, Common::currentMoment().steadyMs};
        const auto added = writer.watched.emplace(
                number, Watched{std::move(connection), std::move(descriptor), answer, 0});
        added.first->second.queuedBytes = queuedBytesOf(added.first->second);
        writer.waitUntilWritable(added.first->second);
    }
    this->post([&writer] { writer.enforceLimits(); });
    return true;
}

void AnswerWriter::remove(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    this->implementation->watched.erase(connection);
}

void AnswerWriter::post(std::function<void()> work)
{
    boost::asio::post(this->implementation->context, std::move(work));
}

void AnswerWriter::stop()
{
    this->implementation->stop();
}

} // namespace Net
