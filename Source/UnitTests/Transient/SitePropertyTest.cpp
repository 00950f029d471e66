#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

#include "TransientWorld.h"
#include "UnitTests/PropertyCheck.h"

using namespace TransientSite;

namespace {

enum class CommandKind {
    Submit,
    Leave,
    KillGateway,
    PowerOffGateway,
    StartGateways,
    FreezeGateway,
    KillAgent,
    PowerOffAgent,
    StartAgents,
    FreezeAgent,
    CrashBackend,
    RestartBackends,
    ResetLink,
    SilenceLink,
    Partition,
    Heal,
    LoseAnswers,
    GiveAnswers,
    FailBackend,
    RefuseCalls,
    TakeCalls,
    MuteBackend,
    HangBackend,
    CutOffBackend,
    ReplaceBackend,
    AnnouncePreviousIncarnation,
    EndBackend,
    LeaveBackend,
    SetClocksBack,
    LoseMoreAnswers,
    LoseAnswersAtOnce,
    LoseAnswersSlowly,
    CountLeasesFromArrival,
    LateOrdersReachNextIncarnation,
    SubmitLong,
    StepBackendClocks,
    Evacuate,
    TakeBack,
    StopStore,
    CutOffStore,
    DropStoreHistory,
    SubmitHeldUp,
    DelayFrames,
    Wait
};

constexpr Common::NameTable<CommandKind, 44> CommandNames{{
        {CommandKind::Submit, "submit"},
        {CommandKind::Leave, "leave"},
        {CommandKind::KillGateway, "kill_gateway"},
        {CommandKind::PowerOffGateway, "power_off_gateway"},
        {CommandKind::StartGateways, "start_gateways"},
        {CommandKind::FreezeGateway, "freeze_gateway"},
        {CommandKind::KillAgent, "kill_agent"},
        {CommandKind::PowerOffAgent, "power_off_agent"},
        {CommandKind::StartAgents, "start_agents"},
        {CommandKind::FreezeAgent, "freeze_agent"},
        {CommandKind::CrashBackend, "crash_backend"},
        {CommandKind::RestartBackends, "restart_backends"},
        {CommandKind::ResetLink, "reset_link"},
        {CommandKind::SilenceLink, "silence_link"},
        {CommandKind::Partition, "partition"},
        {CommandKind::Heal, "heal"},
        {CommandKind::LoseAnswers, "lose_answers"},
        {CommandKind::GiveAnswers, "give_answers"},
        {CommandKind::FailBackend, "fail_backend"},
        {CommandKind::RefuseCalls, "refuse_calls"},
        {CommandKind::TakeCalls, "take_calls"},
        {CommandKind::MuteBackend, "mute_backend"},
        {CommandKind::HangBackend, "hang_backend"},
        {CommandKind::CutOffBackend, "cut_off_backend"},
        {CommandKind::ReplaceBackend, "replace_backend"},
        {CommandKind::AnnouncePreviousIncarnation, "announce_former_life"},
        {CommandKind::EndBackend, "end_backend"},
        {CommandKind::LeaveBackend, "leave_backend"},
        {CommandKind::SetClocksBack, "set_clocks_back"},
        {CommandKind::LoseMoreAnswers, "lose_more_answers"},
        {CommandKind::LoseAnswersAtOnce, "lose_answers_at_once"},
        {CommandKind::LoseAnswersSlowly, "lose_answers_slowly"},
        {CommandKind::CountLeasesFromArrival, "count_leases_from_arrival"},
        {CommandKind::LateOrdersReachNextIncarnation, "late_orders_reach_next_life"},
        {CommandKind::SubmitLong, "submit_long"},
        {CommandKind::StepBackendClocks, "step_backend_clocks"},
        {CommandKind::Evacuate, "evacuate"},
        {CommandKind::TakeBack, "take_back"},
        {CommandKind::StopStore, "stop_store"},
        {CommandKind::CutOffStore, "cut_off_store"},
        {CommandKind::DropStoreHistory, "drop_store_history"},
        {CommandKind::SubmitHeldUp, "submit_held_up"},
        {CommandKind::DelayFrames, "delay_frames"},
        {CommandKind::Wait, "wait"},
}};

using Command = PropertyCheck::Command<CommandKind>;

std::ostream &operator<<(std::ostream &stream, CommandKind kind)
{
    return stream << Common::nameOf(CommandNames, kind);
}

/// Faults are rarer than submissions; otherwise no job would be served.
rc::Gen<Command> anyCommand()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {14, CommandKind::Submit},       {2, CommandKind::Leave},
            {1, CommandKind::KillGateway},   {1, CommandKind::PowerOffGateway},
            {3, CommandKind::StartGateways}, {2, CommandKind::FreezeGateway},
            {1, CommandKind::KillAgent},     {1, CommandKind::PowerOffAgent},
            {3, CommandKind::StartAgents},   {2, CommandKind::FreezeAgent},
            {1, CommandKind::CrashBackend},  {3, CommandKind::RestartBackends},
            {2, CommandKind::ResetLink},     {2, CommandKind::SilenceLink},
            {1, CommandKind::Partition},     {2, CommandKind::Heal},
            {1, CommandKind::LoseAnswers},   {2, CommandKind::GiveAnswers},
            {1, CommandKind::FailBackend},   {10, CommandKind::Wait},
    });
    return PropertyCheck::anyCommand(kind);
}

