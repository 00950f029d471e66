#include "TransientWorld.h"

#include <algorithm>
#include <ostream>
#include <random>

#include "Net/Codec.h"
#include "Runner/Observation.h"

namespace TransientSite {

namespace {

using Schema::Frame;
using Schema::FrameType;

constexpr std::int64_t HeartbeatMs = 250;
constexpr std::int64_t SilenceTimeoutMs = 800;
constexpr std::int64_t ReconnectGraceMs = 300;
/// Interval at which agents check whether they can give up a gateway.
constexpr std::int64_t ReleaseIntervalMs = 20;
constexpr std::int64_t StopTimeoutMs = 120;
constexpr std::int64_t ObserveGraceMs = 150;
constexpr std::int64_t AnnounceIntervalMs = 1500;
/// Time in which an evacuation has to be in force everywhere.
constexpr std::int64_t EvacuateMs = 5000;
constexpr std::int64_t Never = std::int64_t{1} << 40U;
constexpr const char *Service = "repair-desk";

Common::Moment moment(const World &world)
{
    return {world.nowMs, world.nowMs};
}

std::int64_t randomBetween(World &world, std::int64_t minimum, std::int64_t maximum)
{
    return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(world.random);
}

bool drawChance(World &world, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < probability;
}

void scheduleEvent(World &world, std::int64_t delayMs, std::function<void()> event)
{
    world.events.emplace(world.nowMs + delayMs, std::move(event));
}

void writeTrace(World &world, const std::string &who, const std::string &what)
{
    if (world.trace != nullptr) {
        *world.trace << world.nowMs << ' ' << who << ": " << what << '\n';
    }
}

void writeTrace(World &world, const std::string &who, const Transient::LogLine &logLine)
{
    if (world.trace == nullptr) {
        return;
    }
    std::string what = logLine.event;
    for (const auto &[name, value] : logLine.fields) {
        what.append(" ").append(name).append("=").append(value);
    }
    writeTrace(world, who, what);
}

void reportViolation(World &world, const std::string &what)
{
    writeTrace(world, "violation", what);
    world.violations.push_back(std::to_string(world.nowMs) + ": " + what);
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

/// Runs \a event at once, or when a frozen process resumes. Held events run in their order.
template <typename Process>
void deliver(const World &world, Process &process, std::function<void()> event)
{
    if (world.nowMs < process.frozenUntilMs) {
        process.heldEvents.push_back(std::move(event));
    } else {
        event();
    }
}

/// Time until \a frame has passed the link after all that was sent before it.
std::int64_t passLink(const World &world, double &freeMs, const Frame &frame)
{
    /// Headers of WebSocket, TCP and IP.
    constexpr std::size_t HeaderBytes = 50;
    if (world.linkBytesPerMs <= 0) {
        return 0;
    }
    const auto bytes = static_cast<double>(Net::encodeFrame(frame).size() + HeaderBytes);
    const auto nowMs = static_cast<double>(world.nowMs);
    freeMs = std::max(freeMs, nowMs) + bytes / world.linkBytesPerMs;
    return static_cast<std::int64_t>(freeMs - nowMs);
}

/// Time until a message arrives that takes \a delayMs or somewhat longer, behind all that was sent
/// before it. Sets \a arrivalMs.
std::int64_t delayInOrder(World &world, std::int64_t &arrivalMs, std::int64_t delayMs)
{
    const std::int64_t addedMs =
            world.maxFrameDelayMs == 0 ? 0 : randomBetween(world, 0, world.maxFrameDelayMs);
    arrivalMs = std::max(arrivalMs, world.nowMs + delayMs + addedMs);
    return arrivalMs - world.nowMs;
}

bool isPartitioned(const World &world, int gateway, int agent)
{
    return world.partitions.count({gateway, agent}) != 0;
}

void carryOutOne(World & /*world*/, int /*process*/, const Transient::SetGauge & /*effect*/) {}
void carryOutOne(World & /*world*/, int /*process*/, const Transient::CountLabels & /*effect*/) {}
void carryOutOne(World & /*world*/, int /*process*/, const Transient::ObserveSeconds & /*effect*/)
{}
void carryOut(World &world, int gateway, const Transient::Effects &effects);
void sendFrameToPeer(World &world, int from, int to, const Frame &frame);
void carryOut(World &world, int agent, const Runner::Effects &effects);

std::string domainOf(const World &world, int index)
{
    return "domain-" + std::to_string(index % world.neighbourhood.failureDomains);
}

constexpr const char *GatewayHostPrefix = "127.0.0.";
constexpr std::int64_t GatewayPeerPort = 8081;

Schema::Member memberOf(const World &world, const std::string &instance, int gateway)
{
    Schema::Member member;
    member.instance = instance;
    member.host = GatewayHostPrefix + std::to_string(gateway + 1);
    member.peerPort = GatewayPeerPort;
    member.failureDomain = domainOf(world, gateway);
    return member;
}

int gatewayWith(const std::string &address)
{
    return std::stoi(address.substr(std::string(GatewayHostPrefix).size())) - 1;
}

std::string addressOfGateway(const World &world, int gateway)
{
    return Transient::addressOf(memberOf(world, "", gateway));
}

/// As on a real site, processes are told of three gateways.
std::vector<std::string> seedsOf(const World &world)
{
    constexpr std::size_t Seeds = 3;
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < std::min(Seeds, world.gateways.size()); ++index) {
        seeds.push_back(addressOfGateway(world, static_cast<int>(index)));
    }
    return seeds;
}

template <typename Process>
void countFrame(const World &world, Process &process, const Frame &frame)
{
    ++process.traffic.frames;
    process.traffic.bytes += world.countsBytes ? Net::encodeFrame(frame).size() : 0;
}

/// Reports a violation where the task already runs, or where its job was refused for good.
void checkStart(World &world, int backendIndex, const Transient::RunStart &start)
{
    ++world.starts;
    for (std::size_t index = 0; index < world.backends.size(); ++index) {
        for (const ModelRun &run : world.backends[index].runs) {
            const bool isSame =
                    static_cast<int>(index) == backendIndex && run.number == start.number;
            if (world.backends[index].isUp && run.task == start.task && !isSame) {
                reportViolation(world, "task has two runs at the same time: " + start.task);
            }
        }
    }
    const std::string job = start.task.substr(0, start.task.find('.'));
    world.begunJobs.insert(job);
    if (world.finallyRefused.count(job) != 0) {
        reportViolation(world, "job was refused but a task of it started: " + job);
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
    writeTrace(world, target.id,
               "start " + start.task + " number=" + std::to_string(start.number)
                       + " fence=" + std::to_string(start.fence) + ' '
                       + std::string(Common::nameOf(Transient::StartOutcomeNames, answer.outcome)));
    if (target.runs.size() > before) {
        checkStart(world, backend, start);
    }
    return answer;
}

/// A start that was sent long after the agent was told that the backend server is leaving violates
/// an invariant. One that is executed long after it was sent does not.
void checkLeaving(World &world, int backend, const Transient::RunStart &start, std::int64_t sentMs)
{
    constexpr std::int64_t DrainMs = 2000;
    const ModelBackend &target = backendAt(world, backend);
    if (target.leavingKnownMs && sentMs > *target.leavingKnownMs + DrainMs) {
        world.violations.push_back(std::to_string(world.nowMs)
                                   + ": start on a leaving backend server: " + start.task);
    }
}

/// A start that was sent in an evacuated failure domain violates an invariant, from some time after
/// the request was acknowledged, or after the store was back.
void checkEvacuated(World &world, int agent, const Transient::RunStart &start, std::int64_t sentMs)
{
    const auto found = world.store.evacuations.find(domainOf(world, agent));
    if (found == world.store.evacuations.end() || !found->second.inForce) {
        return;
    }
    const std::int64_t knowableMs = std::max(found->second.acknowledgedMs, world.store.downUntilMs);
    if (sentMs > knowableMs + EvacuateMs) {
        reportViolation(world, "start in an evacuated failure domain: " + start.task);
    }
}

enum class CallOutcome { Answered, AnswerLost, ExecutedLate };

CallOutcome drawCallOutcome(World &world)
{
    if (!drawChance(world, world.unansweredShare)) {
        return CallOutcome::Answered;
    }
    return drawChance(world, 0.5) ? CallOutcome::AnswerLost : CallOutcome::ExecutedLate;
}

enum class CallFailure { Unanswered, NotConnected, Refused };

/// A call to a backend server that has not ended. Only its first end counts. It is handled by the
/// agent process that made the call, and ignored if that process has ended.
struct Call
{
    int agent = 0;
    std::string instance;
    /// Start time of the backend server incarnation that the call was sent to.
    std::int64_t backendStartedAtMs = 0;
    bool isAnswerLost = false;
    bool isEnded = false;
    std::function<void(CallFailure)> failed;
};

using CallPtr = std::shared_ptr<Call>;

void endCall(World &world, const CallPtr &call, std::function<void()> event)
{
    if (call->isEnded) {
        return;
    }
    call->isEnded = true;
    SiteAgent &process = agentAt(world, call->agent);
    if (process.isUp && process.state.instance == call->instance) {
        deliver(world, process, std::move(event));
    }
}

void failCallIn(World &world, std::int64_t delayMs, const CallPtr &call, CallFailure failure)
{
    scheduleEvent(world, delayMs, [&world, call, failure] {
        endCall(world, call, [call, failure] { call->failed(failure); });
    });
}

void answerCall(World &world, const CallPtr &call, const std::function<void()> &answered)
{
    const bool isMute = world.nowMs < backendAt(world, call->agent).trouble.muteUntilMs;
    if (!call->isAnswerLost && !isMute) {
        scheduleEvent(world, 1, [&world, call, answered] { endCall(world, call, answered); });
    }
}

/// Runs \a execute at the backend server, unless it hangs. \a execute ends the call, at once or
/// later. The call fails if the incarnation that it was sent to has ended, unless it is late
/// and late orders reach the next incarnation.
void arriveAtBackend(World &world, const CallPtr &call, bool isLate,
                     const std::function<void(const CallPtr &)> &execute)
{
    const ModelBackend &target = backendAt(world, call->agent);
    const bool isOtherIncarnation = target.startedAtMs != call->backendStartedAtMs;
    if (!target.isUp || (isOtherIncarnation && !(isLate && world.lateOrdersReachNextIncarnation))) {
        // The connection closed when the incarnation ended.
        failCallIn(world, 1, call, CallFailure::Unanswered);
        return;
    }
    if (world.nowMs >= target.trouble.hungUntilMs) {
        execute(call);
    }
}

/// Sends a call to the backend server of an agent. Calls \a failed if the call is not answered
/// within \a timeoutMs or fails earlier, unless the agent process has ended meanwhile.
void callBackend(World &world, int agent, std::int64_t timeoutMs,
                 const std::function<void(const CallPtr &)> &execute,
                 const std::function<void(CallFailure)> &failed)
{
    const ModelBackend &target = backendAt(world, agent);
    auto call = std::make_shared<Call>();
    call->agent = agent;
    call->instance = agentAt(world, agent).state.instance;
    call->backendStartedAtMs = target.startedAtMs;
    call->failed = failed;
    if (!target.isUp || world.nowMs < target.trouble.unreachableUntilMs) {
        failCallIn(world, 1, call, CallFailure::NotConnected);
        return;
    }
    failCallIn(world, timeoutMs, call, CallFailure::Unanswered);
    if (target.trouble.refusedShare > 0 && drawChance(world, target.trouble.refusedShare)) {
        failCallIn(world, 2, call, CallFailure::Refused);
        return;
    }
    const CallOutcome callOutcome = drawCallOutcome(world);
    call->isAnswerLost = callOutcome != CallOutcome::Answered;
    if (call->isAnswerLost && world.answersAreLostAtOnce) {
        constexpr std::int64_t MaxFailureDelayMs = 3;
        failCallIn(world, randomBetween(world, 1, MaxFailureDelayMs), call,
                   CallFailure::Unanswered);
    }
    constexpr std::int64_t MinLateMs = 2000;
    constexpr std::int64_t MaxLateMs = 12'000;
    const bool isLate = callOutcome == CallOutcome::ExecutedLate;
    const std::int64_t delayMs = isLate ? randomBetween(world, MinLateMs, MaxLateMs) : 1;
    scheduleEvent(world, delayMs, [&world, call, isLate, execute] {
        arriveAtBackend(world, call, isLate, execute);
    });
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
    const auto handleAnswer = [&world, agent, effect](const Transient::StartAnswer &answer) {
        carryOut(world, agent,
                 Runner::startAnswered(agentAt(world, agent).state, effect.run, effect.start.number,
                                       answer, moment(world)));
    };
    callBackend(
            world, agent, effect.timeoutMs,
            [&world, agent, effect, handleAnswer, sentMs = world.nowMs](const CallPtr &call) {
                Transient::RunStart start = effect.start;
                if (world.lateLeasesCountFromArrival) {
                    start.leaseUntilMs += world.nowMs - sentMs;
                }
                checkLeaving(world, agent, start, sentMs);
                checkEvacuated(world, agent, start, sentMs);
                const Transient::StartAnswer answer = startAtBackend(world, agent, start);
                answerCall(world, call, [handleAnswer, answer] { handleAnswer(answer); });
            },
            [handleAnswer](CallFailure failure) {
                Transient::StartAnswer answer;
                answer.outcome = startOutcomeOf(failure);
                handleAnswer(answer);
            });
}

void carryOutOne(World &world, int agent, const Runner::CallStop &effect)
{
    const std::int64_t fence = agentAt(world, agent).state.fence;
    const auto handleAnswer = [&world, agent, effect](bool accepted) {
        Runner::stopAnswered(agentAt(world, agent).state, effect.task, effect.number, accepted,
                             moment(world));
    };
    callBackend(
            world, agent, StopTimeoutMs,
            [&world, agent, effect, fence, handleAnswer](const CallPtr &call) {
                const bool accepted = applyStop(backendAt(world, agent), effect.task, effect.number,
                                                fence, world.nowMs);
                writeTrace(world, backendAt(world, agent).id,
                           "stop " + effect.task + " number=" + std::to_string(effect.number)
                                   + (accepted ? " accepted" : " fenced"));
                answerCall(world, call, [handleAnswer, accepted] { handleAnswer(accepted); });
            },
            [handleAnswer](CallFailure) { handleAnswer(false); });
}

void answerObserve(World &world, int agent, std::uint64_t observation,
                   const Transient::ObserveAnswer &answer)
{
    carryOut(world, agent,
             Runner::observeAnswered(agentAt(world, agent).state, observation, answer,
                                     moment(world)));
}

/// Answers as soon as there is a new end, or when the wait is over.
void waitForEnds(World &world, const CallPtr &call, const Runner::CallObserve &effect,
                 std::int64_t fence, std::int64_t untilMs)
{
    const int agent = call->agent;
    ModelBackend &backend = backendAt(world, agent);
    if (!backend.isUp || backend.startedAtMs != call->backendStartedAtMs) {
        failCallIn(world, 1, call, CallFailure::Unanswered);
        return;
    }
    advance(backend, world.nowMs);
    const bool isHung = world.nowMs < backend.trouble.hungUntilMs;
    if (isHung || (!hasNewEnds(backend, effect.lastEnd) && world.nowMs < untilMs)) {
        scheduleEvent(world, 1, [&world, call, effect, fence, untilMs] {
            waitForEnds(world, call, effect, fence, untilMs);
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
                const bool shiftsLease =
                        world.lateLeasesCountFromArrival && effect.leaseUntilMs != 0;
                const std::int64_t leaseUntilMs =
                        effect.leaseUntilMs + (shiftsLease ? world.nowMs - sentMs : 0);
                const auto first =
                        applyObserve(backend, fence, effect.lastEnd, leaseUntilMs, world.nowMs);
                if (first.outcome == Transient::ObserveOutcome::Observed && effect.waitMs > 0
                    && backend.startedAtMs == call->backendStartedAtMs) {
                    waitForEnds(world, call, effect, fence, world.nowMs + effect.waitMs);
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
            link.reports.unsent.push_back(effect.state);
        }
    }
}

/// Sends a frame from the agent to the gateway on the present connection. The frame is lost if that
/// connection has been closed or replaced when the gateway handles it.
void sendToGateway(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (link.isSilent || isPartitioned(world, gateway, agent)) {
        return;
    }
    countFrame(world, agentAt(world, agent), frame);
    const std::int64_t passMs = passLink(world, gatewayAt(world, gateway).inboundFreeMs, frame);
    const std::int64_t slowMs = gatewayAt(world, gateway).handlingDelayMs;
    const std::int64_t delayMs = delayInOrder(world, link.gatewayArrivalMs, 2 + passMs + slowMs);
    scheduleEvent(world, delayMs, [&world, gateway, agent, frame, slowMs, number = link.number] {
        SiteGateway &process = gatewayAt(world, gateway);
        if (!process.isUp) {
            return;
        }
        countFrame(world, process, frame);
        const std::int64_t arrivedMs = world.nowMs - slowMs;
        deliver(world, process, [&world, gateway, agent, frame, arrivedMs, number] {
            SiteLink &currentLink = linkOf(world, gateway, agent);
            SiteGateway &target = gatewayAt(world, gateway);
            if (currentLink.number != number || !currentLink.gatewayUp) {
                return;
            }
            Transient::observeOwnDelay(target.state.ownDelay,
                                       static_cast<double>(world.nowMs - arrivedMs));
            currentLink.gatewayLastReceivedMs = world.nowMs;
            if (frame.agentAnnouncement) {
                currentLink.announced = true;
                carryOut(world, gateway,
                         Transient::agentAnnounced(target.state, *frame.agentAnnouncement,
                                                   moment(world), world.random));
            } else if (frame.agentReport && currentLink.announced) {
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
    Frame frame = Runner::makeAnnouncement(agentAt(world, agent).state, link.reports,
                                           link.gatewayInstance, moment(world));
    frame.agentAnnouncement->failureDomain = domainOf(world, agent);
    if (!world.safeguards.cleanStart) {
        frame.agentAnnouncement->clean = true;
    }
    sendToGateway(world, gateway, agent, frame);
}

void carryOutOne(World &world, int agent, const Runner::Announce & /*effect*/)
{
    for (const int gateway : agentAt(world, agent).openGateways) {
        if (!linkOf(world, gateway, agent).gatewayInstance.empty()) {
            announce(world, gateway, agent);
        }
    }
}

void carryOutOne(World & /*world*/, int /*agent*/, const Transient::CountReason & /*effect*/) {}
void carryOutOne(World & /*world*/, int /*agent*/, const Transient::LogLine & /*effect*/) {}

void carryOut(World &world, int agent, const Runner::Effects &effects)
{
    for (const Runner::Effect &effect : effects) {
        if (const auto *logLine = std::get_if<Transient::LogLine>(&effect)) {
            writeTrace(world, agentAt(world, agent).state.instance, *logLine);
            world.lostGateways += logLine->event == "gateway_lost" ? 1 : 0;
        }
        std::visit([&world, agent](const auto &one) { carryOutOne(world, agent, one); }, effect);
    }
}

/// The time of the agent's steady clock that a gateway repeats, where that clock has stood still
/// since, on the clock of the world.
std::int64_t echoAt(const SiteAgent &agent, std::int64_t echoMs)
{
    return echoMs != 0 && echoMs <= agent.suspendedAtMs ? echoMs + agent.uncountedMs : echoMs;
}

void handleFrameAtAgent(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteAgent &process = agentAt(world, agent);
    link.agentLastReceivedMs = world.nowMs;
    if (frame.gatewayAnnouncement) {
        const std::string &instance = frame.gatewayAnnouncement->gateway.instance;
        if (frame.gatewayAnnouncement->evacuations) {
            carryOut(world, agent,
                     Runner::evacuationsTold(process.state, *frame.gatewayAnnouncement->evacuations,
                                             instance, moment(world)));
        }
        Transient::confirmEvacuations(process.state.evacuations, *frame.gatewayAnnouncement,
                                      moment(world));
        Transient::addGateways(process.discovery, frame.gatewayAnnouncement->others, moment(world));
        link.reports.loadIntervalMs = frame.gatewayAnnouncement->loadIntervalMs.value_or(0);
        if (!link.gatewayInstance.empty()) {
            Runner::grantReceived(process.state, instance,
                                  echoAt(process, frame.gatewayAnnouncement->echoMs));
            return;
        }
        link.gatewayInstance = instance;
        Transient::addAnnouncedGateway(process.discovery, frame.gatewayAnnouncement->gateway,
                                       moment(world));
        Transient::gatewayConnected(process.discovery, addressOfGateway(world, gateway),
                                    moment(world));
        process.disconnectedGateways.erase(instance);
        announce(world, gateway, agent);
        const auto recentEnds = process.state.recentEnds.find(instance);
        if (recentEnds != process.state.recentEnds.end()) {
            for (const Runner::RecentEnd &end : recentEnds->second) {
                link.reports.unsent.push_back(end.state);
            }
        }
    } else if (frame.taskOrders && !link.gatewayInstance.empty()) {
        Schema::TaskOrders orders = *frame.taskOrders;
        orders.echoMs = echoAt(process, orders.echoMs);
        carryOut(
                world, agent,
                Runner::ordersReceived(process.state, link.gatewayInstance, orders, moment(world)));
    } else if (frame.withdrawTasks && !link.gatewayInstance.empty()) {
        carryOut(world, agent,
                 Runner::withdrawReceived(process.state, link.gatewayInstance, *frame.withdrawTasks,
                                          moment(world)));
    }
}

void sendToAgent(World &world, int gateway, int agent, const Frame &frame)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (link.isSilent || isPartitioned(world, gateway, agent) || !link.gatewayUp) {
        return;
    }
    countFrame(world, gatewayAt(world, gateway), frame);
    const std::int64_t passMs = passLink(world, gatewayAt(world, gateway).outboundFreeMs, frame);
    const std::int64_t delayMs = delayInOrder(world, link.agentArrivalMs, 2 + passMs);
    scheduleEvent(world, delayMs, [&world, gateway, agent, frame, number = link.number] {
        SiteAgent &process = agentAt(world, agent);
        if (!process.isUp) {
            return;
        }
        countFrame(world, process, frame);
        deliver(world, process, [&world, gateway, agent, frame, number] {
            const SiteLink &currentLink = linkOf(world, gateway, agent);
            if (currentLink.number == number && currentLink.agentUp) {
                handleFrameAtAgent(world, gateway, agent, frame);
            }
        });
    });
}

/// Key of a connection between gateways in Transient::Forwarding.
std::string peerKey(int other, const SitePeer &peer)
{
    return std::to_string(other) + '#' + std::to_string(peer.number);
}

void sendHeartbeat(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteGateway &process = gatewayAt(world, gateway);
    Frame frame;
    frame.type = FrameType::GatewayAnnouncement;
    frame.gatewayAnnouncement =
            Transient::makeHeartbeat(process.self, process.discovery,
                                     process.state.fleet.evacuations, link.told, moment(world));
    const Transient::AgentView *view =
            link.announced ? Transient::findAgent(process.state.fleet,
                                                  agentAt(world, agent).state.instance)
                           : nullptr;
    frame.gatewayAnnouncement->echoMs = view == nullptr ? 0 : view->load.sentMs;
    if (view != nullptr) {
        frame.gatewayAnnouncement->loadIntervalMs =
                Transient::loadIntervalMs(process.state.capacity, process.openAgents.size());
    }
    sendToAgent(world, gateway, agent, frame);
}

void answerCaller(World &world, const Transient::AnswerCaller &answer)
{
    for (Caller &caller : world.callers) {
        if (caller.token != answer.token || caller.gateway < 0) {
            continue;
        }
        if (answer.job != caller.job) {
            reportViolation(world,
                            "answer to " + answer.job + " was sent to the caller of " + caller.job);
        }
        caller.isAnswered = true;
        caller.gateway = -1;
        caller.result = answer.result;
        caller.answeredMs = world.nowMs;
        const bool isRefused = answer.result.outcome == Transient::JobOutcome::Refused;
        if (isRefused && caller.attempts == 1) {
            world.finallyRefused.insert(caller.job);
            if (world.begunJobs.count(caller.job) != 0) {
                reportViolation(world, "job was refused after a task of it started: " + caller.job);
            }
        }
        return;
    }
}

void carryOutOne(World &world, int gateway, const Transient::SendToAgent &effect)
{
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        if (world.agents[agent].state.instance == effect.agent) {
            if (effect.frame.taskOrders) {
                linkOf(world, gateway, static_cast<int>(agent)).told.sentMs = world.nowMs;
            }
            sendToAgent(world, gateway, static_cast<int>(agent), effect.frame);
        }
    }
}

void carryOutOne(World &world, int gateway, const Transient::AnswerCaller &effect)
{
    if (const auto forwarded =
                Transient::answerForwarded(gatewayAt(world, gateway).state, effect)) {
        carryOut(world, gateway, *forwarded);
        return;
    }
    answerCaller(world, effect);
}

void carryOutOne(World &world, int gateway, const Transient::SendToGateway &effect)
{
    world.forwarded += effect.frame.forwardedJob ? 1 : 0;
    for (const auto &[other, peer] : gatewayAt(world, gateway).peers) {
        if (peerKey(other, peer) == effect.peer) {
            sendFrameToPeer(world, gateway, other, effect.frame);
            return;
        }
    }
    carryOut(
            world, gateway,
            Transient::handlePeerLost(gatewayAt(world, gateway).state, effect.peer, moment(world)));
}

void carryOut(World &world, int gateway, const Transient::Effects &effects)
{
    for (const Transient::Effect &effect : effects) {
        if (const auto *logLine = std::get_if<Transient::LogLine>(&effect)) {
            writeTrace(world, gatewayAt(world, gateway).instance, *logLine);
        }
        std::visit([&world, gateway](const auto &one) { carryOutOne(world, gateway, one); },
                   effect);
    }
}

void forgetClosedLink(World &world, int gateway, int agent)
{
    const SiteLink &link = linkOf(world, gateway, agent);
    if (!link.agentUp && !link.gatewayUp) {
        gatewayAt(world, gateway).openAgents.erase(agent);
    }
}

void closeAgentEnd(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    if (!link.agentUp) {
        return;
    }
    SiteAgent &process = agentAt(world, agent);
    link.agentUp = false;
    process.openGateways.erase(gateway);
    Transient::dialEnded(process.discovery, addressOfGateway(world, gateway), moment(world));
    if (link.reports.releasedMs && !Runner::hasRuns(process.state, link.gatewayInstance)) {
        Runner::gatewayReleased(process.state, link.gatewayInstance);
    } else if (!link.gatewayInstance.empty()) {
        process.disconnectedGateways[link.gatewayInstance] = world.nowMs;
    }
    link.gatewayInstance.clear();
    link.reports = Runner::GatewayReports{};
    forgetClosedLink(world, gateway, agent);
}

void closeGatewayEnd(World &world, int gateway, int agent)
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
    forgetClosedLink(world, gateway, agent);
}

/// One end closes the connection. The other end is notified after all that was sent before, unless
/// the connection is silent or partitioned.
void closeLink(World &world, int gateway, int agent, bool byAgent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    const bool reachesPeer = !link.isSilent && !isPartitioned(world, gateway, agent);
    const std::uint64_t number = link.number;
    if (byAgent) {
        closeAgentEnd(world, gateway, agent);
    } else {
        closeGatewayEnd(world, gateway, agent);
    }
    if (!reachesPeer) {
        return;
    }
    const std::int64_t delayMs =
            delayInOrder(world, byAgent ? link.gatewayArrivalMs : link.agentArrivalMs, 2);
    scheduleEvent(world, delayMs, [&world, gateway, agent, byAgent, number] {
        if (linkOf(world, gateway, agent).number != number) {
            return;
        }
        if (byAgent && gatewayAt(world, gateway).isUp) {
            deliver(world, gatewayAt(world, gateway), [&world, gateway, agent, number] {
                if (linkOf(world, gateway, agent).number == number) {
                    closeGatewayEnd(world, gateway, agent);
                }
            });
        } else if (!byAgent && agentAt(world, agent).isUp) {
            deliver(world, agentAt(world, agent), [&world, gateway, agent, number] {
                if (linkOf(world, gateway, agent).number == number) {
                    closeAgentEnd(world, gateway, agent);
                }
            });
        }
    });
}

void dial(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteGateway &target = gatewayAt(world, gateway);
    if (!target.isUp || world.nowMs < target.frozenUntilMs
        || isPartitioned(world, gateway, agent)) {
        Transient::dialEnded(agentAt(world, agent).discovery, addressOfGateway(world, gateway),
                             moment(world));
        return;
    }
    if (link.gatewayUp) {
        // The gateway still has the previous connection. It closes it and treats the agent as newly
        // connected.
        closeGatewayEnd(world, gateway, agent);
    }
    link = SiteLink{};
    target.openAgents.insert(agent);
    agentAt(world, agent).openGateways.insert(gateway);
    link.number = ++world.lastNumber;
    link.agentUp = true;
    link.gatewayUp = true;
    link.agentLastReceivedMs = world.nowMs;
    link.gatewayLastReceivedMs = world.nowMs;
    sendHeartbeat(world, gateway, agent);
}

bool canConnect(const World &world, int from, int to)
{
    const SiteGateway &target = world.gateways[static_cast<std::size_t>(to)];
    return target.isUp && world.nowMs >= target.frozenUntilMs
           && world.gatewayPartitions.count({from, to}) == 0;
}

/// A frozen gateway handles the loss when it runs again.
void losePeer(World &world, int gateway, const std::string &key)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (!process.isUp) {
        return;
    }
    deliver(world, process, [&world, gateway, key] {
        carryOut(world, gateway,
                 Transient::handlePeerLost(gatewayAt(world, gateway).state, key, moment(world)));
    });
}

/// Ends the connection at one gateway. Returns its number, or 0 if there is none.
std::uint64_t closePeerEnd(World &world, int gateway, int peer)
{
    SiteGateway &process = gatewayAt(world, gateway);
    const auto found = process.peers.find(peer);
    if (found == process.peers.end()) {
        return 0;
    }
    const SitePeer closed = found->second;
    process.peers.erase(found);
    losePeer(world, gateway, peerKey(peer, closed));
    if (closed.isDialled) {
        Transient::dialEnded(process.discovery, addressOfGateway(world, peer), moment(world));
    }
    return closed.number;
}

/// Ends the connection at \a gateway; the peer is notified after 2 ms, unless it is cut off.
void closePeer(World &world, int gateway, int peer)
{
    const std::uint64_t number = closePeerEnd(world, gateway, peer);
    if (number == 0 || world.gatewayPartitions.count({gateway, peer}) != 0) {
        return;
    }
    scheduleEvent(world, 2, [&world, gateway, peer, number] {
        SiteGateway &process = gatewayAt(world, peer);
        const auto found = process.peers.find(gateway);
        if (process.isUp && found != process.peers.end() && found->second.number == number) {
            closePeerEnd(world, peer, gateway);
        }
    });
}

void connectPeers(World &world, int from, int to)
{
    SiteGateway &dialler = gatewayAt(world, from);
    SiteGateway &target = gatewayAt(world, to);
    Transient::gatewayConnected(dialler.discovery, addressOfGateway(world, to), moment(world));
    const auto accepted = dialler.peers.find(to);
    const auto atTarget = target.peers.find(from);
    if (accepted != dialler.peers.end() && atTarget != target.peers.end()
        && accepted->second.number == atTarget->second.number) {
        // A connection in each direction counts as one.
        accepted->second.isDialled = true;
        return;
    }
    if (accepted != dialler.peers.end()) {
        losePeer(world, from, peerKey(to, accepted->second));
    }
    closePeerEnd(world, to, from);
    SitePeer peer;
    peer.number = ++world.lastNumber;
    peer.lastReceivedMs = world.nowMs;
    target.peers[from] = peer;
    peer.isDialled = true;
    dialler.peers[to] = peer;
}

void handleForwardingFrame(World &world, int to, const std::string &peer, const Frame &frame)
{
    Transient::GatewayState &state = gatewayAt(world, to).state;
    if (frame.forwardedJob) {
        carryOut(world, to,
                 Transient::forwardedJobReceived(state, peer, *frame.forwardedJob, moment(world),
                                                 world.random));
    } else if (frame.forwardedResult) {
        ++world.forwardedResults;
        carryOut(world, to,
                 Transient::forwardedResultReceived(state, peer, *frame.forwardedResult,
                                                    moment(world), world.random));
    } else {
        carryOut(world, to,
                 Transient::forwardedCancelReceived(state, peer, *frame.forwardedCancel,
                                                    moment(world)));
    }
}

void handleFrameAtPeer(World &world, int from, int to, const Frame &frame)
{
    SiteGateway &receiver = gatewayAt(world, to);
    SitePeer &peer = receiver.peers.at(from);
    peer.lastReceivedMs = world.nowMs;
    if (!frame.gatewayAnnouncement) {
        handleForwardingFrame(world, to, peerKey(from, peer), frame);
        return;
    }
    const Schema::GatewayAnnouncement &announcement = *frame.gatewayAnnouncement;
    Transient::spareAnnounced(receiver.state, peerKey(from, peer), announcement, moment(world));
    Transient::addAnnouncedGateway(receiver.discovery, announcement.gateway, moment(world));
    Transient::addGateways(receiver.discovery, announcement.others, moment(world));
    if (announcement.evacuations) {
        carryOut(world, to,
                 Transient::evacuationsTold(receiver.state, *announcement.evacuations,
                                            announcement.gateway.instance, moment(world),
                                            world.random));
    }
    Transient::confirmEvacuations(receiver.state.fleet.evacuations, announcement, moment(world));
    if (announcement.orphanLists) {
        Transient::receiveLists(receiver.state.orphanRelay, peer.toldOrphans,
                                *announcement.orphanLists, moment(world));
    }
}

void sendToPeer(World &world, int from, int to)
{
    SiteGateway &sender = gatewayAt(world, from);
    SitePeer &peer = sender.peers.at(to);
    Frame frame;
    frame.type = FrameType::GatewayAnnouncement;
    frame.gatewayAnnouncement =
            Transient::makeHeartbeat(sender.self, sender.discovery, sender.state.fleet.evacuations,
                                     peer.told, moment(world));
    auto lists = Transient::listsFor(sender.state.orphanRelay, peer.toldOrphans, moment(world));
    if (!lists.empty() && world.safeguards.relays) {
        frame.gatewayAnnouncement->orphanLists = std::move(lists);
    }
    Transient::addSpare(*frame.gatewayAnnouncement, sender.state, peerKey(to, peer), moment(world));
    sendFrameToPeer(world, from, to, frame);
}

void sendFrameToPeer(World &world, int from, int to, const Frame &frame)
{
    SiteGateway &sender = gatewayAt(world, from);
    countFrame(world, sender, frame);
    if (world.gatewayPartitions.count({from, to}) != 0) {
        return;
    }
    const std::uint64_t number = sender.peers.at(to).number;
    scheduleEvent(world, 2, [&world, from, to, frame, number] {
        SiteGateway &receiver = gatewayAt(world, to);
        if (!receiver.isUp) {
            return;
        }
        countFrame(world, receiver, frame);
        deliver(world, receiver, [&world, from, to, frame, number] {
            const auto &peers = gatewayAt(world, to).peers;
            const auto found = peers.find(from);
            if (found != peers.end() && found->second.number == number) {
                handleFrameAtPeer(world, from, to, frame);
            }
        });
    });
}

std::int64_t nextHeartbeatToPeerMs(const SiteGateway &gateway, const SitePeer &peer)
{
    return std::min(
            Transient::nextHeartbeatMs(peer.told, gateway.discovery,
                                       gateway.state.fleet.evacuations, HeartbeatMs),
            Transient::nextListsMs(gateway.state.orphanRelay, peer.toldOrphans, peer.told.sentMs));
}

/// Dials other gateways, sends heartbeats to those connected, and closes silent and surplus
/// connections.
void updatePeers(World &world, int gateway)
{
    SiteGateway &process = gatewayAt(world, gateway);
    for (const std::string &address : Transient::gatewaysToDial(process.discovery, moment(world))) {
        const int target = gatewayWith(address);
        if (canConnect(world, gateway, target)) {
            connectPeers(world, gateway, target);
        } else {
            Transient::dialEnded(process.discovery, address, moment(world));
        }
    }
    std::vector<int> closing;
    for (const auto &[other, peer] : process.peers) {
        const bool isSurplus =
                peer.isDialled && world.nowMs % ReleaseIntervalMs == 0
                && Transient::isSurplus(process.discovery, addressOfGateway(world, other));
        if (isSurplus || world.nowMs > peer.lastReceivedMs + SilenceTimeoutMs) {
            closing.push_back(other);
        } else if (world.nowMs >= nextHeartbeatToPeerMs(process, peer)) {
            sendToPeer(world, gateway, other);
        }
    }
    for (const int other : closing) {
        closePeer(world, gateway, other);
    }
}

/// Returns true if the agent has closed the connection.
bool updateRelease(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteAgent &process = agentAt(world, agent);
    const bool isSurplus =
            Transient::isSurplus(process.discovery, addressOfGateway(world, gateway));
    const Runner::ReleaseStep step = Runner::nextReleaseStep(
            process.state, link.reports, link.gatewayInstance, isSurplus, moment(world));
    if (step == Runner::ReleaseStep::Announce) {
        announce(world, gateway, agent);
    } else if (step == Runner::ReleaseStep::Close) {
        closeLink(world, gateway, agent, true);
        return true;
    }
    return false;
}

void updateLink(World &world, int gateway, int agent)
{
    SiteLink &link = linkOf(world, gateway, agent);
    SiteAgent &process = agentAt(world, agent);
    SiteGateway &peer = gatewayAt(world, gateway);
    const bool agentRuns = process.isUp && world.nowMs >= process.frozenUntilMs;
    const bool gatewayRuns = peer.isUp && world.nowMs >= peer.frozenUntilMs;
    if (agentRuns && link.agentUp && world.nowMs > link.agentLastReceivedMs + SilenceTimeoutMs) {
        closeLink(world, gateway, agent, true);
    }
    if (gatewayRuns && link.gatewayUp
        && world.nowMs > link.gatewayLastReceivedMs + SilenceTimeoutMs) {
        closeLink(world, gateway, agent, false);
    }
    if (gatewayRuns && link.gatewayUp
        && world.nowMs >= Transient::nextHeartbeatMs(link.told, peer.discovery,
                                                     peer.state.fleet.evacuations, HeartbeatMs)) {
        sendHeartbeat(world, gateway, agent);
    }
    if (!agentRuns || !link.agentUp || link.gatewayInstance.empty()) {
        return;
    }
    if (world.nowMs % ReleaseIntervalMs == 0 && updateRelease(world, gateway, agent)) {
        return;
    }
    if (Runner::isReportDue(process.state, link.reports, process.openGateways.size(),
                            moment(world))) {
        sendToGateway(world, gateway, agent,
                      Runner::makeReport(process.state, link.reports, link.gatewayInstance,
                                         moment(world)));
    }
}

template <typename Process>
void processHeldEvents(const World &world, Process &process)
{
    if (world.nowMs < process.frozenUntilMs || process.heldEvents.empty()) {
        return;
    }
    const std::vector<std::function<void()>> heldEvents = std::move(process.heldEvents);
    process.heldEvents.clear();
    for (const std::function<void()> &event : heldEvents) {
        if (process.isUp) {
            event();
        }
    }
}

Transient::EvacuationRecords readOperators(const World &world,
                                           const std::optional<std::int64_t> &sinceVersion)
{
    const OperatorStore &store = world.store;
    const bool isComplete = !sinceVersion || *sinceVersion < store.historyFrom;
    Transient::EvacuationRecords records;
    for (const auto &[failureDomain, record] : store.evacuations) {
        if (isComplete ? record.inForce : record.version > *sinceVersion) {
            Schema::DomainEvacuation evacuation;
            evacuation.failureDomain = failureDomain;
            evacuation.version = record.version;
            evacuation.inForce = record.inForce;
            records.evacuations.push_back(std::move(evacuation));
        }
    }
    records.version = store.version;
    records.isComplete = isComplete;
    return records;
}

/// The gateway follows the operators' records, as long as it reaches the store.
void followOperators(World &world, int gateway)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (world.nowMs < world.store.downUntilMs || world.store.gatewaysCutOff.count(gateway) != 0) {
        return;
    }
    if (process.operatorsVersion != world.store.version) {
        carryOut(world, gateway,
                 Transient::evacuationsRead(process.state,
                                            readOperators(world, process.operatorsVersion),
                                            moment(world), world.random));
        process.operatorsVersion = world.store.version;
    }
    Transient::confirmEvacuations(process.state.fleet.evacuations, world.nowMs);
}

void readOperatorsIfDue(World &world, int index)
{
    SiteAgent &agent = agentAt(world, index);
    const bool isDue = Transient::takeOperatorsReadDue(
            agent.operatorsReading, agent.state.evacuations, moment(world), agent.random);
    if (isDue && world.safeguards.agentsReadStore && world.nowMs >= world.store.downUntilMs) {
        carryOut(world, index,
                 Runner::evacuationsRead(agent.state, readOperators(world, std::nullopt),
                                         world.nowMs, moment(world)));
    }
}

void setEvacuation(World &world, int domain, bool inForce)
{
    if (world.nowMs < world.store.downUntilMs) {
        return;
    }
    const std::string failureDomain = domainOf(world, domain);
    world.store.evacuations[failureDomain] = {++world.store.version, inForce, world.nowMs};
    writeTrace(world, "operator", (inForce ? "evacuates " : "takes back ") + failureDomain);
}

void updateAgent(World &world, int index)
{
    SiteAgent &agent = agentAt(world, index);
    if (!agent.isUp || world.nowMs < agent.frozenUntilMs) {
        return;
    }
    for (auto entry = agent.disconnectedGateways.begin();
         entry != agent.disconnectedGateways.end();) {
        if (world.nowMs < entry->second + ReconnectGraceMs) {
            ++entry;
            continue;
        }
        const std::string lost = entry->first;
        entry = agent.disconnectedGateways.erase(entry);
        carryOut(world, index, Runner::gatewayLost(agent.state, lost, moment(world)));
    }
    for (const std::string &address : Transient::gatewaysToDial(agent.discovery, moment(world))) {
        dial(world, gatewayWith(address), index);
    }
    readOperatorsIfDue(world, index);
    Transient::ignoreDomains(agent.discovery, Transient::anyEvacuated(agent.state.evacuations));
    carryOut(world, index, Runner::tick(agent.state, moment(world)));
}

void scheduleResubmission(World &world, std::size_t number);

/// The gateway learns that a caller's connection has ended.
void endConnection(World &world, int gateway, const std::string &token)
{
    deliver(world, gatewayAt(world, gateway), [&world, gateway, token] {
        SiteGateway &process = gatewayAt(world, gateway);
        if (process.isUp) {
            carryOut(world, gateway,
                     Transient::handleCallerDisconnected(process.state, token, moment(world)));
        }
    });
}

void updateCallers(World &world)
{
    for (std::size_t number = 0; number < world.callers.size(); ++number) {
        Caller &caller = world.callers[number];
        if (caller.gateway >= 0 && world.nowMs >= caller.submittedMs + caller.remainingTimeoutMs) {
            const int gateway = caller.gateway;
            caller.gateway = -1;
            endConnection(world, gateway, caller.token);
            scheduleResubmission(world, number);
        }
    }
}

/// The caller has closed the connection of this submission.
bool hasLeft(const Caller &caller, const std::string &token)
{
    return caller.gateway < 0 || caller.token != token;
}

void handleSubmission(World &world, std::size_t number, int gateway,
                      const Transient::Submission &submission)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (!process.isUp) {
        return;
    }
    if (world.safeguards.refusesLeftCallers && hasLeft(world.callers[number], submission.token)) {
        writeTrace(world, process.instance, "refuses a left caller " + submission.request.id);
        return;
    }
    carryOut(world, gateway,
             Transient::jobSubmitted(process.state, submission, moment(world), world.random));
}

Transient::Submission submissionOf(const World &world, const Caller &caller)
{
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
    return submission;
}

void sendSubmission(World &world, std::size_t number, int gateway)
{
    Caller &caller = world.callers[number];
    SiteGateway &target = gatewayAt(world, gateway);
    const bool isReady =
            target.state.fleet.evacuations.readMs || !world.safeguards.knowsBeforeServing;
    if (!target.isUp || !isReady) {
        scheduleResubmission(world, number);
        return;
    }
    writeTrace(world, "caller", "submits " + caller.job + " at " + target.instance);
    caller.gateway = gateway;
    caller.submittedMs = world.nowMs;
    caller.token = std::to_string(number) + '-' + std::to_string(++caller.attempts);
    deliver(world, target, [&world, number, gateway, submission = submissionOf(world, caller)] {
        handleSubmission(world, number, gateway, submission);
    });
}

void scheduleResubmission(World &world, std::size_t number)
{
    constexpr int MaxAttempts = 4;
    if (world.callers[number].attempts >= MaxAttempts) {
        return;
    }
    scheduleEvent(world, ResubmitMs, [&world, number] {
        if (!world.callers[number].isAnswered && world.callers[number].gateway < 0) {
            const auto last = static_cast<std::int64_t>(world.gateways.size()) - 1;
            sendSubmission(world, number, static_cast<int>(randomBetween(world, 0, last)));
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
    // The sequence restarts with each incarnation.
    announcement.sequence = world.nowMs + 2 - backend.startedAtMs;
    return announcement;
}

/// The agent takes note of the announcement, and acknowledges it.
void handleAnnouncement(World &world, int backend,
                        const Transient::BackendAnnouncement &announcement)
{
    carryOut(world, backend,
             Runner::backendAnnounced(agentAt(world, backend).state, announcement, moment(world)));
    ModelBackend &target = backendAt(world, backend);
    const bool isPresent = target.startedAtMs == announcement.startedAtMs;
    if (announcement.leaving && isPresent && !target.leavingKnownMs) {
        target.leavingKnownMs = world.nowMs;
    }
}

void announceBackend(World &world, int backend, const Transient::BackendAnnouncement &announcement)
{
    SiteAgent &agent = agentAt(world, backend);
    if (!agent.isUp) {
        return;
    }
    deliver(world, agent,
            [&world, backend, announcement] { handleAnnouncement(world, backend, announcement); });
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
    // A process that resumes reads its sockets before it checks the time.
    for (SiteGateway &gateway : world.gateways) {
        processHeldEvents(world, gateway);
    }
    for (SiteAgent &agent : world.agents) {
        processHeldEvents(world, agent);
    }
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteGateway &process = world.gateways[gateway];
        if (process.isUp && world.nowMs >= process.frozenUntilMs) {
            followOperators(world, static_cast<int>(gateway));
            process.state.shared.knownGateways = Transient::knownGateways(process.discovery) + 1;
            carryOut(world, static_cast<int>(gateway),
                     Transient::tick(process.state, moment(world), world.random));
            updatePeers(world, static_cast<int>(gateway));
        }
        const std::vector<int> openAgents(process.openAgents.begin(), process.openAgents.end());
        for (const int agent : openAgents) {
            updateLink(world, static_cast<int>(gateway), agent);
        }
    }
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        updateAgent(world, static_cast<int>(agent));
        const ModelBackend &backend = world.backends[agent];
        if (backend.isUp && (world.nowMs - backend.startedAtMs) % AnnounceIntervalMs == 0) {
            announceBackend(world, static_cast<int>(agent),
                            announcementOf(world, static_cast<int>(agent)));
        }
    }
    updateCallers(world);
}

} // namespace

std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents,
                                 const Safeguards &safeguards, const Neighbourhood &neighbourhood)
{
    auto world = std::make_unique<World>();
    world->safeguards = safeguards;
    world->neighbourhood = neighbourhood;
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
    sendSubmission(world, world.callers.size() - 1, gateway);
    return world.callers.size() - 1;
}

std::size_t submitHeldUp(World &world, int gateway, const ModelWork &work, int tasks,
                         std::int64_t remainingTimeoutMs, std::int64_t heldUpMs,
                         std::int64_t brokenAfterMs)
{
    const std::size_t number = world.callers.size();
    Caller &caller = world.callers.emplace_back();
    caller.job = "job" + std::to_string(number);
    caller.work = work;
    caller.tasks = tasks;
    caller.remainingTimeoutMs = remainingTimeoutMs;
    caller.token = std::to_string(number) + '-' + std::to_string(++caller.attempts);
    writeTrace(world, "caller", "submits " + caller.job + ", which is held up");
    scheduleEvent(world, brokenAfterMs, [&world, number] { scheduleResubmission(world, number); });
    scheduleEvent(
            world, heldUpMs, [&world, number, gateway, submission = submissionOf(world, caller)] {
                deliver(world, gatewayAt(world, gateway), [&world, number, gateway, submission] {
                    handleSubmission(world, number, gateway, submission);
                });
                endConnection(world, gateway, submission.token);
            });
    return number;
}

void leave(World &world, std::size_t caller)
{
    Caller &leaving = world.callers[caller];
    constexpr int ExhaustedAttempts = 1000;
    leaving.attempts += ExhaustedAttempts;
    leaving.submittedMs = world.nowMs - leaving.remainingTimeoutMs;
}

void killGateway(World &world, int gateway, bool closesConnections)
{
    SiteGateway &process = gatewayAt(world, gateway);
    if (!process.isUp) {
        return;
    }
    process.isUp = false;
    writeTrace(world, process.instance, closesConnections ? "killed" : "powered off");
    for (const auto &[other, peer] : std::map<int, SitePeer>(process.peers)) {
        if (closesConnections) {
            closePeer(world, gateway, other);
        }
    }
    process.peers.clear();
    process.heldEvents.clear();
    for (std::size_t agent = 0; agent < world.agents.size(); ++agent) {
        SiteLink &link = linkOf(world, gateway, static_cast<int>(agent));
        link.isSilent = link.isSilent || !closesConnections;
        link.announced = false;
        closeLink(world, gateway, static_cast<int>(agent), false);
        link.gatewayUp = false;
    }
    for (std::size_t number = 0; number < world.callers.size(); ++number) {
        if (world.callers[number].gateway == gateway) {
            world.callers[number].gateway = -1;
            scheduleResubmission(world, number);
        }
    }
}

namespace {

void setProcessors(World &world, int gateway)
{
    constexpr double WeakProcessors = 0.12;
    if (world.busyGateways == 0) {
        return;
    }
    Transient::GatewayState &state = gatewayAt(world, gateway).state;
    const bool isBusy = gateway < world.busyGateways;
    state.capacity.processors = isBusy ? WeakProcessors : 1;
    state.forwarding.use.usedShare = isBusy ? 1 : 0;
}

} // namespace

void makeBusy(World &world, int gateways)
{
    world.busyGateways = gateways;
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        setProcessors(world, static_cast<int>(gateway));
    }
}

void startGateway(World &world, int gateway)
{
    SiteGateway &process = gatewayAt(world, gateway);
    const std::set<int> openAgents = process.openAgents;
    process = SiteGateway{};
    process.openAgents = openAgents;
    process.instance =
            "gateway-" + std::to_string(gateway) + '-' + std::to_string(++world.lastNumber);
    process.state.orphanRelay.self = process.instance;
    process.state.startedMs = world.nowMs;
    process.state.shared.fromGateways = world.neighbourhood.sharedFromGateways;
    process.state.capacity.linkBytesPerMs = world.linkBytesPerMs;
    setProcessors(world, gateway);
    process.self = memberOf(world, process.instance, gateway);
    process.discovery = Transient::makeDiscovery(
            {"gateway-" + std::to_string(gateway), process.self.failureDomain,
             Transient::addressOf(process.self), seedsOf(world),
             world.neighbourhood.gatewaysOfGateway});
    if (!world.safeguards.settling) {
        process.state.times.settleMs = 0;
    }
    followOperators(world, gateway);
}

void freezeGateway(World &world, int gateway, std::int64_t forMs)
{
    gatewayAt(world, gateway).frozenUntilMs = world.nowMs + forMs;
}

void killAgent(World &world, int agent, bool closesConnections)
{
    SiteAgent &process = agentAt(world, agent);
    if (!process.isUp) {
        return;
    }
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteLink &link = linkOf(world, static_cast<int>(gateway), agent);
        link.isSilent = link.isSilent || !closesConnections;
        closeLink(world, static_cast<int>(gateway), agent, true);
    }
    process.isUp = false;
    writeTrace(world, process.state.instance, closesConnections ? "killed" : "powered off");
    process.heldEvents.clear();
}

void startAgent(World &world, int agent)
{
    SiteAgent &process = agentAt(world, agent);
    const std::int64_t previousFence = process.state.fence;
    process = SiteAgent{};
    Runner::RunnerState &state = process.state;
    state.name = "agent-" + std::to_string(agent);
    process.discovery = Transient::makeDiscovery({state.name,
                                                  domainOf(world, agent),
                                                  {},
                                                  seedsOf(world),
                                                  world.neighbourhood.gatewaysOfAgent});
    state.instance = state.name + '-' + std::to_string(++world.lastNumber);
    state.service = Service;
    if (world.safeguards.agentsRefuse) {
        state.failureDomain = domainOf(world, agent);
    }
    process.operatorsReading = Transient::scheduleOperatorsReading(EvacuateMs, moment(world));
    process.random.seed(world.lastNumber);
    state.fence = world.safeguards.fence ? world.nowMs + world.wallClockStepMs : previousFence;
    if (!world.safeguards.grants) {
        state.times.grantMs = Never;
    }
    if (!world.safeguards.orphans) {
        state.times.suspectMs = Never;
    }
    handleAnnouncement(world, agent, announcementOf(world, agent));
}

void freezeAgent(World &world, int agent, std::int64_t forMs)
{
    agentAt(world, agent).frozenUntilMs = world.nowMs + forMs;
}

/// A clock that stands still for \a forMs is behind that of the world afterwards. Instead, all that
/// the agent has noted by its clock is put off by as much.
void suspendAgent(World &world, int agent, std::int64_t forMs)
{
    freezeAgent(world, agent, forMs);
    SiteAgent &process = agentAt(world, agent);
    process.suspendedAtMs = world.nowMs;
    process.uncountedMs = world.safeguards.countsSuspensions ? 0 : forMs;
    const auto putOff = [&process](std::int64_t &ms) { ms += ms == 0 ? 0 : process.uncountedMs; };
    Runner::RunnerState &state = process.state;
    for (auto &[gateway, untilMs] : state.grants) {
        putOff(untilMs);
    }
    for (auto &[id, run] : state.runs) {
        for (std::int64_t *ms :
             {&run.targetMs, &run.deadlineMs, &run.orderedMs, &run.notBeforeMs, &run.startSentMs,
              &run.earlierStartSentMs, &run.startedMs, &run.startAnsweredMs, &run.progressSeenMs,
              &run.stopRequestedMs, &run.nextStopMs, &run.stopAcceptedMs}) {
            putOff(*ms);
        }
    }
    for (auto &[id, observation] : state.pendingObservations) {
        putOff(observation.sentMs);
    }
    for (std::int64_t *ms : {&state.silentSinceMs, &state.leaseGrantSentMs, &state.lossyUntilMs,
                             &state.nextObserveMs}) {
        putOff(*ms);
    }
    if (state.clockOffsetMs) {
        *state.clockOffsetMs -= process.uncountedMs;
    }
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        SiteLink &link = linkOf(world, static_cast<int>(gateway), agent);
        putOff(link.agentLastReceivedMs);
        putOff(link.reports.sentMs);
    }
}

