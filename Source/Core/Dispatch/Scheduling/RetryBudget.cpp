#include "Dispatch/Scheduling/RetryBudget.h"

#include <algorithm>

namespace Dispatch {
namespace {

/// The first retry follows soon, after at most a tenth of the run time of the shortest common
/// tasks.
constexpr std::int64_t FirstBackoffMs = 5;
constexpr std::int64_t BackoffGrowth = 3;
constexpr std::int64_t MaxBackoffMs = 2000;
/// Added to the back-off while no token is left.
constexpr std::int64_t OverBudgetDelayMs = 500;

} // namespace

void earnRetryTokens(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + RetryTokensPerStart, MaxRetryTokens);
}

std::int64_t spendRetry(RetryBudget &budget, int attempt, Common::Random &random)
{
    std::int64_t bound = FirstBackoffMs;
    for (int step = 1; step < attempt && bound < MaxBackoffMs; ++step) {
        bound = std::min(bound * BackoffGrowth, MaxBackoffMs);
    }
    const auto jitter = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound + 1));
    if (budget.tokens < 1) {
        return OverBudgetDelayMs + jitter;
    }
    budget.tokens -= 1;
    return jitter;
}

} // namespace Dispatch
