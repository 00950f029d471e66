#include "Net/Holdings.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace Net {

namespace {

constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();
/// A connection that is younger than this goes last.
constexpr std::int64_t FreshMs = 1000;
/// Requests up to this length count as ordinary.
constexpr std::size_t OrdinaryRequestBytes = std::size_t{16} << 10U;

/// Holdings that are left after earlier choices, and what is chosen.
struct Selection
{
    std::vector<Holding> remaining;
    std::vector<Release> releases;
};

/// Moves the holdings that \a isChosen returns true for.
template <typename IsChosen>
void choose(Selection &selection, ReleaseCause cause, IsChosen isChosen)
{
    std::vector<Holding> remaining;
    for (const Holding &holding : selection.remaining) {
        if (isChosen(holding)) {
            selection.releases.push_back({holding.connection, holding.stage, holding.bytes, cause});
        } else {
            remaining.push_back(holding);
        }
    }
    selection.remaining.swap(remaining);
}

void choose(Selection &selection, ReleaseCause cause, const std::set<std::uint64_t> &connections)
{
    choose(selection, cause, [&connections](const Holding &holding) {
        return connections.count(holding.connection) > 0;
    });
}

std::vector<UnreadAnswer> unreadAnswersOf(const std::vector<Holding> &holdings)
{
    std::vector<UnreadAnswer> unread;
    for (const Holding &holding : holdings) {
        if (holding.stage == HoldingStage::Answer) {
            unread.push_back({holding.connection, holding.bytes, holding.sinceMs});
        }
    }
    return unread;
}

template <typename IsLess>
std::set<std::uint64_t> firstOf(std::vector<Holding> candidates, std::size_t count, IsLess isLess)
{
    count = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), isLess);
    std::set<std::uint64_t> first;
    for (std::size_t index = 0; index < count; ++index) {
        first.insert(candidates[index].connection);
    }
    return first;
}

bool isBeingRead(const Holding &holding, const ListenerLimits &limits, std::int64_t nowMs)
{
    return holding.stage == HoldingStage::Answer
           && nowMs - holding.sinceMs < limits.unread.idleAfter.count();
}

int closingOrder(const Holding &holding)
{
    constexpr int ClosingFirst = 0;
    constexpr int NeverServed = 1;
    constexpr int Served = 2;
    constexpr int Unread = 3;
    if (holding.stage == HoldingStage::Closing) {
        return ClosingFirst;
    }
    if (holding.stage == HoldingStage::Answer) {
        return Unread;
    }
    const bool isServedAndIdle = holding.stage == HoldingStage::Idle && holding.hasBeenServed;
    return isServedAndIdle ? Served : NeverServed;
}

void chooseByTime(Selection &selection, const ListenerLimits &limits, std::int64_t nowMs)
{
    choose(selection, ReleaseCause::TimedOut,
           [&](const Holding &holding) { return expiryMs(holding, limits) <= nowMs; });
}

void chooseByConnections(Selection &selection, const ListenerLimits &limits, std::int64_t nowMs)
{
    if (selection.remaining.size() <= limits.maxConnections) {
        return;
    }
    const std::size_t excess = selection.remaining.size() - limits.maxConnections;
    std::vector<Holding> candidates;
    for (const Holding &holding : selection.remaining) {
        if (holding.stage != HoldingStage::Running && !isBeingRead(holding, limits, nowMs)) {
            candidates.push_back(holding);
        }
    }
    const auto rank = [nowMs](const Holding &holding) {
        const bool isFresh = nowMs - holding.sinceMs < FreshMs;
        return std::make_tuple(isFresh && holding.stage != HoldingStage::Closing,
                               closingOrder(holding), holding.sinceMs, holding.connection);
    };
    const std::set<std::uint64_t> chosen =
            firstOf(std::move(candidates), excess,
                    [&rank](const Holding &a, const Holding &b) { return rank(a) < rank(b); });
    choose(selection, ReleaseCause::Connections, chosen);
}

