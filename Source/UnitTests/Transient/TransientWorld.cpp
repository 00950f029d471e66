#include "TransientWorld.h"

#include <algorithm>
#include <random>

#include "Runner/Watch.h"

namespace TransientSite {

namespace {

using Schema::Frame;
using Schema::FrameType;

constexpr std::int64_t HeartbeatMs = 250;
constexpr std::int64_t SilenceMs = 800;
constexpr std::int64_t RelinkMs = 300;
constexpr std::int64_t DialMs = 100;
constexpr std::int64_t StartTimeoutMs = 150;
constexpr std::int64_t StopTimeoutMs = 120;
constexpr std::int64_t ObserveGraceMs = 150;
constexpr std::int64_t Never = std::int64_t{1} << 40U;
constexpr const char *Service = "repair-desk";

Common::Moment moment(const World &world)
{
    return {world.nowMs, world.nowMs};
}

std::int64_t between(World &world, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(world.random);
}

bool happens(World &world, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < share;
}

void at(World &world, std::int64_t inMs, std::function<void()> event)
{
    world.events.emplace(world.nowMs + inMs, std::move(event));
}

void breakPromise(World &world, const std::string &what)
{
    world.broken.push_back(std::to_string(world.nowMs) + ": " + what);
}

SiteLink &linkOf(World &world, int gateway, int agent)
{
    return world.links[static_cast<std::size_t>(gateway)][static_cast<std::size_t>(agent)];
}

SiteGateway &gatewayAt(World &world, int index)
{
    return world.gateways[static_cast<std::size_t>(index)];
}

SiteAgent &agentAt(World &world, int index)
{
    return world.agents[static_cast<std::size_t>(index)];
}

ModelBackend &backendAt(World &world, int index)
{
    return world.backends[static_cast<std::size_t>(index)];
}

/// A frozen process takes its messages in when it wakes, in their order.
template <typename Process>
void handTo(const World &world, Process &process, std::function<void()> event)
{
    if (world.nowMs < process.frozenUntilMs) {
        process.held.push_back(std::move(event));
    } else {
        event();
    }
}

bool isCut(const World &world, int gateway, int agent)
{
    return world.partitions.count({gateway, agent}) != 0;
}

void carryOut(World &world, int gateway, const Transient::Effects &effects);
void carryOut(World &world, int agent, const Runner::Effects &effects);

/// What the oracle sees of a start.
void judgeStart(World &world, int backendIndex, const Transient::RunStart &start)
{
    ++world.starts;
    for (std::size_t index = 0; index < world.backends.size(); ++index) {
        for (const ModelRun &run : world.backends[index].runs) {
            const bool isSame =
                    static_cast<int>(index) == backendIndex && run.number == start.number;
            if (world.backends[index].isUp && run.task == start.task && !isSame) {
                breakPromise(world, "two runs at a time: " + start.task);
            }
        }
    }
    const std::string job = start.task.substr(0, start.task.find('.'));
    if (world.refusedForGood.count(job) != 0) {
        breakPromise(world, "refused, but started: " + job);
    }
}

void startAtBackend(World &world, int backend, const Transient::RunStart &start,
                    const std::function<void(Transient::StartAnswer)> &answered)
{
    ModelBackend &target = backendAt(world, backend);
    advance(target, world.nowMs);
    const std::size_t before = target.runs.size();
    const Transient::StartAnswer answer = applyStart(target, start, world.nowMs);
    if (target.runs.size() > before) {
        judgeStart(world, backend, start);
    }
    answered(answer);
}

enum class CallFate { Answered, AnswerLost, CarriedOutLate };

CallFate drawFate(World &world)
{
    if (!happens(world, world.unansweredShare)) {
        return CallFate::Answered;
    }
    return happens(world, 0.5) ? CallFate::AnswerLost : CallFate::CarriedOutLate;
}

/// Runs \a call at the backend server and \a answered, or \a unanswered after the timeout, at the
/// agent, which may have died meanwhile.
void callBackend(World &world, int agent, std::int64_t timeoutMs,
                 const std::function<std::function<void()>()> &call,
                 const std::function<void(bool connected)> &unanswered)
{
    const std::string instance = agentAt(world, agent).state.instance;
    const auto toAgent = [&world, agent, instance](std::function<void()> event) {
        SiteAgent &process = agentAt(world, agent);
        if (process.isUp && process.state.instance == instance) {
            handTo(world, process, std::move(event));
        }
    };
    if (!backendAt(world, agent).isUp) {
        at(world, 1, [toAgent, unanswered] { toAgent([unanswered] { unanswered(false); }); });
        return;
    }
    const CallFate fate = drawFate(world);
    const auto giveUp = [toAgent, unanswered] { toAgent([unanswered] { unanswered(true); }); };
    if (fate != CallFate::Answered) {
        at(world, timeoutMs, giveUp);
    }
    constexpr std::int64_t LeastLateMs = 2000;
    constexpr std::int64_t MostLateMs = 12'000;
    const std::int64_t startedAt = backendAt(world, agent).startedAtMs;
    const std::int64_t delayMs =
            fate == CallFate::CarriedOutLate ? between(world, LeastLateMs, MostLateMs) : 1;
    at(world, delayMs, [&world, agent, call, toAgent, fate, startedAt] {
        const ModelBackend &target = backendAt(world, agent);
        if (!target.isUp || target.startedAtMs != startedAt) {
            return;
        }
        const std::function<void()> answered = call();
        if (fate == CallFate::Answered) {
            at(world, 1, [toAgent, answered] { toAgent(answered); });
        }
    });
}

void carryOutOne(World &world, int agent, const Runner::CallStart &effect)
{
    callBackend(
            world, agent, StartTimeoutMs,
            [&world, agent, effect, sentMs = world.nowMs] {
                Transient::StartAnswer answer;
                Transient::RunStart start = effect.start;
                if (world.lateLeasesCountFromArrival) {
                    start.leaseUntilMs += world.nowMs - sentMs;
                }
                startAtBackend(world, agent, start,
                               [&answer](const Transient::StartAnswer &given) { answer = given; });
                return [&world, agent, effect, answer] {
                    carryOut(world, agent,
                             Runner::startAnswered(agentAt(world, agent).state, effect.run,
                                                   effect.start.number, answer, moment(world)));
                };
            },
            [&world, agent, effect](bool connected) {
                Transient::StartAnswer answer;
                answer.outcome = connected ? Transient::StartOutcome::Unanswered
                                           : Transient::StartOutcome::NotConnected;
                carryOut(world, agent,
                         Runner::startAnswered(agentAt(world, agent).state, effect.run,
                                               effect.start.number, answer, moment(world)));
            });
}

void carryOutOne(World &world, int agent, const Runner::CallStop &effect)
{
    const std::int64_t fence = agentAt(world, agent).state.fence;
    const auto tell = [&world, agent, effect](bool taken) {
        Runner::stopAnswered(agentAt(world, agent).state, effect.task, effect.number, taken,
                             moment(world));
    };
    callBackend(
            world, agent, StopTimeoutMs,
            [&world, agent, effect, fence, tell]() -> std::function<void()> {
                const bool taken = applyStop(backendAt(world, agent), effect.task, effect.number,
                                             fence, world.nowMs);
                return [tell, taken] { tell(taken); };
            },
            [tell](bool) { tell(false); });
}

void answerObserve(World &world, int agent, std::uint64_t watch,
                   const Transient::ObserveAnswer &answer)
{
    carryOut(world, agent,
             Runner::observed(agentAt(world, agent).state, watch, answer, moment(world)));
}

/// Answers as soon as there is an end, or when the wait is over.
void waitForNews(World &world, int agent, const Runner::CallObserve &effect, std::int64_t fence,
                 std::int64_t untilMs, const std::string &instance, std::int64_t startedAt)
{
    ModelBackend &backend = backendAt(world, agent);
    if (!backend.isUp || backend.startedAtMs != startedAt) {
        return;
    }
    advance(backend, world.nowMs);
    if (!hasNews(backend, effect.lastEnd) && world.nowMs < untilMs) {
        at(world, 1, [&world, agent, effect, fence, untilMs, instance, startedAt] {
            waitForNews(world, agent, effect, fence, untilMs, instance, startedAt);
        });
        return;
    }
    const Transient::ObserveAnswer answer =
            applyObserve(backend, fence, effect.lastEnd, 0, world.nowMs);
    at(world, 1, [&world, agent, effect, answer, instance] {
        SiteAgent &process = agentAt(world, agent);
        if (process.isUp && process.state.instance == instance) {
            handTo(world, process, [&world, agent, effect, answer] {
                answerObserve(world, agent, effect.watch, answer);
            });
        }
    });
}

void carryOutOne(World &world, int agent, const Runner::CallObserve &effect)
{
    const std::int64_t fence = agentAt(world, agent).state.fence;
    const std::string instance = agentAt(world, agent).state.instance;
    callBackend(
            world, agent, effect.waitMs + ObserveGraceMs,
            [&world, agent, effect, fence, instance]() -> std::function<void()> {
                ModelBackend &backend = backendAt(world, agent);
                advance(backend, world.nowMs);
                const auto first = applyObserve(backend, fence, effect.lastEnd, effect.leaseUntilMs,
                                                world.nowMs);
                if (first.outcome != Transient::ObserveOutcome::Seen || effect.waitMs == 0) {
                    return [&world, agent, effect, first] {
                        answerObserve(world, agent, effect.watch, first);
                    };
                }
                waitForNews(world, agent, effect, fence, world.nowMs + effect.waitMs, instance,
                            backend.startedAtMs);
                return [] {};
            },
            [&world, agent, effect](bool connected) {
                Transient::ObserveAnswer answer;
                answer.outcome = connected ? Transient::ObserveOutcome::Unanswered
                                           : Transient::ObserveOutcome::NotConnected;
                answerObserve(world, agent, effect.watch, answer);
            });
}

void carryOutOne(World &world, int agent, const Runner::ReportAttempt &effect)
{
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteLink &link = linkOf(world, static_cast<int>(gateway), agent);
        if (link.agentUp && link.gatewayInstance == effect.gateway) {
            link.unsent.push_back(effect.state);
        }
    }
}

/// A frame from agent to gateway, on the connection as it is now.
void sendToGateway(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    link.agentSentMs = world.nowMs;
    if (link.isSilent || isCut(world, gateway, agent)) {
        return;
    }
    at(world, 2, [&world, gateway, agent, frame, number = link.number] {
        SiteGateway &process = gatewayAt(world, gateway);
        if (!process.isUp) {
            return;
        }
        handTo(world, process, [&world, gateway, agent, frame, number] {
            SiteLink &here = linkOf(world, gateway, agent);
            SiteGateway &target = gatewayAt(world, gateway);
            if (here.number != number || !here.gatewayUp) {
                return;
            }
            here.gatewayHeardMs = world.nowMs;
            if (frame.agentAnnouncement) {
                here.announced = true;
                carryOut(world, gateway,
                         Transient::agentAnnounced(target.state, *frame.agentAnnouncement,
                                                   moment(world), world.random));
            } else if (frame.agentReport && here.announced) {
                carryOut(world, gateway,
                         Transient::agentReported(target.state,
                                                  agentAt(world, agent).state.instance,
                                                  *frame.agentReport, moment(world), world.random));
            }
        });
    });
}

void announce(World &world, int gateway, int agent)
{
    const SiteLink &link = linkOf(world, gateway, agent);
    Frame frame;
    frame.type = FrameType::AgentAnnouncement;
    frame.agentAnnouncement = Runner::announcementFor(agentAt(world, agent).state,
                                                      link.gatewayInstance, moment(world));
    if (!world.safeguards.cleanStart) {
        frame.agentAnnouncement->clean = true;
    }
    sendToGateway(world, gateway, agent, frame);
}

void carryOutOne(World &world, int agent, const Runner::Announce & /*effect*/)
{
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        const SiteLink &link = linkOf(world, static_cast<int>(gateway), agent);
        if (link.agentUp && !link.gatewayInstance.empty()) {
            announce(world, static_cast<int>(gateway), agent);
        }
    }
}

