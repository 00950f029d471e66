#pragma once

#include <cstdint>

#include "Common/Common.h"

/// Limits how often and how soon a task that is proven not to have started is sent again.
///
/// Load pattern: a backend server, a rack or a failure domain fails or returns, and hundreds of
/// starts are refused at the same moment. Without a budget all of them are sent again at once and
/// refused again, and the refusals displace starts elsewhere. Without jitter the retries stay
/// synchronised and reach the recovering backend server together.
namespace Dispatch {

/// Tokens earned by starts and spent by retries.
struct RetryBudget
{
    double tokens = 32;
};

/// One retry for every ten starts, as is common for RPC retry budgets. If the fleet refuses more
/// than that, waiting helps more than retrying.
constexpr double RetryTokensPerStart = 0.1;
/// Lets the tasks of several lost backend servers with 8 slots each be sent elsewhere at once.
constexpr double MaxRetryTokens = 256;
/// The back-offs between eight attempts add up to 2 s on average and 4 s at most, which is about
/// how long it takes to notice an expired lease or a silent agent.
constexpr int MaxStartAttempts = 8;

/// Adds the tokens that one start earns.
void earnRetryTokens(RetryBudget &budget);

/// Spends a token, if any, and returns how long in milliseconds the task waits before it is queued
/// again, after its start number \a attempt was refused: a random time up to a bound that triples
/// with each attempt. If no token is left, a fixed delay in which new tokens can be earned is
/// added.
std::int64_t spendRetry(RetryBudget &budget, int attempt, Common::Random &random);

} // namespace Dispatch
