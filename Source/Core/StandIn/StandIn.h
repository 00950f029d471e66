#pragma once

#include "StandIn/DaemonProcess.h"
#include "StandIn/FakeBackendServer.h"
#include "StandIn/FakeBackendState.h"
#include "StandIn/FakeLogServer.h"
#include "StandIn/FakeLogState.h"

/// Public header of the standin library: a log service and a backend server that replace those of
/// the platform in tests and demos, with faults that can be switched on.
