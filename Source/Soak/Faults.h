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
    void skipRest() { this->nextFault = this->schedule.size(); }
    /// True where all of the schedule has been and is over.
    bool areOver() const;
    const std::vector<FaultWindow> &windows() const { return this->done; }

private:
    void bringAbout(const Fault &fault);
    void note(const Fault &fault, const std::string &target);
    void killAll(const Fault &fault);
    void roll(const Fault &fault);
    bool configure(const Fault &fault);
    void spoilLink(const Fault &fault);
    bool spoilServer(const Fault &fault, const std::string &server);
    void later(std::int64_t afterMs, std::function<void()> action);
    void updateLink(const std::string &link);

    Site &site;
    Load &load;
    std::vector<Fault> schedule;
    std::size_t nextFault = 0;
    std::int64_t startedMs = 0;
    std::int64_t version = 1;
    std::multimap<std::int64_t, std::function<void()>> actions;
    std::map<std::string, std::map<std::size_t, LinkTrouble>> troubles;
    std::vector<FaultWindow> done;
};

} // namespace Soak
