#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Agent/Agent.h"

/// An agent in virtual time with a few gateways whose frames the test sends.
class AgentFixture
{
public:
    explicit AgentFixture(int gatewayCount = 3);

    /// Advances the time by \a ms in steps of one tick. The gateways in answering answer hellos.
    void advanceTime(std::int64_t ms);
    /// Opens all links and runs two ticks, in which the gateways answer the first hellos.
    void join();

    Agent::LinkNumber linkOf(const std::string &gateway) const;
    void receive(const std::string &gateway, const Schema::Frame &frame);
    void receiveOn(Agent::LinkNumber link, const Schema::Frame &frame);
    /// The content of a start message as a gateway sends it.
    Schema::StartTask makeTask(const std::string &job, std::int64_t epoch = 1,
                               std::int64_t attempt = 1) const;
    void start(const std::string &gateway, const Schema::StartTask &task);
    void startMany(const std::string &gateway, int count, const std::string &prefix = "job-");
    void acknowledge(const std::string &gateway, const std::string &job);
    void finish(const std::string &job, int status = 200,
                Net::HttpTransport transport = Net::HttpTransport::Answered);
    /// All gateways announce \a owner as the owner of the test's shard under \a epoch.
    void moveShard(const std::string &owner, std::int64_t epoch);
    void carryOut(const Agent::Effects &effects);
    void flush();

    /// The last state of the job's task that was sent to \a gateway, as phase/reason; "nothing" if
    /// there is none.
    std::string reportedState(const std::string &gateway, const std::string &job) const;
    std::int64_t windowOf(const std::string &gateway) const;
    int startsOf(const std::string &job) const;

    static constexpr std::int64_t Shard = 7;

    Agent::AgentState state;
    Common::Moment now{1'000'000, 1'700'000'000'000};
    Schema::OwnershipTable table;
    std::set<std::string> answering;
    std::map<std::string, std::int64_t> demand;
    std::vector<Schema::RunTask> runs;
    std::map<std::string, std::vector<Schema::TaskState>> states;
    std::map<std::string, std::vector<Schema::TaskStates>> reports;
    std::vector<Schema::AgentHello> hellos;
    std::vector<Agent::LinkNumber> closedLinks;
    std::map<Schema::Reason, double> refusals;
    int dials = 0;
    int repeats = 0;

private:
    void carryOutOne(const Agent::Effect &effect);
    void handleFrame(const Agent::SendToGateway &send);
    void answerHello(Agent::LinkNumber link, const Schema::AgentHello &hello);

    std::map<Agent::LinkNumber, std::string> gatewayOfLink;
    std::vector<Agent::SendToGateway> unansweredHellos;
};
