#pragma once

#include <cstdint>

#include "Common/Common.h"

/// How often, and how soon, a task that was proven not to have started is sent again.
///
/// Load pattern: a backend server, a rack or a failure domain goes or comes back and hundreds of
/// starts are refused in the same moment. Without a budget they are all sent again at once, are
/// refused again, and the refusals crowd out starts elsewhere; without jitter they come back in
/// step and meet the recovering backend server together.
namespace Dispatch {

/// Tokens earned by starts and spent by retries.
struct RetryBudget
{
    double tokens = 32;
};

/// One retry for ten starts, as in common RPC practice: a fleet that refuses more than that is
/// better served by waiting. The burst lets the tasks of some lost backend servers of 8 slots go
/// elsewhere at once.
constexpr double RetryTokensPerStart = 0.1;
constexpr double MaxRetryTokens = 256;
/// The back-offs between eight attempts add up to 2 s on average and 4 s at most: about what a
/// lapsed lease or a silent agent takes to be noticed.
constexpr int MaxStartAttempts = 8;

void earnRetryTokens(RetryBudget &budget);

/// How long the task waits before it is offered again, after its \a attempt th start was refused.
/// Random between nothing and a bound that grows threefold. Without a token left, it also waits out
/// the time in which tokens come back.
std::int64_t spendRetry(RetryBudget &budget, int attempt, Common::Random &random);

} // namespace Dispatch
