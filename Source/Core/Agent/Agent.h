#pragma once

#include "Agent/Effects.h"
#include "Agent/Fence.h"
#include "Agent/Windows.h"

/// Public header of the agent library: what the process beside each backend server decides, and the
/// daemon around those decisions.