/// Faults of processes, links and clocks, calls that are unanswered or executed late, and backend
/// servers that refuse calls, do not answer, hang, restart or cannot be reached.
rc::Gen<Command> anyCommandWithTrouble()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {14, CommandKind::Submit},
            {10, CommandKind::SubmitLong},
            {2, CommandKind::Leave},
            {2, CommandKind::KillGateway},
            {1, CommandKind::PowerOffGateway},
            {4, CommandKind::StartGateways},
            {1, CommandKind::FreezeGateway},
            {1, CommandKind::KillAgent},
            {1, CommandKind::PowerOffAgent},
            {4, CommandKind::StartAgents},
            {1, CommandKind::FreezeAgent},
            {1, CommandKind::CrashBackend},
            {4, CommandKind::RestartBackends},
            {1, CommandKind::ResetLink},
            {1, CommandKind::SilenceLink},
            {1, CommandKind::Partition},
            {2, CommandKind::Heal},
            {1, CommandKind::LoseAnswers},
            {2, CommandKind::GiveAnswers},
            {2, CommandKind::RefuseCalls},
            {2, CommandKind::TakeCalls},
            {2, CommandKind::MuteBackend},
            {2, CommandKind::HangBackend},
            {2, CommandKind::CutOffBackend},
            {1, CommandKind::LeaveBackend},
            {1, CommandKind::SetClocksBack},
            {2, CommandKind::LoseMoreAnswers},
            {1, CommandKind::LoseAnswersAtOnce},
            {1, CommandKind::LoseAnswersSlowly},
            {1, CommandKind::CountLeasesFromArrival},
            {12, CommandKind::Wait},
    });
    return PropertyCheck::anyCommand(kind);
}

/// The same, and backend servers that are replaced or end early, messages of previous incarnations
/// that arrive late, and late orders that reach the next incarnation.
rc::Gen<Command> anyCommandWithIncarnations()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {1, CommandKind::ReplaceBackend},
            {1, CommandKind::AnnouncePreviousIncarnation},
            {1, CommandKind::EndBackend},
            {1, CommandKind::LateOrdersReachNextIncarnation},
    });
    constexpr std::size_t TroubleWeight = 20;
    return rc::gen::weightedOneOf<Command>(
            {{TroubleWeight, anyCommandWithTrouble()}, {1, PropertyCheck::anyCommand(kind)}});
}

