#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Passes the agents' lists of orphaned jobs on between the gateways. An agent is connected to a
/// few gateways; the caller of an orphaned job may submit it again at any other one, which must
/// know the job by then (Resubmission.h). Each gateway passes each list on to all gateways that it
/// is connected to.
///
/// A list is known by its agent and change number, so that it is passed on once on each connection,
/// although several gateways have it from the agent, and its times are not prolonged on the way.
///
/// A gateway lists its own late jobs in the same way (Orphans.h), as if it were an agent.
///
/// Load pattern: where many starts stay unanswered, all agents have orphaned jobs most of the time.
/// Only jobs of a gateway that may have failed are passed on at once; the others have more time,
/// and their lists go together.
namespace Transient {

struct RelayedOrphans
{
    Schema::OrphanedJobs orphans;
    /// When the agent's report arrived at a gateway.
    std::int64_t reportedMs = 0;
};

struct OrphanRelay
{
    /// Instance of this gateway. Its own list does not concern itself.
    std::string self;
    /// The newest list of each agent, by the instance of the agent.
    std::map<std::string, RelayedOrphans> lists;
    /// Incremented with each list that contains a new job that is held for a silent gateway.
    std::uint64_t urgentChange = 0;
    /// Incremented with each list that contains another new job.
    std::uint64_t change = 0;
};

/// What has been told on the present connection to a gateway, in either direction.
struct ToldOrphans
{
    /// Change number of the newest list, by the instance of the agent.
    std::map<std::string, std::int64_t> lists;
    std::uint64_t urgentChange = 0;
    std::uint64_t change = 0;
};

/// How long agents may have tasks of a listed job after the report of the list.
struct OrphanTimes
{
    std::int64_t heldMs = 0;
    std::int64_t unansweredMs = 0;
};

/// An agent with orphaned jobs reports them again after this time.
constexpr std::int64_t OrphansRefreshMs = 500;

/// Whether a list names \a job. Agents report jobs in sorted order.
bool hasJob(const std::vector<std::string> &jobs, const std::string &job);

/// Whether \a jobs names one that \a before does not. Both are sorted.
bool hasNewJob(const std::vector<std::string> &jobs, const std::vector<std::string> &before);

/// Takes over the list of an agent that is connected here.
void updateList(OrphanRelay &relay, const std::string &agent, const Schema::OrphanedJobs &orphans,
                std::int64_t reportedMs);

/// Ends the list of an agent process of which nothing runs any more.
void endList(OrphanRelay &relay, const std::string &agent, Common::Moment now);

/// Takes over the lists that a connected gateway has passed on, unless newer ones are known.
void receiveLists(OrphanRelay &relay, ToldOrphans &told,
                  const std::vector<Schema::OrphanList> &lists, Common::Moment now);

/// Lists that a connected gateway does not know yet; it then counts as told.
std::vector<Schema::OrphanList> listsFor(const OrphanRelay &relay, ToldOrphans &told,
                                         Common::Moment now);

/// Time on the steady clock when lists have to be sent to a gateway to which the last frame was
/// sent at \a sentMs; never if they can wait for a heartbeat.
std::int64_t nextListsMs(const OrphanRelay &relay, const ToldOrphans &told, std::int64_t sentMs);

/// True if tasks of the job may still run according to the lists.
bool isRelayed(const OrphanRelay &relay, const OrphanTimes &times, const std::string &job,
               Common::Moment now);

/// Drops the lists of agents of which nothing was heard for long.
void removeOldLists(OrphanRelay &relay, Common::Moment now);

} // namespace Transient
