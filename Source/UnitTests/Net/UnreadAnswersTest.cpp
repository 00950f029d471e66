#include <doctest/doctest.h>
#include <vector>

#include "Net/UnreadAnswers.h"

namespace {

std::vector<std::uint64_t> connectionsOf(const std::vector<Net::DroppedAnswer> &dropped,
                                         Net::DropCause cause)
{
    std::vector<std::uint64_t> connections;
    for (const Net::DroppedAnswer &answer : dropped) {
        if (answer.cause == cause) {
            connections.push_back(answer.connection);
        }
    }
    return connections;
}

} // namespace

TEST_CASE("Unread answers are dropped when they stall or exceed the memory, longest stalled first")
{
    constexpr std::int64_t NowMs = 10'000;
    Net::UnreadLimits limits;
    limits.maxStall = std::chrono::milliseconds(1000);
    limits.idleAfter = std::chrono::milliseconds(50);
    limits.maxIdleBytes = 100;
    limits.maxBytes = 300;
    struct Row
    {
        const char *name;
        std::vector<Net::UnreadAnswer> unread;
        std::vector<std::uint64_t> stalled;
        std::vector<std::uint64_t> beyondMemory;
    };
    const Row rows[] = {
            {"none", {}, {}, {}},
            {"within both limits", {{1, 60, 9001}, {2, 40, 9500}}, {}, {}},
            {"stalled", {{1, 10, 9500}, {2, 10, 9000}}, {2}, {}},
            {"too much memory", {{1, 60, 9900}, {2, 60, 9100}, {3, 40, 9500}}, {}, {2}},
            {"too much memory twice", {{1, 90, 9900}, {2, 60, 9100}, {3, 40, 9500}}, {}, {2, 3}},
            {"enough is free after the stalled one", {{1, 90, 9900}, {2, 60, 9000}}, {2}, {}},
            {"stalled, and too much memory",
             {{1, 90, 9900}, {2, 60, 9000}, {3, 20, 9300}},
             {2},
             {3}},
            {"callers that read may take more",
             {{1, 90, 9960}, {2, 110, 9970}, {3, 90, 9980}},
             {},
             {}},
            {"those that do not read go first",
             {{1, 90, 9960}, {2, 110, 9900}, {3, 80, 9980}},
             {},
             {2}},
            {"too much, though all are read",
             {{1, 90, 9960}, {2, 110, 9970}, {3, 120, 9980}},
             {},
             {1}},
            {"one alone may exceed the memory", {{1, 500, 9100}}, {}, {}},
            {"the last one may exceed the memory", {{1, 500, 9100}, {2, 700, 9200}}, {}, {1}},
            {"one alone may not stall", {{1, 500, 9000}}, {1}, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const auto dropped = Net::answersToDrop(row.unread, limits, NowMs);
        CHECK(connectionsOf(dropped, Net::DropCause::Stalled) == row.stalled);
        CHECK(connectionsOf(dropped, Net::DropCause::Memory) == row.beyondMemory);
    }
    CHECK(Net::nextDropMs({{1, 1, 9900}, {2, 1, 9100}}, limits, NowMs) == 10'100);
    CHECK(Net::nextDropMs({{1, 60, 9970}, {2, 60, 9900}}, limits, NowMs) == 10'020);
}
