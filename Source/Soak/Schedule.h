#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

/// Which faults a run of the soak brings about, and when. The same seed and plan give the same
/// schedule on every machine.
namespace Soak {

enum class FaultKind {
    GatewayTerm,
    GatewayKill,
    GatewayFreeze,
    GatewayRoll,
    AllGatewaysKill,
    AgentTerm,
    AgentKill,
    AgentFreeze,
    AllAgentsKill,
    AllKill,
    ConfigChange,
    ConfigStorm,
    StoreSilent,
    StoreRefuse,
    StoreSlow,
    StoreLose,
    StoreForget,
    LinkDelay,
    LinkReset,
    LinkHoldUp,
    LinkHoldDown,
    LinkSilence,
    BackendCrash,
    BackendLeave,
    BackendSilent,
    BackendRefuse,
    BackendLose,
    BackendLate,
    BackendLateNewLease,
    BackendSlow,
    BackendHang,
    BackendFail
};

/// What a fault is aimed at.
enum class FaultTarget { Gateway, Agent, Backend, Store, Link, Everything };

/// What is done to the target.
enum class FaultAction {
    Term,
    Kill,
    Freeze,
    Leave,
    TermInTurn,
    KillAll,
    Configure,
    DropHistory,
    Command,
    Reset,
    Impair
};

struct FaultTraits
{
    FaultKind kind;
    std::string_view name;
    FaultTarget target;
    FaultAction action;
    /// For a stand-in that brings the fault about itself.
    std::string_view command;
    /// How often it is drawn, against the others.
    int weight;
    /// 0 for a fault that is over at once.
    std::int64_t minDurationMs;
    std::int64_t maxDurationMs;
};

const FaultTraits &traitsOf(FaultKind kind);

struct Fault
{
    std::int64_t atMs = 0;
    std::int64_t durationMs = 0;
    FaultKind kind = FaultKind::GatewayTerm;
    /// Among the targets of its kind.
    int target = 0;
};

struct SchedulePlan
{
    std::uint64_t seed = 1;
    std::int64_t lengthMs = 0;
    int gateways = 3;
    int agents = 4;
    int links = 1;
};

/// In the order of their times; each is over by the plan's end.
std::vector<Fault> drawSchedule(const SchedulePlan &plan);
std::string describe(const Fault &fault);

/// A whole number from \a minimum to \a maximum, the same on every machine for the same state.
std::int64_t draw(Common::Random &random, std::int64_t minimum, std::int64_t maximum);

} // namespace Soak
