#include "SiteChaos.h"

#include <algorithm>

namespace SiteTest {

namespace {

constexpr std::int64_t RoundMs = 100;
constexpr int SubmissionsPerRound = 6;
constexpr int ResubmittedPercent = 50;
constexpr int HealPercent = 8;

int percent(World &world)
{
    return static_cast<int>(world.random() % 100);
}

std::vector<std::size_t> living(const World &world)
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->alive) {
            indices.push_back(index);
        }
    }
    return indices;
}

std::size_t anyLiving(World &world)
{
    const std::vector<std::size_t> indices = living(world);
    return indices[world.random() % indices.size()];
}

std::string anyName(World &world)
{
    const std::size_t count = world.agents.size();
    if (world.random() % 2 == 0) {
        return world.agents[world.random() % count].name;
    }
    return world.gateways[anyLiving(world)]->member.instance;
}

/// The table as the log has it.
const Dispatch::ControlTable &latestTable(const World &world)
{
    const Dispatch::ControlTable *latest = &world.gateways[0]->site.ownership.fromLog;
    for (const auto &gateway : world.gateways) {
        const Dispatch::ControlTable &table = gateway->site.ownership.fromLog;
        latest = table.offset > latest->offset ? &table : latest;
    }
    return *latest;
}

/// Every seat is held by a living gateway and no change is under way: one loss more can be borne.
bool whole(const World &world, const std::vector<std::size_t> &all)
{
    const Dispatch::ControlTable &table = latestTable(world);
    return table.previousRoster.empty() && table.roster.size() == all.size()
           && std::all_of(all.begin(), all.end(), [&](std::size_t index) {
                  const Gateway &gateway = *world.gateways[index];
                  return !gateway.site.ownership.leaving
                         && Dispatch::onRoster(table, gateway.member.instance);
              });
}

/// A gateway that is gone is replaced at once: at its old address, which needs nobody else, or,
/// where the others are whole, at a new one.
void replaceGateway(World &world, const ChaosPlan &plan, std::size_t index)
{
    const bool newAddress = whole(world, living(world)) && percent(world) >= plan.sameAddress;
    kill(world, index);
    addGateway(world, newAddress ? 0 : world.gateways[index]->member.peerPort);
}

void retireLeavers(World &world)
{
    for (const std::size_t index : living(world)) {
        if (Dispatch::hasLeft(world.gateways[index]->site.ownership)) {
            kill(world, index);
            addGateway(world);
        }
    }
}

void breakThings(World &world, const ChaosPlan &plan)
{
    if (percent(world) < plan.kills) {
        replaceGateway(world, plan, anyLiving(world));
    }
    if (percent(world) < plan.pauses) {
        pause(world, anyLiving(world));
    }
    if (percent(world) < plan.cuts) {
        cut(world, world.gateways[anyLiving(world)]->member.instance, anyName(world), true);
    }
    if (percent(world) < plan.logCuts) {
        world.gateways[anyLiving(world)]->cutFromLog = true;
    }
    if (percent(world) < plan.outages) {
        world.faults.available = false;
    }
    if (percent(world) < plan.lostAnswers) {
        world.faults.lostAnswerPercent = percent(world);
    }
    if (percent(world) < plan.leaves && whole(world, living(world))) {
        Dispatch::leave(world.gateways[anyLiving(world)]->site.ownership);
    }
}

void mendSome(World &world)
{
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->paused && percent(world) < 2 * HealPercent) {
            resume(world, index);
        }
        if (percent(world) < HealPercent) {
            world.gateways[index]->cutFromLog = false;
        }
    }
    if (percent(world) < HealPercent) {
        world.cuts.clear();
    }
    if (percent(world) < HealPercent) {
        world.faults.available = true;
    }
    if (percent(world) < HealPercent) {
        world.faults.lostAnswerPercent = 0;
    }
}

/// Callers resubmit what they believe lost, to any gateway that takes it.
void submitSome(World &world)
{
    for (int count = 0; count < SubmissionsPerRound; ++count) {
        const bool again = world.nextJob > 0 && percent(world) < ResubmittedPercent;
        const std::string job =
                again ? "job-"
                                + std::to_string(world.random()
                                                 % static_cast<std::uint64_t>(world.nextJob))
                      : newJob(world);
        const auto submitted = world.submittedMs.emplace(job, moment(world).wallMs).first;
        for (const std::size_t index : living(world)) {
            submit(world, index, job, submitted->second);
        }
    }
}

} // namespace

void chaos(World &world, const ChaosPlan &plan, int rounds)
{
    for (int round = 0; round < rounds && world.oracle.violation.empty(); ++round) {
        breakThings(world, plan);
        submitSome(world);
        run(world, RoundMs);
        mendSome(world);
        retireLeavers(world);
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
