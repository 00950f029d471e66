#include <doctest/doctest.h>
#include <rapidcheck.h>

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
    AnnounceFormerLife,
    EndBackend,
    LeaveBackend,
    SetClocksBack,
    LoseMoreAnswers,
    LoseAnswersAtOnce,
    LoseAnswersSlowly,
    CountLeasesFromArrival,
    LateOrdersReachNextLife,
    SubmitLong,
    Wait
};

constexpr Common::NameTable<CommandKind, 36> CommandNames{{
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
        {CommandKind::AnnounceFormerLife, "announce_former_life"},
        {CommandKind::EndBackend, "end_backend"},
        {CommandKind::LeaveBackend, "leave_backend"},
        {CommandKind::SetClocksBack, "set_clocks_back"},
        {CommandKind::LoseMoreAnswers, "lose_more_answers"},
        {CommandKind::LoseAnswersAtOnce, "lose_answers_at_once"},
        {CommandKind::LoseAnswersSlowly, "lose_answers_slowly"},
        {CommandKind::CountLeasesFromArrival, "count_leases_from_arrival"},
        {CommandKind::LateOrdersReachNextLife, "late_orders_reach_next_life"},
        {CommandKind::SubmitLong, "submit_long"},
        {CommandKind::Wait, "wait"},
}};

using Command = PropertyCheck::Command<CommandKind>;

std::ostream &operator<<(std::ostream &stream, CommandKind kind)
{
    return stream << Common::nameOf(CommandNames, kind);
}

/// Faults are rarer than work, or nothing would ever be served.
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

/// Backend servers that refuse, fall silent or begin anew while they work on, beside what befalls
/// processes and links.
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

/// The same, and lives of backend servers that end early or are heard late.
rc::Gen<Command> anyCommandWithLives()
{
    using rc::gen::weightedElement;
    const auto kind = weightedElement<CommandKind>({
            {1, CommandKind::ReplaceBackend},
            {1, CommandKind::AnnounceFormerLife},
            {1, CommandKind::EndBackend},
            {1, CommandKind::LateOrdersReachNextLife},
    });
    constexpr std::size_t TroubleWeight = 20;
    return rc::gen::weightedOneOf<Command>(
            {{TroubleWeight, anyCommandWithTrouble()}, {1, PropertyCheck::anyCommand(kind)}});
}

int pickOf(std::size_t count, unsigned number)
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

/// Trouble of a backend server that works on.
void trouble(World &world, ModelBackend &backend, const Command &command)
{
    constexpr double Whole = 1000;
    constexpr std::int64_t MostMs = 2500;
    const std::int64_t untilMs = world.nowMs + MostMs * command.first / 1000;
    switch (command.kind) {
    case CommandKind::RefuseCalls:
        // Every second time it refuses everything.
        backend.trouble.refusedShare = std::min(1.0, 2 * command.first / Whole);
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

void execute(World &world, const Command &command)
{
    const int gateway = pickOf(world.gateways.size(), command.first);
    const int agent = pickOf(world.agents.size(), command.second);
    switch (command.kind) {
    case CommandKind::Submit:
        submit(world, gateway,
               {10 + command.second, 1.0 + command.first % 3, command.first % 40 == 0},
               1 + static_cast<int>(command.second % 5), 800 + command.first * 4);
        break;
    case CommandKind::SubmitLong:
        // It outlasts the time after which a caller submits again elsewhere.
        submit(world, gateway, {1000 + 3 * command.second, 1.0 + command.first % 2, false},
               1 + static_cast<int>(command.second % 4), 3000 + command.first * 4);
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
    case CommandKind::AnnounceFormerLife:
        announceFormerLife(world, agent);
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
    case CommandKind::LateOrdersReachNextLife:
        world.lateOrdersReachNextLife = command.first % 2 == 0;
        break;
    case CommandKind::Wait:
        runFor(world, command.first);
        break;
    }
    runFor(world, 5 + command.second % 50);
}

/// After the faults everything works again and a job is served.
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
    startAll(world, true);
    startAll(world, false);
    restartAll(world);
    constexpr std::int64_t SettleMs = 20'000;
    runFor(world, SettleMs);
    const std::size_t last = submit(world, 0, {100, 1, false}, 4, 4000);
    constexpr std::int64_t ServeMs = 3000;
    runFor(world, ServeMs);
    const Caller &caller = world.callers[last];
    if (!caller.isAnswered || caller.result.outcome != Transient::JobOutcome::Succeeded) {
        world.broken.push_back("not served after the last fault");
    }
}

std::string promisesBroken(const std::vector<Command> &commands, std::uint64_t seed)
{
    constexpr std::int64_t StartUpMs = 1000;
    auto world = makeWorld(seed, 3, 4);
    runFor(*world, StartUpMs);
    for (const Command &command : commands) {
        execute(*world, command);
    }
    healAndFinish(*world);
    std::string broken;
    for (const std::string &promise : world->broken) {
        broken += promise + "; ";
    }
    return broken;
}

} // namespace

TEST_CASE("Random commands break no promise of transient jobs")
{
    PropertyCheck::check<Command>({"transient jobs", 12, 60}, anyCommand(), promisesBroken);
}

TEST_CASE("Random trouble of backend servers breaks no promise of transient jobs")
{
    PropertyCheck::check<Command>({"trouble of backend servers", 60, 100}, anyCommandWithTrouble(),
                                  promisesBroken);
}

TEST_CASE("Random lives of backend servers break no promise of transient jobs")
{
    PropertyCheck::check<Command>({"lives of backend servers", 60, 100}, anyCommandWithLives(),
                                  promisesBroken);
}