void carryOutOne(World & /*world*/, int /*agent*/, const Transient::CountReason & /*effect*/) {}
void carryOutOne(World & /*world*/, int /*agent*/, const Transient::Note & /*effect*/) {}

void carryOut(World &world, int agent, const Runner::Effects &effects)
{
    for (const Runner::Effect &effect : effects) {
        std::visit([&world, agent](const auto &one) { carryOutOne(world, agent, one); }, effect);
    }
}

void agentHears(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteAgent &process = agentAt(world, agent);
    link.agentHeardMs = world.nowMs;
    if (frame.gatewayAnnouncement) {
        const std::string &instance = frame.gatewayAnnouncement->gateway.instance;
        if (!link.gatewayInstance.empty()) {
            Runner::grantReceived(process.state, instance, frame.gatewayAnnouncement->echoMs);
            return;
        }
        link.gatewayInstance = instance;
        process.unlinked.erase(instance);
        announce(world, gateway, agent);
        const auto recent = process.state.recent.find(instance);
        if (recent != process.state.recent.end()) {
            for (const Runner::RecentEnd &end : recent->second) {
                link.unsent.push_back(end.state);
            }
        }
    } else if (frame.taskOrders && !link.gatewayInstance.empty()) {
        carryOut(world, agent,
                 Runner::ordersReceived(process.state, link.gatewayInstance, *frame.taskOrders,
                                        moment(world)));
    } else if (frame.withdrawTasks && !link.gatewayInstance.empty()) {
        carryOut(world, agent,
                 Runner::withdrawReceived(process.state, link.gatewayInstance, *frame.withdrawTasks,
                                          moment(world)));
    }
}