/// The same, and more backend servers that leave, start with another time of day, or seem to have
/// been replaced.
rc::Gen<Command> anyCommandWithLeavings()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {3, CommandKind::LeaveBackend},
            {2, CommandKind::StepBackendClocks},
            {3, CommandKind::AnnouncePreviousIncarnation},
            {2, CommandKind::ReplaceBackend},
            {1, CommandKind::HangBackend},
            {1, CommandKind::CutOffBackend},
    });
    constexpr std::size_t TroubleWeight = 4;
    return rc::gen::weightedOneOf<Command>(
            {{TroubleWeight, anyCommandWithTrouble()}, {1, PropertyCheck::anyCommand(kind)}});
}

/// The same, and failure domains that are evacuated and taken back while the store is down, drops
/// its history or is cut off from gateways.
rc::Gen<Command> anyCommandWithEvacuations()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {4, CommandKind::Evacuate},
            {3, CommandKind::TakeBack},
            {1, CommandKind::StopStore},
            {2, CommandKind::CutOffStore},
            {1, CommandKind::DropStoreHistory},
            {2, CommandKind::KillGateway},
            {2, CommandKind::KillAgent},
            {5, CommandKind::Wait},
    });
    constexpr std::size_t TroubleWeight = 2;
    return rc::gen::weightedOneOf<Command>(
            {{TroubleWeight, anyCommandWithTrouble()}, {1, PropertyCheck::anyCommand(kind)}});
}

/// The same, and submissions that are held up on their way, and frames that take longer.
rc::Gen<Command> anyCommandWithDelays()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {4, CommandKind::SubmitHeldUp},
            {1, CommandKind::DelayFrames},
    });
    constexpr std::size_t TroubleWeight = 5;
    return rc::gen::weightedOneOf<Command>(
            {{TroubleWeight, anyCommandWithTrouble()}, {1, PropertyCheck::anyCommand(kind)}});
}

int pickIndex(std::size_t count, unsigned number)
{
    return static_cast<int>(number % count);
}

void startAll(World &world, bool gateways)
{
    for (std::size_t index = 0; gateways && index < world.gateways.size(); ++index) {
        if (!world.gateways[index].isUp) {
            startGateway(world, static_cast<int>(index));
        }
    }
    for (std::size_t index = 0; !gateways && index < world.agents.size(); ++index) {
        if (!world.agents[index].isUp) {
            startAgent(world, static_cast<int>(index));
        }
    }
}

void restartAll(World &world)
{
    for (std::size_t index = 0; index < world.backends.size(); ++index) {
        restartBackend(world, static_cast<int>(index));
    }
}

/// Sets a fault of a backend server whose runs continue.
void trouble(World &world, ModelBackend &backend, const Command &command)
{
    constexpr double NumberRange = 1000;
    constexpr std::int64_t MaxTroubleMs = 2500;
    const std::int64_t untilMs = world.nowMs + MaxTroubleMs * command.first / 1000;
    switch (command.kind) {
    case CommandKind::RefuseCalls:
        // In half of the cases it refuses every call.
        backend.trouble.refusedShare = std::min(1.0, 2 * command.first / NumberRange);
        break;
    case CommandKind::MuteBackend:
        backend.trouble.muteUntilMs = untilMs;
        break;
    case CommandKind::HangBackend:
        backend.trouble.hungUntilMs = untilMs;
        break;
    default:
        backend.trouble.unreachableUntilMs = untilMs;
    }
}

void executeOperators(World &world, const Command &command)
{
    const int domain =
            pickIndex(static_cast<std::size_t>(world.neighbourhood.failureDomains), command.second);
    switch (command.kind) {
    case CommandKind::Evacuate:
        evacuateDomain(world, domain);
        break;
    case CommandKind::TakeBack:
        takeBackDomain(world, domain);
        break;
    case CommandKind::StopStore:
        stopStore(world, static_cast<std::int64_t>(command.first) * 3);
        break;
    case CommandKind::CutOffStore:
        // In a third of the cases the gateways reach it again.
        if (command.first % 3 == 0) {
            world.store.gatewaysCutOff.clear();
        } else {
            world.store.gatewaysCutOff.insert(pickIndex(world.gateways.size(), command.first));
        }
        break;
    default:
        dropStoreHistory(world);
    }
}

