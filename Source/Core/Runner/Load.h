#pragma once

#include "Runner/RunnerState.h"

/// How full the backend server is.
namespace Runner {

/// What the runs that occupy the backend server hold of it: those being stopped count until they
/// are proven over, those whose start was not answered too.
Schema::Resources occupied(const RunnerState &state);

bool hasRoom(const RunnerState &state, const Schema::Resources &needed);

/// Processors of all tasks that run or wait.
double committedProcessors(const RunnerState &state);

Schema::AgentLoad loadFor(const RunnerState &state, const std::string &gateway, Common::Moment now);

/// Takes tasks from gateways at present.
bool isAccepting(const RunnerState &state);

Schema::AgentAnnouncement announcementFor(const RunnerState &state, const std::string &gateway,
                                          Common::Moment now);

/// Shortest time between two reports to a gateway that tell of nothing but the load.
///
/// Load pattern: a backend server's load changes with each start and end, and every gateway wants
/// to know it. Told by 76 agents every 25 ms, 12 gateways used 0.096 of a core in the mean; the
/// weak ones, which have 0.12, were at their limit, and a fifth of the jobs of their failure domain
/// ended late. What an agent spends on it is the same for any number of gateways.
std::int64_t loadReportIntervalMs(std::size_t gateways);

/// True where a gateway should hear of \a states at once. That a start was answered matters only if
/// this agent is lost: it goes along with what is told anyway.
bool isUrgent(const std::vector<Schema::AttemptState> &states);

} // namespace Runner
