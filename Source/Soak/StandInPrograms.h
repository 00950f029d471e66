#pragma once

#include <cstdint>
#include <string>

#include "StandIn/DaemonProcess.h"

/// The stand-ins as programs of their own. Each takes commands at a port apart from its work:
///   POST /fault?name=NAME&on=1|0    see FakePlatform::StoreFaultNames, BackendFaultNames
///   POST /forget, PUT /queues       store: drops its history; the body is the configuration
///   POST /leave                     backend server: announces that it leaves, and goes
namespace Soak {

struct StoreProgram
{
    StandIn::DaemonOptions daemon;
    std::uint16_t controlPort = 0;
    bool hidesGateways = false;
};

struct BackendProgram
{
    StandIn::DaemonOptions daemon;
    std::uint16_t controlPort = 0;
    std::string id;
    /// Where its agent reaches it.
    std::string announcedAddress;
    /// Where it announces itself.
    std::string registration;
    std::string service;
    std::string eventFile;
};

/// Serve until the process is told to stop.
void serveStore(const StoreProgram &program);
void serveBackend(const BackendProgram &program);

} // namespace Soak
