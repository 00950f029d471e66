#pragma once

#include "Gateway/GatewayDaemon.h"

/// Public header of the gateway library: the daemon around the decisions of the dispatch library.