void crashBackend(World &world, int backend)
{
    ModelBackend &crashed = backendAt(world, backend);
    writeTrace(world, crashed.id, "crashed");
    crashed.isUp = false;
    crashed.runs.clear();
}

void restartBackend(World &world, int backend)
{
    ModelBackend &restarted = backendAt(world, backend);
    if (restarted.isUp) {
        return;
    }
    restarted.previousAnnouncement = announcementOf(world, backend);
    restart(restarted, world.nowMs, world.backendClockStepMs);
    writeTrace(world, restarted.id, "restarted");
    announceBackend(world, backend, announcementOf(world, backend));
}

void replaceBackend(World &world, int backend)
{
    crashBackend(world, backend);
    restartBackend(world, backend);
}

void announcePreviousIncarnation(World &world, int backend)
{
    const ModelBackend &target = backendAt(world, backend);
    if (target.isUp && target.previousAnnouncement) {
        announceBackend(world, backend, *target.previousAnnouncement);
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
        deliver(world, agent, [&world, backend, id = ending.id] {
            carryOut(world, backend,
                     Runner::backendLeft(agentAt(world, backend).state, id, moment(world)));
        });
    }
    scheduleEvent(world, afterMs, [&world, backend, backendStartedAtMs = ending.startedAtMs] {
        if (backendAt(world, backend).startedAtMs == backendStartedAtMs) {
            crashBackend(world, backend);
        }
    });
}

