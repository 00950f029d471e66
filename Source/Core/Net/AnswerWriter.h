#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "Net/HttpServer.h"

namespace Net {

class HttpConnection;

/// Writes, on a thread of its own, what is left of answers that their callers do not accept at
/// once. It waits for all connections together, so that a caller that does not read delays no
/// other.
class AnswerWriter
{
public:
    AnswerWriter(UnreadLimits limits, DropListener dropped);
    ~AnswerWriter();
    AnswerWriter(const AnswerWriter &) = delete;
    AnswerWriter &operator=(const AnswerWriter &) = delete;

    /// Calls writeMore() of \a connection whenever \a socket accepts bytes, until remove(). Takes
    /// over the socket and closes it in the end. \a bytes are left to write. False if the system
    /// cannot watch the socket, or the writer has stopped.
    bool add(std::shared_ptr<HttpConnection> connection, int socket, std::size_t bytes);

    /// Closes the socket that was taken over for \a connection.
    void remove(std::uint64_t connection);

    /// Runs \a work on the writer's thread.
    void post(std::function<void()> work);

    /// Ends the thread and the watching of all sockets.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Net