void execute(World &world, const Command &command)
{
    const int gateway = pickIndex(world.gateways.size(), command.first);
    const int agent = pickIndex(world.agents.size(), command.second);
    switch (command.kind) {
    case CommandKind::Submit:
        submit(world, gateway,
               {10 + command.second, 1.0 + command.first % 3, command.first % 40 == 0},
               1 + static_cast<int>(command.second % 5), 800 + command.first * 4);
        break;
    case CommandKind::SubmitLong:
        // Its tasks may still run when a caller whose connection broke submits again elsewhere.
        submit(world, gateway, {1000 + 3 * command.second, 1.0 + command.first % 2, false},
               1 + static_cast<int>(command.second % 4), 3000 + command.first * 4);
        break;
    case CommandKind::SubmitHeldUp:
        // In most cases it arrives after its caller has submitted elsewhere.
        submitHeldUp(world, gateway, {500 + 2 * command.second, 1, false},
                     1 + static_cast<int>(command.second % 4), 3000 + command.first * 4,
                     1000 + static_cast<std::int64_t>(command.first) * 5,
                     static_cast<std::int64_t>(command.second) % 500);
        break;
    case CommandKind::DelayFrames:
        world.maxFrameDelayMs = static_cast<std::int64_t>(command.first) % 10;
        break;
    case CommandKind::Leave:
        if (!world.callers.empty()) {
            leave(world, command.first % world.callers.size());
        }
        break;
    case CommandKind::KillGateway:
    case CommandKind::PowerOffGateway:
        killGateway(world, gateway, command.kind == CommandKind::KillGateway);
        break;
    case CommandKind::StartGateways:
    case CommandKind::StartAgents:
        startAll(world, command.kind == CommandKind::StartGateways);
        break;
    case CommandKind::FreezeGateway:
        freezeGateway(world, gateway, static_cast<std::int64_t>(command.second) * 5);
        break;
    case CommandKind::KillAgent:
    case CommandKind::PowerOffAgent:
        killAgent(world, agent, command.kind == CommandKind::KillAgent);
        break;
    case CommandKind::FreezeAgent:
        freezeAgent(world, agent, static_cast<std::int64_t>(command.first) * 5);
        break;
    case CommandKind::CrashBackend:
        crashBackend(world, agent);
        break;
    case CommandKind::RestartBackends:
        restartAll(world);
        break;
    case CommandKind::ResetLink:
        resetLink(world, gateway, agent);
        break;
    case CommandKind::SilenceLink:
        silenceLink(world, gateway, agent);
        break;
    case CommandKind::Partition:
        world.partitions.insert({gateway, agent});
        break;
    case CommandKind::Heal:
        world.partitions.clear();
        break;
    case CommandKind::LoseAnswers:
    case CommandKind::GiveAnswers:
        world.unansweredShare = command.kind == CommandKind::LoseAnswers ? 0.15 : 0;
        break;
    case CommandKind::FailBackend:
        world.backends[static_cast<std::size_t>(agent)].failsAll = command.first % 2 == 0;
        break;
    case CommandKind::RefuseCalls:
    case CommandKind::MuteBackend:
    case CommandKind::HangBackend:
    case CommandKind::CutOffBackend:
        trouble(world, world.backends[static_cast<std::size_t>(agent)], command);
        break;
    case CommandKind::TakeCalls:
        for (ModelBackend &backend : world.backends) {
            backend.trouble = {};
        }
        break;
    case CommandKind::ReplaceBackend:
        replaceBackend(world, agent);
        break;
    case CommandKind::AnnouncePreviousIncarnation:
        announcePreviousIncarnation(world, agent);
        break;
    case CommandKind::EndBackend:
        backendEnds(world, agent, 1 + command.first % 40);
        break;
    case CommandKind::LeaveBackend:
        backendLeaves(world, agent);
        break;
    case CommandKind::SetClocksBack:
        world.wallClockStepMs -= static_cast<std::int64_t>(command.first) * 100;
        break;
    case CommandKind::StepBackendClocks: {
        constexpr std::int64_t Middle = 250;
        constexpr std::int64_t UnitMs = 20;
        world.backendClockStepMs = (static_cast<std::int64_t>(command.first) - Middle) * UnitMs;
        break;
    }
    case CommandKind::LoseMoreAnswers:
        world.unansweredShare = command.first / 2000.0;
        break;
    case CommandKind::LoseAnswersAtOnce:
    case CommandKind::LoseAnswersSlowly:
        world.answersAreLostAtOnce = command.kind == CommandKind::LoseAnswersAtOnce;
        break;
    case CommandKind::CountLeasesFromArrival:
        world.lateLeasesCountFromArrival = command.first % 2 == 0;
        break;
    case CommandKind::LateOrdersReachNextIncarnation:
        world.lateOrdersReachNextIncarnation = command.first % 2 == 0;
        break;
    case CommandKind::Wait:
        runFor(world, command.first);
        break;
    case CommandKind::Evacuate:
    case CommandKind::TakeBack:
    case CommandKind::StopStore:
    case CommandKind::CutOffStore:
    case CommandKind::DropStoreHistory:
        executeOperators(world, command);
        break;
    }
    runFor(world, 5 + command.second % 50);
}

