#include "Dispatch/Ownership/Transfer.h"

#include <algorithm>

#include "Dispatch/Jobs/TaskStarts.h"
#include "Dispatch/Persistence/JobSnapshots.h"
#include "Dispatch/Persistence/Recovery.h"

namespace Dispatch {

namespace {

constexpr const char *HandoverCounter = "auburntrail_handovers_total";

void holdRequestsAgain(GatewayState &state, const std::vector<std::string> &requests)
{
    for (const std::string &id : requests) {
        Request *request = findRequest(state.requests, id);
        if (request != nullptr) {
            holdRequest(state.requests, *request);
        }
    }
}

/// Removes the job from every table of this gateway. Agents report its tasks to the new owner, so
/// their slots are released here.
void releaseOwnedJob(GatewayState &state, JobEntry &job, Common::Moment now)
{
    holdRequestsAgain(state, job.waiters);
    holdRequestsAgain(state, job.acceptWaiters);
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        if (task.stage == TaskStage::Sent && !task.agent.empty()) {
            const TaskKey key{job.id, static_cast<int>(index)};
            removeAgentTask(state.agents, task.agent, key);
            taskAbandoned(state.scheduler, key, task.agent, now);
        }
    }
    dropJob(state.scheduler, job.id);
    state.awaitingIntent.erase(job.id);
    const std::string id = job.id;
    removeJob(state.ledger, id);
}

void releaseShardJobs(GatewayState &state, std::int64_t shard, Common::Moment now)
{
    for (const std::string &id : jobsOfShard(state.ledger, shard)) {
        releaseOwnedJob(state, *findJob(state.ledger, id), now);
    }
    state.recovery.provenNotStartedSinceMs.erase(shard);
}

Schema::Frame handoverFrame(const Schema::Handover &handover)
{
    Schema::Frame frame = frameOf(Schema::FrameType::Handover);
    frame.handover = handover;
    return frame;
}

/// Sends one message per shard to keep messages small.
Effects offerShard(GatewayState &state, std::int64_t shard, const std::string &successor,
                   Common::Moment now, Common::Random &random)
{
    OfferedHandover offer;
    offer.successor = successor;
    offer.handover = beginHandover(state.site.ownership, {shard}, successor, now, random);
    for (const std::string &id : jobsOfShard(state.ledger, shard)) {
        offer.handover.jobs.push_back(snapshotOf(*findJob(state.ledger, id)));
    }
    releaseShardJobs(state, shard, now);
    offer.lastSentMs = now.steadyMs;
    Effects effects{SendToGateway{successor, handoverFrame(offer.handover)}};
    state.offers.push_back(std::move(offer));
    return effects;
}

Effects repeatOffers(GatewayState &state, Common::Moment now)
{
    auto &offers = state.offers;
    offers.erase(std::remove_if(offers.begin(), offers.end(),
                                [&state](const OfferedHandover &offer) {
                                    return !isHandoverPending(state.site.ownership, offer.handover);
                                }),
                 offers.end());
    Effects effects;
    for (OfferedHandover &offer : offers) {
        if (now.steadyMs >= offer.lastSentMs + state.settings.heartbeatMs) {
            offer.lastSentMs = now.steadyMs;
            effects.emplace_back(SendToGateway{offer.successor, handoverFrame(offer.handover)});
        }
    }
    return effects;
}

} // namespace

Effects transferTick(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects = repeatOffers(state, now);
    for (const WantedHandover &wanted : wantedHandovers(state.site.ownership, now)) {
        effects.emplace_back(LogLine{"handover_offered",
                                     {{"successor", wanted.successor},
                                      {"shards", std::to_string(wanted.shards.size())}}});
        for (const std::int64_t shard : wanted.shards) {
            append(effects, offerShard(state, shard, wanted.successor, now, random));
        }
    }
    return effects;
}

Effects handleHandover(GatewayState &state, const Schema::Handover &handover, Common::Moment now)
{
    const HandoverResult result = takeHandover(state.site, handover, now);
    Effects effects;
    std::set<std::string> agents;
    for (const Schema::JobSnapshot &snapshot : handover.jobs) {
        const std::int64_t shard = shardOf(state.ledger, snapshot.id);
        if (std::find(result.shards.begin(), result.shards.end(), shard) == result.shards.end()) {
            continue;
        }
        JobEntry *job = importJob(state.ledger, snapshot);
        if (job == nullptr) {
            continue;
        }
        addMissingIntent(state, *job, now);
        if (job->answer || !job->submit) {
            continue;
        }
        scheduleJob(state, *job, now);
        for (const TaskEntry &task : job->tasks) {
            if (task.stage == TaskStage::Sent && !task.agent.empty()) {
                agents.insert(task.agent);
            }
        }
    }
    // Starts that the predecessor sent may never have arrived.
    for (const std::string &agent : agents) {
        append(effects, askAfterReconnection(state, agent));
    }
    if (result.accepted) {
        Schema::Frame frame = frameOf(Schema::FrameType::HandoverAccepted);
        frame.handoverAccepted.emplace();
        frame.handoverAccepted->requestId = handover.requestId;
        frame.handoverAccepted->instance = state.self.instance;
        effects.emplace_back(SendToGateway{handover.from, std::move(frame)});
        effects.emplace_back(CountReason{HandoverCounter, Schema::Reason::None});
    }
    return effects;
}

Effects handoverAccepted(GatewayState &state, const Schema::HandoverAccepted &accepted)
{
    auto &offers = state.offers;
    const auto found =
            std::find_if(offers.begin(), offers.end(), [&](const OfferedHandover &offer) {
                return offer.handover.requestId == accepted.requestId;
            });
    if (found != offers.end()) {
        completeHandover(state.site.ownership, found->handover);
        offers.erase(found);
    }
    return {};
}

void dropLostShards(GatewayState &state, Common::Moment now)
{
    std::set<std::int64_t> lost;
    for (const auto &[id, job] : state.ledger.jobs) {
        const ShardPhase phase = shardPhase(state.site.ownership, job.shard);
        if (phase != ShardPhase::Serving && phase != ShardPhase::NeedsReports) {
            lost.insert(job.shard);
        }
    }
    for (const std::int64_t shard : lost) {
        releaseShardJobs(state, shard, now);
    }
}

} // namespace Dispatch
