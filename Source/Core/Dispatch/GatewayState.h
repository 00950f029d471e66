#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Effects.h"
#include "Dispatch/Jobs/AgentTable.h"
#include "Dispatch/Jobs/Requests.h"
#include "Dispatch/Persistence/Ledger.h"
#include "Dispatch/Query/QueryLanguage.h"
#include "Dispatch/Scheduling/Scheduler.h"
#include "Dispatch/Site.h"
#include "Schema/Schema.h"

/// All state of a gateway's control thread.
namespace Dispatch {

/// One takeover of shards under way: what their predecessors' tasks came to.
struct Takeover
{
    std::string requestId;
    std::vector<std::int64_t> shards;
    std::set<std::string> gatewaysAnswered;
    /// Agents that may hold tasks of the shards, as far as the gateways that answered know.
    std::set<std::string> agentsKnown;
    std::set<std::string> agentsAsked;
    std::set<std::string> agentsAnswered;
    std::int64_t completeSinceMs = 0;
    std::int64_t startedMs = 0;
    std::int64_t lastAskedMs = 0;
};

struct RecoveryState
{
    std::vector<Takeover> takeovers;
    /// For each shard taken over: a job first submitted since then, of which no agent has told, has
    /// not started.
    std::map<std::int64_t, std::int64_t> provenNotStartedSinceMs;
};

/// A handover that its successor has not accepted yet.
struct OfferedHandover
{
    Schema::Handover handover;
    std::string successor;
    std::int64_t lastSentMs = 0;
};

/// An operator's question that waits for other gateways' rows.
struct PendingQuery
{
    std::string token;
    std::string requestId;
    Query query;
    QueryRows rows;
    std::set<std::string> waitingFor;
    std::int64_t endsAtMs = 0;
};

struct GatewayState
{
    Schema::GatewaySettings settings;
    Schema::Member self;
    std::int64_t startedWallMs = 0;
    SiteState site;
    SchedulerState scheduler;
    LedgerState ledger;
    RequestTable requests;
    AgentTable agents;
    RecoveryState recovery;
    std::vector<OfferedHandover> offers;
    std::vector<PendingQuery> queries;
    /// Jobs that wait for their intent.
    std::set<std::string> awaitingIntent;
    std::int64_t schedulerConfigVersion = -1;
    /// Table version for which lost shards were last dropped.
    std::int64_t lostShardsDroppedVersion = -1;
    std::uint64_t lastRequestNumber = 0;
    std::int64_t lastSweepMs = 0;
    bool stopping = false;
    /// Steady times during a stop: since when nothing is owed, and when leaving was begun for good.
    std::int64_t idleSinceMs = 0;
    std::int64_t leavingSinceMs = 0;
    bool isStopComplete = false;
};

} // namespace Dispatch
