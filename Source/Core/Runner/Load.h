#pragma once

#include "Runner/RunnerState.h"

/// The load of the backend server and the contents of the reports about it.
namespace Runner {

/// Resources of the backend server that runs occupy. Runs that are being stopped, or whose start
/// was not answered, count until they are known to be over.
Schema::Resources occupied(const RunnerState &state);

bool hasRoom(const RunnerState &state, const Schema::Resources &needed);

/// What the present incarnation of the backend server has announced; null if it has not announced
/// itself.
const Transient::BackendAnnouncement *announcedBackend(const RunnerState &state);

/// Whether the present incarnation of the backend server can run the task: by the service, the
/// label and the resources that it has announced.
bool isEligible(const RunnerState &state, const Run &run);

/// Processors of all running and waiting tasks.
double committedProcessors(const RunnerState &state);

Schema::AgentLoad loadFor(const RunnerState &state, const std::string &gateway, Common::Moment now);

/// Whether this agent currently accepts tasks from gateways.
bool isAccepting(const RunnerState &state);

/// What gateways may know of the backend server: only what its present incarnation has announced.
Offer offerOf(const RunnerState &state);

/// Announces this agent if the gateways' last information about the backend server is no longer
/// true.
void announceIfChanged(RunnerState &state, Effects &effects);

Schema::AgentAnnouncement announcementFor(const RunnerState &state, const std::string &gateway,
                                          Common::Moment now);

/// Shortest time between two reports to a gateway that contain only the load. It grows with the
/// number of gateways from four on, so that the agent's cost does not.
///
/// Load pattern: a backend server's load changes with each start and end, and every gateway needs
/// it. With reports from 76 agents every 25 ms, each of 12 gateways used 0.096 of a core on
/// average. The weak ones, which have 0.12 of a core, were at their limit, and a fifth of the jobs
/// of their failure domain ended late.
std::int64_t loadReportIntervalMs(std::size_t gateways);

/// Whether \a states must be reported to their gateway at once. An answered start is not urgent: it
/// matters only if this agent is lost, so it is sent along with the next report.
bool isUrgent(const std::vector<Schema::AttemptState> &states);

} // namespace Runner
