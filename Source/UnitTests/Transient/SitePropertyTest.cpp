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
    Wait
};

constexpr Common::NameTable<CommandKind, 20> CommandNames{{
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
