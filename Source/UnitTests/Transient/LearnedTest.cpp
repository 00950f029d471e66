#include <algorithm>
#include <doctest/doctest.h>
#include <ostream>
#include <random>

#include "Transient/Transient.h"

using namespace Transient;

namespace {

constexpr const char *Queue = "checks";

Common::Moment at(std::int64_t ms)
{
    return {ms, ms};
}

Schema::AgentAnnouncement announcementOf(const std::string &name, std::vector<std::string> labels)
{
    Schema::AgentAnnouncement announcement;
    announcement.instance = name + "-1";
    announcement.name = name;
    announcement.service = "desk";
    announcement.accepting = true;
    announcement.clean = true;
    announcement.labels = std::move(labels);
    announcement.resources.processors = 8;
    announcement.resources.memoryMb = 1000;
    return announcement;
}

/// Makes a gateway that has learned that the backend server "slow" takes three times as long as
/// "fast".
GatewayState makeExperiencedGateway()
{
    GatewayState state;
    Common::Random random{1};
    const Dispatch::ProfileId profile =
            Dispatch::findOrAddProfile(state.fleet.estimates, Queue, 300);
    for (const char *name : {"fast", "slow"}) {
        agentAnnounced(state, announcementOf(name, {"a", "rack-1"}), at(0), random);
    }
    for (int run = 0; run < 200; ++run) {
        AgentView &fast = state.fleet.agents.at("fast");
        AgentView &slow = state.fleet.agents.at("slow");
        recordRunOutcome(state.fleet, fast, profile, {true, 100, 100}, run);
        recordRunOutcome(state.fleet, slow, profile, {true, 100, 300}, run);
        observeRemainingTimeout(state.patiences[Queue], 1800 + run);
    }
    return state;
}

} // namespace

TEST_CASE("A gateway starts with what another one has learned")
{
    GatewayState before = makeExperiencedGateway();
    const Schema::LearnedTimes learned = learnedTimes(before, "gateway-1", at(5000));
    struct Row
    {
        const char *what;
        bool recallsFirst;
        std::vector<std::string> labels;
        bool isRecalled;
    };
    const Row rows[] = {
            {"read before the agent announces itself", true, {"a", "rack-1"}, true},
            {"read afterwards", false, {"a", "rack-1"}, true},
            {"another backend server has come to its place", true, {"b", "rack-1"}, false}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        GatewayState after;
        Common::Random random{1};
        if (row.recallsFirst) {
            recallTimes(after, learned);
        }
        for (const char *name : {"fast", "slow"}) {
            agentAnnounced(after, announcementOf(name, row.labels), at(0), random);
        }
        if (!row.recallsFirst) {
            recallTimes(after, learned);
        }
        const double fast = Dispatch::speedFactor(after.fleet.agents.at("fast").speed);
        const double slow = Dispatch::speedFactor(after.fleet.agents.at("slow").speed);
        CHECK((slow > 2 * fast) == row.isRecalled);
        const auto profile = Dispatch::findOrAddProfile(after.fleet.estimates, Queue, 300);
        const auto known = Dispatch::findOrAddProfile(before.fleet.estimates, Queue, 300);
        CHECK(Dispatch::meanRunMs(after.fleet.estimates, profile)
              == doctest::Approx(Dispatch::meanRunMs(before.fleet.estimates, known)).epsilon(0.1));
        CHECK(after.patiences.at(Queue).usualMs == before.patiences.at(Queue).usualMs);
    }
}

