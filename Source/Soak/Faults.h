#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Soak/Schedule.h"
#include "Soak/Site.h"

namespace Soak {

/// Injects the faults of a schedule into a site, and ends them.
class Faults
{
public:
    Faults(Site &site, Load &load, std::vector<Fault> schedule);

    /// Starts the schedule: its times are relative to this call.
    void begin();
    /// Starts and ends the faults that are due.
    void tick();
    /// Injects no further scheduled faults. Active faults end at their times.
    void skipRemaining() { this->nextFault = this->schedule.size(); }
    /// Whether no fault is left to inject and no action of an injected fault is pending. Processes
    /// may still be down or frozen, see Site::isFullyRunning().
    bool areFinished() const;
    const std::vector<FaultWindow> &windows() const { return this->injected; }
    const std::vector<EvacuationWindow> &evacuations() const { return this->evacuated; }

private:
    void inject(const Fault &fault);
    void recordFault(const Fault &fault, const std::string &target);
    void killAll(const Fault &fault);
    void restartInTurn(const Fault &fault);
    bool configure(const Fault &fault);
    bool evacuate(const Fault &fault, const std::string &failureDomain);
    void takeBack(const std::string &failureDomain);
    void injectLinkFault(const Fault &fault, const std::string &link);
    bool injectServerFault(const Fault &fault, const std::string &server);
    void scheduleAction(std::int64_t afterMs, std::function<void()> action);
    void updateLink(const std::string &link);

    Site &site;
    Load &load;
    std::vector<Fault> schedule;
    std::size_t nextFault = 0;
    std::int64_t startedMs = 0;
    std::int64_t version = 1;
    std::multimap<std::int64_t, std::function<void()>> actions;
    std::map<std::string, std::map<std::size_t, LinkImpairment>> impairments;
    std::vector<FaultWindow> injected;
    std::vector<EvacuationWindow> evacuated;
};

} // namespace Soak
