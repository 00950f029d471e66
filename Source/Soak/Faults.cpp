#include "Soak/Faults.h"

namespace Soak {

namespace {

std::string nameOfTarget(const Fault &fault)
{
    switch (traitsOf(fault.kind).target) {
    case FaultTarget::Gateway:
        return numbered("gateway", fault.target);
    case FaultTarget::Agent:
        return numbered("agent", fault.target);
    case FaultTarget::Backend:
        return numbered("backend", fault.target);
    default:
        return "store";
    }
}

LinkTrouble troubleOf(FaultKind kind)
{
    constexpr std::int64_t DelayMs = 60;
    LinkTrouble trouble;
    trouble.delayMs = kind == FaultKind::LinkDelay ? DelayMs : 0;
    trouble.holdsUp = kind == FaultKind::LinkHoldUp;
    trouble.holdsDown = kind == FaultKind::LinkHoldDown;
    trouble.isSilent = kind == FaultKind::LinkSilence;
    return trouble;
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
        this->bringAbout(this->schedule[this->nextFault++]);
    }
    while (!this->actions.empty() && nowMs() >= this->actions.begin()->first) {
        const std::function<void()> action = this->actions.begin()->second;
        this->actions.erase(this->actions.begin());
        action();
    }
}

bool Faults::areOver() const
{
    return this->nextFault == this->schedule.size() && this->actions.empty();
}

void Faults::later(std::int64_t afterMs, std::function<void()> action)
{
    this->actions.emplace(nowMs() + afterMs, std::move(action));
}

void Faults::note(const Fault &fault, const std::string &target)
{
    this->done.push_back({fault.kind, target, nowMs(), nowMs() + fault.durationMs});
}

void Faults::bringAbout(const Fault &fault)
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
        isDone = this->spoilServer(fault, name);
        break;
    case FaultAction::Forget:
        isDone = this->site.command(name, "/forget");
        break;
    case FaultAction::Configure:
        isDone = this->configure(fault);
        break;
    case FaultAction::TermInTurn:
        this->roll(fault);
        break;
    case FaultAction::KillAll:
        this->killAll(fault);
        break;
    case FaultAction::Reset:
    case FaultAction::Spoil:
        this->spoilLink(fault);
        break;
    }
    if (isDone) {
        this->note(fault, name);
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
        names.push_back(numbered("agent", number));
    }
    for (const std::string &name : names) {
        if (this->site.kill(name, fault.durationMs)) {
            this->note(fault, name);
        }
    }
}

void Faults::roll(const Fault &fault)
{
    constexpr std::int64_t StepMs = 700;
    Fault single = fault;
    single.kind = FaultKind::GatewayTerm;
    std::int64_t afterMs = 0;
    for (int number = 0; number < static_cast<int>(this->site.gatewayNames().size()); ++number) {
        single.target = number;
        this->later(afterMs, [this, single] { this->bringAbout(single); });
        afterMs += StepMs;
    }
}

bool Faults::configure(const Fault &fault)
{
    constexpr int StormVersions = 5;
    constexpr std::int64_t PauseMs = 60;
    const int versions = fault.kind == FaultKind::ConfigStorm ? StormVersions : 1;
    for (int step = 0; step < versions; ++step) {
        this->later(step * PauseMs, [this] {
            const std::int64_t next = ++this->version;
            if (this->site.command("store", "/queues", queuesOf(next, SoakService))) {
                this->load.setVersion(next);
            }
        });
    }
    return true;
}

bool Faults::spoilServer(const Fault &fault, const std::string &server)
{
    const std::string path = "/fault?name=" + std::string(traitsOf(fault.kind).command) + "&on=";
    this->later(fault.durationMs, [this, server, path] { this->site.command(server, path + '0'); });
    return this->site.command(server, path + '1');
}

void Faults::spoilLink(const Fault &fault)
{
    const std::string &link = this->site.linkNames()[static_cast<std::size_t>(fault.target)];
    this->note(fault, link);
    if (fault.kind == FaultKind::LinkReset) {
        this->site.proxy().reset(link);
        return;
    }
    const std::size_t key = this->done.size();
    this->troubles[link][key] = troubleOf(fault.kind);
    this->updateLink(link);
    this->later(fault.durationMs, [this, link, key] {
        this->troubles[link].erase(key);
        this->updateLink(link);
    });
}

void Faults::updateLink(const std::string &link)
{
    LinkTrouble all;
    for (const auto &[key, trouble] : this->troubles[link]) {
        all.delayMs += trouble.delayMs;
        all.holdsUp = all.holdsUp || trouble.holdsUp;
        all.holdsDown = all.holdsDown || trouble.holdsDown;
        all.isSilent = all.isSilent || trouble.isSilent;
    }
    this->site.proxy().setTrouble(link, all);
}

} // namespace Soak
