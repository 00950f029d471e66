#include <algorithm>
#include <doctest/doctest.h>
#include <set>

#include "Soak/Schedule.h"

namespace {

Soak::SchedulePlan planOf(std::uint64_t seed)
{
    return {seed, 20'000, 3, 4, 23};
}

std::string textOf(const std::vector<Soak::Fault> &faults)
{
    std::string text;
    for (const Soak::Fault &fault : faults) {
        text += Soak::describe(fault) + '\n';
    }
    return text;
}

} // namespace

TEST_CASE("A seed replays its schedule, and another one has another")
{
    for (const std::uint64_t seed : {1, 2, 3, 50}) {
        CAPTURE(seed);
        CHECK(textOf(Soak::drawSchedule(planOf(seed))) == textOf(Soak::drawSchedule(planOf(seed))));
        CHECK(textOf(Soak::drawSchedule(planOf(seed)))
              != textOf(Soak::drawSchedule(planOf(seed + 1))));
    }
}

TEST_CASE("Faults come in order, name what there is, and are over by the end")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const auto faults = Soak::drawSchedule(planOf(seed));
        CHECK(std::is_sorted(faults.begin(), faults.end(), [](const auto &left, const auto &right) {
            return left.atMs < right.atMs;
        }));
        for (const Soak::Fault &fault : faults) {
            CAPTURE(Soak::describe(fault));
            CHECK(fault.atMs + fault.durationMs <= 20'000);
            CHECK(fault.target >= 0);
            const auto target = Soak::traitsOf(fault.kind).target;
            CHECK(fault.target < (target == Soak::FaultTarget::Gateway   ? 3
                                  : target == Soak::FaultTarget::Agent   ? 4
                                  : target == Soak::FaultTarget::Backend ? 4
                                  : target == Soak::FaultTarget::Link    ? 23
                                  : target == Soak::FaultTarget::FailureDomain
                                          ? Soak::FailureDomains
                                          : 1));
        }
    }
}

TEST_CASE("A hold-up of a callers' link outlasts a caller that submits again")
{
    // The gateway then reads a request of a caller that has left and has submitted it elsewhere.
    constexpr std::int64_t SubmitsAgainMs = 1000 + 1300;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        int whole = 0;
        for (const Soak::Fault &fault : Soak::drawSchedule(planOf(seed))) {
            const bool endsWithPlan = fault.atMs + fault.durationMs == 20'000;
            if (fault.kind == Soak::FaultKind::CallerLinkHoldUp && !endsWithPlan) {
                CAPTURE(Soak::describe(fault));
                CHECK(fault.durationMs > SubmitsAgainMs);
                ++whole;
            }
        }
        CHECK(whole > 0);
    }
}

TEST_CASE("Some seeds bring every kind of fault, and faults overlap")
{
    std::set<Soak::FaultKind> kinds;
    int overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::int64_t endMs = 0;
        for (const Soak::Fault &fault : Soak::drawSchedule(planOf(seed))) {
            kinds.insert(fault.kind);
            overlaps += fault.atMs < endMs ? 1 : 0;
            endMs = std::max(endMs, fault.atMs + fault.durationMs);
        }
    }
    CHECK(kinds.size() == 35);
    CHECK(overlaps > 500);
}
