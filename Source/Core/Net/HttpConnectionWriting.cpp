#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

#include "Common/Clock.h"
#include "Net/HttpConnection.h"

/// The part of HttpConnection that writes answers.
namespace Net {

namespace {

/// Bytes that are written to one connection before others have their turn.
constexpr std::size_t MaxBytesPerTurn = std::size_t{1} << 20U;

std::string encodeHead(const HttpResponse &response, bool closesConnection)
{
    const auto reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(response.status)));
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    head.append(reason.data(), reason.size());
    head += closesConnection ? "\r\nConnection: Close\r\n" : "\r\nConnection: Keep-Alive\r\n";
    if (response.retryAfterSeconds > 0) {
        head += "Retry-After: " + std::to_string(response.retryAfterSeconds) + "\r\n";
    }
    head += "Content-Type: " + response.contentType + "\r\n";
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return head;
}

iovec partOf(std::string &text, std::size_t offset)
{
    return {text.data() + offset, text.size() - offset};
}

std::size_t bytesLeft(const OutgoingAnswer &answer)
{
    return answer.head.size() + answer.body.size() - answer.written;
}

} // namespace

bool HttpConnection::answer(HttpResponse response)
{
    Holding current;
    bool isSent = true;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isDisconnected) {
            return false;
        }
        this->ignoresInput = this->ignoresInput || response.closesConnection;
        this->outgoing.emplace();
        this->outgoing->head = encodeHead(response, this->ignoresInput);
        this->outgoing->body = std::move(response.body);
        const WriteResult result = this->writeOutgoing();
        if (result == WriteResult::Complete) {
            this->finishAnswer();
        } else if (result == WriteResult::Partial) {
            this->watch();
        } else {
            isSent = false;
            this->outgoing.reset();
            this->closeLater();
        }
        current = this->holding;
    }
    this->server->update(current);
    if (current.stage == HoldingStage::Answer) {
        this->server->unreadAnswerAdded();
    }
    return isSent;
}

/// The caller holds the mutex.
WriteResult HttpConnection::writeOutgoing()
{
    OutgoingAnswer &answer = *this->outgoing;
    const std::size_t total = answer.head.size() + answer.body.size();
    const std::size_t before = answer.written;
    while (answer.written < total && answer.written < before + MaxBytesPerTurn) {
        const std::size_t headWritten = std::min(answer.written, answer.head.size());
        std::array<iovec, 2> parts{partOf(answer.head, headWritten),
                                   partOf(answer.body, answer.written - headWritten)};
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
        const ssize_t sent =
                ::sendmsg(this->socket.native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent >= 0) {
            answer.written += static_cast<std::size_t>(sent);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return WriteResult::Partial;
        } else if (errno != EINTR) {
            return WriteResult::Failed;
        }
    }
    return answer.written < total ? WriteResult::Partial : WriteResult::Complete;
}

/// Leaves the rest of the outgoing answer to the loop. The caller holds the mutex.
void HttpConnection::watch()
{
    this->isWatched = true;
    this->server->addUnwritten(1);
    this->queuedBytes = this->unacceptedBytes();
    this->setHolding(HoldingStage::Answer, bytesLeft(*this->outgoing));
    boost::asio::post(this->loop->context,
                      [self = this->shared_from_this()] { self->waitUntilWritable(); });
}

void HttpConnection::waitUntilWritable()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->isWatched) {
            return;
        }
    }
    this->socket.async_wait(Socket::wait_write, [self = this->shared_from_this()](
                                                        const boost::system::error_code &failed) {
        if (!failed) {
            self->writeMore();
        }
    });
}

void HttpConnection::writeMore()
{
    Holding current;
    WriteResult result = WriteResult::Failed;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->isWatched) {
            return;
        }
        const std::size_t before = bytesLeft(*this->outgoing);
        result = this->writeOutgoing();
        const std::size_t left = bytesLeft(*this->outgoing);
        if (result == WriteResult::Complete) {
            this->endWatch();
            this->finishAnswer();
        } else if (result == WriteResult::Partial && left < before) {
            this->setHolding(HoldingStage::Answer, left);
            this->holding.sinceMs = Common::currentMoment().steadyMs;
            this->queuedBytes = this->unacceptedBytes();
        }
        current = this->holding;
    }
    if (result == WriteResult::Failed) {
        this->close();
        return;
    }
    this->server->update(current);
    this->waitUntilWritable();
}

/// The caller holds the mutex.
void HttpConnection::finishAnswer()
{
    this->outgoing.reset();
    this->isBusy = false;
    this->holding.hasBeenServed = true;
    if (this->isDisconnected) {
        this->closeLater();
        return;
    }
    if (this->ignoresInput) {
        // The caller closes its side when it has the answer; closing first could reset the
        // connection while the answer is in transit.
        ::shutdown(this->socket.native_handle(), SHUT_WR);
        this->ahead = std::string();
        this->hasAhead = false;
        this->setHolding(HoldingStage::Closing, 0);
    } else {
        this->setHolding(HoldingStage::Idle, 0);
    }
    if (this->hasAhead || this->ignoresInput) {
        boost::asio::post(this->loop->context, [self = this->shared_from_this()] {
            self->parseAhead();
            self->waitForInput();
        });
    }
}

/// Ends the writing of the outgoing answer, if the loop has it. The caller holds the mutex.
void HttpConnection::endWatch()
{
    this->outgoing.reset();
    if (std::exchange(this->isWatched, false)) {
        this->server->addUnwritten(-1);
    }
}

void HttpConnection::closeLater()
{
    boost::asio::post(this->loop->context, [self = this->shared_from_this()] { self->close(); });
}

/// Bytes in the socket's buffer that the caller's side has not accepted. The caller holds the
/// mutex.
int HttpConnection::unacceptedBytes()
{
    int queued = 0;
    ::ioctl(this->socket.native_handle(), SIOCOUTQ, &queued);
    return queued;
}

/// The socket becomes writable only when a large part of its buffer is free: without this a slow
/// reader would appear to have stalled.
void HttpConnection::updateProgress()
{
    Holding current;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->isWatched) {
            return;
        }
        const int queued = this->unacceptedBytes();
        if (queued < std::exchange(this->queuedBytes, queued)) {
            this->holding.sinceMs = Common::currentMoment().steadyMs;
            ++this->holding.revision;
        }
        current = this->holding;
    }
    this->server->budget->update(current);
}

} // namespace Net