void sendToAgent(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (link.isSilent || isCut(world, gateway, agent) || !link.gatewayUp) {
        return;
    }
    at(world, 2, [&world, gateway, agent, frame, number = link.number] {
        SiteAgent &process = agentAt(world, agent);
        if (!process.isUp) {
            return;
        }
        handTo(world, process, [&world, gateway, agent, frame, number] {
            const SiteLink &here = linkOf(world, gateway, agent);
            if (here.number == number && here.agentUp) {
                agentHears(world, gateway, agent, frame);
            }
        });
    });
}

void beat(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteGateway &process = gatewayAt(world, gateway);
    link.gatewaySentMs = world.nowMs;
    Frame frame;
    frame.type = FrameType::GatewayAnnouncement;
    frame.gatewayAnnouncement = Schema::GatewayAnnouncement{};
    frame.gatewayAnnouncement->gateway.instance = process.instance;
    const Transient::AgentView *view =
            link.announced ? Transient::findAgent(process.state.fleet,
                                                  agentAt(world, agent).state.instance)
                           : nullptr;
    frame.gatewayAnnouncement->echoMs = view == nullptr ? 0 : view->load.sentMs;
    sendToAgent(world, gateway, agent, frame);
}

void answerCaller(World &world, const Transient::AnswerCaller &answer)
{
    for (Caller &caller : world.callers) {
        if (caller.token != answer.token || caller.gateway < 0) {
            continue;
        }
        if (answer.job != caller.job) {
            breakPromise(world, "answer of " + answer.job + " reached " + caller.job);
        }
        caller.isAnswered = true;
        caller.gateway = -1;
        caller.result = answer.result;
        caller.answeredMs = world.nowMs;
        const bool isRefused = answer.result.outcome == Transient::JobOutcome::Refused;
        if (isRefused && caller.attempts == 1) {
            world.refusedForGood.insert(caller.job);
        }
        return;
    }
}

