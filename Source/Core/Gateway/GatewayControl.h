#pragma once

#include <functional>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Gateway/ControlMessage.h"
#include "Schema/Schema.h"

/// What the parts of the gateway daemon share.
namespace Gateway {

using ControlMailbox = Common::Mailbox<ControlMessage>;

/// Carries out what decisions ask for, at once and in order.
using DispatchEffectHandler = std::function<void(Dispatch::Effects)>;

/// Changed by the control thread only, but for the metrics.
struct GatewayControl
{
    Schema::GatewaySettings settings;
    Common::Metrics metrics;
    Common::Random random;
    Common::Moment now;
    Dispatch::GatewayState state;
};

} // namespace Gateway
