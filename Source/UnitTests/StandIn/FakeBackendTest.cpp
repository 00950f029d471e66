#include <doctest/doctest.h>
#include <future>

#include "Net/HttpClient.h"
#include "StandIn/StandIn.h"

namespace {

constexpr std::int64_t Never = std::int64_t{1} << 52U;

Schema::RunTask makeTask(const std::string &job, std::int64_t notAfterMs = Never,
                         const std::string &payload = "{}")
{
    Schema::RunTask task;
    task.job = job;
    task.notAfterMs = notAfterMs;
    task.service = "breach-alert";
    task.payload = payload;
    return task;
}

class BackendClient
{
public:
    explicit BackendClient(const StandIn::FakeBackendServer &server)
        : url(server.url())
        , client(16)
    {}

    std::future<Net::HttpResult> run(const Schema::RunTask &task)
    {
        const auto promise = std::make_shared<std::promise<Net::HttpResult>>();
        Net::HttpCall call;
        call.method = "POST";
        call.url = this->url + "/run";
        call.body = nlohmann::json(task).dump();
        this->client.send(
                call, [promise](Net::HttpResult result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

private:
    std::string url;
    Net::HttpClient client;
};

/// Waits until the counter \a key in the stats of \a server is \a count.
void waitForStat(const StandIn::FakeBackendServer &server, const char *key, std::int64_t count)
{
    while (server.stats().at(key).get<std::int64_t>() != count) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace

TEST_CASE("Tasks share memory and accelerators, and give them back")
{
    struct Row
    {
        const char *payload;
        StandIn::RunStatus runStatus;
    };
    StandIn::FakeBackend backend;
    backend.control.memoryMb = 1'000;
    backend.control.accelerators = 2;
    const Row rows[] = {
            {R"({"memoryMb":600,"accelerators":1})", StandIn::RunStatus::Started},
            {R"({"memoryMb":500})", StandIn::RunStatus::NoResources},
            {R"({"accelerators":2})", StandIn::RunStatus::NoResources},
            {R"({"memoryMb":400,"accelerators":1})", StandIn::RunStatus::Started},
            {R"({})", StandIn::RunStatus::Started},
            {R"({"accelerators":3})", StandIn::RunStatus::NoResources},
    };
    int index = 0;
    for (const Row &row : rows) {
        CAPTURE(row.payload);
        const StandIn::FakeTask fake = StandIn::parsePayload(row.payload).value();
        const auto task = makeTask("r" + std::to_string(++index));
        CHECK(StandIn::startTask(backend, task, fake, 100) == row.runStatus);
    }
    StandIn::endTask(backend, StandIn::parsePayload(rows[0].payload).value(), false);
    CHECK(backend.usedMemoryMb == 400);
    CHECK(backend.usedAccelerators == 1);
    CHECK(backend.starts == 3);
}

TEST_CASE("A refused task has not started")
{
    struct Row
    {
        const char *name;
        std::int64_t slots;
        bool refuseAll;
        std::int64_t notAfterMs;
        StandIn::RunStatus runStatus;
    };
    const Row rows[] = {
            {"room", 1, false, 100, StandIn::RunStatus::Started},
            {"full", 0, false, 100, StandIn::RunStatus::NoSlot},
            {"late", 1, false, 99, StandIn::RunStatus::NotAfterPassed},
            {"refusing", 1, true, 100, StandIn::RunStatus::Refused},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        StandIn::FakeBackend backend;
        backend.control.slots = row.slots;
        backend.control.refuseAll = row.refuseAll;
        CHECK(StandIn::startTask(backend, makeTask("j", row.notAfterMs), {}, 100) == row.runStatus);
        const bool hasStarted = row.runStatus == StandIn::RunStatus::Started;
        CHECK(backend.starts == (hasStarted ? 1 : 0));
        CHECK(backend.tasks.size() == (hasStarted ? 1 : 0));
        CHECK(backend.running == (hasStarted ? 1 : 0));
    }
}

TEST_CASE("A second start of a task is seen")
{
    StandIn::FakeBackend backend;
    StandIn::startTask(backend, makeTask("j"), {}, 100);
    StandIn::startTask(backend, makeTask("k"), {}, 100);
    CHECK(StandIn::backendStats(backend).at("doubles").empty());
    StandIn::startTask(backend, makeTask("j"), {}, 250);
    const nlohmann::json doubles = StandIn::backendStats(backend).at("doubles");
    REQUIRE(doubles.size() == 1);
    CHECK(doubles.at(0).at("job") == "j");
    CHECK(doubles.at(0).at("starts") == 2);
    CHECK(doubles.at(0).at("lastWallMs") == 250);
}

TEST_CASE("Answers say what became of a task")
{
    struct Row
    {
        const char *payload;
        std::int64_t notAfterMs;
        int status;
        const char *body;
    };
    const Row rows[] = {
            {R"({"runMs":5,"result":"done"})", Never, 200, R"({"result":"done"})"},
            {R"({})", Never, 200, R"({"result":""})"},
            {R"({"fail":true,"result":"no lorry"})", Never, 500,
             R"({"detail":"no lorry","reason":"task_failed"})"},
            {R"({})", 1, 412, R"({"reason":"not_after_passed"})"},
            {"cut 3 bars", Never, 400,
             R"({"detail":"payload is not a JSON object","reason":"malformed"})"},
    };
    const auto server = StandIn::FakeBackendServerBuilder().build();
    BackendClient client(*server);
    for (const Row &row : rows) {
        CAPTURE(row.payload);
        const Net::HttpResult result = client.run(makeTask("j", row.notAfterMs, row.payload)).get();
        CHECK(result.status == row.status);
        CHECK(result.body == row.body);
    }
}

TEST_CASE("Only the slots' number of tasks runs at once")
{
    StandIn::FakeBackendControl control;
    control.slots = 2;
    control.hang = true;
    const auto server = StandIn::FakeBackendServerBuilder().control(control).build();
    BackendClient client(*server);
    auto first = client.run(makeTask("a"));
    auto second = client.run(makeTask("b"));
    waitForStat(*server, "running", 2);
    CHECK(client.run(makeTask("c")).get().status == 503);
    control.hang = false;
    server->setControl(control);
    CHECK(first.get().status == 200);
    CHECK(second.get().status == 200);
    CHECK(client.run(makeTask("d")).get().status == 200);
    CHECK(server->stats().at("mostRunning") == 2);
}

TEST_CASE("A silent server starts nothing, and its late answers are correct")
{
    // Two requests of an agent hang: that of a task which is already running, and one that is sent
    // while the server is silent. When the silence ends, the first task has run and is answered as
    // completed. The second was never started and must be answered as refused.
    StandIn::FakeBackendControl control;
    const auto server = StandIn::FakeBackendServerBuilder().control(control).build();
    BackendClient client(*server);
    auto running = client.run(makeTask("a", Never, R"({"runMs":50,"result":"done"})"));
    waitForStat(*server, "starts", 1);
    control.silent = true;
    server->setControl(control);
    auto sentIntoSilence = client.run(makeTask("b"));
    waitForStat(*server, "succeeded", 1);
    while (server->stats().at("refused").at("backend_refused") != 1) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    control.silent = false;
    server->setControl(control);
    CHECK(running.get().body == R"({"result":"done"})");
    CHECK(sentIntoSilence.get().status == 503);
    CHECK(server->stats().at("starts") == 1);
}