void carryOutOne(World &world, int gateway, const Transient::SendToAgent &effect)
{
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        if (world.agents[agent].state.instance == effect.agent) {
            sendToAgent(world, gateway, static_cast<int>(agent), effect.frame);
        }
    }
}

void carryOutOne(World &world, int /*gateway*/, const Transient::AnswerCaller &effect)
{
    answerCaller(world, effect);
}

void carryOutOne(World & /*world*/, int /*gateway*/, const Transient::ObserveSeconds & /*effect*/)
{}

void carryOut(World &world, int gateway, const Transient::Effects &effects)
{
    for (const Transient::Effect &effect : effects) {
        std::visit([&world, gateway](const auto &one) { carryOutOne(world, gateway, one); },
                   effect);
    }
}

void agentLosesLink(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (!link.agentUp) {
        return;
    }
    link.agentUp = false;
    link.nextDialMs = world.nowMs + DialMs;
    if (!link.gatewayInstance.empty()) {
        agentAt(world, agent).unlinked[link.gatewayInstance] = world.nowMs;
    }
    link.gatewayInstance.clear();
    link.unsent.clear();
}

void gatewayLosesLink(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (!link.gatewayUp) {
        return;
    }
    link.gatewayUp = false;
    if (link.announced) {
        link.announced = false;
        carryOut(world, gateway,
                 Transient::agentLinkLost(gatewayAt(world, gateway).state,
                                          agentAt(world, agent).state.instance, moment(world)));
    }
}

