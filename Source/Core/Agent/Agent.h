#pragma once

#include "Agent/AgentCore.h"
#include "Agent/AgentDaemon.h"
#include "Agent/AgentMetrics.h"
#include "Agent/AgentState.h"
#include "Agent/BackendAnswer.h"
#include "Agent/Effects.h"
#include "Agent/Fence.h"
#include "Agent/Links.h"
#include "Agent/Outcomes.h"
#include "Agent/Reports.h"
#include "Agent/Starts.h"
#include "Agent/Windows.h"

/// Public header of the agent library: the state machine of the process that runs beside each
/// backend server, and the daemon that drives it.