void resetLink(World &world, int gateway, int agent)
{
    closeLink(world, gateway, agent, true);
}

void cutOffDomain(World &world, int domain)
{
    const int domains = world.neighbourhood.failureDomains;
    const auto isCut = [domain, domains](int left, int right) {
        return (left % domains == domain) != (right % domains == domain);
    };
    const auto gateways = static_cast<int>(world.gateways.size());
    for (int gateway = 0; gateway < gateways; ++gateway) {
        for (int agent = 0; agent < static_cast<int>(world.agents.size()); ++agent) {
            if (isCut(gateway, agent)) {
                world.partitions.insert({gateway, agent});
            }
        }
        for (int other = 0; other < gateways; ++other) {
            if (isCut(gateway, other)) {
                world.gatewayPartitions.insert({gateway, other});
            }
        }
    }
}

void healDomains(World &world)
{
    world.partitions.clear();
    world.gatewayPartitions.clear();
}

void evacuateDomain(World &world, int domain)
{
    setEvacuation(world, domain, true);
}

void takeBackDomain(World &world, int domain)
{
    setEvacuation(world, domain, false);
}

void stopStore(World &world, std::int64_t forMs)
{
    world.store.downUntilMs = std::max(world.store.downUntilMs, world.nowMs + forMs);
}

void dropStoreHistory(World &world)
{
    world.store.historyFrom = world.store.version;
}

void silenceLink(World &world, int gateway, int agent)
{
    linkOf(world, gateway, agent).isSilent = true;
}

} // namespace TransientSite
