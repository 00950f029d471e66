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

TEST_CASE("A requirement without users is updated when backend servers change")
{
    // Guards against refusing a job as never runnable although a backend server can run it. When
    // all jobs of a service had ended and then a backend server was drained or another one joined,
    // the change was handled as if no backend server could serve a requirement without users, so
    // that the next job of the service found no eligible backend server.
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
            Schema::Configuration configuration;
            configuration.drains = {Schema::Drain{row.drained}};
            Dispatch::setDrains(pool, configuration, 100);
        }
        if (row.joining != nullptr) {
            Dispatch::updateBackend(pool, makeHello(row.joining), 100);
        }
        REQUIRE(Dispatch::acquireRequirement(pool, "breach-alert", none, 200) == id);
        CHECK(pool.requirements[id].eligibleCount == row.able);
        CHECK(pool.requirements[id].free.size() == row.able);
    }
}
