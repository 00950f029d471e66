#pragma once

#include "Schema/Schema.h"

/// Settings of gateways for transient jobs, for tests of their components.
namespace GatewayTests {

/// Listens on free ports of the loopback interface.
inline Schema::TransientGatewaySettings settingsOfGateway()
{
    Schema::TransientGatewaySettings settings;
    settings.name = "gateway-1";
    settings.host = "127.0.0.1";
    settings.callerAddress = "127.0.0.1:0";
    settings.probeAddress = "127.0.0.1:0";
    settings.peerAddress = "127.0.0.1:0";
    settings.maxBodyBytes = 262'144;
    settings.heartbeatMs = 250;
    settings.silenceMs = 800;
    settings.leaseMs = 700;
    settings.gatewayLinks = 4;
    return settings;
}

} // namespace GatewayTests
