#include <algorithm>
#include <doctest/doctest.h>
#include <ostream>
#include <string>
#include <vector>

#include "Transient/Transient.h"

using namespace Transient;

TEST_CASE("Only requests that wait all the time make a standing queue")
{
    // Guards against refusals after a burst or a freeze, which are worked off, and against a
    // gateway that goes on handling requests whose callers have no use for an answer any more.
    struct Request
    {
        std::int64_t atMs;
        std::int64_t ageMs;
    };
    struct Row
    {
        const char *what;
        std::vector<Request> requests;
        bool isStanding;
    };
    const Row rows[] = {
            {"none", {}, false},
            {"fresh ones", {{0, 0}, {50, 5}, {100, 5}, {150, 19}}, false},
            {"a burst that is worked off",
             {{0, 30}, {30, 60}, {60, 40}, {90, 25}, {110, 0}},
             false},
            {"old ones all the time", {{0, 30}, {40, 50}, {80, 60}, {110, 70}}, true},
            {"old ones that are handled seldom", {{0, 30}, {300, 310}, {600, 590}}, true},
            {"worked off later", {{0, 30}, {50, 60}, {110, 60}, {150, 10}}, false},
            {"what waited while the process was frozen",
             {{0, 5}, {3000, 2900}, {3050, 2900}},
             false},
            {"a pause after a standing queue", {{0, 30}, {50, 60}, {110, 60}, {900, 60}}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        StandingQueue queue;
        std::int64_t nowMs = 0;
        for (const Request &request : row.requests) {
            nowMs = request.atMs;
            observeRequestAge(queue, request.ageMs, nowMs);
        }
        CHECK(isStanding(queue, nowMs) == row.isStanding);
    }
}

TEST_CASE("A standing queue ends when requests stop")
{
    // Guards against an idle gateway that forwards or refuses the first jobs after a pause.
    StandingQueue queue;
    for (std::int64_t atMs = 0; atMs <= 200; atMs += 50) {
        observeRequestAge(queue, 80, atMs);
    }
    CHECK(isStanding(queue, 200));
    CHECK_FALSE(isStanding(queue, 200 + StandingAfterMs + 1));
    CHECK(wasStandingSince(queue, 200));
    CHECK_FALSE(wasStandingSince(queue, 201));
}

TEST_CASE("The use of processors is measured against what the process gets")
{
    // Guards against a gateway at half its speed that takes itself for half idle: it would forward
    // nothing and offer others processors that it does not have.
    constexpr double Processors = 0.12;
    struct Row
    {
        const char *what;
        /// Processors that the machine gives.
        double given;
        double wanted;
        double minShare;
        double maxShare;
    };
    const Row rows[] = {{"full speed, half used", 0.12, 0.06, 0.45, 0.55},
                        {"full speed, full", 0.12, 0.2, 0.95, 1},
                        {"half speed, full", 0.06, 0.2, 0.95, 1},
                        {"a quarter, full", 0.03, 0.2, 0.95, 1}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        ProcessorUse use;
        double cpuSeconds = 0;
        std::int64_t nowMs = 0;
        for (; nowMs <= 4000; nowMs += ProcessorSampleMs) {
            observeProcessorUse(use, cpuSeconds, Processors, row.wanted > row.given,
                                {nowMs, nowMs});
            cpuSeconds += std::min(row.wanted, row.given) * ProcessorSampleMs / 1000;
        }
        CHECK(use.usedShare >= row.minShare);
        CHECK(use.usedShare <= row.maxShare);
        CHECK(*use.available >= row.given * 0.95);
        CHECK(*use.available <= row.given * 1.05);
        // Two seconds after the trouble all processors count again.
        for (const std::int64_t endMs = nowMs + 2000; nowMs <= endMs; nowMs += ProcessorSampleMs) {
            cpuSeconds += 0.01 * ProcessorSampleMs / 1000;
            observeProcessorUse(use, cpuSeconds, Processors, false, {nowMs, nowMs});
        }
        CHECK(*use.available == doctest::Approx(Processors));
        CHECK(use.usedShare < 0.2);
    }
}
