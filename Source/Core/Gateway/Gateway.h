#pragma once

#include "Gateway/GatewayDaemon.h"
#include "Gateway/TransientDaemon.h"

/// Public header of the gateway library: the daemons that run the decision code of the dispatch and
/// transient libraries.
