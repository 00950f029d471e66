#include "Gateway/TransientDaemon.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "Gateway/TransientCallers.h"
#include "Gateway/TransientControl.h"
#include "Gateway/TransientLinks.h"
#include "Gateway/TransientStore.h"

namespace Gateway {

using Common::LogLevel;

namespace {

/// Part of the stop timeout that is reserved for sending answers: all jobs end this long before the
/// process has to exit.
constexpr std::int64_t AnswerReserveMs = 300;
/// Requests that are handled before messages are looked for again.
constexpr std::size_t MaxRequestsAtOnce = 4;
/// Least time between two looks for heartbeats that are due, while events are handled.
constexpr std::int64_t HeartbeatCheckMs = 25;

} // namespace

/// The control loop: passes each event to the component that handles it, and each effect of a
/// decision to the component that carries it out.
struct TransientDaemon::Implementation
{
    explicit Implementation(Schema::TransientGatewaySettings settings);

    void start();
    bool run();
    void refuseRemainingRequests();
    void stopThreads();

    void on(CallerRequest &event);
    void on(const CallerDisconnected &event) { this->callers.on(event); }
    void on(const Net::LinkUp &event) { this->links.on(event); }
    void on(const Net::LinkDown &event) { this->links.on(event); }
    void on(const Net::FrameArrived &event) { this->links.on(event); }
    void on(const QueuesRead &event) { this->links.takeQueues(event.queues, "store"); }
    void on(const EvacuationsRead &event);
    void on(const OperatorsConfirmed &event);
    void on(const GatewaysRead &event);
    void on(const LearnedTimesRead &event) { this->store.on(event); }
    void on(const TransientStopRequested &event);

    void carryOut(Transient::Effects effects);
    void carryOut(const Transient::SendToAgent &effect) { this->links.sendTo(effect); }
    void carryOut(const Transient::SendToGateway &effect) { this->links.sendTo(effect); }
    void carryOut(const Transient::AnswerCaller &effect);
    void carryOut(const Transient::CountReason &effect);
    void carryOut(const Transient::CountLabels &effect);
    void carryOut(const Transient::ObserveSeconds &effect);
    void carryOut(const Transient::SetGauge &effect);
    void carryOut(const Transient::LogLine &effect);

    void beginEvent();
    void sendHeartbeats();
    void observeProcessors();
    void runPeriodicWork();
    std::int64_t nextWakeMs() const;
    bool isStopComplete() const;

    TransientControl control;
    TransientMailbox mailbox;
    std::int64_t stopDeadlineMs = 0;
    /// When heartbeats that are due were last sent.
    std::int64_t heartbeatsMs = 0;
    /// Number of open jobs that the metrics show; none before the first export.
    std::optional<std::size_t> reportedJobs;

