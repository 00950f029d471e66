#pragma once

#include "StandIn/DaemonProcess.h"
#include "StandIn/FakeBackendServer.h"
#include "StandIn/FakeBackendState.h"
#include "StandIn/FakeLogServer.h"
#include "StandIn/FakeLogState.h"

/// Public header of the standin library: the project's own log service and backend server, which
/// take the platform's place in tests and demos, with faults that can be switched on.
