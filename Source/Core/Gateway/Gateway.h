#pragma once

#include "Gateway/GatewayDaemon.h"
#include "Gateway/TransientDaemon.h"

/// Public header of the gateway library: the daemon around the decisions of the dispatch library.
