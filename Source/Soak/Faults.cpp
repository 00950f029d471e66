#include "Soak/Faults.h"

#include <algorithm>

namespace Soak {

namespace {

std::string nameOfTarget(const Fault &fault)
{
    switch (traitsOf(fault.kind).target) {
    case FaultTarget::Gateway:
        return processName("gateway", fault.target);
    case FaultTarget::Agent:
        return processName("agent", fault.target);
    case FaultTarget::Backend:
        return processName("backend", fault.target);
    case FaultTarget::FailureDomain:
        return failureDomainOf(fault.target);
    default:
        return "store";
    }
}

LinkImpairment impairmentOf(FaultKind kind)
{
    constexpr std::int64_t DelayMs = 60;
    LinkImpairment impairment;
    impairment.delayMs = kind == FaultKind::LinkDelay ? DelayMs : 0;
    impairment.holdsUpstream = kind == FaultKind::LinkHoldUp || kind == FaultKind::CallerLinkHoldUp;
    impairment.holdsDownstream = kind == FaultKind::LinkHoldDown;
    impairment.isSilent = kind == FaultKind::LinkSilence || kind == FaultKind::StoreLinksSilence;
    return impairment;
}

} // namespace

Faults::Faults(Site &site, Load &load, std::vector<Fault> schedule)
    : site(site)
    , load(load)
    , schedule(std::move(schedule))
{}

void Faults::begin()
{
    this->startedMs = nowMs();
}

void Faults::tick()
{
    if (this->startedMs == 0) {
        return;
    }
    while (this->nextFault < this->schedule.size()
           && nowMs() >= this->startedMs + this->schedule[this->nextFault].atMs) {
        this->inject(this->schedule[this->nextFault++]);
    }
    while (!this->actions.empty() && nowMs() >= this->actions.begin()->first) {
        const std::function<void()> action = this->actions.begin()->second;
        this->actions.erase(this->actions.begin());
        action();
    }
}

bool Faults::areFinished() const
{
    return this->nextFault == this->schedule.size() && this->actions.empty();
}

void Faults::scheduleAction(std::int64_t afterMs, std::function<void()> action)
{
    this->actions.emplace(nowMs() + afterMs, std::move(action));
}

void Faults::recordFault(const Fault &fault, const std::string &target)
{
    this->injected.push_back({fault.kind, target, nowMs(), nowMs() + fault.durationMs});
}

void Faults::inject(const Fault &fault)
{
    const std::string name = nameOfTarget(fault);
    bool isDone = false;
    switch (traitsOf(fault.kind).action) {
    case FaultAction::Term:
        isDone = this->site.term(name, fault.durationMs);
        break;
    case FaultAction::Kill:
        isDone = this->site.kill(name, fault.durationMs);
        break;
    case FaultAction::Freeze:
        isDone = this->site.freeze(name, fault.durationMs);
        break;
    case FaultAction::Leave:
        isDone = this->site.leave(name, fault.durationMs);
        break;
    case FaultAction::Command:
        isDone = this->injectServerFault(fault, name);
        break;
    case FaultAction::DropHistory:
        isDone = this->site.command(name, "/forget");
        break;
    case FaultAction::Configure:
        isDone = this->configure(fault);
        break;
    case FaultAction::Evacuate:
        isDone = this->evacuate(fault, name);
        break;
    case FaultAction::TermInTurn:
        this->restartInTurn(fault);
        break;
    case FaultAction::KillAll:
        this->killAll(fault);
        break;
    case FaultAction::SilenceStoreLinks:
        for (const std::string &gateway : this->site.gatewayNames()) {
            this->injectLinkFault(fault, gateway + "/store");
        }
        break;
    case FaultAction::HoldCallerLink:
        this->injectLinkFault(fault, name + "/caller");
        break;
    case FaultAction::Reset:
    case FaultAction::Impair:
        this->injectLinkFault(fault,
                              this->site.linkNames()[static_cast<std::size_t>(fault.target)]);
        break;
    }
    if (isDone) {
        this->recordFault(fault, name);
    }
}

void Faults::killAll(const Fault &fault)
{
    std::vector<std::string> names;
    if (fault.kind != FaultKind::AllAgentsKill) {
        names = this->site.gatewayNames();
    }
    for (int number = 0;
         fault.kind != FaultKind::AllGatewaysKill && number < this->site.agentCount(); ++number) {
        names.push_back(processName("agent", number));
    }
    for (const std::string &name : names) {
        if (this->site.kill(name, fault.durationMs)) {
            this->recordFault(fault, name);
        }
    }
}

void Faults::restartInTurn(const Fault &fault)
{
    constexpr std::int64_t StepMs = 700;
    Fault single = fault;
    single.kind = FaultKind::GatewayTerm;
    std::int64_t afterMs = 0;
    for (int number = 0; number < static_cast<int>(this->site.gatewayNames().size()); ++number) {
        single.target = number;
        this->scheduleAction(afterMs, [this, single] { this->inject(single); });
        afterMs += StepMs;
    }
}

bool Faults::configure(const Fault &fault)
{
    constexpr int StormVersions = 5;
    constexpr std::int64_t PauseMs = 60;
    const int versions = fault.kind == FaultKind::ConfigStorm ? StormVersions : 1;
    for (int step = 0; step < versions; ++step) {
        this->scheduleAction(step * PauseMs, [this] {
            const std::int64_t next = ++this->version;
            WrittenVersion written{next, nowMs(), NeverMs};
            if (this->site.command("store", "/queues", queueConfiguration(next, SoakService))) {
                written.acknowledgedMs = nowMs();
            }
            this->load.addVersion(written);
        });
    }
    return true;
}

/// Where evacuations of a failure domain overlap, the first end takes it back.
bool Faults::evacuate(const Fault &fault, const std::string &failureDomain)
{
    if (!this->site.command("store", "/evacuate?domain=" + failureDomain + "&on=1")) {
        return false;
    }
    this->evacuated.push_back({failureDomain, nowMs(), NeverMs});
    this->scheduleAction(fault.durationMs,
                         [this, failureDomain] { this->takeBack(failureDomain); });
    return true;
}

void Faults::takeBack(const std::string &failureDomain)
{
    for (EvacuationWindow &window : this->evacuated) {
        if (window.failureDomain == failureDomain) {
            window.takenBackMs = std::min(window.takenBackMs, nowMs());
        }
    }
    if (!this->site.command("store", "/evacuate?domain=" + failureDomain + "&on=0")) {
        constexpr std::int64_t RetryMs = 200;
        this->scheduleAction(RetryMs, [this, failureDomain] { this->takeBack(failureDomain); });
    }
}

bool Faults::injectServerFault(const Fault &fault, const std::string &server)
{
    const std::string path = "/fault?name=" + std::string(traitsOf(fault.kind).command) + "&on=";
    this->scheduleAction(fault.durationMs,
                         [this, server, path] { this->site.command(server, path + '0'); });
    return this->site.command(server, path + '1');
}

void Faults::injectLinkFault(const Fault &fault, const std::string &link)
{
    this->recordFault(fault, link);
    if (fault.kind == FaultKind::LinkReset) {
        this->site.proxy().reset(link);
        return;
    }
    const std::size_t key = this->injected.size();
    this->impairments[link][key] = impairmentOf(fault.kind);
    this->updateLink(link);
    this->scheduleAction(fault.durationMs, [this, link, key] {
        this->impairments[link].erase(key);
        this->updateLink(link);
    });
}

void Faults::updateLink(const std::string &link)
{
    LinkImpairment all;
    for (const auto &[key, impairment] : this->impairments[link]) {
        all.delayMs += impairment.delayMs;
        all.holdsUpstream = all.holdsUpstream || impairment.holdsUpstream;
        all.holdsDownstream = all.holdsDownstream || impairment.holdsDownstream;
        all.isSilent = all.isSilent || impairment.isSilent;
    }
    this->site.proxy().setImpairment(link, all);
}

} // namespace Soak
