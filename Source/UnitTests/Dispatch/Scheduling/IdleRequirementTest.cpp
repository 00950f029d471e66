#include <doctest/doctest.h>

#include "Dispatch/Scheduling/BackendPool.h"

namespace {

Schema::AgentHello makeHello(const std::string &name)
{
    Schema::AgentHello hello;
    hello.instance = name + "-1";
    hello.backend.name = name;
    hello.backend.slots = 8;
    hello.backend.connections = 64;
    hello.backend.resources.processors = 64;
    hello.window = 8;
    hello.healthy = true;
    return hello;
}

} // namespace

TEST_CASE("A requirement without users follows what becomes of the backend servers")
{
    // Jobs ran and ended; then an operator drains one backend server, or one joins. The next job of
    // the same service was refused as never runnable, though other backend servers could run it:
    // those changes were judged as if nothing could serve a requirement without users, and its next
    // user found none able.
    struct Row
    {
        const char *name;
        const char *drained;
        const char *joining;
        std::size_t able;
    };
    const Row rows[] = {
            {"drain", "tunis-1", nullptr, 1},
            {"join", nullptr, "nabeul-1", 3},
            {"drain and join", "tunis-1", "nabeul-1", 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Dispatch::BackendPool pool;
        Dispatch::updateBackend(pool, makeHello("tunis-1"), 0);
        Dispatch::updateBackend(pool, makeHello("bizerte-1"), 0);
        const Schema::Resources none;
        const Dispatch::RequirementId id =
                Dispatch::acquireRequirement(pool, "breach-alert", none, 0);
        Dispatch::releaseRequirement(pool, id);
        if (row.drained != nullptr) {
            Schema::Drain drain;
            drain.backend = row.drained;
            Dispatch::setDrains(pool, {drain}, 100);
        }
        if (row.joining != nullptr) {
            Dispatch::updateBackend(pool, makeHello(row.joining), 100);
        }
        REQUIRE(Dispatch::acquireRequirement(pool, "breach-alert", none, 200) == id);
        CHECK(pool.requirements[id].eligibleCount == row.able);
        CHECK(pool.requirements[id].free.size() == row.able);
    }
}
