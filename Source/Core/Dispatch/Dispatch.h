#pragma once

#include "Dispatch/Effects.h"
#include "Dispatch/GatewayCore.h"
#include "Dispatch/GatewayState.h"
#include "Dispatch/Jobs/Requests.h"
#include "Dispatch/Persistence/JobAnswers.h"
#include "Dispatch/Persistence/Ledger.h"
#include "Dispatch/Query/SiteQuery.h"
#include "Dispatch/Scheduling/Scheduler.h"
#include "Dispatch/Site.h"

/// Public header of the dispatch library. It contains the decision logic of a gateway as free
/// functions on plain structs, without network, clock or threads.
