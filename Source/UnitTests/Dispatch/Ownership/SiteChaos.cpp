#include "SiteChaos.h"

#include <algorithm>

namespace SiteTest {

namespace {

constexpr std::int64_t RoundMs = 100;
constexpr int SubmissionsPerRound = 6;
constexpr int ResubmittedPercent = 50;
constexpr int HealPercent = 8;

int drawPercent(World &world)
{
    return static_cast<int>(world.random() % 100);
}

std::vector<std::size_t> liveGateways(const World &world)
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->alive) {
            indices.push_back(index);
        }
    }
    return indices;
}

std::size_t pickLiveGateway(World &world)
{
    const std::vector<std::size_t> indices = liveGateways(world);
    return indices[world.random() % indices.size()];
}

std::string pickName(World &world)
{
    const std::size_t count = world.agents.size();
    if (world.random() % 2 == 0) {
        return world.agents[world.random() % count].name;
    }
    return world.gateways[pickLiveGateway(world)]->member.instance;
}

/// The newest control table that any gateway has read from the log.
const Dispatch::ControlTable &latestTable(const World &world)
{
    const Dispatch::ControlTable *latest = &world.gateways[0]->site.ownership.fromLog;
    for (const auto &gateway : world.gateways) {
        const Dispatch::ControlTable &table = gateway->site.ownership.fromLog;
        latest = table.offset > latest->offset ? &table : latest;
    }
    return *latest;
}

/// Whether the roster consists of the live gateways \a all, none of them is leaving and no roster
/// change is in progress. The site can then lose one more gateway.
bool hasFullRoster(const World &world, const std::vector<std::size_t> &all)
{
    const Dispatch::ControlTable &table = latestTable(world);
    return table.previousRoster.empty() && table.roster.size() == all.size()
           && std::all_of(all.begin(), all.end(), [&](std::size_t index) {
                  const Gateway &gateway = *world.gateways[index];
                  return !gateway.site.ownership.leaving
                         && Dispatch::onRoster(table, gateway.member.instance);
              });
}

/// Kills a gateway and replaces it at once: at its old address, for which it needs no other
/// gateway, or, if the roster is full, possibly at a new address.
void replaceGateway(World &world, const ChaosPlan &plan, std::size_t index)
{
    const bool newAddress =
            hasFullRoster(world, liveGateways(world)) && drawPercent(world) >= plan.sameAddress;
    kill(world, index);
    addGateway(world, newAddress ? 0 : world.gateways[index]->member.peerPort);
}

void replaceDepartedGateways(World &world)
{
    for (const std::size_t index : liveGateways(world)) {
        if (Dispatch::hasLeft(world.gateways[index]->site.ownership)) {
            kill(world, index);
            addGateway(world);
        }
    }
}

void injectFaults(World &world, const ChaosPlan &plan)
{
    if (drawPercent(world) < plan.kills) {
        replaceGateway(world, plan, pickLiveGateway(world));
    }
    if (drawPercent(world) < plan.pauses) {
        pause(world, pickLiveGateway(world));
    }
    if (drawPercent(world) < plan.cuts) {
        cut(world, world.gateways[pickLiveGateway(world)]->member.instance, pickName(world), true);
    }
    if (drawPercent(world) < plan.logCuts) {
        world.gateways[pickLiveGateway(world)]->cutFromLog = true;
    }
    if (drawPercent(world) < plan.outages) {
        world.faults.available = false;
    }
    if (drawPercent(world) < plan.lostAnswers) {
        world.faults.lostAnswerPercent = drawPercent(world);
    }
    if (drawPercent(world) < plan.leaves && hasFullRoster(world, liveGateways(world))) {
        Dispatch::leave(world.gateways[pickLiveGateway(world)]->site.ownership);
    }
}

void clearSomeFaults(World &world)
{
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->paused && drawPercent(world) < 2 * HealPercent) {
            resume(world, index);
        }
        if (drawPercent(world) < HealPercent) {
            world.gateways[index]->cutFromLog = false;
        }
    }
    if (drawPercent(world) < HealPercent) {
        world.cuts.clear();
    }
    if (drawPercent(world) < HealPercent) {
        world.faults.available = true;
    }
    if (drawPercent(world) < HealPercent) {
        world.faults.lostAnswerPercent = 0;
    }
}

/// Submits new jobs and resubmits old ones, as callers do after a lost answer, to all live
/// gateways.
void submitRandomJobs(World &world)
{
    for (int count = 0; count < SubmissionsPerRound; ++count) {
        const bool again = world.nextJob > 0 && drawPercent(world) < ResubmittedPercent;
        const std::string job =
                again ? "job-"
                                + std::to_string(world.random()
                                                 % static_cast<std::uint64_t>(world.nextJob))
                      : newJob(world);
        const auto submitted = world.submittedMs.emplace(job, moment(world).wallMs).first;
        for (const std::size_t index : liveGateways(world)) {
            submit(world, index, job, submitted->second);
        }
    }
}

} // namespace

void chaos(World &world, const ChaosPlan &plan, int rounds)
{
    for (int round = 0; round < rounds && world.oracle.violation.empty(); ++round) {
        injectFaults(world, plan);
        submitRandomJobs(world);
        run(world, RoundMs);
        clearSomeFaults(world);
        replaceDepartedGateways(world);
    }
}

void heal(World &world)
{
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        world.gateways[index]->cutFromLog = false;
        if (world.gateways[index]->paused) {
            resume(world, index);
        }
    }
    world.cuts.clear();
    world.faults = {};
}

} // namespace SiteTest