TEST_CASE("Records do not replace a gateway's own estimates, and invalid ones change nothing")
{
    GatewayState state = makeExperiencedGateway();
    const Schema::LearnedTimes own = learnedTimes(state, "gateway-1", at(5000));
    Schema::LearnedTimes foreign = own;
    foreign.profiles[0].meanMs = -5;
    foreign.speeds[0].logFactor = 3;
    foreign.patiences[0].usualMs = 1e9;
    foreign.patiences[0].samples = 1'000'000;
    recallTimes(state, foreign);
    const Schema::LearnedTimes after = learnedTimes(state, "gateway-1", at(5000));
    CHECK(after.profiles[0].meanMs == own.profiles[0].meanMs);
    CHECK(after.speeds[0].logFactor == own.speeds[0].logFactor);
    CHECK(after.patiences[0].usualMs == own.patiences[0].usualMs);
    GatewayState fresh;
    recallTimes(fresh, foreign);
    const auto profile = Dispatch::findOrAddProfile(fresh.fleet.estimates, Queue, 300);
    CHECK(Dispatch::meanRunMs(fresh.fleet.estimates, profile) > 0);
    CHECK(waitedBeforeMs(fresh.patiences[Queue], 1000) == 0);
}

TEST_CASE("Of several records the newest counts")
{
    // The record of a gateway that was removed for good is still stored. It dates from a time when
    // the backend server was fast. Another gateway has learned since then that it is slow.
    const GatewayState experience = makeExperiencedGateway();
    const Schema::LearnedTimes newer = learnedTimes(experience, "gateway-1", at(5000));
    Schema::LearnedTimes older = newer;
    older.writtenMs = 1000;
    for (Schema::LearnedSpeed &speed : older.speeds) {
        speed.logFactor = 0;
    }
    for (Schema::LearnedProfile &profile : older.profiles) {
        profile.meanMs = 1;
    }
    for (const bool isAnnouncedFirst : {true, false}) {
        CAPTURE(isAnnouncedFirst);
        GatewayState after;
        Common::Random random{1};
        const auto announce = [&] {
            agentAnnounced(after, announcementOf("slow", {"a", "rack-1"}), at(0), random);
        };
        if (isAnnouncedFirst) {
            announce();
        }
        recallTimes(after, newer);
        recallTimes(after, older);
        if (!isAnnouncedFirst) {
            announce();
        }
        CHECK(Dispatch::speedFactor(after.fleet.agents.at("slow").speed) > 1.2);
        const auto profile = Dispatch::findOrAddProfile(after.fleet.estimates, Queue, 300);
        CHECK(Dispatch::meanRunMs(after.fleet.estimates, profile) > 50);
    }
}

TEST_CASE("A caller with a much shorter remaining timeout than usual has waited before")
{
    // All gateways were down for a second. The callers of that time connect all at once: they have
    // 1,000 ms left where the others have 1,800 to 2,400.
    Common::Random random{1};
    std::uniform_int_distribution<std::int64_t> usualMs(1800, 2400);
    UsualRemainingTimeout usual;
    for (int caller = 0; caller < 20; ++caller) {
        observeRemainingTimeout(usual, usualMs(random));
    }
    CHECK(waitedBeforeMs(usual, 1000) == 0);
    for (int caller = 0; caller < 2000; ++caller) {
        observeRemainingTimeout(usual, usualMs(random));
    }
    struct Row
    {
        std::int64_t remainingTimeoutMs;
        std::int64_t minMs;
        std::int64_t maxMs;
    };
    for (const Row &row :
         {Row{2400, 0, 0}, Row{1800, 0, 0}, Row{1000, 650, 900}, Row{400, 1250, 1500}}) {
        CAPTURE(row.remainingTimeoutMs);
        CHECK(waitedBeforeMs(usual, row.remainingTimeoutMs) >= row.minMs);
        CHECK(waitedBeforeMs(usual, row.remainingTimeoutMs) <= row.maxMs);
    }
    for (int caller = 0; caller < 100; ++caller) {
        observeRemainingTimeout(usual, 1000);
    }
    // Many such callers do not change what is usual.
    CHECK(waitedBeforeMs(usual, 1000) >= 350);
}