/// Ends all faults, and reports a violation if a job that is submitted afterwards does not succeed.
void healAndFinish(World &world)
{
    world.partitions.clear();
    world.unansweredShare = 0;
    for (ModelBackend &backend : world.backends) {
        backend.failsAll = false;
        backend.trouble = {};
    }
    for (std::size_t index = 0; index < world.backends.size(); ++index) {
        if (world.backends[index].isLeaving) {
            replaceBackend(world, static_cast<int>(index));
        }
    }
    world.store.downUntilMs = std::min(world.store.downUntilMs, world.nowMs);
    world.store.gatewaysCutOff.clear();
    for (int domain = 0; world.store.version > 0 && domain < world.neighbourhood.failureDomains;
         ++domain) {
        takeBackDomain(world, domain);
    }
    startAll(world, true);
    startAll(world, false);
    restartAll(world);
    constexpr std::int64_t SettleMs = 20'000;
    runFor(world, SettleMs);
    for (const SiteAgent &agent : world.agents) {
        if (Runner::isEvacuated(agent.state)) {
            world.violations.push_back("agent still refuses tasks: " + agent.state.instance);
        }
    }
    const std::size_t last = submit(world, 0, {100, 1, false}, 4, 4000);
    constexpr std::int64_t ServeMs = 3000;
    runFor(world, ServeMs);
    const Caller &caller = world.callers[last];
    if (!caller.isAnswered || caller.result.outcome != Transient::JobOutcome::Succeeded) {
        world.violations.push_back("job did not succeed after the last fault");
    }
}

std::string playIn(World &world, const std::vector<Command> &commands, std::ostream *trace)
{
    constexpr std::int64_t StartUpMs = 1000;
    world.trace = trace;
    runFor(world, StartUpMs);
    for (const Command &command : commands) {
        if (trace != nullptr) {
            *trace << world.nowMs << " command: " << command << '\n';
        }
        execute(world, command);
    }
    healAndFinish(world);
    std::string violations;
    for (const std::string &violation : world.violations) {
        violations += violation + "; ";
    }
    return violations;
}

std::string play(const std::vector<Command> &commands, std::uint64_t seed, std::ostream *trace)
{
    return playIn(*makeWorld(seed, 3, 4), commands, trace);
}

