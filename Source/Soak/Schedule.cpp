#include "Soak/Schedule.h"

#include <algorithm>
#include <array>

namespace Soak {

namespace {

constexpr std::size_t KindCount = 35;

using Kind = FaultKind;
using Target = FaultTarget;
using Action = FaultAction;

constexpr std::array<FaultTraits, KindCount> Traits{{
        {Kind::GatewayTerm, "gateway-term", Target::Gateway, Action::Term, "", 10, 200, 2500},
        {Kind::GatewayKill, "gateway-kill", Target::Gateway, Action::Kill, "", 8, 100, 2500},
        {Kind::GatewayFreeze, "gateway-freeze", Target::Gateway, Action::Freeze, "", 8, 200, 4000},
        {Kind::GatewayRoll, "gateway-roll", Target::Everything, Action::TermInTurn, "", 2, 300,
         1500},
        {Kind::AllGatewaysKill, "all-gateways-kill", Target::Everything, Action::KillAll, "", 2,
         100, 1500},
        {Kind::AgentTerm, "agent-term", Target::Agent, Action::Term, "", 8, 200, 2500},
        {Kind::AgentKill, "agent-kill", Target::Agent, Action::Kill, "", 8, 100, 2500},
        {Kind::AgentFreeze, "agent-freeze", Target::Agent, Action::Freeze, "", 8, 200, 4000},
        {Kind::AllAgentsKill, "all-agents-kill", Target::Everything, Action::KillAll, "", 1, 100,
         1500},
        {Kind::AllKill, "all-kill", Target::Everything, Action::KillAll, "", 1, 100, 1500},
        {Kind::ConfigChange, "config-change", Target::Store, Action::Configure, "", 6, 0, 0},
        {Kind::ConfigStorm, "config-storm", Target::Store, Action::Configure, "", 3, 0, 0},
        {Kind::Evacuate, "evacuate", Target::FailureDomain, Action::Evacuate, "", 0, 1000, 12'000},
        {Kind::StoreSilent, "store-silent", Target::Store, Action::Command, "silent", 2, 500, 4000},
        {Kind::StoreRefuse, "store-refuse", Target::Store, Action::Command, "refuse", 2, 500, 4000},
        {Kind::StoreSlow, "store-slow", Target::Store, Action::Command, "slow", 2, 500, 4000},
        {Kind::StoreLose, "store-lose", Target::Store, Action::Command, "lose", 2, 500, 4000},
        {Kind::StoreForget, "store-forget", Target::Store, Action::DropHistory, "", 2, 0, 0},
        {Kind::StoreLinksSilence, "store-links-silence", Target::Everything,
         Action::SilenceStoreLinks, "", 0, 100, 1500},
        {Kind::LinkDelay, "link-delay", Target::Link, Action::Impair, "", 6, 500, 4000},
        {Kind::LinkReset, "link-reset", Target::Link, Action::Reset, "", 10, 0, 0},
        {Kind::LinkHoldUp, "link-hold-up", Target::Link, Action::Impair, "", 8, 100, 3000},
        {Kind::LinkHoldDown, "link-hold-down", Target::Link, Action::Impair, "", 8, 100, 3000},
        {Kind::LinkSilence, "link-silence", Target::Link, Action::Impair, "", 8, 300, 4000},
        {Kind::CallerLinkHoldUp, "caller-link-hold-up", Target::Gateway, Action::HoldCallerLink, "",
         0, ShortTimeoutMs + ResubmitMs + 50, 3300},
        {Kind::BackendCrash, "backend-crash", Target::Backend, Action::Kill, "", 6, 100, 2000},
        {Kind::BackendLeave, "backend-leave", Target::Backend, Action::Leave, "", 4, 500, 2000},
        {Kind::BackendSilent, "backend-silent", Target::Backend, Action::Command, "silent", 4, 200,
         2500},
        {Kind::BackendRefuse, "backend-refuse", Target::Backend, Action::Command, "refuse", 4, 500,
         3000},
        {Kind::BackendLose, "backend-lose", Target::Backend, Action::Command, "lose", 5, 500, 3000},
        {Kind::BackendLate, "backend-late", Target::Backend, Action::Command, "late", 6, 500, 3000},
        {Kind::BackendLateNewLease, "backend-late-new-lease", Target::Backend, Action::Command,
         "late-new-lease", 3, 500, 3000},
        {Kind::BackendSlow, "backend-slow", Target::Backend, Action::Command, "slow", 4, 500, 4000},
        {Kind::BackendHang, "backend-hang", Target::Backend, Action::Command, "hang", 4, 300, 3000},
        {Kind::BackendFail, "backend-fail", Target::Backend, Action::Command, "fail", 4, 500, 3000},
}};

const FaultTraits &drawKind(Common::Random &random)
{
    int total = 0;
    for (const FaultTraits &traits : Traits) {
        total += traits.weight;
    }
    std::int64_t remaining = draw(random, 0, total - 1);
    for (const FaultTraits &traits : Traits) {
        remaining -= traits.weight;
        if (remaining < 0) {
            return traits;
        }
    }
    return Traits.front();
}

int targetsOf(const SchedulePlan &plan, FaultTarget target)
{
    switch (target) {
    case FaultTarget::Gateway:
        return plan.gateways;
    case FaultTarget::Agent:
    case FaultTarget::Backend:
        return plan.agents;
    case FaultTarget::Link:
        return plan.links;
    case FaultTarget::FailureDomain:
        return FailureDomains;
    default:
        return 1;
    }
}

Fault faultAt(const SchedulePlan &plan, FaultKind kind, std::int64_t atMs, Common::Random &random)
{
    const FaultTraits &traits = traitsOf(kind);
    Fault fault;
    fault.kind = kind;
    fault.atMs = atMs;
    fault.durationMs = draw(random, traits.minDurationMs, traits.maxDurationMs);
    fault.durationMs = std::min(fault.durationMs, plan.lengthMs - atMs);
    fault.target = static_cast<int>(draw(random, 0, targetsOf(plan, traits.target) - 1));
    return fault;
}

/// The links to the store go silent, and the configuration changes while they are or after that.
/// These faults have a generator of their own, so that a seed draws the same other faults with and
/// without them.
std::vector<Fault> drawConfigurationFaults(const SchedulePlan &plan)
{
    constexpr std::uint64_t SeedMultiplier = 6151;
    constexpr std::int64_t MinPauseMs = 3500;
    constexpr std::int64_t MaxPauseMs = 9000;
    constexpr std::int64_t MaxChangeAfterMs = 2500;
    Common::Random random(plan.seed * SeedMultiplier);
    std::vector<Fault> faults;
    std::int64_t atMs = draw(random, 0, MaxPauseMs);
    while (atMs < plan.lengthMs) {
        faults.push_back(faultAt(plan, FaultKind::StoreLinksSilence, atMs, random));
        const std::int64_t changeMs = atMs + draw(random, 0, MaxChangeAfterMs);
        if (changeMs < plan.lengthMs) {
            faults.push_back(faultAt(plan, FaultKind::ConfigChange, changeMs, random));
        }
        atMs += draw(random, MinPauseMs, MaxPauseMs);
    }
    return faults;
}

/// When a fault that is drawn apart from all others comes.
struct SeparateFault
{
    FaultKind kind;
    std::uint64_t seedMultiplier;
    std::int64_t minPauseMs;
    std::int64_t maxPauseMs;
};

/// Failure domains are evacuated, at times all at once. The link of a gateway's callers is held up
/// until those with a short timeout have given up and have submitted again.
constexpr std::array<SeparateFault, 2> SeparateFaults{
        {{FaultKind::Evacuate, 7919, 2000, 9000}, {FaultKind::CallerLinkHoldUp, 4931, 800, 2500}}};

std::vector<Fault> drawSeparately(const SchedulePlan &plan, const SeparateFault &separate)
{
    Common::Random random(plan.seed * separate.seedMultiplier);
    std::vector<Fault> faults;
    std::int64_t atMs = draw(random, 0, separate.maxPauseMs);
    while (atMs < plan.lengthMs) {
        faults.push_back(faultAt(plan, separate.kind, atMs, random));
        atMs += draw(random, separate.minPauseMs, separate.maxPauseMs);
    }
    return faults;
}

} // namespace

const FaultTraits &traitsOf(FaultKind kind)
{
    return *std::find_if(Traits.begin(), Traits.end(),
                         [kind](const FaultTraits &traits) { return traits.kind == kind; });
}

std::int64_t draw(Common::Random &random, std::int64_t minimum, std::int64_t maximum)
{
    const auto range = static_cast<std::uint64_t>(maximum - minimum + 1);
    return minimum + static_cast<std::int64_t>(random() % range);
}

std::vector<Fault> drawSchedule(const SchedulePlan &plan)
{
    // Pauses are short compared with the faults, so that faults overlap. The more processes there
    // are, the shorter the pauses.
    constexpr std::int64_t ProcessesPerFault = 8;
    constexpr std::int64_t MaxPauseMs = 1500;
    constexpr std::int64_t MinPauseMs = 20;
    const std::int64_t faultRate = 1 + (plan.gateways + plan.agents) / ProcessesPerFault;
    Common::Random random(plan.seed);
    std::vector<Fault> faults;
    std::int64_t atMs = draw(random, 0, MaxPauseMs);
    while (atMs < plan.lengthMs) {
        const FaultKind kind = drawKind(random).kind;
        faults.push_back(faultAt(plan, kind, atMs, random));
        atMs += draw(random, MinPauseMs, MaxPauseMs / faultRate);
    }
    Common::append(faults, drawConfigurationFaults(plan));
    for (const SeparateFault &separate : SeparateFaults) {
        Common::append(faults, drawSeparately(plan, separate));
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &left, const Fault &right) { return left.atMs < right.atMs; });
    return faults;
}

std::string describe(const Fault &fault)
{
    return "at " + std::to_string(fault.atMs) + " ms " + std::string(traitsOf(fault.kind).name)
           + " target " + std::to_string(fault.target) + " for " + std::to_string(fault.durationMs)
           + " ms";
}

} // namespace Soak