TEST_CASE("Learned times are read until the store answers, and for ten seconds at most")
{
    // All gateways start together while the store does not answer. Each reads again every second.
    // It stops after the first answer, or after ten seconds, when it has learned enough by itself.
    struct Row
    {
        const char *what;
        std::int64_t answeredMs;
        int reads;
    };
    constexpr std::int64_t Never = 1'000'000;
    const Row rows[] = {{"the store answers at once", 3, 1},
                        {"the answer takes longer than the pause", 1500, 2},
                        {"the store is silent for some seconds", 4200, 5},
                        {"the store stays silent", Never, 11}};
    constexpr std::int64_t StartMs = 70'000;
    constexpr std::int64_t LastMs = 30'000;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        LearnedSchedule schedule = scheduleLearned(Fleet{}, at(StartMs));
        int reads = 0;
        for (std::int64_t passedMs = 0; passedMs <= LastMs; ++passedMs) {
            if (passedMs == row.answeredMs) {
                finishReading(schedule);
            }
            reads += takeReadDue(schedule, at(StartMs + passedMs)) ? 1 : 0;
        }
        CHECK(reads == row.reads);
        CHECK(!schedule.nextReadMs);
    }
}

TEST_CASE("A gateway that resumes late does not read again")
{
    // The store does not answer, and the process is suspended for more than the ten seconds in
    // which records are of use.
    LearnedSchedule schedule = scheduleLearned(Fleet{}, at(0));
    CHECK(takeReadDue(schedule, at(0)));
    CHECK_FALSE(takeReadDue(schedule, at(10'001)));
    CHECK_FALSE(takeReadDue(schedule, at(60'000)));
}

TEST_CASE("Records are written less often the larger the fleet is")
{
    struct Row
    {
        int agents;
        int writes;
    };
    constexpr std::int64_t LastMs = 60'000;
    for (const Row &row : {Row{0, 12}, Row{11, 12}, Row{100, 12}, Row{200, 6}, Row{860, 1}}) {
        CAPTURE(row.agents);
        Fleet fleet;
        for (int agent = 0; agent < row.agents; ++agent) {
            fleet.agents.emplace("agent-" + std::to_string(agent), AgentView{});
        }
        LearnedSchedule schedule = scheduleLearned(fleet, at(0));
        int writes = 0;
        for (std::int64_t passedMs = 0; passedMs <= LastMs; ++passedMs) {
            writes += takeWriteDue(schedule, fleet, at(passedMs)) ? 1 : 0;
        }
        CHECK(writes == row.writes);
    }
}

TEST_CASE("What was learned of a backend server's speed is not held against another kind in its "
          "place")
{
    // Guards against tasks that keep away from a fast backend server, since a slow one of another
    // kind was at its agent before.
    struct Row
    {
        const char *what;
        std::vector<Schema::AgentAnnouncement> announcements;
        bool isKept;
    };
    Schema::AgentAnnouncement unknown = announcementOf("slow", {});
    unknown.accepting = false;
    unknown.resources = {};
    const Schema::AgentAnnouncement same = announcementOf("slow", {"a", "rack-1"});
    const Schema::AgentAnnouncement other = announcementOf("slow", {"b", "rack-1"});
    const Row rows[] = {
            {"the next incarnation has not announced itself", {unknown}, true},
            {"it is of the same kind", {unknown, same}, true},
            {"it is of another kind", {unknown, other}, false},
            {"it is of another kind and announced itself first", {other}, false},
            {"after another kind the first one is back", {other, same}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        GatewayState state = makeExperiencedGateway();
        Common::Random random{1};
        for (const Schema::AgentAnnouncement &announcement : row.announcements) {
            agentAnnounced(state, announcement, at(6000), random);
        }
        const double slow = Dispatch::speedFactor(state.fleet.agents.at("slow").speed);
        CHECK((slow > 1.3) == row.isKept);
        const Schema::LearnedTimes learned = learnedTimes(state, "gateway-1", at(6001));
        const auto speed = std::find_if(learned.speeds.begin(), learned.speeds.end(),
                                        [](const auto &one) { return one.agent == "slow"; });
        CHECK((speed != learned.speeds.end()) == row.isKept);
        if (row.isKept) {
            CHECK(speed->labels == same.labels);
        }
    }
}
