#pragma once

#include "Dispatch/Effects.h"
#include "Dispatch/GatewayCore.h"
#include "Dispatch/GatewayState.h"
#include "Dispatch/Ledger.h"
#include "Dispatch/Requests.h"
#include "Dispatch/Scheduler.h"
#include "Dispatch/Site.h"
#include "Dispatch/SiteQuery.h"

/// Public header of the dispatch library: every decision of a gateway as free functions over plain
/// structs, without network, clock or thread.
