#include <chrono>
#include <doctest/doctest.h>
#include <ostream>
#include <thread>

#include "Sites.h"

using namespace ResourceLimits;
using FakePlatform::loopback;

namespace {

constexpr int Ok = 200;

} // namespace

TEST_CASE("Jobs that require one kind of backend server do not start on another kind in its place")
{
    // Guards against gateways that go by the labels of a backend server that has crashed, since its
    // agent noticed the next one before that announced itself.
    constexpr std::chrono::milliseconds UntilNoticed{500};
    TransientProcesses site;
    REQUIRE(site.serves());
    REQUIRE(site.submitJobFor("a") == Ok);
    const std::string before = site.lastJobId();
    std::thread caller([&site] { site.submitLongJob(); });
    while (site.lastJobId() == before || !site.hasStarted(site.lastJobId())) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    site.restartBackend({"b"});
    std::this_thread::sleep_for(UntilNoticed);
    CHECK(site.submitJobFor("a") != Ok);
    CHECK_FALSE(site.hasStarted(site.lastJobId()));
    REQUIRE(site.backend->announce(loopback(site.registration), "desk", false));
    CHECK(site.servesJob());
    CHECK(site.submitJobFor("b") == Ok);
    CHECK(site.submitJobFor("a") != Ok);
    CHECK_FALSE(site.hasStarted(site.lastJobId()));
    caller.join();
}
