#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>

#include "UnitTests/PropertyCheck.h"
#include "World.h"

namespace {

enum class CommandKind {
    Submit,
    Resubmit,
    Cancel,
    KillGateway,
    ReplaceGateway,
    StopGateway,
    PauseGateway,
    KillAgent,
    PauseAgent,
    SilenceAgent,
    Partition,
    Heal,
    CutFromLog,
    LogOut,
    LogBack,
    LoseAnswers,
    FailBackend,
    Configure,
    Wait,
};

constexpr Common::NameTable<CommandKind, 19> CommandNames{{
        {CommandKind::Submit, "submit"},
        {CommandKind::Resubmit, "resubmit"},
        {CommandKind::Cancel, "cancel"},
        {CommandKind::KillGateway, "kill_gateway"},
        {CommandKind::ReplaceGateway, "replace_gateway"},
        {CommandKind::StopGateway, "stop_gateway"},
        {CommandKind::PauseGateway, "pause_gateway"},
        {CommandKind::KillAgent, "kill_agent"},
        {CommandKind::PauseAgent, "pause_agent"},
        {CommandKind::SilenceAgent, "silence_agent"},
        {CommandKind::Partition, "partition"},
        {CommandKind::Heal, "heal"},
        {CommandKind::CutFromLog, "cut_from_log"},
        {CommandKind::LogOut, "log_out"},
        {CommandKind::LogBack, "log_back"},
        {CommandKind::LoseAnswers, "lose_answers"},
        {CommandKind::FailBackend, "fail_backend"},
        {CommandKind::Configure, "configure"},
        {CommandKind::Wait, "wait"},
}};

using Command = PropertyCheck::Command<CommandKind>;

std::ostream &operator<<(std::ostream &stream, CommandKind kind)
{
    return stream << Common::nameOf(CommandNames, kind);
}

/// Faults have lower weights than submissions and waits; otherwise no job would ever complete.
rc::Gen<Command> anyCommand()
{
    using rc::gen::element;
    const auto kind = rc::gen::weightedElement<CommandKind>({
            {12, CommandKind::Submit},        {6, CommandKind::Resubmit},
            {2, CommandKind::Cancel},         {2, CommandKind::KillGateway},
            {2, CommandKind::ReplaceGateway}, {1, CommandKind::StopGateway},
            {2, CommandKind::PauseGateway},   {1, CommandKind::KillAgent},
            {2, CommandKind::PauseAgent},     {2, CommandKind::SilenceAgent},
            {1, CommandKind::Partition},      {2, CommandKind::Heal},
            {1, CommandKind::CutFromLog},     {1, CommandKind::LogOut},
            {2, CommandKind::LogBack},        {2, CommandKind::LoseAnswers},
            {1, CommandKind::FailBackend},    {2, CommandKind::Configure},
            {12, CommandKind::Wait},
    });
    return PropertyCheck::anyCommand(kind);
}

struct Run
{
    std::unique_ptr<Whole::World> world;
    std::vector<Whole::JobRequest> jobs;
};

int pick(const std::vector<int> &choices, unsigned number)
{
    return choices.empty() ? -1 : choices[number % choices.size()];
}

void submitSomewhere(Run &run, const Whole::JobRequest &job, unsigned number)
{
    const int gateway = pick(Whole::liveGateways(*run.world), number);
    if (gateway >= 0) {
        Whole::submit(*run.world, gateway, job);
    }
}

void keepThreeGateways(Run &run)
{
    constexpr std::size_t Gateways = 3;
    if (Whole::liveGateways(*run.world).size() < Gateways) {
        Whole::addGateway(*run.world);
    }
}

void injectGatewayFault(Run &run, const Command &command)
{
    Whole::World &world = *run.world;
    const int gateway = pick(Whole::liveGateways(world), command.first);
    if (gateway < 0) {
        return;
    }
    constexpr std::size_t MinGatewaysLeft = 2;
    const bool canRemove = Whole::liveGateways(world).size() > MinGatewaysLeft;
    if (command.kind == CommandKind::KillGateway && canRemove) {
        Whole::killGateway(world, gateway);
    } else if (command.kind == CommandKind::StopGateway && canRemove) {
        Whole::stopGateway(world, gateway);
    } else if (command.kind == CommandKind::PauseGateway) {
        Whole::pauseGateway(world, gateway, static_cast<std::int64_t>(command.second) * 8);
    } else if (command.kind == CommandKind::CutFromLog) {
        world.cutFromLog.insert(gateway);
    } else if (command.kind == CommandKind::Configure) {
        Whole::setTeamQuota(world, gateway, command.second, 2);
    }
}

void injectAgentFault(Run &run, const Command &command)
{
    Whole::World &world = *run.world;
    const int agent = pick(Whole::liveAgents(world), command.first);
    if (agent < 0) {
        return;
    }
    if (command.kind == CommandKind::KillAgent) {
        const int backend = world.agents[static_cast<std::size_t>(agent)]->backend;
        Whole::killAgent(world, agent);
        Whole::addAgent(world, backend);
    } else if (command.kind == CommandKind::PauseAgent) {
        Whole::pauseAgent(world, agent, static_cast<std::int64_t>(command.second) * 8);
    } else {
        Whole::silenceLinks(world, agent);
    }
}

void execute(Run &run, const Command &command)
{
    Whole::World &world = *run.world;
    switch (command.kind) {
    case CommandKind::Submit:
        run.jobs.push_back(Whole::newJob(world, 1 + static_cast<int>(command.second % 6),
                                         10 + command.second * 2));
        submitSomewhere(run, run.jobs.back(), command.first);
        break;
    case CommandKind::Resubmit:
        if (!run.jobs.empty()) {
            submitSomewhere(run, run.jobs[command.second % run.jobs.size()], command.first);
        }
        break;
    case CommandKind::Cancel:
        if (!run.jobs.empty() && !Whole::liveGateways(world).empty()) {
            Whole::cancel(world, pick(Whole::liveGateways(world), command.first),
                          run.jobs[command.second % run.jobs.size()].id);
        }
        break;
    case CommandKind::ReplaceGateway:
        keepThreeGateways(run);
        break;
    case CommandKind::KillAgent:
    case CommandKind::PauseAgent:
    case CommandKind::SilenceAgent:
        injectAgentFault(run, command);
        break;
    case CommandKind::Partition:
        Whole::partition(world, pick(Whole::liveGateways(world), command.first),
                         pick(Whole::liveGateways(world), command.second), true);
        break;
    case CommandKind::Heal:
        world.partitions.clear();
        world.cutFromLog.clear();
        break;
    case CommandKind::LogOut:
    case CommandKind::LogBack:
        world.log.isUnavailable = command.kind == CommandKind::LogOut;
        break;
    case CommandKind::LoseAnswers:
        world.log.answersToLose += static_cast<int>(command.first % 3);
        break;
    case CommandKind::FailBackend:
        world.backends[command.first % world.backends.size()].failsAll = command.second % 2 == 0;
        break;
    case CommandKind::Wait:
        Whole::runFor(world, static_cast<std::int64_t>(command.first) * 4);
        break;
    default:
        injectGatewayFault(run, command);
    }
    Whole::runFor(world, 5 + command.second % 50);
}

/// Ends partitions and log faults, restores three gateways and runs for the longest deadline, in
/// which every caller whose gateway is alive gets an answer.
void healAndFinish(Run &run)
{
    Whole::World &world = *run.world;
    world.partitions.clear();
    world.cutFromLog.clear();
    world.log.isUnavailable = false;
    keepThreeGateways(run);
    constexpr std::int64_t MaxDeadlineMs = 60'000;
    Whole::runFor(world, MaxDeadlineMs);
}

/// The answers to the callers of the job that the violation ends in.
std::string historyOf(const Whole::Oracle &oracle, const std::string &violation)
{
    std::ostringstream history;
    const std::string job = violation.substr(violation.rfind(' ') + 1);
    for (const Whole::Submission &submission : oracle.submissions) {
        if (submission.job == job) {
            history << " [submitted " << submission.submittedAtMs << " answered "
                    << (submission.isAnswered ? submission.answeredAtMs : -1) << ' '
                    << Schema::enumName(submission.answer.outcome) << ' '
                    << Schema::enumName(submission.answer.reason)
                    << (submission.answer.notRun ? " not run" : "") << ']';
        }
    }
    const auto started = oracle.lastStartMs.find(job);
    if (started != oracle.lastStartMs.end()) {
        history << " last start " << started->second;
    }
    return history.str();
}

std::string findViolations(const std::vector<Command> &commands, std::uint64_t seed)
{
    constexpr std::int64_t StartUpMs = 12'000;
    Run run;
    run.world = Whole::makeWorld(seed, 3, 4);
    run.world->maxRunDelayMs = 4'000;
    Whole::runFor(*run.world, StartUpMs);
    for (const Command &command : commands) {
        execute(run, command);
    }
    healAndFinish(run);
    Whole::checkAtEnd(run.world->oracle);
    std::string violations;
    for (const std::string &violation : run.world->oracle.violations) {
        violations += violation + historyOf(run.world->oracle, violation) + "; ";
    }
    return violations;
}

} // namespace

TEST_CASE("Random commands violate no invariant")
{
    PropertyCheck::check<Command>({"random commands", 40, 80}, anyCommand(), findViolations);
}
