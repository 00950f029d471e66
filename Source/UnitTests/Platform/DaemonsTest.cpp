#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <ostream>
#include <sstream>
#include <sys/socket.h>
#include <thread>

#include "DaemonSite.h"
#include "platform/Platform.h"

namespace {

using namespace DaemonTests;

/// Submits a job and ends the sending side of the connection. The gateway receives both at once, as
/// it does from a caller that gave up while its request was held up. Waits for the end of the
/// answer. False if this thread stalled, so that the kernel may have sent the request on its own.
bool submitAndLeave(const std::string &address, const std::string &path, const std::string &body)
{
    using boost::asio::ip::tcp;
    const Net::Address target = Net::parseAddress(address);
    boost::asio::io_context context;
    tcp::socket caller(context);
    caller.connect({boost::asio::ip::address_v4::loopback(), target.port});
    const std::string request = "POST " + path
                                + " HTTP/1.1\r\nHost: desk.example\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body;
    // The kernel keeps the request for 200 ms, so that the end of the stream goes with it.
    constexpr std::chrono::milliseconds SurelyKept{100};
    const auto sentAt = std::chrono::steady_clock::now();
    REQUIRE(::send(caller.native_handle(), request.data(), request.size(), MSG_MORE)
            == static_cast<ssize_t>(request.size()));
    caller.shutdown(tcp::socket::shutdown_send);
    const bool isSentTogether = std::chrono::steady_clock::now() < sentAt + SurelyKept;
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read(caller, boost::asio::dynamic_buffer(answer), ended);
    return isSentTogether;
}

} // namespace

