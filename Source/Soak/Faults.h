#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Soak/Schedule.h"
#include "Soak/Site.h"

namespace Soak {

/// Brings the faults of a schedule about at a site, and ends them.
class Faults
{
public:
    Faults(Site &site, Load &load, std::vector<Fault> schedule);

    /// Counts the schedule from now on.
    void begin();
    /// Starts and ends what is due.
    void tick();
    /// Brings no further fault about; those in force end at their times.
    void skipRemaining() { this->nextFault = this->schedule.size(); }
    /// True where all of the schedule has been and is over.
    bool areFinished() const;
    const std::vector<FaultWindow> &windows() const { return this->injected; }

private:
    void inject(const Fault &fault);
    void recordFault(const Fault &fault, const std::string &target);
    void killAll(const Fault &fault);
    void restartInTurn(const Fault &fault);
    bool configure(const Fault &fault);
    void injectLinkFault(const Fault &fault);
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
};

} // namespace Soak
