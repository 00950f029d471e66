#include <algorithm>
#include <map>
#include <vector>

#include "RunnerFixture.h"

using namespace RunnerSite;

namespace {

/// Observations that an agent with a run makes in each of the seconds in which every one fails
/// \a failsAfterMs after it was made.
std::vector<int> failedObservations(std::int64_t failsAfterMs)
{
    constexpr std::int64_t FromMs = 1000;
    constexpr std::int64_t UntilMs = 4000;
    Fixture site;
    site.answer(site.order("task", 990), FromMs);
    failPending(site, ObserveOutcome::Unanswered, FromMs);
    std::vector<int> made(3);
    std::multimap<std::int64_t, std::uint64_t> pending;
    for (std::int64_t nowMs = FromMs; nowMs < UntilMs; ++nowMs) {
        for (; !pending.empty() && pending.begin()->first <= nowMs;
             pending.erase(pending.begin())) {
            observeAnswered(site.state, pending.begin()->second, {}, at(nowMs));
        }
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            pending.emplace(nowMs + failsAfterMs, call->observation);
            ++made[static_cast<std::size_t>((nowMs - FromMs) / 1000)];
        }
    }
    return made;
}

} // namespace

TEST_CASE("A backend server that resets every connection is not observed at every round trip")
{
    // Guards against a new connection for each round trip while a backend server resets them.
    const std::vector<int> made = failedObservations(4);
    CHECK(made[0] <= 20);
    CHECK(*std::max_element(made.begin() + 1, made.end()) <= 8);
}

TEST_CASE("Observations are repeated at once after single failures and after an answer")
{
    // Guards against leases that lapse, since observations renew them.
    ObservationBackoff backoff;
    for (int failure = 0; failure < 3; ++failure) {
        recordObservationFailed(backoff, at(100));
        CHECK(backoff.notBeforeMs <= 100);
    }
    for (int failure = 0; failure < 20; ++failure) {
        recordObservationFailed(backoff, at(100));
    }
    CHECK(backoff.notBeforeMs > 100);
    CHECK(backoff.notBeforeMs - 100 <= LeaseMs / 3);
    recordObservationAnswered(backoff);
    CHECK(backoff.notBeforeMs == 0);
}
