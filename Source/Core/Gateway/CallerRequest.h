#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "Common/Common.h"
#include "Net/Net.h"
#include "platform/CallerCalls.h"

namespace Gateway {

/// Request of a caller, as the HTTP thread hands it on. Which queue and which job it is for depends
/// on the queues that are in force when the control thread handles it; see CallerRoute.h.
struct CallerRequest
{
    explicit CallerRequest(Net::HttpReply reply)
        : reply(std::move(reply))
    {}

    std::string method;
    std::string host;
    std::string path;
    std::int64_t remainingTimeoutMs = 0;
    /// On the steady clock.
    std::int64_t arrivedMs = 0;
    std::optional<Platform::JobBody> job;
    /// Not decoded yet where the control thread may refuse the request unread.
    std::string body;
    /// Why the body could not be decoded as a job.
    Common::Failure failure;
    std::uint64_t connection = 0;
    Net::HttpReply reply;
};

/// The request without its body.
CallerRequest makeCallerRequest(const Net::HttpRequest &request, Net::HttpReply reply);
void decodeBody(CallerRequest &callerRequest);
/// False for a request that the HTTP thread has left undecoded, since it might be refused unread.
bool isDecoded(const CallerRequest &callerRequest);

} // namespace Gateway