/// One end closes; the other sees it, unless the connection swallows it.
void closeLink(World &world, int gateway, int agent, bool byAgent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    const bool isSeen = !link.isSilent && !isCut(world, gateway, agent);
    const std::uint64_t number = link.number;
    if (byAgent) {
        agentLosesLink(world, gateway, agent);
    } else {
        gatewayLosesLink(world, gateway, agent);
    }
    if (!isSeen) {
        return;
    }
    at(world, 2, [&world, gateway, agent, byAgent, number] {
        if (linkOf(world, gateway, agent).number != number) {
            return;
        }
        if (byAgent && gatewayAt(world, gateway).isUp) {
            handTo(world, gatewayAt(world, gateway), [&world, gateway, agent, number] {
                if (linkOf(world, gateway, agent).number == number) {
                    gatewayLosesLink(world, gateway, agent);
                }
            });
        } else if (!byAgent && agentAt(world, agent).isUp) {
            handTo(world, agentAt(world, agent), [&world, gateway, agent, number] {
                if (linkOf(world, gateway, agent).number == number) {
                    agentLosesLink(world, gateway, agent);
                }
            });
        }
    });
}

void dial(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    link.nextDialMs = world.nowMs + DialMs;
    SiteGateway &target = gatewayAt(world, gateway);
    if (!target.isUp || world.nowMs < target.frozenUntilMs || isCut(world, gateway, agent)) {
        return;
    }
    if (link.gatewayUp) {
        // The gateway still holds the former connection; it takes the agent as met anew.
        gatewayLosesLink(world, gateway, agent);
    }
    const std::int64_t nextDialMs = link.nextDialMs;
    link = SiteLink{};
    link.nextDialMs = nextDialMs;
    link.number = ++world.lastNumber;
    link.agentUp = true;
    link.gatewayUp = true;
    link.agentHeardMs = world.nowMs;
    link.gatewayHeardMs = world.nowMs;
    beat(world, gateway, agent);
}

