#include "Transient/Learned.h"

#include <algorithm>

namespace Transient {

namespace {

/// Speeds change within seconds, but a record of this age still distinguishes fast backend servers
/// from slow ones.
constexpr std::int64_t ShortestPauseMs = 5000;
/// About 90 bytes for each agent: 1.8 KB/s for a fleet of any size, a seventh of what a node may
/// use.
constexpr std::int64_t PausePerAgentMs = 50;

/// Pause between two attempts to read what other gateways have learned.
constexpr std::int64_t ReadRetryMs = 1000;
/// After this time a gateway has learned more by itself: a hundred tasks per second reach every
/// backend server.
constexpr std::int64_t ReadUntilMs = 10'000;

/// Longer than any caller waits: a greater value cannot have been learned.
constexpr double LongestRemainingTimeoutMs = 300'000;

bool isPlausible(const Schema::LearnedPatience &remainingTimeout)
{
    return remainingTimeout.usualMs > 0 && remainingTimeout.usualMs <= LongestRemainingTimeoutMs
           && remainingTimeout.samples > 0;
}

std::int64_t pauseMs(const Fleet &fleet)
{
    return std::max(ShortestPauseMs,
                    PausePerAgentMs * static_cast<std::int64_t>(fleet.agents.size()));
}

} // namespace

Schema::LearnedTimes learnedTimes(const GatewayState &state, const std::string &gateway,
                                  Common::Moment now)
{
    const Fleet &fleet = state.fleet;
    Schema::LearnedTimes learned;
    learned.gateway = gateway;
    learned.writtenMs = now.wallMs;
    for (const Dispatch::ProfileSummary &profile : Dispatch::learnedProfiles(fleet.estimates)) {
        learned.profiles.push_back({profile.key, profile.meanLog, profile.meanMs, profile.samples});
    }
    for (const auto &[name, agent] : fleet.agents) {
        if (agent.speed.samples > 0) {
            learned.speeds.push_back(
                    {name, agent.speedLabels, agent.speed.logFactor, agent.speed.samples});
        }
    }
    for (const auto &[queue, remainingTimeout] : state.patiences) {
        learned.patiences.push_back({queue, remainingTimeout.samples, remainingTimeout.usualMs});
    }
    return learned;
}

void recallTimes(GatewayState &state, const Schema::LearnedTimes &learned)
{
    Fleet &fleet = state.fleet;
    for (const Schema::LearnedPatience &recalled : learned.patiences) {
        UsualRemainingTimeout &known = state.patiences[recalled.queue];
        if (isPlausible(recalled) && known.samples < recalled.samples) {
            known = {recalled.usualMs, recalled.samples};
        }
    }
    for (const Schema::LearnedProfile &profile : learned.profiles) {
        Dispatch::importProfile(fleet.estimates,
                                {profile.key, profile.meanMs, profile.meanLog, profile.samples});
    }
    for (const Schema::LearnedSpeed &speed : learned.speeds) {
        fleet.recalledSpeeds.emplace(speed.agent, speed);
    }
    for (auto &[name, agent] : fleet.agents) {
        recallSpeedOf(fleet, agent);
    }
}

void recallSpeedOf(Fleet &fleet, AgentView &agent)
{
    const auto found = fleet.recalledSpeeds.find(agent.announced.name);
    if (found == fleet.recalledSpeeds.end() || found->second.labels != agent.speedLabels) {
        return;
    }
    Dispatch::importSpeed(agent.speed, {found->second.logFactor, found->second.samples});
}

LearnedSchedule scheduleLearned(const Fleet &fleet, Common::Moment now)
{
    LearnedSchedule schedule;
    schedule.startedMs = now.steadyMs;
    schedule.nextReadMs = now.steadyMs;
    schedule.nextWriteMs = now.steadyMs + pauseMs(fleet);
    return schedule;
}

bool takeReadDue(LearnedSchedule &schedule, Common::Moment now)
{
    if (!schedule.nextReadMs || now.steadyMs < *schedule.nextReadMs) {
        return false;
    }
    if (now.steadyMs > schedule.startedMs + ReadUntilMs) {
        schedule.nextReadMs.reset();
        return false;
    }
    schedule.nextReadMs = now.steadyMs + ReadRetryMs;
    return true;
}

void finishReading(LearnedSchedule &schedule)
{
    schedule.nextReadMs.reset();
}

bool takeWriteDue(LearnedSchedule &schedule, const Fleet &fleet, Common::Moment now)
{
    if (now.steadyMs < schedule.nextWriteMs) {
        return false;
    }
    schedule.nextWriteMs = now.steadyMs + pauseMs(fleet);
    return true;
}

} // namespace Transient
