#pragma once

#include "Net/Address.h"
#include "Net/Codec.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/LinkMessages.h"
#include "Net/MetricsServer.h"
#include "Net/PeerHub.h"

/// Public header of the net library: HTTP for the outside, framed WebSocket links between the
/// system's own processes. Nothing here decides anything.
