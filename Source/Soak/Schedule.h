#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

/// Schedule of the faults that a soak run injects. The same plan, with its seed, gives the same
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
    Evacuate,
    StoreSilent,
    StoreRefuse,
    StoreSlow,
    StoreLose,
    StoreForget,
    StoreLinksSilence,
    LinkDelay,
    LinkReset,
    LinkHoldUp,
    LinkHoldDown,
    LinkSilence,
    CallerLinkHoldUp,
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

/// Target of a fault.
enum class FaultTarget { Gateway, Agent, Backend, Store, Link, FailureDomain, Everything };

/// Action that is applied to the target.
enum class FaultAction {
    Term,
    Kill,
    Freeze,
    Leave,
    TermInTurn,
    KillAll,
    Configure,
    Evacuate,
    DropHistory,
    Command,
    SilenceStoreLinks,
    HoldCallerLink,
    Reset,
    Impair
};

struct FaultTraits
{
    FaultKind kind;
    std::string_view name;
    FaultTarget target;
    FaultAction action;
    /// Name of the fault for a stand-in that injects it itself; otherwise empty.
    std::string_view command;
    /// Relative frequency with which the fault is drawn; 0 for one that belongs to the changes of
    /// the configuration, to the evacuations or to the links of callers.
    int weight;
    /// 0 for a fault that has no duration.
    std::int64_t minDurationMs;
    std::int64_t maxDurationMs;
};

const FaultTraits &traitsOf(FaultKind kind);

struct Fault
{
    std::int64_t atMs = 0;
    std::int64_t durationMs = 0;
    FaultKind kind = FaultKind::GatewayTerm;
    /// Index among the targets of its kind.
    int target = 0;
};

/// Timeout of the callers that wait the shortest.
constexpr std::int64_t ShortTimeoutMs = 1000;
/// Delay before a request is submitted again after a broken connection, 502, 504 or no answer.
constexpr std::int64_t ResubmitMs = 1300;

/// Processes are spread over this many failure domains in turn.
constexpr int FailureDomains = 2;

struct SchedulePlan
{
    std::uint64_t seed = 1;
    std::int64_t lengthMs = 0;
    int gateways = 3;
    int agents = 4;
    int links = 1;
};

/// Draws faults, ordered by time. Each ends by the end of the plan. Beside the faults of all kinds,
/// the configuration changes while gateways cannot hear of it, failure domains are evacuated, and
/// requests are held up until their callers have submitted them again.
std::vector<Fault> drawSchedule(const SchedulePlan &plan);
std::string describe(const Fault &fault);

/// Draws an integer from \a minimum to \a maximum. The same state of \a random gives the same
/// number on every machine.
std::int64_t draw(Common::Random &random, std::int64_t minimum, std::int64_t maximum);

} // namespace Soak
