#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>

#include "Common/Common.h"

using Mailbox = Common::WorkMailbox<std::string, int>;

TEST_CASE("Messages do not wait behind work that has piled up")
{
    // Guards against heartbeats that are handled after all requests of an overloaded process.
    constexpr std::chrono::milliseconds NoWait(0);
    Mailbox mailbox;
    for (int work = 1; work <= 3; ++work) {
        mailbox.postWork(work);
    }
    mailbox.post("heartbeat");
    Mailbox::Taken taken = mailbox.take(NoWait, 2);
    CHECK(taken.messages.size() == 1);
    REQUIRE(taken.work.size() == 2);
    CHECK(taken.work.front() == 1);
    mailbox.post("another");
    taken = mailbox.take(NoWait, 2);
    CHECK(taken.messages.size() == 1);
    REQUIRE(taken.work.size() == 1);
    CHECK(taken.work.front() == 3);
    taken = mailbox.take(NoWait, 2);
    CHECK(taken.messages.empty());
    CHECK(taken.work.empty());
}

TEST_CASE("A wait without an end ends at once, and the thread that waits takes a processor")
{
    constexpr std::chrono::milliseconds Later(50);
    Mailbox mailbox;
    std::thread sender([&mailbox, Later] {
        std::this_thread::sleep_for(Later);
        mailbox.post("event");
    });
    const Mailbox::Taken taken = mailbox.take(std::chrono::milliseconds::max(), 1);
    sender.join();
    CHECK(taken.messages.size() == 1);
}