/// Plays on a site whose gateways limit the waits of the tasks that they order.
std::string playWithReturns(const std::vector<Command> &commands, std::uint64_t seed,
                            std::ostream *trace)
{
    Neighbourhood neighbourhood;
    neighbourhood.sharedFromGateways = 1;
    return playIn(*makeWorld(seed, 3, 4, {}, neighbourhood), commands, trace);
}

std::string findViolationsWithReturns(const std::vector<Command> &commands, std::uint64_t seed)
{
    return playWithReturns(commands, seed, nullptr);
}

void printTraceWithReturns(const std::vector<Command> &commands, std::uint64_t seed)
{
    playWithReturns(commands, seed, &std::cerr);
}

/// Plays on a site where each process is connected to some of the others only.
std::string playAmongMany(const std::vector<Command> &commands, std::uint64_t seed,
                          std::ostream *trace)
{
    constexpr Neighbourhood Few{3, 2, 1};
    return playIn(*makeWorld(seed, 6, 6, {}, Few), commands, trace);
}

/// A site where each process is connected to some of the others only, and one gateway forwards jobs
/// to the others.
std::unique_ptr<World> makeForwardingWorld(std::uint64_t seed)
{
    constexpr Neighbourhood Few{3, 2, 1};
    auto world = makeWorld(seed, 6, 6, {}, Few);
    makeBusy(*world, 1);
    return world;
}

std::string playWithForwarding(const std::vector<Command> &commands, std::uint64_t seed,
                               std::ostream *trace)
{
    return playIn(*makeForwardingWorld(seed), commands, trace);
}

std::string findViolationsWithForwarding(const std::vector<Command> &commands, std::uint64_t seed)
{
    return playWithForwarding(commands, seed, nullptr);
}

void printTraceWithForwarding(const std::vector<Command> &commands, std::uint64_t seed)
{
    playWithForwarding(commands, seed, &std::cerr);
}

/// Plays on a site of three failure domains.
std::string playWithEvacuations(const std::vector<Command> &commands, std::uint64_t seed,
                                std::ostream *trace)
{
    constexpr Neighbourhood ThreeDomains{3, 2, 3};
    return playIn(*makeWorld(seed, 6, 6, {}, ThreeDomains), commands, trace);
}

std::string findViolationsWithEvacuations(const std::vector<Command> &commands, std::uint64_t seed)
{
    return playWithEvacuations(commands, seed, nullptr);
}

void printTraceWithEvacuations(const std::vector<Command> &commands, std::uint64_t seed)
{
    playWithEvacuations(commands, seed, &std::cerr);
}

std::string findViolationsAmongMany(const std::vector<Command> &commands, std::uint64_t seed)
{
    return playAmongMany(commands, seed, nullptr);
}

void printTraceAmongMany(const std::vector<Command> &commands, std::uint64_t seed)
{
    playAmongMany(commands, seed, &std::cerr);
}

/// Plays on a site whose backend servers count as shared by many gateways.
std::string playShared(const std::vector<Command> &commands, std::uint64_t seed,
                       std::ostream *trace)
{
    constexpr Neighbourhood Shared{3, 2, 1, 1};
    return playIn(*makeWorld(seed, 6, 4, {}, Shared), commands, trace);
}

std::string findViolationsShared(const std::vector<Command> &commands, std::uint64_t seed)
{
    return playShared(commands, seed, nullptr);
}

void printTraceShared(const std::vector<Command> &commands, std::uint64_t seed)
{
    playShared(commands, seed, &std::cerr);
}

std::string findViolations(const std::vector<Command> &commands, std::uint64_t seed)
{
    return play(commands, seed, nullptr);
}

