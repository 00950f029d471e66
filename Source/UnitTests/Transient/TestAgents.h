#pragma once

#include <string>

#include "Schema/Schema.h"

/// Agents for tests of gateways.
namespace TestAgents {

/// Announcement of an agent that takes tasks and has none.
inline Schema::AgentAnnouncement idleAgent(const std::string &name, const std::string &instance,
                                           double processors = 8)
{
    Schema::AgentAnnouncement announcement;
    announcement.instance = instance;
    announcement.name = name;
    announcement.service = "desk";
    announcement.accepting = true;
    announcement.clean = true;
    announcement.resources.processors = processors;
    announcement.resources.memoryMb = 1000;
    return announcement;
}

} // namespace TestAgents
