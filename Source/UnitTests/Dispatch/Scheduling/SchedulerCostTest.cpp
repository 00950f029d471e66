#include <chrono>
#include <deque>
#include <doctest/doctest.h>

#include "Dispatch/Scheduling/Scheduler.h"

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Services = 20;
constexpr int Teams = 340;
constexpr int TasksPerJob = 10;
constexpr std::int64_t RunMs = 200;
constexpr std::int64_t UntilMs = 3000;
constexpr std::int64_t WallMs = 1000000;

struct Costs
{
    std::int64_t assigned = 0;
    std::int64_t offered = 0;
    double admitUs = 0;
    double assignUs = 0;
    double endUs = 0;
};

double microsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

Dispatch::SchedulerState configuredState()
{
    Schema::Configuration configuration;
    for (int team = 0; team < Teams; ++team) {
        configuration.teams.push_back({"team-" + std::to_string(team), {}, {}});
    }
    for (int service = 0; service < Services; ++service) {
        configuration.services.emplace_back();
        configuration.services.back().name = "service-" + std::to_string(service);
    }
    Dispatch::SchedulerState state;
    Dispatch::configureScheduler(state, configuration, {0, WallMs});
    return state;
}

void receiveHellos(Dispatch::SchedulerState &state, int backends, Common::Moment now)
{
    for (int index = 0; index < backends; ++index) {
        Schema::AgentHello hello;
        hello.instance = "agent-" + std::to_string(index);
        hello.backend.name = hello.instance;
        hello.backend.failureDomain = "domain-" + std::to_string(index % 10);
        hello.backend.slots = 8;
        hello.backend.connections = 64;
        hello.window = 8;
        hello.healthy = true;
        Dispatch::agentHelloReceived(state, hello, now);
    }
}

/// Measures one gateway that schedules for all backend servers at 70% load, with tasks of 200 ms in
/// jobs of ten.
Costs measure(int backends)
{
    Costs costs;
    Dispatch::SchedulerState state = configuredState();
    Common::Random random(3);
    std::deque<std::pair<std::int64_t, Dispatch::Assignment>> running;
    std::map<std::string, int> tasksLeft;
    double tasksToSubmit = 0;
    for (std::int64_t nowMs = 0; nowMs < UntilMs; ++nowMs) {
        const Common::Moment now{nowMs, WallMs + nowMs};
        if (nowMs % 500 == 0) {
            receiveHellos(state, backends, now);
        }
        auto start = Clock::now();
        for (tasksToSubmit += 0.7 * 8 * backends / RunMs; tasksToSubmit >= TasksPerJob;
             tasksToSubmit -= TasksPerJob) {
            Dispatch::JobDemand demand;
            demand.id = "job-" + std::to_string(costs.offered);
            demand.team = "team-" + std::to_string(random() % Teams);
            demand.caller = "caller-" + std::to_string(random() % 3);
            demand.service = "service-" + std::to_string(random() % Services);
            demand.taskCount = TasksPerJob;
            demand.deadlineMs = now.wallMs + 30000;
            CHECK(!Dispatch::admitJob(state, demand, now));
            Dispatch::setJobRunnable(state, demand.id, now);
            tasksLeft[demand.id] = TasksPerJob;
            costs.offered += TasksPerJob;
        }
        costs.admitUs += microsSince(start);
        start = Clock::now();
        for (; !running.empty() && running.front().first <= nowMs; running.pop_front()) {
            const Dispatch::Assignment &ended = running.front().second;
            Dispatch::taskEnded(state, ended.task, ended.agent, true, RunMs, now);
            if (--tasksLeft[ended.task.job] == 0) {
                Dispatch::dropJob(state, ended.task.job);
            }
        }
        costs.endUs += microsSince(start);
        start = Clock::now();
        Dispatch::expiredJobs(state, now);
        const auto assigned = Dispatch::assignTasks(state, now, random);
        costs.assignUs += microsSince(start);
        costs.assigned += static_cast<std::int64_t>(assigned.size());
        for (const Dispatch::Assignment &assignment : assigned) {
            running.emplace_back(nowMs + RunMs, assignment);
        }
    }
    CHECK(Dispatch::totalDemand(state) + costs.assigned == costs.offered);
    return costs;
}

} // namespace

TEST_CASE("Cost of the scheduler's decisions (dispatch-tests -tc='Cost*' -s prints it)")
{
    for (const int backends : {11, 860}) {
        const Costs costs = measure(backends);
        const auto assigned = static_cast<double>(costs.assigned);
        MESSAGE(backends << " backend servers, microseconds for a task: assigned "
                         << costs.assignUs / assigned << ", ended " << costs.endUs / assigned
                         << ", admitted " << costs.admitUs / assigned);
        CHECK(costs.assigned > costs.offered * 9 / 10);
    }
}
