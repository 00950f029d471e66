#pragma once

#include "Net/Address.h"
#include "Net/Codec.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/LinkMessages.h"
#include "Net/MetricsServer.h"
#include "Net/PeerHub.h"
#include "Net/ResourceBudget.h"
#include "Net/TrafficReport.h"

/// Public header of the net library: HTTP to and from other systems, and framed WebSocket links
/// between this system's processes. It contains no decision logic.
