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

/// A takeover of shards in progress, in which the states of tasks that earlier owners started are
/// collected.
struct Takeover
{
    std::string requestId;
    std::vector<std::int64_t> shards;
    std::set<std::string> gatewaysAnswered;
    /// Agents that may have tasks of the shards, as far as this gateway and those that have
    /// answered know.
    std::set<std::string> agentsKnown;
    std::set<std::string> agentsAsked;
    std::set<std::string> agentsAnswered;
    /// Wall-clock time since which the gateways' lists of agents are complete.
    std::int64_t completeSinceMs = 0;
    std::int64_t startedMs = 0;
    std::int64_t lastAskedMs = 0;
};

struct RecoveryState
{
    std::vector<Takeover> takeovers;
    /// Wall-clock time for each shard that was taken over: a job that was first submitted since
    /// then and that no agent has reported has not started.
    std::map<std::int64_t, std::int64_t> provenNotStartedSinceMs;
};

/// A handover that its successor has not accepted yet.
struct OfferedHandover
{
    Schema::Handover handover;
    std::string successor;
    std::int64_t lastSentMs = 0;
};

/// An operator's query that waits for rows from other gateways.
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
    /// Jobs whose tasks may not start yet because their intents are not durable.
    std::set<std::string> awaitingIntent;
    std::int64_t schedulerConfigVersion = -1;
    /// Version of the ownership table for which dropLostShards() was last called.
    std::int64_t lostShardsDroppedVersion = -1;
    std::uint64_t lastRequestNumber = 0;
    std::int64_t lastSweepMs = 0;
    bool stopping = false;
    /// Steady times during a stop: since when no work is pending, and when the gateway began to
    /// leave the roster.
    std::int64_t idleSinceMs = 0;
    std::int64_t leavingSinceMs = 0;
    bool isStopComplete = false;
};

} // namespace Dispatch