    // Declared last, so that their threads end before the mailbox they post to is destroyed.
    TransientLinks links;
    TransientStore store;
    TransientCallers callers;
};

TransientDaemon::Implementation::Implementation(Schema::TransientGatewaySettings settings)
    : control(std::move(settings))
    , links(this->control, this->mailbox,
            [this](Transient::Effects effects) { this->carryOut(std::move(effects)); })
    , store(this->control, this->mailbox)
    , callers(this->control, this->mailbox,
              [this](Transient::Effects effects) { this->carryOut(std::move(effects)); })
{}

void TransientDaemon::Implementation::start()
{
    this->links.start();
    this->callers.start();
    this->store.start();
    Common::logEvent(LogLevel::Info, "gateway_started",
                     {{"instance", this->control.self.instance},
                      {"caller_port", this->callers.callerPort()},
                      {"seeds", this->control.settings.seeds.size()}});
}

void TransientDaemon::Implementation::stopThreads()
{
    this->callers.stop();
    this->store.stop();
    this->links.stop();
}

bool TransientDaemon::Implementation::run()
{
    while (true) {
        const std::int64_t waitMs = this->nextWakeMs() - Common::currentMoment().steadyMs;
        TransientMailbox::Taken taken = this->mailbox.take(
                std::chrono::milliseconds(std::max<std::int64_t>(waitMs, 0)), MaxRequestsAtOnce);
        for (const TransientMessage &message : taken.messages) {
            this->beginEvent();
            std::visit([this](const auto &event) { this->on(event); }, message);
        }
        for (CallerRequest &request : taken.work) {
            this->beginEvent();
            this->on(request);
        }
        this->control.now = Common::currentMoment();
        this->runPeriodicWork();
        if (this->control.state.isStopping && this->isStopComplete()) {
            this->refuseRemainingRequests();
            return this->callers.openRequests() == 0;
        }
    }
}

/// Reads the clocks, and sends the heartbeats that are due. A process that is short of processor
/// time takes seconds for the events that have piled up; agents that hear nothing for as long give
/// this gateway up, and stop its tasks.
void TransientDaemon::Implementation::beginEvent()
{
    this->control.now = Common::currentMoment();
    if (this->control.now.steadyMs >= this->heartbeatsMs + HeartbeatCheckMs) {
        this->sendHeartbeats();
    }
}

void TransientDaemon::Implementation::sendHeartbeats()
{
    this->control.load.begin(ControlWork::Timers);
    this->heartbeatsMs = this->control.now.steadyMs;
    this->links.sendHeartbeats();
}

/// Refuses the requests that are still in the mailbox and all later ones. Callers use open
/// connections until the process exits, and its servers take some time to stop. Requests that
/// arrive in that time would wait for the control thread, which has ended, and be cut off when the
/// process exits.
void TransientDaemon::Implementation::refuseRemainingRequests()
{
    this->callers.refuseNewRequests();
    const auto all = std::numeric_limits<std::size_t>::max();
    for (const CallerRequest &request :
         this->mailbox.take(std::chrono::milliseconds(0), all).work) {
        this->callers.refuseUnprocessed(request);
    }
}

/// Callers may keep using open connections until the process exits: while there are any, it runs
/// until the stop deadline. Other gateways wait for the results of the jobs that they forwarded.
bool TransientDaemon::Implementation::isStopComplete() const
{
    const bool isIdle = this->callers.isIdle() && this->control.state.forwarding.in.empty();
    return isIdle || this->control.now.steadyMs >= this->stopDeadlineMs;
}

std::int64_t TransientDaemon::Implementation::nextWakeMs() const
{
    constexpr std::int64_t StoppingTickMs = 50;
    const TransientControl &control = this->control;
    const std::int64_t next =
            std::min(Transient::nextWakeMs(control.state, control.now), this->links.nextWakeMs());
    return control.state.isStopping ? std::min(next, control.now.steadyMs + StoppingTickMs) : next;
}

void TransientDaemon::Implementation::on(CallerRequest &event)
{
    this->control.load.begin(ControlWork::Requests);
    this->callers.on(event);
}

void TransientDaemon::Implementation::on(const EvacuationsRead &event)
{
    this->carryOut(Transient::evacuationsRead(this->control.state, event.records, this->control.now,
                                              this->control.random));
}

void TransientDaemon::Implementation::on(const OperatorsConfirmed &event)
{
    constexpr double MsPerSecond = 1000;
    TransientControl &control = this->control;
    control.queuesConfirmedMs = event.steadyMs;
    Transient::confirmEvacuations(control.state.fleet.evacuations, event.steadyMs);
    control.metrics.set("auburntrail_queues_confirmed_timestamp_seconds",
                        static_cast<double>(control.now.wallMs) / MsPerSecond);
}

void TransientDaemon::Implementation::on(const GatewaysRead &event)
{
    Transient::addGateways(this->control.discovery, event.gateways, this->control.now);
}

void TransientDaemon::Implementation::on(const TransientStopRequested & /*event*/)
{
    TransientControl &control = this->control;
    if (control.state.isStopping) {
        return;
    }
    Common::logEvent(
            LogLevel::Info, "stop_requested",
            {{"requests", this->callers.openRequests()}, {"jobs", control.state.jobs.size()}});
    this->stopDeadlineMs = control.now.steadyMs + control.settings.stopTimeoutMs;
    Transient::beginStop(control.state, control.settings.stopTimeoutMs - AnswerReserveMs,
                         control.now);
}

void TransientDaemon::Implementation::carryOut(Transient::Effects effects)
{
    for (Transient::Effect &effect : effects) {
        std::visit([this](const auto &one) { this->carryOut(one); }, effect);
    }
}

void TransientDaemon::Implementation::carryOut(const Transient::AnswerCaller &effect)
{
    if (auto forwarded = Transient::answerForwarded(this->control.state, effect)) {
        this->carryOut(*std::move(forwarded));
    } else {
        this->callers.answer(effect);
    }
}

void TransientDaemon::Implementation::carryOut(const Transient::CountReason &effect)
{
    Common::MetricLabels labels = effect.labels;
    labels["reason"] = Schema::enumName(effect.reason);
    this->control.metrics.count(effect.counter, labels);
}

void TransientDaemon::Implementation::carryOut(const Transient::CountLabels &effect)
{
    this->control.metrics.count(effect.counter, effect.labels);
}

void TransientDaemon::Implementation::carryOut(const Transient::ObserveSeconds &effect)
{
    static const std::vector<double> bounds{0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75,
                                            1,    1.5, 2,    3,   5,   10,  30};
    this->control.metrics.observe(effect.histogram, effect.seconds, bounds, effect.labels);
}

void TransientDaemon::Implementation::carryOut(const Transient::SetGauge &effect)
{
    this->control.metrics.set(effect.gauge, effect.value);
}

void TransientDaemon::Implementation::carryOut(const Transient::LogLine &effect)
{
    Common::logEvent(effect.level, effect.event, effect.fields);
}

void TransientDaemon::Implementation::observeProcessors()
{
    TransientControl &control = this->control;
    Transient::ProcessorUse &use = control.state.forwarding.use;
    if (!Transient::takesPartInForwarding(control.state)
        || control.now.steadyMs < Transient::nextProcessorSampleMs(use)) {
        return;
    }
    const bool isSaturated = Transient::wasStandingSince(control.state.requestQueue, use.sampledMs);
    Transient::observeProcessorUse(use, Common::processCpuSeconds(),
                                   control.state.capacity.processors, isSaturated, control.now);
    control.metrics.set("auburntrail_available_processors",
                        Transient::availableProcessors(control.state));
    control.metrics.set("auburntrail_processor_used_share", use.usedShare);
    control.metrics.set("auburntrail_spare_processors", Transient::spareProcessors(control.state));
}

void TransientDaemon::Implementation::runPeriodicWork()
{
    TransientControl &control = this->control;
    control.load.begin(ControlWork::Timers);
    control.state.shared.knownGateways = Transient::knownGateways(control.discovery) + 1;
    this->observeProcessors();
    this->carryOut(Transient::tick(control.state, control.now, control.random));
    this->sendHeartbeats();
    this->links.runPeriodicWork();
    this->store.runPeriodicWork();
    this->callers.runPeriodicWork(control.queues.version > 0 && this->links.hasAgents()
                                  && !control.state.isStopping);
    const std::size_t jobs = control.state.jobs.size();
    if (jobs != this->reportedJobs) {
        this->reportedJobs = jobs;
        control.metrics.set("auburntrail_transient_jobs_open", static_cast<double>(jobs));
    }
}

TransientDaemon::TransientDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

TransientDaemon::~TransientDaemon()
{
    this->implementation->stopThreads();
}

std::uint16_t TransientDaemon::callerPort() const
{
    return this->implementation->callers.callerPort();
}

std::uint16_t TransientDaemon::metricsPort() const
{
    return this->implementation->callers.metricsPort();
}

void TransientDaemon::requestStop()
{
    this->implementation->mailbox.post(TransientStopRequested{});
}

bool TransientDaemon::run()
{
    return this->implementation->run();
}

TransientDaemonBuilder &TransientDaemonBuilder::settings(Schema::TransientGatewaySettings settings)
{
    this->chosenSettings = std::move(settings);
    return *this;
}

std::unique_ptr<TransientDaemon> TransientDaemonBuilder::build()
{
    auto implementation = std::make_unique<TransientDaemon::Implementation>(this->chosenSettings);
    implementation->start();
    return std::unique_ptr<TransientDaemon>(new TransientDaemon(std::move(implementation)));
}

} // namespace Gateway