void driveLink(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteAgent &process = agentAt(world, agent);
    SiteGateway &peer = gatewayAt(world, gateway);
    const bool agentRuns = process.isUp && world.nowMs >= process.frozenUntilMs;
    const bool gatewayRuns = peer.isUp && world.nowMs >= peer.frozenUntilMs;
    if (agentRuns && link.agentUp && world.nowMs > link.agentHeardMs + SilenceMs) {
        closeLink(world, gateway, agent, true);
    }
    if (gatewayRuns && link.gatewayUp && world.nowMs > link.gatewayHeardMs + SilenceMs) {
        closeLink(world, gateway, agent, false);
    }
    if (agentRuns && !link.agentUp && world.nowMs >= link.nextDialMs) {
        dial(world, gateway, agent);
    }
    if (gatewayRuns && link.gatewayUp && world.nowMs >= link.gatewaySentMs + HeartbeatMs) {
        beat(world, gateway, agent);
    }
    if (!agentRuns || !link.agentUp || link.gatewayInstance.empty()) {
        return;
    }
    const bool isDue =
            Runner::isUrgent(link.unsent) || world.nowMs >= link.agentSentMs + HeartbeatMs
            || (world.nowMs >= link.agentSentMs + Runner::loadPauseMs(world.gateways.size())
                && !process.state.runs.empty());
    if (isDue) {
        Frame frame;
        frame.type = FrameType::AgentReport;
        frame.agentReport = Schema::AgentReport{};
        frame.agentReport->load =
                Runner::loadFor(process.state, link.gatewayInstance, moment(world));
        frame.agentReport->states = std::move(link.unsent);
        link.unsent.clear();
        sendToGateway(world, gateway, agent, frame);
    }
}

template <typename Process>
void thaw(const World &world, Process &process)
{
    if (world.nowMs < process.frozenUntilMs || process.held.empty()) {
        return;
    }
    const std::vector<std::function<void()>> held = std::move(process.held);
    process.held.clear();
    for (const std::function<void()> &event : held) {
        if (process.isUp) {
            event();
        }
    }
}

void driveAgent(World &world, int index)
{
    SiteAgent &agent = agentAt(world, index);
    if (!agent.isUp || world.nowMs < agent.frozenUntilMs) {
        return;
    }
    for (auto entry = agent.unlinked.begin(); entry != agent.unlinked.end();) {
        if (world.nowMs < entry->second + RelinkMs) {
            ++entry;
            continue;
        }
        const std::string lost = entry->first;
        entry = agent.unlinked.erase(entry);
        carryOut(world, index, Runner::gatewayLost(agent.state, lost, moment(world)));
    }
    carryOut(world, index, Runner::tick(agent.state, moment(world)));
}

void resubmitLater(World &world, std::size_t number);

void driveCallers(World &world)
{
    for (std::size_t number = 0; number < world.callers.size(); ++number) {
        Caller &caller = world.callers[number];
        if (caller.gateway >= 0 && world.nowMs >= caller.submittedMs + caller.patienceMs) {
            const int gateway = caller.gateway;
            const std::string token = caller.token;
            caller.gateway = -1;
            handTo(world, gatewayAt(world, gateway), [&world, gateway, token] {
                SiteGateway &process = gatewayAt(world, gateway);
                if (process.isUp) {
                    carryOut(world, gateway,
                             Transient::callerGone(process.state, token, moment(world)));
                }
            });
            resubmitLater(world, number);
        }
    }
}

void submitAgain(World &world, std::size_t number, int gateway)
{
    Caller &caller = world.callers[number];
    SiteGateway &target = gatewayAt(world, gateway);
    if (!target.isUp) {
        resubmitLater(world, number);
        return;
    }
    caller.gateway = gateway;
    caller.submittedMs = world.nowMs;
    caller.token = std::to_string(number) + '-' + std::to_string(++caller.attempts);
    Transient::Submission submission;
    submission.token = caller.token;
    submission.queue = world.queue;
    submission.patienceMs = caller.patienceMs - 20;
    submission.request.id = caller.job;
    submission.request.payload = payloadOf(caller.work);
    Transient::StepRequest step;
    step.taskCount = caller.tasks;
    step.resources.processors = caller.work.processors;
    step.expectedRunMs = caller.work.runMs;
    submission.request.steps.push_back(step);
    handTo(world, target, [&world, gateway, submission] {
        SiteGateway &process = gatewayAt(world, gateway);
        if (process.isUp) {
            carryOut(world, gateway,
                     Transient::jobSubmitted(process.state, submission, moment(world),
                                             world.random));
        }
    });
}

