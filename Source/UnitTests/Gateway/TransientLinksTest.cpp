#include <doctest/doctest.h>
#include <ostream>

#include "Gateway/TransientLinks.h"
#include "TestSettings.h"
#include "UnitTests/Transient/TestAgents.h"

namespace {

using Gateway::TransientLinks;

constexpr const char *JobId = "5c0e7a21d94b36f8";

/// A gateway's links, with frames of an agent that are handed in one by one.
struct Fixture
{
    Fixture()
        : control(GatewayTests::settingsOfGateway())
        , links(this->control, this->mailbox, [](const Transient::Effects &) {})
    {
        this->links.start();
    }

    ~Fixture() { this->links.stop(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// The agent's process \a instance announces itself with the tasks that it has.
    void announce(Net::LinkId link, const std::string &instance,
                  const std::vector<Schema::TaskAttempt> &held)
    {
        Schema::Frame frame = Schema::frameOf(Schema::FrameType::AgentAnnouncement);
        frame.agentAnnouncement = TestAgents::idleAgent("agent-1", instance);
        frame.agentAnnouncement->held = held;
        this->links.on(Net::FrameArrived{link, frame, this->control.now.steadyMs});
    }

    void submitJob()
    {
        Transient::Submission submission;
        submission.token = "token";
        submission.queue.name = "checks";
        submission.queue.service = "desk";
        submission.queue.attemptLimit = 3;
        submission.queue.latencyFactor = 2;
        submission.queue.targetLatencyMs = 1000;
        submission.remainingTimeoutMs = 10'000;
        submission.request.id = JobId;
        Transient::StepRequest step;
        step.taskCount = 1;
        step.resources.processors = 1;
        step.expectedRunMs = 100;
        submission.request.steps.push_back(step);
        Transient::jobSubmitted(this->control.state, submission, this->control.now,
                                this->control.random);
    }

    const Transient::TaskRecord &task() const
    {
        return this->control.state.jobs.at(JobId).steps.at(0).tasks.at(0);
    }

    Gateway::TransientControl control;
    Gateway::TransientMailbox mailbox;
    TransientLinks links;
};

} // namespace

TEST_CASE("What an agent sent before it connected again ends none of its tasks")
{
    // Guards against a task that is sent elsewhere while it runs, since an announcement that is
    // read late does not list it.
    constexpr Net::LinkId FirstLink = 1;
    constexpr Net::LinkId SecondLink = 2;
    constexpr const char *PresentProcess = "agent-1-b";
    struct Row
    {
        const char *what;
        const char *earlierProcess;
        bool isAnnouncedBefore;
    };
    const Row rows[] = {
            {"the same process, on the link that the present one replaced", PresentProcess, true},
            {"the previous process, known before", "agent-1-a", true},
            {"the previous process, unknown until now", "agent-1-a", false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Fixture gateway;
        gateway.links.on(Net::LinkUp{FirstLink});
        if (row.isAnnouncedBefore) {
            gateway.announce(FirstLink, row.earlierProcess, {});
        }
        gateway.links.on(Net::LinkUp{SecondLink});
        gateway.announce(SecondLink, PresentProcess, {});
        gateway.submitJob();
        REQUIRE(gateway.task().phase == Transient::TaskPhase::Ordered);
        REQUIRE(gateway.task().attempt == 1);
        gateway.announce(FirstLink, row.earlierProcess, {});
        CHECK(gateway.task().phase == Transient::TaskPhase::Ordered);
        CHECK(gateway.task().attempt == 1);
        CHECK(gateway.task().agentInstance == PresentProcess);
    }
}