void chooseAnswers(Selection &selection, const ListenerLimits &limits, std::int64_t nowMs)
{
    std::set<std::uint64_t> chosen;
    for (const DroppedAnswer &answer :
         answersToDrop(unreadAnswersOf(selection.remaining), limits.unread, nowMs)) {
        chosen.insert(answer.connection);
    }
    choose(selection, ReleaseCause::Memory, chosen);
}

void chooseByMemory(Selection &selection, std::size_t runningBytes, const ListenerLimits &limits,
                    std::int64_t nowMs)
{
    std::size_t held = runningBytes;
    std::size_t answers = 0;
    std::vector<Holding> candidates;
    for (const Holding &holding : selection.remaining) {
        held += holding.bytes;
        answers += holding.stage == HoldingStage::Answer ? 1 : 0;
        if (holding.bytes > 0 && holding.stage != HoldingStage::Running
            && !isBeingRead(holding, limits, nowMs)) {
            candidates.push_back(holding);
        }
    }
    if (held <= limits.maxBytes) {
        return;
    }
    const auto weight = [nowMs](const Holding &holding) {
        return static_cast<double>(holding.bytes)
               * static_cast<double>(std::max<std::int64_t>(nowMs - holding.sinceMs, 1));
    };
    std::sort(candidates.begin(), candidates.end(), [&weight](const Holding &a, const Holding &b) {
        return std::make_tuple(-weight(a), a.sinceMs, a.connection)
               < std::make_tuple(-weight(b), b.sinceMs, b.connection);
    });
    std::set<std::uint64_t> chosen;
    for (const Holding &holding : candidates) {
        const bool isAnswer = holding.stage == HoldingStage::Answer;
        if (held <= limits.maxBytes) {
            break;
        }
        if (isAnswer && answers == 1) {
            continue;
        }
        chosen.insert(holding.connection);
        held -= holding.bytes;
        answers -= isAnswer ? 1 : 0;
    }
    choose(selection, ReleaseCause::Memory, chosen);
}

} // namespace

std::vector<Release> holdingsToRelease(const std::vector<Holding> &holdings,
                                       std::size_t runningBytes, const ListenerLimits &limits,
                                       std::int64_t nowMs)
{
    Selection selection{holdings, {}};
    chooseByTime(selection, limits, nowMs);
    chooseByConnections(selection, limits, nowMs);
    chooseAnswers(selection, limits, nowMs);
    chooseByMemory(selection, runningBytes, limits, nowMs);
    return selection.releases;
}

std::int64_t expiryMs(const Holding &holding, const ListenerLimits &limits)
{
    const ConnectionTimeouts &timeouts = limits.timeouts;
    switch (holding.stage) {
    case HoldingStage::Idle:
        return holding.sinceMs
               + (holding.hasBeenServed ? timeouts.idle : timeouts.firstRequest).count();
    case HoldingStage::Head:
    case HoldingStage::Body:
        return holding.sinceMs + timeouts.request.count();
    case HoldingStage::Answer:
        return holding.sinceMs + limits.unread.maxStall.count();
    case HoldingStage::Closing:
        return holding.sinceMs + timeouts.closing.count();
    case HoldingStage::Running:
        break;
    }
    return Never;
}

std::int64_t nextReleaseMs(const std::vector<Holding> &holdings, const ListenerLimits &limits,
                           std::int64_t nowMs)
{
    std::int64_t earliestMs = nextDropMs(unreadAnswersOf(holdings), limits.unread, nowMs);
    for (const Holding &holding : holdings) {
        earliestMs = std::min(earliestMs, expiryMs(holding, limits));
    }
    return earliestMs;
}

bool admitsRequest(std::size_t bytes, std::size_t runningBytes, const ListenerLimits &limits)
{
    const bool isOrdinary = bytes <= OrdinaryRequestBytes;
    return runningBytes + bytes <= (isOrdinary ? limits.maxBytes : limits.maxBytes / 2);
}

} // namespace Net
