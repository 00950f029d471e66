#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace Dispatch {
namespace {

/// The first retry goes elsewhere soon: at most a tenth of the shortest common task.
constexpr std::int64_t FirstBackoffMs = 5;
constexpr std::int64_t MaxBackoffMs = 2000;
constexpr std::int64_t OverBudgetMs = 500;

} // namespace

void startCounted(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + RetryTokensPerStart, MaxRetryTokens);
}

std::int64_t spendRetry(RetryBudget &budget, int attempt, Common::Random &random)
{
    const int doublings = std::clamp(attempt - 1, 0, MaxStartAttempts);
    const std::int64_t bound = std::min(FirstBackoffMs << doublings, MaxBackoffMs);
    const auto jitter = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound + 1));
    if (budget.tokens < 1) {
        return OverBudgetMs + jitter;
    }
    budget.tokens -= 1;
    return jitter;
}

} // namespace Dispatch
