#pragma once

#include <memory>

#include "Gateway/GatewayControl.h"
#include "PlatformLog/PlatformLog.h"

namespace Gateway {

/// Access of the gateway daemon to the log: reads its streams and appends records.
class GatewayLog
{
public:
    /// \a control and \a mailbox must outlive this object.
    GatewayLog(GatewayControl &control, ControlMailbox &mailbox, DispatchEffectHandler carryOut);

    void start();
    /// Starts to read all streams from the oldest record on. GatewayControl::state must have been
    /// created before.
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