/// Parses a list as a search prints it: kind(first,second), separated by blanks.
std::vector<Command> parseCommands(const std::string &text)
{
    std::vector<Command> commands;
    std::istringstream words(text);
    std::string word;
    while (words >> word) {
        const std::size_t open = word.find('(');
        const std::size_t comma = word.find(',');
        REQUIRE(comma != std::string::npos);
        const auto kind = Common::valueOf(CommandNames, word.substr(0, open));
        REQUIRE(kind.has_value());
        commands.push_back({*kind, static_cast<unsigned>(std::stoul(word.substr(open + 1))),
                            static_cast<unsigned>(std::stoul(word.substr(comma + 1)))});
    }
    return commands;
}

void printTrace(const std::vector<Command> &commands, std::uint64_t seed)
{
    play(commands, seed, &std::cerr);
}

} // namespace

TEST_CASE("Command lists that once violated an invariant violate none")
{
    struct Row
    {
        const char *what;
        std::uint64_t seed;
        const char *commands;
    };
    const Row rows[] = {
            {"an agent freezes before a silent gateway's grant lapses", 718'501,
             "submit_long(514,421) start_agents(708,659) submit(340,355) "
             "power_off_gateway(202,64) submit_long(50,592) wait(126,349) "
             "power_off_gateway(495,56) start_gateways(383,15) wait(430,158) "
             "submit_long(345,146) freeze_agent(576,278)"},
            {"stops are refused when a silent gateway's grant has lapsed", 413'457,
             "lose_answers(420,776) submit_long(547,420) submit_long(49,578) "
             "restart_backends(483,224) silence_link(671,14) reset_link(77,256) "
             "start_gateways(434,744) restart_backends(421,143) leave(557,264) "
             "submit_long(755,543) take_calls(560,739) heal(146,33) start_agents(245,180) "
             "start_agents(415,285) take_calls(16,787) power_off_gateway(89,23) submit(749,482) "
             "power_off_gateway(105,232) submit_long(152,588) wait(486,215) "
             "refuse_calls(707,480) restart_backends(50,12) kill_gateway(182,719) "
             "wait(424,712) submit(189,405) crash_backend(740,610)"},
            {"stops hang when a silent gateway's grant has lapsed", 128'866,
             "end_backend(323,117) submit(625,93) submit(316,48) submit_long(295,251) "
             "end_backend(331,199) submit(494,464) refuse_calls(186,186) "
             "replace_backend(200,15) start_agents(355,217) submit(283,358) "
             "power_off_gateway(55,268) wait(580,407) start_gateways(239,283) "
             "restart_backends(133,300) set_clocks_back(289,46) hang_backend(591,70) "
             "wait(420,113) leave_backend(490,413)"},
            {"a lost start reaches the next incarnation while the agent is frozen", 157'591,
             "kill_agent(104,111) start_agents(99,90) submit(121,274) submit(122,229) "
             "mute_backend(9,219) freeze_gateway(105,438) reset_link(287,466) "
             "leave_backend(179,153) end_backend(62,63) lose_answers(488,22) wait(412,331) "
             "submit_long(413,299) submit_long(89,310) wait(469,488) freeze_agent(483,8) "
             "crash_backend(115,440) late_orders_reach_next_life(76,310)"},
            {"a backend server leaves whose time of day was behind when it started", 11'096,
             "step_backend_clocks(745,417) replace_backend(418,423) step_backend_clocks(720,30) "
             "replace_backend(761,103) leave_backend(462,143) power_off_agent(854,26) "
             "submit(727,781) wait(684,497) freeze_agent(490,500) wait(778,378) submit(559,809) "
             "submit_long(399,603) wait(566,559)"},
            {"a start after an idle time, and then its backend server cannot be reached", 51'586,
             "wait(151,151) submit_long(408,448) power_off_gateway(444,527) "
             "lose_more_answers(350,30) wait(329,55) mute_backend(259,284) "
             "start_gateways(537,509) kill_agent(513,143) wait(538,470) "
             "lose_answers_at_once(145,296) cut_off_backend(502,522) submit(406,285) "
             "lose_answers(51,305) submit(452,287) cut_off_backend(519,63) take_calls(286,530) "
             "submit(464,17) cut_off_backend(246,194) wait(403,2) cut_off_backend(344,238) "
             "wait(536,490)"},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        CHECK(findViolations(parseCommands(row.commands), row.seed) == "");
    }
}

