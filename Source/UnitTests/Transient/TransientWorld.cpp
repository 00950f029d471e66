#include "TransientWorld.h"

#include <algorithm>
#include <ostream>
#include <random>

#include "Runner/Observation.h"

namespace TransientSite {

namespace {

using Schema::Frame;
using Schema::FrameType;

constexpr std::int64_t HeartbeatMs = 250;
constexpr std::int64_t SilenceMs = 800;
constexpr std::int64_t RelinkMs = 300;
constexpr std::int64_t DialMs = 100;
constexpr std::int64_t StopTimeoutMs = 120;
constexpr std::int64_t ObserveGraceMs = 150;
constexpr std::int64_t AnnounceEveryMs = 1500;
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

void record(World &world, const std::string &who, const std::string &what)
{
    if (world.story != nullptr) {
        *world.story << world.nowMs << ' ' << who << ": " << what << '\n';
    }
}

void record(World &world, const std::string &who, const Transient::LogLine &note)
{
    if (world.story == nullptr) {
        return;
    }
    std::string what = note.event;
    for (const auto &[name, value] : note.fields) {
        what.append(" ").append(name).append("=").append(value);
    }
    record(world, who, what);
}

void breakPromise(World &world, const std::string &what)
{
    record(world, "broken", what);
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

Transient::StartAnswer startAtBackend(World &world, int backend, const Transient::RunStart &start)
{
    for (ModelBackend &each : world.backends) {
        advance(each, world.nowMs);
    }
    ModelBackend &target = backendAt(world, backend);
    const std::size_t before = target.runs.size();
    const Transient::StartAnswer answer = applyStart(target, start, world.nowMs);
    record(world, target.id,
           "start " + start.task + " number=" + std::to_string(start.number)
                   + " fence=" + std::to_string(start.fence) + ' '
                   + std::string(Common::nameOf(Transient::StartOutcomeNames, answer.outcome)));
    if (target.runs.size() > before) {
        judgeStart(world, backend, start);
    }
    return answer;
}

enum class CallFate { Answered, AnswerLost, CarriedOutLate };

CallFate drawFate(World &world)
{
    if (!happens(world, world.unansweredShare)) {
        return CallFate::Answered;
    }
    return happens(world, 0.5) ? CallFate::AnswerLost : CallFate::CarriedOutLate;
}

enum class CallFailure { Unanswered, NotConnected, Refused };

/// A call on its way. Its first end counts, and goes to the process that made it.
struct Call
{
    int agent = 0;
    std::string instance;
    /// Life of the backend server that it was meant for.
    std::int64_t lifeMs = 0;
    bool isAnswerLost = false;
    bool isOver = false;
    std::function<void(CallFailure)> failed;
};

using CallPtr = std::shared_ptr<Call>;

void endCall(World &world, const CallPtr &call, std::function<void()> event)
{
    if (call->isOver) {
        return;
    }
    call->isOver = true;
    SiteAgent &process = agentAt(world, call->agent);
    if (process.isUp && process.state.instance == call->instance) {
        handTo(world, process, std::move(event));
    }
}

void failCallIn(World &world, std::int64_t inMs, const CallPtr &call, CallFailure failure)
{
    at(world, inMs, [&world, call, failure] {
        endCall(world, call, [call, failure] { call->failed(failure); });
    });
}

void answerCall(World &world, const CallPtr &call, const std::function<void()> &answered)
{
    const bool isMute = world.nowMs < backendAt(world, call->agent).trouble.muteUntilMs;
    if (!call->isAnswerLost && !isMute) {
        at(world, 1, [&world, call, answered] { endCall(world, call, answered); });
    }
}

/// Runs \a carriedOut at the backend server, which ends the call by answerCall or later.
void arriveAtBackend(World &world, const CallPtr &call, bool isLate,
                     const std::function<void(const CallPtr &)> &carriedOut)
{
    const ModelBackend &target = backendAt(world, call->agent);
    const bool isOtherLife = target.startedAtMs != call->lifeMs;
    if (!target.isUp || (isOtherLife && !(isLate && world.lateOrdersReachNextLife))) {
        // The connection breaks with its end.
        failCallIn(world, 1, call, CallFailure::Unanswered);
        return;
    }
    if (world.nowMs >= target.trouble.hungUntilMs) {
        carriedOut(call);
    }
}

/// The call fails with \a failed, after the timeout at the latest, at the agent, which may have
/// died meanwhile.
void callBackend(World &world, int agent, std::int64_t timeoutMs,
                 const std::function<void(const CallPtr &)> &carriedOut,
                 const std::function<void(CallFailure)> &failed)
{
    const ModelBackend &target = backendAt(world, agent);
    auto call = std::make_shared<Call>();
    call->agent = agent;
    call->instance = agentAt(world, agent).state.instance;
    call->lifeMs = target.startedAtMs;
    call->failed = failed;
    if (!target.isUp || world.nowMs < target.trouble.unreachableUntilMs) {
        failCallIn(world, 1, call, CallFailure::NotConnected);
        return;
    }
    failCallIn(world, timeoutMs, call, CallFailure::Unanswered);
    if (target.trouble.refusedShare > 0 && happens(world, target.trouble.refusedShare)) {
        failCallIn(world, 2, call, CallFailure::Refused);
        return;
    }
    const CallFate fate = drawFate(world);
    call->isAnswerLost = fate != CallFate::Answered;
    if (call->isAnswerLost && world.answersAreLostAtOnce) {
        constexpr std::int64_t MostMs = 3;
        failCallIn(world, between(world, 1, MostMs), call, CallFailure::Unanswered);
    }
    constexpr std::int64_t LeastLateMs = 2000;
    constexpr std::int64_t MostLateMs = 12'000;
    const bool isLate = fate == CallFate::CarriedOutLate;
    const std::int64_t delayMs = isLate ? between(world, LeastLateMs, MostLateMs) : 1;
    at(world, delayMs,
       [&world, call, isLate, carriedOut] { arriveAtBackend(world, call, isLate, carriedOut); });
}

Transient::StartOutcome startOutcomeOf(CallFailure failure)
{
    using Transient::StartOutcome;
    return failure == CallFailure::Refused        ? StartOutcome::Refused
           : failure == CallFailure::NotConnected ? StartOutcome::NotConnected
                                                  : StartOutcome::Unanswered;
}

Transient::ObserveOutcome observeOutcomeOf(CallFailure failure)
{
    using Transient::ObserveOutcome;
    return failure == CallFailure::Refused        ? ObserveOutcome::Refused
           : failure == CallFailure::NotConnected ? ObserveOutcome::NotConnected
                                                  : ObserveOutcome::Unanswered;
}

void carryOutOne(World &world, int agent, const Runner::CallStart &effect)
{
    const auto tell = [&world, agent, effect](const Transient::StartAnswer &answer) {
        carryOut(world, agent,
                 Runner::startAnswered(agentAt(world, agent).state, effect.run, effect.start.number,
                                       answer, moment(world)));
    };
    callBackend(
            world, agent, effect.timeoutMs,
            [&world, agent, effect, tell, sentMs = world.nowMs](const CallPtr &call) {
                Transient::RunStart start = effect.start;
                if (world.lateLeasesCountFromArrival) {
                    start.leaseUntilMs += world.nowMs - sentMs;
                }
                const Transient::StartAnswer answer = startAtBackend(world, agent, start);
                answerCall(world, call, [tell, answer] { tell(answer); });
            },
            [tell](CallFailure failure) {
                Transient::StartAnswer answer;
                answer.outcome = startOutcomeOf(failure);
                tell(answer);
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
            [&world, agent, effect, fence, tell](const CallPtr &call) {
                const bool taken = applyStop(backendAt(world, agent), effect.task, effect.number,
                                             fence, world.nowMs);
                record(world, backendAt(world, agent).id,
                       "stop " + effect.task + " number=" + std::to_string(effect.number)
                               + (taken ? " taken" : " fenced"));
                answerCall(world, call, [tell, taken] { tell(taken); });
            },
            [tell](CallFailure) { tell(false); });
}

void answerObserve(World &world, int agent, std::uint64_t observation,
                   const Transient::ObserveAnswer &answer)
{
    carryOut(world, agent,
             Runner::observeAnswered(agentAt(world, agent).state, observation, answer,
                                     moment(world)));
}

/// Answers as soon as there is an end, or when the wait is over.
void waitForNews(World &world, const CallPtr &call, const Runner::CallObserve &effect,
                 std::int64_t fence, std::int64_t untilMs)
{
    const int agent = call->agent;
    ModelBackend &backend = backendAt(world, agent);
    if (!backend.isUp || backend.startedAtMs != call->lifeMs) {
        failCallIn(world, 1, call, CallFailure::Unanswered);
        return;
    }
    advance(backend, world.nowMs);
    const bool isHung = world.nowMs < backend.trouble.hungUntilMs;
    if (isHung || (!hasNews(backend, effect.lastEnd) && world.nowMs < untilMs)) {
        at(world, 1, [&world, call, effect, fence, untilMs] {
            waitForNews(world, call, effect, fence, untilMs);
        });
        return;
    }
    const Transient::ObserveAnswer answer =
            applyObserve(backend, fence, effect.lastEnd, 0, world.nowMs);
    answerCall(world, call, [&world, agent, effect, answer] {
        answerObserve(world, agent, effect.observation, answer);
    });
}

void carryOutOne(World &world, int agent, const Runner::CallObserve &effect)
{
    const std::int64_t fence = agentAt(world, agent).state.fence;
    callBackend(
            world, agent, effect.waitMs + ObserveGraceMs,
            [&world, agent, effect, fence, sentMs = world.nowMs](const CallPtr &call) {
                ModelBackend &backend = backendAt(world, agent);
                advance(backend, world.nowMs);
                const bool isMoved = world.lateLeasesCountFromArrival && effect.leaseUntilMs != 0;
                const std::int64_t leaseUntilMs =
                        effect.leaseUntilMs + (isMoved ? world.nowMs - sentMs : 0);
                const auto first =
                        applyObserve(backend, fence, effect.lastEnd, leaseUntilMs, world.nowMs);
                if (first.outcome == Transient::ObserveOutcome::Observed && effect.waitMs > 0
                    && backend.startedAtMs == call->lifeMs) {
                    waitForNews(world, call, effect, fence, world.nowMs + effect.waitMs);
                    return;
                }
                answerCall(world, call, [&world, agent, effect, first] {
                    answerObserve(world, agent, effect.observation, first);
                });
            },
            [&world, agent, effect](CallFailure failure) {
                Transient::ObserveAnswer answer;
                answer.outcome = observeOutcomeOf(failure);
                answerObserve(world, agent, effect.observation, answer);
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
    SiteLink &link = linkOf(world, gateway, agent);
    Frame frame;
    frame.type = FrameType::AgentAnnouncement;
    frame.agentAnnouncement = Runner::announcementFor(agentAt(world, agent).state,
                                                      link.gatewayInstance, moment(world));
    link.toldOrphans = agentAt(world, agent).state.orphansChange;
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
void carryOutOne(World & /*world*/, int /*agent*/, const Transient::LogLine & /*effect*/) {}

void carryOut(World &world, int agent, const Runner::Effects &effects)
{
    for (const Runner::Effect &effect : effects) {
        if (const auto *note = std::get_if<Transient::LogLine>(&effect)) {
            record(world, agentAt(world, agent).state.instance, *note);
        }
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
        const auto recentEnds = process.state.recentEnds.find(instance);
        if (recentEnds != process.state.recentEnds.end()) {
            for (const Runner::RecentEnd &end : recentEnds->second) {
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
        if (const auto *note = std::get_if<Transient::LogLine>(&effect)) {
            record(world, gatewayAt(world, gateway).instance, *note);
        }
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
                 Transient::handleAgentDisconnected(gatewayAt(world, gateway).state,
                                                    agentAt(world, agent).state.instance,
                                                    moment(world)));
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

/// Heartbeats between gateways.
void driveGatewayLinks(World &world, int from)
{
    SiteGateway &sender = gatewayAt(world, from);
    if (world.nowMs < sender.sentMs + HeartbeatMs) {
        return;
    }
    sender.sentMs = world.nowMs;
    const auto orphans = Transient::orphansToRelay(sender.state, moment(world));
    for (std::size_t to = 0; to < world.gateways.size(); ++to) {
        if (static_cast<int>(to) == from) {
            continue;
        }
        at(world, 2, [&world, to, orphans, instance = sender.instance] {
            SiteGateway &receiver = world.gateways[to];
            if (!receiver.isUp) {
                return;
            }
            handTo(world, receiver, [&world, &receiver, orphans, instance] {
                Transient::updateRelayedOrphans(receiver.state, instance, orphans, moment(world));
            });
        });
    }
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
            Runner::isUrgent(link.unsent) || link.toldOrphans < process.state.urgentOrphansChange
            || world.nowMs >= link.agentSentMs + HeartbeatMs
            || (world.nowMs
                        >= link.agentSentMs + Runner::loadReportIntervalMs(world.gateways.size())
                && !process.state.runs.empty());
    if (isDue) {
        Frame frame;
        frame.type = FrameType::AgentReport;
        frame.agentReport = Schema::AgentReport{};
        frame.agentReport->load =
                Runner::loadFor(process.state, link.gatewayInstance, moment(world));
        if (link.toldOrphans != process.state.orphansChange) {
            frame.agentReport->orphans = process.state.orphans;
            link.toldOrphans = process.state.orphansChange;
        }
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
        if (caller.gateway >= 0 && world.nowMs >= caller.submittedMs + caller.remainingTimeoutMs) {
            const int gateway = caller.gateway;
            const std::string token = caller.token;
            caller.gateway = -1;
            handTo(world, gatewayAt(world, gateway), [&world, gateway, token] {
                SiteGateway &process = gatewayAt(world, gateway);
                if (process.isUp) {
                    carryOut(world, gateway,
                             Transient::handleCallerDisconnected(process.state, token,
                                                                 moment(world)));
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
    record(world, "caller", "submits " + caller.job + " at " + target.instance);
    caller.gateway = gateway;
    caller.submittedMs = world.nowMs;
    caller.token = std::to_string(number) + '-' + std::to_string(++caller.attempts);
    Transient::Submission submission;
    submission.token = caller.token;
    submission.queue = world.queue;
    submission.remainingTimeoutMs = caller.remainingTimeoutMs - 20;
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
    announcement.leaving = backend.isLeaving;
    // Its count starts anew with each life.
    announcement.sequence = world.nowMs + 2 - backend.startedAtMs;
    return announcement;
}

void announceBackend(World &world, int backend, const Transient::BackendAnnouncement &announcement)
{
    SiteAgent &agent = agentAt(world, backend);
    if (!agent.isUp) {
        return;
    }
    handTo(world, agent, [&world, backend, announcement] {
        carryOut(world, backend,
                 Runner::backendAnnounced(agentAt(world, backend).state, announcement,
                                          moment(world)));
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
            driveGatewayLinks(world, static_cast<int>(gateway));
        }
        for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
            driveLink(world, static_cast<int>(gateway), static_cast<int>(agent));
        }
    }
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        driveAgent(world, static_cast<int>(agent));
        const ModelBackend &backend = world.backends[agent];
        if (backend.isUp && (world.nowMs - backend.startedAtMs) % AnnounceEveryMs == 0) {
            announceBackend(world, static_cast<int>(agent),
                            announcementOf(world, static_cast<int>(agent)));
        }
    }
    driveCallers(world);
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
                   std::int64_t remainingTimeoutMs)
{
    Caller caller;
    caller.job = "job" + std::to_string(world.callers.size());
    caller.work = work;
    caller.tasks = tasks;
    caller.remainingTimeoutMs = remainingTimeoutMs;
    world.callers.push_back(caller);
    submitAgain(world, world.callers.size() - 1, gateway);
    return world.callers.size() - 1;
}

void leave(World &world, std::size_t caller)
{
    Caller &leaving = world.callers[caller];
    constexpr int NeverAgain = 1000;
    leaving.attempts += NeverAgain;
    leaving.submittedMs = world.nowMs - leaving.remainingTimeoutMs;
}

void killGateway(World &world, int gateway, bool loudly)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (!process.isUp) {
        return;
    }
    process.isUp = false;
    record(world, process.instance, loudly ? "killed" : "powered off");
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
    record(world, process.state.instance, loudly ? "killed" : "powered off");
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
    state.fence = world.safeguards.fence ? world.nowMs + world.wallClockStepMs : formerFence;
    if (!world.safeguards.grants) {
        state.times.grantMs = Never;
    }
    if (!world.safeguards.orphans) {
        state.times.suspectMs = Never;
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
    record(world, crashed.id, "crashed");
    crashed.isUp = false;
    crashed.runs.clear();
}

void restartBackend(World &world, int backend)
{
    ModelBackend &restarted = backendAt(world, backend);
    if (restarted.isUp) {
        return;
    }
    restarted.formerLife = announcementOf(world, backend);
    restart(restarted, world.nowMs);
    record(world, restarted.id, "restarted");
    announceBackend(world, backend, announcementOf(world, backend));
}

void replaceBackend(World &world, int backend)
{
    crashBackend(world, backend);
    restartBackend(world, backend);
}

void announceFormerLife(World &world, int backend)
{
    const ModelBackend &target = backendAt(world, backend);
    if (target.isUp && target.formerLife) {
        announceBackend(world, backend, *target.formerLife);
    }
}

void backendLeaves(World &world, int backend)
{
    backendAt(world, backend).isLeaving = true;
    announceBackend(world, backend, announcementOf(world, backend));
}

void backendEnds(World &world, int backend, std::int64_t afterMs)
{
    const ModelBackend &ending = backendAt(world, backend);
    if (!ending.isUp) {
        return;
    }
    SiteAgent &agent = agentAt(world, backend);
    if (agent.isUp) {
        handTo(world, agent, [&world, backend, id = ending.id] {
            carryOut(world, backend,
                     Runner::backendLeft(agentAt(world, backend).state, id, moment(world)));
        });
    }
    at(world, afterMs, [&world, backend, lifeMs = ending.startedAtMs] {
        if (backendAt(world, backend).startedAtMs == lifeMs) {
            crashBackend(world, backend);
        }
    });
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