void resubmitLater(World &world, std::size_t number)
{
    constexpr int MostAttempts = 4;
    if (world.callers[number].attempts >= MostAttempts) {
        return;
    }
    at(world, ResubmitMs, [&world, number] {
        if (!world.callers[number].isAnswered && world.callers[number].gateway < 0) {
            const auto last = static_cast<std::int64_t>(world.gateways.size()) - 1;
            submitAgain(world, number, static_cast<int>(between(world, 0, last)));
        }
    });
}

void step(World &world)
{
    ++world.nowMs;
    while (!world.events.empty() && world.events.begin()->first <= world.nowMs) {
        const std::function<void()> event = std::move(world.events.begin()->second);
        world.events.erase(world.events.begin());
        event();
    }
    for (ModelBackend &backend : world.backends) {
        advance(backend, world.nowMs);
    }
    // A process that wakes reads what is in its sockets before it notices how late it is.
    for (SiteGateway &gateway : world.gateways) {
        thaw(world, gateway);
    }
    for (SiteAgent &agent : world.agents) {
        thaw(world, agent);
    }
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteGateway &process = world.gateways[gateway];
        if (process.isUp && world.nowMs >= process.frozenUntilMs) {
            carryOut(world, static_cast<int>(gateway),
                     Transient::tick(process.state, moment(world), world.random));
        }
        for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
            driveLink(world, static_cast<int>(gateway), static_cast<int>(agent));
        }
    }
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        driveAgent(world, static_cast<int>(agent));
    }
    driveCallers(world);
}

Transient::BackendAnnouncement announcementOf(const World &world, int index)
{
    const ModelBackend &backend = world.backends[static_cast<std::size_t>(index)];
    Transient::BackendAnnouncement announcement;
    announcement.id = backend.id;
    announcement.service = Service;
    announcement.address = "127.0.0.1:9000";
    announcement.resources.processors = backend.processors;
    announcement.resources.memoryMb = 1 << 20;
    announcement.startedAtMs = backend.startedAtMs;
    announcement.sequence = world.nowMs;
    return announcement;
}

} // namespace

std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents,
                                 const Safeguards &safeguards)
{
    auto world = std::make_unique<World>();
    world->safeguards = safeguards;
    world->random.seed(seed);
    world->queue.name = "parts-check";
    world->queue.service = Service;
    world->queue.attemptLimit = 3;
    world->queue.targetLatencyMs = 60;
    world->queue.latencyFactor = 1.6;
    world->gateways.resize(static_cast<std::size_t>(gateways));
    world->agents.resize(static_cast<std::size_t>(agents));
    world->backends.resize(static_cast<std::size_t>(agents));
    world->links.assign(static_cast<std::size_t>(gateways),
                        std::vector<SiteLink>(static_cast<std::size_t>(agents)));
    for (int index = 0; index < agents; ++index) {
        backendAt(*world, index).id = "backend-" + std::to_string(index);
        backendAt(*world, index).speed = index % 2 == 0 ? 1 : 1.6;
        startAgent(*world, index);
    }
    for (int index = 0; index < gateways; ++index) {
        startGateway(*world, index);
    }
    return world;
}

void runFor(World &world, std::int64_t ms)
{
    const std::int64_t untilMs = world.nowMs + ms;
    while (world.nowMs < untilMs) {
        step(world);
    }
}

std::size_t submit(World &world, int gateway, const ModelWork &work, int tasks,
                   std::int64_t patienceMs)
{
    Caller caller;
    caller.job = "job" + std::to_string(world.callers.size());
    caller.work = work;
    caller.tasks = tasks;
    caller.patienceMs = patienceMs;
    world.callers.push_back(caller);
    submitAgain(world, world.callers.size() - 1, gateway);
    return world.callers.size() - 1;
}

