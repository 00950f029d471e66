#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <vector>

#include "Net/Holdings.h"
#include "Net/ListenerLimits.h"

namespace {

using Net::Holding;
using Net::HoldingStage;
using Net::ReleaseCause;

constexpr std::int64_t NowMs = 100'000;
constexpr bool Served = true;

Net::ListenerLimits testLimits()
{
    Net::ListenerLimits limits;
    limits.maxBytes = 1000;
    limits.maxConnections = 4;
    limits.timeouts.firstRequest = std::chrono::milliseconds(20'000);
    limits.timeouts.idle = std::chrono::milliseconds(50'000);
    limits.timeouts.request = std::chrono::milliseconds(10'000);
    limits.timeouts.closing = std::chrono::milliseconds(2000);
    limits.unread.maxStall = std::chrono::milliseconds(30'000);
    limits.unread.idleAfter = std::chrono::milliseconds(1000);
    limits.unread.maxIdleBytes = 500;
    limits.unread.maxBytes = 1000;
    return limits;
}

Holding holding(std::uint64_t connection, HoldingStage stage, std::size_t bytes, std::int64_t ageMs,
                bool hasBeenServed = false)
{
    return {connection, stage, bytes, NowMs - ageMs, hasBeenServed, 0};
}

std::vector<std::uint64_t> chosen(const std::vector<Net::Release> &releases, ReleaseCause cause)
{
    std::vector<std::uint64_t> connections;
    for (const Net::Release &release : releases) {
        if (release.cause == cause) {
            connections.push_back(release.connection);
        }
    }
    return connections;
}

} // namespace

TEST_CASE("Connections that hold much for long without progress keep the room of others")
{
    constexpr HoldingStage Idle = HoldingStage::Idle;
    constexpr HoldingStage Head = HoldingStage::Head;
    constexpr HoldingStage Body = HoldingStage::Body;
    constexpr HoldingStage Running = HoldingStage::Running;
    constexpr HoldingStage Answer = HoldingStage::Answer;
    constexpr HoldingStage Closing = HoldingStage::Closing;
    struct Row
    {
        const char *name;
        std::vector<Holding> holdings;
        std::size_t runningBytes;
        std::vector<std::uint64_t> timedOut;
        std::vector<std::uint64_t> byConnections;
        std::vector<std::uint64_t> byMemory;
    };
    const Row rows[] = {
            {"none", {}, 0, {}, {}, {}},
            {"calm",
             {holding(1, Idle, 0, 15'000), holding(2, Body, 900, 100), holding(3, Running, 0, 90)},
             0,
             {},
             {},
             {}},
            {"no first request in time",
             {holding(1, Idle, 0, 20'000), holding(2, Idle, 0, 20'000, Served)},
             0,
             {1},
             {},
             {}},
            {"idle for too long", {holding(1, Idle, 0, 50'000, Served)}, 0, {1}, {}, {}},
            {"a byte a second is no progress",
             {holding(1, Head, 10, 10'000), holding(2, Body, 10, 9999)},
             0,
             {1},
             {},
             {}},
            {"a request that runs never times out",
             {holding(1, Running, 0, 90'000)},
             0,
             {},
             {},
             {}},
            {"the caller does not close", {holding(1, Closing, 0, 2000)}, 0, {1}, {}, {}},
            {"an answer stalls", {holding(1, Answer, 10, 30'000)}, 0, {1}, {}, {}},
            {"the longest-standing one without a request goes first",
             {holding(1, Idle, 0, 5000), holding(2, Head, 10, 9000), holding(3, Idle, 0, 10),
              holding(4, Running, 0, 9000), holding(5, Idle, 0, 9500, Served)},
             0,
             {},
             {2},
             {}},
            {"one that is closing goes before",
             {holding(1, Idle, 0, 5000), holding(2, Head, 10, 9000), holding(3, Idle, 0, 10),
              holding(4, Closing, 0, 100), holding(5, Idle, 0, 9500, Served)},
             0,
             {},
             {4},
             {}},
            {"a new caller comes after idle ones that were served",
             {holding(1, Idle, 0, 10), holding(2, Running, 0, 9000), holding(3, Running, 0, 9000),
              holding(4, Idle, 0, 5000, Served), holding(5, Idle, 0, 6000, Served)},
             0,
             {},
             {5},
             {}},
            {"among new callers the first goes",
             {holding(1, Idle, 0, 10), holding(2, Idle, 0, 30), holding(3, Idle, 0, 20),
              holding(4, Running, 0, 5000), holding(5, Running, 0, 6000)},
             0,
             {},
             {2},
             {}},
            {"requests that run are never given up",
             {holding(1, Running, 0, 1), holding(2, Running, 0, 30), holding(3, Running, 0, 20),
              holding(4, Running, 0, 5000), holding(5, Running, 0, 6000)},
             900,
             {},
             {},
             {}},
            {"most bytes for the longest time",
             {holding(1, Body, 400, 1000), holding(2, Body, 400, 9000), holding(3, Head, 20, 9500),
              holding(4, Body, 300, 10)},
             0,
             {},
             {},
             {2}},
            {"of those that came in the same millisecond the first goes",
             {holding(3, Body, 400, 5), holding(1, Body, 400, 5), holding(2, Body, 400, 5)},
             0,
             {},
             {},
             {1}},
            {"a millisecond counts like none, and the first goes",
             {holding(3, Body, 400, 0), holding(2, Body, 400, 0), holding(1, Body, 400, 1)},
             0,
             {},
             {},
             {1}},
            {"several of those that came in the same millisecond",
             {holding(4, Body, 400, 1), holding(3, Body, 400, 1), holding(2, Body, 400, 1),
              holding(1, Body, 400, 1)},
             0,
             {},
             {},
             {2, 1}},
            {"requests that run leave less room",
             {holding(1, Body, 300, 1000), holding(2, Body, 100, 100)},
             800,
             {},
             {},
             {1}},
            {"a fresh request is the last",
             {holding(1, Body, 600, 5), holding(2, Head, 100, 9000), holding(3, Body, 500, 9000)},
             0,
             {},
             {},
             {3}},
            {"an answer that is not read goes like a request",
             {holding(1, Answer, 400, 9000), holding(2, Body, 700, 100),
              holding(3, Answer, 50, 10)},
             0,
             {},
             {},
             {1}},
            {"an answer that is read stays",
             {holding(1, Answer, 450, 10), holding(2, Body, 700, 100)},
             0,
             {},
             {},
             {2}},
            {"one answer alone may exceed the memory",
             {holding(1, Answer, 5000, 2000)},
             0,
             {},
             {},
             {}},
            {"answers that are not read have a limit of their own",
             {holding(1, Answer, 300, 2000), holding(2, Answer, 300, 5000)},
             0,
             {},
             {},
             {2}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const auto releases =
                Net::holdingsToRelease(row.holdings, row.runningBytes, testLimits(), NowMs);
        CHECK(chosen(releases, ReleaseCause::TimedOut) == row.timedOut);
        CHECK(chosen(releases, ReleaseCause::Connections) == row.byConnections);
        CHECK(chosen(releases, ReleaseCause::Memory) == row.byMemory);
    }
    CHECK(Net::expiryMs(holding(1, Body, 1, 0), testLimits()) == NowMs + 10'000);
    CHECK(Net::expiryMs(holding(1, Running, 1, 0), testLimits())
          == std::numeric_limits<std::int64_t>::max());
}

TEST_CASE("Long requests leave no room for ordinary ones")
{
    struct Row
    {
        std::size_t bytes;
        std::size_t runningBytes;
        bool isAdmitted;
    };
    Net::ListenerLimits limits;
    limits.maxBytes = 1'000'000;
    const Row rows[] = {{500'000, 0, true},        {500'001, 0, false},
                        {400'000, 100'001, false}, {10'000, 990'000, true},
                        {10'000, 990'001, false},  {10'000, 600'000, true}};
    for (const Row &row : rows) {
        CAPTURE(row.bytes);
        CAPTURE(row.runningBytes);
        CHECK(Net::admitsRequest(row.bytes, row.runningBytes, limits) == row.isAdmitted);
    }
}

TEST_CASE("The listeners of a process together may take more than the process has")
{
    constexpr std::size_t MiB = std::size_t{1} << 20U;
    using Net::Listener;
    struct Row
    {
        Net::ProcessLimits process;
        std::vector<Listener> listeners;
    };
    const std::vector<Listener> gateway{Listener::Callers, Listener::Links, Listener::Probe,
                                        Listener::Metrics};
    const Row rows[] = {
            {{120 * MiB, 3075}, gateway},
            {{260 * MiB, 4100}, gateway},
            {{512 * MiB, 160}, gateway},
            {{128 * MiB, 4096}, {Listener::Registration, Listener::Metrics}},
            {{128 * MiB, 20'000}, {Listener::Metrics}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.process.memoryBytes);
        CAPTURE(row.process.descriptors);
        std::size_t bytes = 0;
        std::size_t connections = 0;
        for (const Net::ListenerLimits &limits : Net::listenerLimits(row.process, row.listeners)) {
            bytes += limits.maxBytes;
            connections += limits.maxConnections;
            CHECK(limits.maxConnections >= 4);
            CHECK(limits.unread.maxIdleBytes <= limits.unread.maxBytes);
            CHECK(limits.unread.maxBytes <= limits.maxBytes);
        }
        CHECK(bytes <= row.process.memoryBytes / 3);
        const std::size_t reserved = std::min<std::size_t>(512, row.process.descriptors / 4);
        CHECK(connections <= row.process.descriptors - reserved);
    }
}
