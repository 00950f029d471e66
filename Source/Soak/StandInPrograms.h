#pragma once

#include <cstdint>
#include <string>

#include "StandIn/DaemonProcess.h"

/// The stand-ins as separate programs. Each accepts commands at a control port of its own:
///   POST /fault?name=NAME&on=1|0    see FakePlatform::StoreFaultNames, BackendFaultNames
///   POST /evacuate?domain=NAME&on=1|0    store: evacuates a failure domain or takes it back
///   POST /forget, POST /queues      store: drops its history; sets the configuration to the body
///   POST /leave                     backend server: announces that it leaves, then exits
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
    /// Address at which its agent reaches it.
    std::string announcedAddress;
    /// Address at which it announces itself.
    std::string registration;
    std::string service;
    std::string eventFile;
    /// Added to the time of day that it announces as its start.
    std::int64_t clockStepMs = 0;
};

/// These serve until the process receives SIGTERM or SIGINT.
void serveStore(const StoreProgram &program);
void serveBackend(const BackendProgram &program);

} // namespace Soak
