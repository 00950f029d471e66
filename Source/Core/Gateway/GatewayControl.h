#pragma once

#include <functional>
#include <memory>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Gateway/ControlMessage.h"
#include "Net/Net.h"
#include "Schema/Schema.h"

/// State and types shared by the components of the gateway daemon.
namespace Gateway {

/// Calls of callers are the work; everything else goes before them.
using ControlMailbox = Common::WorkMailbox<ControlMessage, ApiCalled>;

/// Carries out the effects of a decision, immediately and in order.
using DispatchEffectHandler = std::function<void(Dispatch::Effects)>;

/// Modified only by the control thread, except for the metrics, which any thread may update.
struct GatewayControl
{
    Schema::GatewaySettings settings;
    Common::Metrics metrics;
    /// What the clients of this process may make it hold.
    std::unique_ptr<Net::ResourceBudget> budget;
    Common::Random random;
    Common::Moment now;
    Dispatch::GatewayState state;
};

} // namespace Gateway
