#include "SiteJobs.h"

#include <algorithm>

namespace SiteTest {

namespace {

constexpr std::int64_t HandoverRepeatMs = 300;

void acceptStart(World &world, AgentModel &agent, const std::string &job, std::int64_t shard,
                 std::int64_t epoch)
{
    if (Agent::checkStart(agent.fence, shard, epoch, moment(world)) != Schema::Reason::None) {
        ++world.oracle.fencedStarts;
        return;
    }
    ++world.oracle.accepted;
    std::int64_t &highest = world.oracle.highestBase[shard];
    const std::int64_t base = Dispatch::epochBase(epoch);
    if (base < highest) {
        world.oracle.violation = "an agent accepted an epoch below one accepted before";
    }
    highest = std::max(highest, base);
    std::string &starts = world.oracle.starts[job];
    if (!starts.empty()) {
        world.oracle.violation = job + " started twice:" + starts;
    }
    starts += " at " + std::to_string(world.nowMs) + " of epoch " + std::to_string(base);
}

void sendStart(World &world, Gateway &gateway, const std::string &job)
{
    AgentModel &agent = world.agents[world.random() % world.agents.size()];
    const std::int64_t shard = Dispatch::shardOf(gateway.site.ownership, job);
    const std::int64_t epoch = Dispatch::epochOf(gateway.site.ownership, shard);
    gateway.jobs[job] = JobState::Sent;
    if (reaches(world, gateway.member.instance, agent.name)) {
        scheduleEvent(world, delay(world), [&world, &agent, job, shard, epoch] {
            acceptStart(world, agent, job, shard, epoch);
        });
    }
}

/// Whether the gateway still serves the job's shard under the epoch in which it accepted the job.
/// If not, the next owner may start a job that is still waiting here.
bool isStillOwner(Gateway &gateway, const std::string &job)
{
    const Dispatch::OwnershipState &ownership = gateway.site.ownership;
    const std::int64_t shard = Dispatch::shardOf(ownership, job);
    return Dispatch::shardPhase(ownership, shard) == Dispatch::ShardPhase::Serving
           && Dispatch::epochOf(ownership, shard) == gateway.jobEpochs[job];
}

void addJobs(World &world, Gateway &gateway, Schema::Handover &handover)
{
    for (const auto &[job, state] : gateway.jobs) {
        const std::int64_t shard = Dispatch::shardOf(gateway.site.ownership, job);
        const bool included =
                std::any_of(handover.shards.begin(), handover.shards.end(),
                            [&](const Schema::ShardOwner &given) { return given.shard == shard; });
        if (!included) {
            continue;
        }
        Schema::JobSnapshot snapshot;
        snapshot.id = job;
        snapshot.answer.firstSubmittedMs = moment(world).wallMs;
        snapshot.tasks.emplace_back();
        snapshot.tasks.back().sent = state != JobState::Waiting;
        handover.jobs.push_back(std::move(snapshot));
    }
}

void beginHandovers(World &world, Gateway &gateway)
{
    for (const Dispatch::WantedHandover &wanted :
         Dispatch::wantedHandovers(gateway.site.ownership, moment(world))) {
        Schema::Handover handover =
                Dispatch::beginHandover(gateway.site.ownership, wanted.shards, wanted.successor,
                                        moment(world), world.random);
        addJobs(world, gateway, handover);
        gateway.handovers.push_back(std::move(handover));
    }
}

void addIntent(World &world, Gateway &gateway, const std::string &job, std::int64_t firstMs)
{
    Schema::Intent intent;
    intent.job = job;
    intent.tasks = 1;
    intent.firstSubmittedMs = firstMs;
    Dispatch::addIntent(gateway.site.journal, std::move(intent), moment(world));
}

void receiveHandover(World &world, Gateway &gateway, const Schema::Handover &handover)
{
    const Dispatch::HandoverResult result =
            Dispatch::takeHandover(gateway.site, handover, moment(world));
    for (const Schema::JobSnapshot &job : handover.jobs) {
        const std::int64_t shard = Dispatch::shardOf(gateway.site.ownership, job.id);
        if (std::count(result.shards.begin(), result.shards.end(), shard) == 0) {
            continue;
        }
        gateway.jobs[job.id] = job.tasks[0].sent ? JobState::Known : JobState::Waiting;
        gateway.jobEpochs[job.id] = Dispatch::epochOf(gateway.site.ownership, shard);
        if (!Dispatch::findIntent(gateway.site.journal, job.id)) {
            addIntent(world, gateway, job.id, *job.answer.firstSubmittedMs);
        }
    }
    if (!result.accepted) {
        return;
    }
    send(world, gateway.member.instance, handover.from,
         [handover](Gateway &from) { Dispatch::completeHandover(from.site.ownership, handover); });
}

} // namespace

void startWaitingJobs(World &world, Gateway &gateway)
{
    std::vector<std::string> lost;
    for (auto &[job, state] : gateway.jobs) {
        if (state != JobState::Waiting) {
            continue;
        }
        if (!isStillOwner(gateway, job)) {
            lost.push_back(job);
            continue;
        }
        if (Dispatch::startAllowed(gateway.site, job, moment(world))
            != Dispatch::IntentState::Waiting) {
            sendStart(world, gateway, job);
        }
    }
    for (const std::string &job : lost) {
        gateway.jobs.erase(job);
    }
}

void repeatHandovers(World &world, Gateway &gateway)
{
    auto &handovers = gateway.handovers;
    handovers.erase(std::remove_if(handovers.begin(), handovers.end(),
                                   [&](const Schema::Handover &handover) {
                                       return !Dispatch::isHandoverPending(gateway.site.ownership,
                                                                           handover);
                                   }),
                    handovers.end());
    if (handovers.empty()) {
        beginHandovers(world, gateway);
    } else if (world.nowMs - gateway.handoverSentMs < HandoverRepeatMs) {
        return;
    }
    gateway.handoverSentMs = world.nowMs;
    for (const Schema::Handover &handover : handovers) {
        send(world, gateway.member.instance, handover.shards[0].owner,
             [&world, handover](Gateway &to) { receiveHandover(world, to, handover); });
    }
}

bool submit(World &world, std::size_t index, const std::string &job, std::int64_t firstMs)
{
    Gateway &gateway = *world.gateways[index];
    const Dispatch::OwnershipState &ownership = gateway.site.ownership;
    const std::int64_t shard = Dispatch::shardOf(ownership, job);
    if (!gateway.alive || gateway.paused
        || Dispatch::shardPhase(ownership, shard) != Dispatch::ShardPhase::Serving) {
        return false;
    }
    if (gateway.jobs.count(job) != 0 && gateway.jobs[job] != JobState::Waiting) {
        return true;
    }
    if (gateway.jobs.count(job) != 0 && isStillOwner(gateway, job)) {
        return true;
    }
    gateway.jobEpochs[job] = Dispatch::epochOf(ownership, shard);
    switch (Dispatch::jobHistory(gateway.site, job, firstMs)) {
    case Dispatch::JobHistory::Journaled:
        gateway.jobs[job] = JobState::Known;
        break;
    case Dispatch::JobHistory::Unknown:
        gateway.jobs[job] = JobState::Unknown;
        ++world.oracle.unknownAnswers;
        break;
    case Dispatch::JobHistory::NeverStarted:
        gateway.jobs[job] = JobState::Waiting;
        addIntent(world, gateway, job, firstMs);
        break;
    }
    return true;
}

} // namespace SiteTest
