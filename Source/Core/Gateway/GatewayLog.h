#pragma once

#include <memory>

#include "Gateway/GatewayControl.h"
#include "PlatformLog/PlatformLog.h"

namespace Gateway {

/// The log's side of the gateway daemon: streams that are read, and records that are appended.
class GatewayLog
{
public:
    /// The first two must outlive this.
    GatewayLog(GatewayControl &control, ControlMailbox &mailbox, DispatchEffectHandler carryOut);

    void start();
    /// Reads all streams from the oldest record on. The control's state must be made before.
    void follow();
    void stop();

    void on(LogDelivered &delivered);
    void on(const LogAppended &appended);
    void append(const Dispatch::AppendToLog &effect);

private:
    GatewayControl &control;
    ControlMailbox &mailbox;
    DispatchEffectHandler carryOut;
    std::unique_ptr<PlatformLog::LogClient> client;
};

} // namespace Gateway