TEST_CASE("Random commands violate no invariant of transient jobs")
{
    PropertyCheck::check<Command>({"transient jobs", 12, 60}, anyCommand(), findViolations,
                                  printTrace);
}

TEST_CASE("Random faults of backend servers violate no invariant of transient jobs")
{
    PropertyCheck::check<Command>({"trouble of backend servers", 60, 100}, anyCommandWithTrouble(),
                                  findViolations, printTrace);
}

TEST_CASE("Random incarnations of backend servers violate no invariant of transient jobs")
{
    PropertyCheck::check<Command>({"lives of backend servers", 60, 100},
                                  anyCommandWithIncarnations(), findViolations, printTrace);
}

TEST_CASE("Random leavings of backend servers violate no invariant of transient jobs")
{
    // Guards against starts on a backend server long after it was told that its leaving is known.
    PropertyCheck::check<Command>({"leavings of backend servers", 60, 100},
                                  anyCommandWithLeavings(), findViolations, printTrace);
}

TEST_CASE("Random faults violate no invariant where processes are connected to a few others only")
{
    // Guards against a resubmission at a gateway that is not connected to the agents of the first.
    PropertyCheck::check<Command>({"small neighbourhoods", 60, 100}, anyCommandWithTrouble(),
                                  findViolationsAmongMany, printTraceAmongMany);
}

TEST_CASE("Random faults violate no invariant where agents return tasks that would wait")
{
    // Guards against a run at two agents when the report that returns a task is lost or late.
    PropertyCheck::check<Command>({"returned tasks", 60, 100}, anyCommandWithTrouble(),
                                  findViolationsWithReturns, printTraceWithReturns);
}

TEST_CASE("Random faults violate no invariant where a gateway forwards jobs")
{
    // Guards against a run at the sender or after a resubmission while the receiver still runs the
    // job, and against refusals of jobs of which the receiver has run something.
    PropertyCheck::check<Command>({"forwarded jobs", 60, 100}, anyCommandWithTrouble(),
                                  findViolationsWithForwarding, printTraceWithForwarding);
}

TEST_CASE("Jobs are forwarded on the site of the random faults")
{
    // Guards against a search in which no job is forwarded.
    auto world = makeForwardingWorld(1);
    runFor(*world, 3000);
    for (int job = 0; job < 20; ++job) {
        submit(*world, 0, {50}, 1);
        runFor(*world, 100);
    }
    runFor(*world, 3000);
    CHECK(world->forwarded == 20);
    CHECK(world->forwardedResults == 20);
    CHECK(world->violations.empty());
    for (const Caller &caller : world->callers) {
        CHECK(caller.result.outcome == Transient::JobOutcome::Succeeded);
    }
}

TEST_CASE("Random evacuations violate no invariant of transient jobs")
{
    // Guards against starts in a failure domain long after its evacuation was acknowledged.
    PropertyCheck::check<Command>({"evacuations", 60, 100}, anyCommandWithEvacuations(),
                                  findViolationsWithEvacuations, printTraceWithEvacuations);
}

TEST_CASE("Random delays of submissions and frames violate no invariant of transient jobs")
{
    // Guards against runs for a caller that has submitted elsewhere meanwhile.
    PropertyCheck::check<Command>({"delays", 60, 100}, anyCommandWithDelays(), findViolations,
                                  printTrace);
}

TEST_CASE("Random faults violate no invariant where backend servers are shared by many gateways")
{
    // Guards against refusals of displaced jobs, and second runs of returned tasks, of which a task
    // has run.
    PropertyCheck::check<Command>({"shared backend servers", 60, 100}, anyCommandWithDelays(),
                                  findViolationsShared, printTraceShared);
}