void leave(World &world, std::size_t caller)
{
    Caller &leaving = world.callers[caller];
    constexpr int NeverAgain = 1000;
    leaving.attempts += NeverAgain;
    leaving.submittedMs = world.nowMs - leaving.patienceMs;
}

void killGateway(World &world, int gateway, bool loudly)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (!process.isUp) {
        return;
    }
    process.isUp = false;
    process.held.clear();
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        SiteLink &link = linkOf(world, gateway, static_cast<int>(agent));
        link.isSilent = link.isSilent || !loudly;
        link.announced = false;
        closeLink(world, gateway, static_cast<int>(agent), false);
        link.gatewayUp = false;
    }
    for (std::size_t number = 0; number < world.callers.size(); ++number) {
        if (world.callers[number].gateway == gateway) {
            world.callers[number].gateway = -1;
            resubmitLater(world, number);
        }
    }
}

void startGateway(World &world, int gateway)
{
    SiteGateway &process = gatewayAt(world, gateway);
    process = SiteGateway{};
    process.instance =
            "gateway-" + std::to_string(gateway) + '-' + std::to_string(++world.lastNumber);
    process.state.startedMs = world.nowMs;
    if (!world.safeguards.settling) {
        process.state.times.settleMs = 0;
    }
}

void freezeGateway(World &world, int gateway, std::int64_t forMs)
{
    gatewayAt(world, gateway).frozenUntilMs = world.nowMs + forMs;
}

void killAgent(World &world, int agent, bool loudly)
{
    SiteAgent &process = agentAt(world, agent);
    if (!process.isUp) {
        return;
    }
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteLink &link = linkOf(world, static_cast<int>(gateway), agent);
        link.isSilent = link.isSilent || !loudly;
        closeLink(world, static_cast<int>(gateway), agent, true);
    }
    process.isUp = false;
    process.held.clear();
}

void startAgent(World &world, int agent)
{
    SiteAgent &process = agentAt(world, agent);
    const std::int64_t formerFence = process.state.fence;
    process = SiteAgent{};
    Runner::RunnerState &state = process.state;
    state.name = "agent-" + std::to_string(agent);
    state.instance = state.name + '-' + std::to_string(++world.lastNumber);
    state.service = Service;
    state.fence = world.safeguards.fence ? world.nowMs : formerFence;
    if (!world.safeguards.grants) {
        state.times.grantMs = Never;
    }
    carryOut(world, agent,
             Runner::backendAnnounced(state, announcementOf(world, agent), moment(world)));
}

void freezeAgent(World &world, int agent, std::int64_t forMs)
{
    agentAt(world, agent).frozenUntilMs = world.nowMs + forMs;
}

void crashBackend(World &world, int backend)
{
    ModelBackend &crashed = backendAt(world, backend);
    crashed.isUp = false;
    crashed.runs.clear();
}

void restartBackend(World &world, int backend)
{
    if (backendAt(world, backend).isUp) {
        return;
    }
    restart(backendAt(world, backend), world.nowMs);
    SiteAgent &agent = agentAt(world, backend);
    const auto announcement = announcementOf(world, backend);
    if (agent.isUp) {
        handTo(world, agent, [&world, backend, announcement] {
            carryOut(world, backend,
                     Runner::backendAnnounced(agentAt(world, backend).state, announcement,
                                              moment(world)));
        });
    }
}

void backendLeaves(World &world, int backend)
{
    auto announcement = announcementOf(world, backend);
    announcement.leaving = true;
    if (agentAt(world, backend).isUp) {
        carryOut(world, backend,
                 Runner::backendAnnounced(agentAt(world, backend).state, announcement,
                                          moment(world)));
    }
}

void resetLink(World &world, int gateway, int agent)
{
    closeLink(world, gateway, agent, true);
}

void silenceLink(World &world, int gateway, int agent)
{
    linkOf(world, gateway, agent).isSilent = true;
}

} // namespace TransientSite