TEST_CASE("A job is processed by the real daemons")
{
    Site site;
    REQUIRE(site.serves());
    struct Row
    {
        const char *what;
        const char *method;
        std::string path;
        std::string body;
        int status;
    };
    const std::string id = std::string("/checks/") + Job;
    const Row rows[] = {
            {"a job", "POST", id, Site::shortJob(), 200},
            {"the same again: its answer is remembered", "POST", id, Site::shortJob(), 200},
            {"no such queue", "POST", "/elsewhere/1", Site::shortJob(), 404},
            {"no id", "POST", "/checks/1", Site::shortJob(), 400},
            {"not a job", "POST", id, "{", 400},
            {"a kind that is not served", "POST", id, R"({"steps":[{"count":1}]})", 503},
            {"what waits", "GET", "/checks/", "", 200},
            {"a job that has ended is not kept", "GET", id, "", 410},
            {"nothing to cancel", "DELETE", id, "", 410},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const Net::HttpResult result = site.call(row.method, row.path, row.body);
        CHECK(result.transport == Net::HttpTransport::Answered);
        CHECK(result.status == row.status);
    }
    CHECK(site.call("POST", id, std::string(300'000, 'x')).status == 413);
    CHECK(site.store.writes() > 0);
}

TEST_CASE("Without a configuration nothing is answered as unknown")
{
    // A gateway that starts while the store is down does not know which queues exist: with 404 a
    // caller would assume that its queue was removed.
    Site site(false);
    CHECK(site.call("POST", std::string("/checks/") + Job, Site::shortJob()).status == 503);
    CHECK_FALSE(site.isReady());
}

TEST_CASE("A configuration is read although the connection that it was to come by is dead")
{
    // Guards against a gateway that waits on a connection without an end at the store, and serves
    // an old configuration for as long.
    constexpr std::int64_t ApplyMs = 2000;
    Site site;
    REQUIRE(site.serves());
    REQUIRE(waitFor([&site] { return site.store.longestQueuesWaitMs() > 0; }));
    site.store.abandonReaders();
    site.store.setQueues(FakePlatform::queueRecord(8, Service, {{"/new/", 1}}));
    CHECK(waitFor([&site] { return site.call("GET", "/new/").status == 200; }));
    // The gateway tells a dead connection from an idle one only by the end of its wait.
    CHECK(site.store.longestQueuesWaitMs() < ApplyMs);
}

TEST_CASE("The caller's connection closes, and what ran for it is stopped")
{
    // The caller times out after 300 ms. Its tasks would run for 1.5 s. They are stopped well
    // before that, so that the caller may submit the job again at another gateway.
    Site site;
    REQUIRE(site.serves());
    const int before = site.backend.starts();
    const auto result = site.call("POST", std::string("/checks/") + Job, Site::longJob(), 300);
    CHECK(result.transport == Net::HttpTransport::TimedOut);
    CHECK(site.backend.starts() <= before + 2);
    CHECK(waitFor([&site] { return site.backend.running() == 0; }));
    CHECK(site.call("GET", std::string("/checks/") + Job).status == 410);
}

TEST_CASE("A job whose caller has left before the gateway reads it starts nothing")
{
    // Guards against a run beside that of the gateway where the caller has submitted the job again.
    constexpr int Jobs = 50;
    constexpr int TasksOfJob = 2;
    constexpr int TasksOfLastJob = 3;
    constexpr std::uint64_t FirstId = 0x1000'0000'0000'0000;
    Site site;
    REQUIRE(site.serves());
    int allowed = site.backend.starts() + TasksOfLastJob;
    for (std::uint64_t job = 0; job < Jobs; ++job) {
        std::ostringstream path;
        path << "/checks/" << std::hex << FirstId + job;
        const bool isSentTogether = submitAndLeave(site.callers, path.str(), Site::longJob());
        allowed += isSentTogether ? 0 : TasksOfJob;
    }
    CHECK(site.call("POST", std::string("/checks/") + Job, Site::shortJob()).status == 200);
    CHECK(site.backend.starts() <= allowed);
}

TEST_CASE("A gateway that is asked to stop answers the jobs that it has accepted")
{
    // The job's caller is answered after the stop was requested. Meanwhile the readiness probe
    // fails. The process ends when no request is open any more.
    Site site;
    REQUIRE(site.serves());
    Net::HttpResult result;
    std::thread caller(
            [&] { result = site.call("POST", std::string("/checks/") + Job, Site::longJob()); });
    CHECK(waitFor([&site] { return site.backend.running() == 2; }));
    site.gateway->requestStop();
    CHECK(waitFor([&site] { return !site.isReady(); }));
    caller.join();
    CHECK(result.status == 200);
    site.stopGateway();
    CHECK(site.stoppedCleanly);
}

TEST_CASE("A gateway whose control thread has ended refuses requests until the process ends")
{
    // After the control thread has ended, the servers still listen for a moment. A request that
    // arrived then was accepted and never handled, and its connection closed with the process:
    // its caller got no answer.
    Site site;
    REQUIRE(site.serves());
    site.stopGateway();
    REQUIRE(site.stoppedCleanly);
    const auto result = site.call("POST", std::string("/checks/") + Job, Site::shortJob());
    CHECK(result.transport == Net::HttpTransport::Answered);
    CHECK(result.status == 503);
}

TEST_CASE("The gateway is replaced by another process at its address")
{
    // The agent connects to the address again and serves the new process, which reads its
    // configuration from the store.
    Site site;
    REQUIRE(site.serves());
    site.stopGateway();
    site.gateway.reset();
    site.startGateway();
    REQUIRE(site.serves());
}

TEST_CASE("A gateway starts with what others have learned, and passes it on")
{
    // All gateways have ended. According to the record of one of them, the backend server is slow.
    // The new gateway reads that record from the store, together with an invalid one.
    Schema::LearnedTimes learned;
    learned.gateway = "gateway-0-x";
    learned.writtenMs = 1;
    learned.speeds.push_back({"agent-1", {"a"}, 1.5, 400});
    Site site(true, Platform::encodeLearned(learned));
    site.store.setLearned("somebody", "{");
    REQUIRE(site.backend.announce(site.registration, Service, false));
    REQUIRE(waitFor([&site] { return !site.store.learned("gateway-1").empty(); }));
    const auto own =
            Platform::decodeLearned({{"gateway-1", site.store.learned("gateway-1")}}).values;
    REQUIRE(own.size() == 1);
    REQUIRE(own[0].speeds.size() == 1);
    CHECK(own[0].speeds[0].agent == "agent-1");
    CHECK(own[0].speeds[0].logFactor == 1.5);
}

TEST_CASE("An agent that has ended its work acknowledges no announcement")
{
    // Guards against a backend server that takes its leaving for known, although no process has
    // taken note of it: the next one would start tasks there.
    Site site;
    REQUIRE(site.serves());
    site.agent->requestStop();
    site.agentThread.join();
    CHECK_FALSE(site.backend.announce(site.registration, Service, true));
}

TEST_CASE("A failure domain is evacuated and taken back by records in the store")
{
    // Guards against a record of the operators that is dropped, although they believe it in force.
    Site site;
    REQUIRE(site.serves());
    site.store.setOperatorRecord("wave/1", "{}");
    site.store.setEvacuated(FailureDomain, true);
    Net::HttpResult refused;
    CHECK(waitFor([&] {
        refused = site.call("POST", std::string("/checks/") + Job, Site::shortJob());
        return refused.status == 503;
    }));
    const int before = site.backend.starts();
    CHECK(site.call("POST", std::string("/checks/") + Job, Site::shortJob()).status == 503);
    CHECK(site.backend.starts() == before);
    // The record of its end is no longer available when the gateway reads the next time.
    site.store.setSilent(true);
    site.store.setEvacuated(FailureDomain, false);
    site.store.dropHistory();
    site.store.setSilent(false);
    CHECK(waitFor([&site] {
        return site.call("POST", std::string("/checks/") + Job, Site::shortJob()).status == 200;
    }));
}

TEST_CASE("A backend server that leaves gets nothing new")
{
    Site site;
    REQUIRE(site.serves());
    CHECK(site.backend.announce(site.registration, Service, true));
    const int before = site.backend.starts();
    // No other backend server exists: the job is refused before any of its tasks has run.
    CHECK(waitFor([&site] {
        return site.call("POST", std::string("/checks/") + Job, Site::shortJob()).status == 503;
    }));
    CHECK(site.backend.starts() <= before + 3);
}
