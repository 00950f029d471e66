#include "Gateway/GatewayDaemon.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "Gateway/GatewayCallers.h"
#include "Gateway/GatewayControl.h"
#include "Gateway/GatewayLinks.h"
#include "Gateway/GatewayLog.h"
#include "Gateway/GatewayMetrics.h"

namespace Gateway {

using Common::LogLevel;
using Dispatch::Effects;

namespace {

/// Longest wait for an event, and so the longest delay of a timer in the decision code.
constexpr std::chrono::milliseconds TickMs{5};
/// How long the daemon still runs after the last answer, so that the answer can be written to the
/// caller's connection.
constexpr std::int64_t LingerMs = 200;
/// Calls that are handled before messages are looked for again.
constexpr std::size_t MaxCallsAtOnce = 16;

} // namespace

/// The control loop: passes each event to the component that handles it, and each effect of a
/// decision to the component that carries it out.
struct GatewayDaemon::Implementation
{
    explicit Implementation(const Schema::GatewaySettings &settings);

    void start();
    bool run();
    void stopThreads();

    void on(ApiCalled &called) { this->callers.on(called); }
    void on(const Net::LinkUp &up) { this->links.on(up); }
    void on(Net::FrameArrived &arrived) { this->links.on(arrived); }
    void on(const Net::LinkDown &down) { this->links.on(down); }
    void on(LogDelivered &delivered) { this->log.on(delivered); }
    void on(const LogAppended &appended) { this->log.on(appended); }
    void on(const StopRequested &stop);

    void carryOut(Effects effects);
    void carryOut(const Dispatch::SendToGateway &send) { this->links.sendTo(send); }
    void carryOut(const Dispatch::SendToAgent &send) { this->links.sendTo(send); }
    void carryOut(const Dispatch::AppendToLog &append) { this->log.append(append); }
    void carryOut(const Dispatch::AnswerRequest &answer) { this->callers.answer(answer); }
    void carryOut(const Dispatch::AnswerConfigure &answer) { this->callers.answer(answer); }
    void carryOut(const Dispatch::AnswerQuery &answer) { this->callers.answer(answer); }
    void carryOut(const Dispatch::CountReason &count);
    void carryOut(const Dispatch::LogLine &note);

    GatewayControl control;
    ControlMailbox mailbox;
    std::int64_t lastHousekeepingMs = 0;

    // Declared last, so that their threads end before the mailbox they post to is destroyed.
    GatewayLinks links;
    GatewayLog log;
    GatewayCallers callers;
};

GatewayDaemon::Implementation::Implementation(const Schema::GatewaySettings &settings)
    : links(this->control, this->mailbox,
            [this](Effects effects) { this->carryOut(std::move(effects)); })
    , log(this->control, this->mailbox,
          [this](Effects effects) { this->carryOut(std::move(effects)); })
    , callers(this->control, this->mailbox,
              [this](Effects effects) { this->carryOut(std::move(effects)); })
{
    this->control.settings = settings;
    this->control.budget = std::make_unique<Net::ResourceBudget>(
            Net::processLimits(settings),
            std::vector<Net::Listener>{Net::Listener::Callers, Net::Listener::Links});
    this->control.random = Common::makeRandom();
    this->control.now = Common::currentMoment();
}

void GatewayDaemon::Implementation::start()
{
    this->links.start();
    this->log.start();
    this->callers.start();
    const Schema::GatewaySettings &settings = this->control.settings;
    Schema::Member self;
    self.instance = settings.name + '-' + Common::randomId(this->control.random);
    self.host = settings.host;
    self.httpPort = this->callers.port();
    self.peerPort = this->links.port();
    self.failureDomain = settings.failureDomain;
    this->links.setSelf(self.instance);
    this->control.state = Dispatch::makeGateway(settings, self, this->control.now);
    this->log.follow();
    Common::logEvent(LogLevel::Info, "gateway_started",
                     {{"instance", self.instance},
                      {"http_port", self.httpPort},
                      {"peer_port", self.peerPort}});
}

void GatewayDaemon::Implementation::stopThreads()
{
    this->callers.stop();
    this->log.stop();
    this->links.stop();
}

bool GatewayDaemon::Implementation::run()
{
    std::int64_t stopStartedMs = 0;
    std::int64_t doneSinceMs = 0;
    while (true) {
        ControlMailbox::Taken taken = this->mailbox.take(TickMs, MaxCallsAtOnce);
        this->control.now = Common::currentMoment();
        for (ControlMessage &message : taken.messages) {
            std::visit([this](auto &event) { this->on(event); }, message);
        }
        for (ApiCalled &call : taken.work) {
            this->on(call);
        }
        this->carryOut(Dispatch::gatewayTick(this->control.state, this->control.now,
                                             this->control.random));
        this->links.dialMembers();
        if (this->control.now.steadyMs
            >= this->lastHousekeepingMs + this->control.settings.heartbeatMs) {
            this->lastHousekeepingMs = this->control.now.steadyMs;
            this->links.closeSilentLinks();
            exportMetrics(this->control, this->links.traffic());
        }
        if (!this->control.state.stopping) {
            continue;
        }
        stopStartedMs = stopStartedMs == 0 ? this->control.now.steadyMs : stopStartedMs;
        const bool isDone =
                Dispatch::isStopped(this->control.state) && !this->callers.hasOpenRequests();
        doneSinceMs = isDone ? (doneSinceMs == 0 ? this->control.now.steadyMs : doneSinceMs) : 0;
        if (isDone && this->control.now.steadyMs >= doneSinceMs + LingerMs) {
            return true;
        }
        if (this->control.now.steadyMs >= stopStartedMs + this->control.settings.stopTimeoutMs) {
            return false;
        }
    }
}

void GatewayDaemon::Implementation::on(const StopRequested & /*stop*/)
{
    Common::logEvent(LogLevel::Info, "stop_requested", {});
    Dispatch::beginStop(this->control.state);
}

void GatewayDaemon::Implementation::carryOut(Effects effects)
{
    for (Dispatch::Effect &effect : effects) {
        std::visit([this](const auto &one) { this->carryOut(one); }, effect);
    }
}

void GatewayDaemon::Implementation::carryOut(const Dispatch::CountReason &count)
{
    this->control.metrics.count(count.counter, {{"reason", Schema::enumName(count.reason)}});
}

void GatewayDaemon::Implementation::carryOut(const Dispatch::LogLine &note)
{
    Common::logEvent(LogLevel::Info, note.event, note.fields);
}

GatewayDaemon::GatewayDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

GatewayDaemon::~GatewayDaemon()
{
    this->implementation->stopThreads();
}

std::uint16_t GatewayDaemon::httpPort() const
{
    return this->implementation->callers.port();
}

std::uint16_t GatewayDaemon::peerPort() const
{
    return this->implementation->links.port();
}

void GatewayDaemon::requestStop()
{
    this->implementation->mailbox.post(StopRequested{});
}

bool GatewayDaemon::run()
{
    return this->implementation->run();
}

GatewayDaemonBuilder &GatewayDaemonBuilder::settings(Schema::GatewaySettings settings)
{
    this->chosenSettings = std::move(settings);
    return *this;
}

std::unique_ptr<GatewayDaemon> GatewayDaemonBuilder::build()
{
    auto implementation = std::make_unique<GatewayDaemon::Implementation>(this->chosenSettings);
    implementation->start();
    return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(implementation)));
}

} // namespace Gateway
