#pragma once

/// Public header of the decisions on transient jobs: how a gateway handles them, and the types that
/// it shares with the agents and with the platform adapter.
#include "Transient/Backend.h"
#include "Transient/Capacity.h"
#include "Transient/Decisions.h"
#include "Transient/Discovery.h"
#include "Transient/Effects.h"
#include "Transient/Evacuations.h"
#include "Transient/Fleet.h"
#include "Transient/Forwarding.h"
#include "Transient/Heartbeats.h"
#include "Transient/Job.h"
#include "Transient/Jobs.h"
#include "Transient/Learned.h"
#include "Transient/Orphans.h"
#include "Transient/OwnDelay.h"
#include "Transient/Plausibility.h"
#include "Transient/Queues.h"
#include "Transient/Resubmission.h"
