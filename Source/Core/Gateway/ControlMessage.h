#pragma once

#include <cstdint>
#include <variant>

#include "Dispatch/Dispatch.h"
#include "Gateway/CallerApi.h"
#include "Net/Net.h"
#include "PlatformLog/PlatformLog.h"

/// Messages that the traffic threads post to the control thread.
namespace Gateway {

struct ApiCalled
{
    ApiRequest request;
    Net::HttpReply reply;
};

struct LogDelivered
{
    Dispatch::LogStream stream = Dispatch::LogStream::Control;
    PlatformLog::ReadResult read;
};

struct LogAppended
{
    Dispatch::LogStream stream = Dispatch::LogStream::Control;
    std::uint64_t batch = 0;
    PlatformLog::AppendResult result;
};

struct StopRequested
{};

using ControlMessage = std::variant<Net::LinkUp, Net::FrameArrived, Net::LinkDown, LogDelivered,
                                    LogAppended, StopRequested>;

} // namespace Gateway
