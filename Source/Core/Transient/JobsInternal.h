#pragma once

#include <map>
#include <string>
#include <vector>

#include "Transient/Jobs.h"
#include "Transient/Placement.h"

/// What the parts of the state machine of jobs share; not for others.
namespace Transient {

/// Told to callers where nothing says when a backend server will be there: by then a process that
/// was killed is back.
constexpr std::int64_t RetryMs = 1000;

std::string text(double value);

// Admit.cpp: submissions

Effects admit(GatewayState &state, Submission submission, Common::Moment now,
              Common::Random &random);
/// Lets submissions in that had to wait until their id's last life was over.
Effects admitParked(GatewayState &state, const std::string &id, Common::Moment now,
                    Common::Random &random);

// Orders.cpp: tasks on their way to agents

struct PlacedTask
{
    int step = 0;
    int index = 0;
    Placement placement;
};

/// Finds agents for the job's ready tasks, without ordering anything yet.
std::vector<PlacedTask> placeReady(GatewayState &state, JobRecord &job, Common::Moment now,
                                   Common::Random &random);
void undoPlacing(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed);
/// Sends the placed tasks to their agents, those of one step and agent in one message.
Effects orderTasks(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed,
                   Common::Moment now);
Effects placeAndOrder(GatewayState &state, JobRecord &job, Common::Moment now,
                      Common::Random &random);
/// All jobs that have tasks without an agent, the most urgent first.
Effects placeWaiting(GatewayState &state, Common::Moment now, Common::Random &random);

// Attempts.cpp: what becomes of a task at an agent

Effects handleAttemptState(GatewayState &state, const std::string &instance,
                           const Schema::AttemptState &reported, Common::Moment now,
                           Common::Random &random);

// Answers.cpp: the end of a job

/// Attempts to withdraw, by the agent's instance.
using Withdrawals = std::map<std::string, std::vector<Schema::TaskAttempt>>;

void sendWithdrawals(Effects &effects, Withdrawals &withdrawals);
/// Decides the job's answer. Its tasks that are with agents are withdrawn; the job is kept until
/// each is over.
Effects endJob(GatewayState &state, JobRecord &job, const JobResult &result, Common::Moment now);
void removeIfSettled(GatewayState &state, const std::string &id, Common::Moment now);

// Agents.cpp: processes of agents that come and go

void removeLostAgents(GatewayState &state, Effects &effects, Common::Moment now);
/// Lost processes of agents, as far as time tells what became of their tasks.
Effects settleFormerAgents(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
