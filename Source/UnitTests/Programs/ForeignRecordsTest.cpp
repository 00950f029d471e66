#include <algorithm>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Net/Net.h"
#include "Sites.h"

/// Each test starts the real programs, leaves what another writer may leave in the store or
/// announces it to the agent, and asks whether the programs go on, follow the good entries beside
/// and after it, and report once what they have skipped.

using namespace ResourceLimits;
using FakePlatform::loopback;

namespace {

constexpr std::size_t Depth = 200'000;
/// Memory of the machines of the deployments.
constexpr std::size_t GatewayMachineBytes = 260'000'000;
constexpr std::size_t AgentMachineBytes = 128'000'000;
constexpr int Ok = 200;
constexpr int BadRequest = 400;

std::string times(const std::string &text, std::size_t count)
{
    std::string repeated;
    for (std::size_t time = 0; time < count; ++time) {
        repeated += text;
    }
    return repeated;
}

std::size_t linesWith(const Program &program, const std::vector<std::string> &words)
{
    std::ifstream log(program.logFile());
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
        count += std::all_of(words.begin(), words.end(),
                             [&line](const std::string &word) {
                                 return line.find(word) != std::string::npos;
                             })
                         ? 1
                         : 0;
    }
    return count;
}

struct OddValue
{
    std::string name;
    std::string value;
};

std::string gatewayRecord(const std::string &instance, const std::string &host,
                          const std::string &peerPort, const std::string &more = {})
{
    return R"({"instance":")" + instance + R"(","host":")" + host + R"(","httpPort":1,"peerPort":)"
           + peerPort + R"(,"failureDomain":"beja")" + more + "}";
}

std::string learnedRecord(const std::string &writtenMs, const std::string &meanMs,
                          const std::string &samples, const std::string &more = {})
{
    return R"({"gateway":"g-0","writtenMs":)" + writtenMs
           + R"(,"profiles":[{"key":"r/2","meanLog":3,"meanMs":)" + meanMs + R"(,"samples":)"
           + samples + R"(}],"speeds":[],"patiences":[])" + more + "}";
}

std::string queuesRecord(const std::string &version, const std::string &more = {})
{
    return R"({"version":)" + version + R"(,"routes":[])" + more + "}";
}

/// Odd in the same way in every topic. \a recordWith makes a record with another member.
std::vector<OddValue>
oddEverywhere(const std::function<std::string(const std::string &)> &recordWith)
{
    const std::string deepList = times("[", Depth);
    return {
            {"deep-list", recordWith(R"(,"more":)" + deepList + times("]", Depth))},
            {"deep-object", recordWith(R"(,"more":)" + times(R"({"a":)", Depth / 5) + "1"
                                       + times("}", Depth / 5))},
            {"deep-unfinished", recordWith(R"(,"more":)" + deepList)},
            {"deep-alone", deepList + times("]", Depth)},
            {"number-1e999", recordWith(R"(,"more":1e999)")},
            {"number-1e300", recordWith(R"(,"more":1e300)")},
            {"number-2-64", recordWith(R"(,"more":18446744073709551615)")},
            {"no-utf8", "{\"\xff\xfe\":\"\xc3\"}"},
            {"list", "[]"},
            {"number", "7"},
            {"text", "\"x\""},
            {"no-members", "{}"},
            {"no-json", "{"},
    };
}

std::vector<OddValue> oddGateways()
{
    std::vector<OddValue> odd = oddEverywhere(
            [](const std::string &more) { return gatewayRecord("g-9", "127.0.0.9", "7", more); });
    for (const char *port : {"99999", "-1", "0", "65536", "1e300", "18446744073709551615",
                             "9223372036854775807", "\"7\"", "null", "[]"}) {
        odd.push_back({std::string("port-") + port, gatewayRecord("g-9", "127.0.0.9", port)});
    }
    for (const std::string &host :
         {std::string(), std::string(" "), std::string("/x"), std::string("127.0.0.1:1/x"),
          std::string("a b"), std::string("127.0.0.1:99999"), std::string("user@127.0.0.1"),
          std::string(100'000, 'h')}) {
        odd.push_back({"host-" + host.substr(0, 20), gatewayRecord("g-9", host, "7")});
    }
    for (const char *heardMsAgo : {"-9223372036854775808", "-1", "9223372036854775807", "1e300"}) {
        odd.push_back({std::string("heard-") + heardMsAgo,
                       gatewayRecord("g-9", "127.0.0.9", "7",
                                     std::string(R"(,"heardMsAgo":)") + heardMsAgo)});
    }
    odd.push_back({"no-instance", gatewayRecord("", "127.0.0.9", "7")});
    return odd;
}

std::vector<OddValue> oddLearned()
{
    std::vector<OddValue> odd = oddEverywhere(
            [](const std::string &more) { return learnedRecord("1", "50", "9", more); });
    odd.push_back({"mean-1e308", learnedRecord("1", "1e308", "9")});
    odd.push_back({"mean-1e15", learnedRecord("1", "1e15", "9")});
    odd.push_back({"mean-negative", learnedRecord("1", "-1", "9")});
    odd.push_back({"written-1e300", learnedRecord("1e300", "50", "9")});
    odd.push_back({"written-2-63", learnedRecord("9223372036854775807", "50", "9")});
    odd.push_back({"samples-2-64", learnedRecord("1", "50", "18446744073709551615")});
    odd.push_back({"samples-negative", learnedRecord("1", "50", "-5")});
    return odd;
}

std::vector<OddValue> oddQueues()
{
    std::vector<OddValue> odd =
            oddEverywhere([](const std::string &more) { return queuesRecord("5", more); });
    odd.push_back({"version-1e300", queuesRecord("1e300")});
    odd.push_back({"version-2-64", queuesRecord("18446744073709551615")});
    return odd;
}

/// Accepts connections where a good record says that a gateway is, and counts them.
struct ListeningGateway
{
    ListeningGateway()
        : server(Net::HttpServerBuilder()
                         .listenOn("127.0.0.1", 0)
                         .handler([this](const Net::HttpRequest &, const Net::HttpReply &reply) {
                             ++this->dials;
                             reply.send({404, "", "text/plain", 0, false});
                         })
                         .build())
    {}

    ~ListeningGateway() { this->server->stop(); }

    std::string record(const std::string &instance) const
    {
        return gatewayRecord(instance, "127.0.0.1", std::to_string(this->server->port()));
    }

    std::atomic<int> dials{0};
    std::unique_ptr<Net::HttpServer> server;
};

bool serves(const TransientProcesses &site, const std::string &path)
{
    return call(site.callers, "GET", path).status == Ok;
}

/// Value of a counter with the label \a topic; 0 if it is not there.
double skipped(std::uint16_t metricsPort, const std::string &topic)
{
    const std::string text = call(metricsPort, "GET", "/metrics").body;
    const std::string series = "auburntrail_store_records_skipped_total{topic=\"" + topic + "\"} ";
    const std::size_t found = text.find(series);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + series.size()));
}

/// The programs live, do not spin, and are within the memory of their machines.
void checkPrograms(TransientProcesses &site)
{
    constexpr std::chrono::seconds Watched{3};
    constexpr double Spinning = 2;
    REQUIRE(site.gateway.isAlive());
    REQUIRE(site.agent.isAlive());
    const double gatewaySeconds = site.gateway.cpuSeconds();
    const double agentSeconds = site.agent.cpuSeconds();
    std::this_thread::sleep_for(Watched);
    CHECK(site.gateway.cpuSeconds() - gatewaySeconds < Spinning);
    CHECK(site.agent.cpuSeconds() - agentSeconds < Spinning);
    CHECK(site.gateway.peakMemoryBytes() < GatewayMachineBytes);
    CHECK(site.agent.peakMemoryBytes() < AgentMachineBytes);
}

std::string gatewayKey(std::size_t number)
{
    return "odd-" + std::to_string(number);
}

void leaveAll(TransientProcesses &site)
{
    std::size_t number = 0;
    for (const OddValue &odd : oddGateways()) {
        site.store.setGatewayRecord(gatewayKey(number++), odd.value);
    }
    const auto key = [](const OddValue &odd) { return "odd-" + odd.name; };
    for (const OddValue &odd : oddLearned()) {
        site.store.setLearned(key(odd), odd.value);
    }
    for (const OddValue &odd : oddQueues()) {
        site.store.setOperatorRecord(key(odd), odd.value);
        site.store.setQueues(odd.value);
    }
}

} // namespace

TEST_CASE("Odd records in the store keep no program from following the good ones")
{
    // Guards against programs that end, spin or stop following the store after one entry of another
    // writer, in a later read as well as in the first page that they read.
    TransientProcesses site;
    REQUIRE(site.serves());
    leaveAll(site);
    ListeningGateway good;
    site.store.setGatewayRecord("z-good", good.record("good-1"));
    site.store.setQueues(FakePlatform::queueRecord(8, "desk", {{"/checks/", 1}, {"/later/", 1}}));
    CHECK(waitFor([&] { return serves(site, "/later/"); }));
    CHECK(waitFor([&good] { return good.dials > 0; }));
    CHECK(site.servesJob());
    checkPrograms(site);
    CHECK(skipped(site.gatewayMetrics, "gateways") == static_cast<double>(oddGateways().size()));

    site.gateway.kill();
    ListeningGateway goodForAgent;
    site.store.setGatewayRecord("z-good-2", goodForAgent.record("good-2"));
    CHECK(waitFor([&goodForAgent] { return goodForAgent.dials > 0; }));
    site.store.dropHistory();
    site.gateway.start();
    CHECK(waitFor([&] { return serves(site, "/later/"); }));
    CHECK(site.servesJob());
    checkPrograms(site);
    CHECK(skipped(site.gatewayMetrics, "gateways") == static_cast<double>(oddGateways().size()));
    CHECK(skipped(site.gatewayMetrics, "learned") == static_cast<double>(oddLearned().size()));
    CHECK(skipped(site.agentMetrics, "gateways") == static_cast<double>(oddGateways().size()));
    const std::vector<OddValue> all = oddGateways();
    for (std::size_t number = 0; number < all.size(); ++number) {
        CAPTURE(all[number].name);
        const std::vector<std::string> words = {"store_record_skipped topic=gateways",
                                                "key=" + gatewayKey(number) + ' ', "why="};
        // The gateway has run twice.
        CHECK(linesWith(site.gateway, words) == 2);
        CHECK(linesWith(site.agent, words) == 1);
    }
}

TEST_CASE("A second spelling of a gateway's address makes no link come and go")
{
    // Guards against two links to one process, each of which takes the place of the other without
    // an end, so that tasks are lost with every change.
    TransientProcesses site;
    REQUIRE(site.serves());
    const std::string port = std::to_string(site.links);
    site.store.setGatewayRecord("other-spelling", gatewayRecord("g-9", "localhost", port));
    REQUIRE(waitFor([&site] { return linesWith(site.gateway, {"gateway_address_is_alias"}) > 0; }));
    checkPrograms(site);
    CHECK(linesWith(site.agent, {"event=gateway_unlinked"}) == 0);
    CHECK(linesWith(site.agent, {"event=gateway_linked"}) == 1);
    CHECK(linesWith(site.gateway, {"agent_link_replaced"}) == 0);
    CHECK(linesWith(site.agent, {"gateway_address_is_alias"}) <= 1);
    CHECK(linesWith(site.gateway, {"gateway_address_is_alias"}) == 1);
    CHECK(site.servesJob());
}

TEST_CASE("Two seeds that are the same gateway make one link")
{
    // Guards against the same among the addresses of the settings, which are never forgotten.
    TransientProcesses site(MachineDescriptors, {"127.1"});
    REQUIRE(site.serves());
    REQUIRE(waitFor([&site] { return linesWith(site.agent, {"gateway_address_is_alias"}) > 0; }));
    checkPrograms(site);
    CHECK(linesWith(site.agent, {"event=gateway_unlinked"}) == 0);
    CHECK(linesWith(site.agent, {"gateway_address_is_alias"}) == 1);
    CHECK(linesWith(site.gateway, {"agent_link_replaced"}) == 0);
    // The gateway starts anew at its address: the other spelling is found to be the same again.
    site.gateway.kill();
    site.gateway.start();
    CHECK(site.servesJob());
    checkPrograms(site);
    CHECK(linesWith(site.gateway, {"agent_link_replaced"}) == 0);
}

TEST_CASE("Odd announcements are refused and change nothing")
{
    // Guards against an announcement of another writer that takes the place of the living backend
    // server, or makes its later announcements count as late.
    struct Row
    {
        std::string name;
        std::string member;
        std::string value;
    };
    const std::string huge = "9223372036854775807";
    std::vector<Row> rows = {
            {"deep", "more", times("[", 20'000) + times("]", 20'000)},
            {"deep, in a member that is read", "labels", times("[", 1000) + times("]", 1000)},
            {"number too large", "more", "1e300"},
            {"number beyond 64 bits", "more", "18446744073709551615"},
            {"service of 1,000 bytes", "service", '"' + std::string(1000, 's') + '"'},
            {"state", "state", R"("asleep")"},
            {"capacity", "capacity", R"({"cpu":)" + huge + R"(,"memMb":1000})"},
            {"memory", "capacity", R"({"cpu":1000,"memMb":)" + huge + "}"},
            {"accelerators", "capacity", R"({"cpu":1000,"memMb":1,"gpu":-1})"},
            {"labels", "labels", "[" + times(R"("a",)", 400) + R"("b"])"},
            {"long label", "labels", "[\"" + std::string(1000, 'l') + "\"]"},
    };
    for (const char *address : {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1",
                                "nowhere", ":", "/x:7", ""}) {
        rows.push_back({"address", "address", '"' + std::string(address) + '"'});
    }
    for (const std::string &number :
         {huge, std::string("-1"), std::string("1e300"), std::string("18446744073709551615")}) {
        rows.push_back({"born", "born", number});
        rows.push_back({"sequence", "sequence", number});
    }
    TransientProcesses site;
    REQUIRE(site.serves());
    const std::string path = "/instances/";
    for (const char *id : {"i-1", "i-9"}) {
        for (const Row &row : rows) {
            CAPTURE(std::string(id));
            CAPTURE(row.name);
            CAPTURE(row.value.substr(0, 60));
            std::string body = "{";
            const std::vector<Row> usual = {
                    {"", "service", R"("desk")"},
                    {"", "address", R"("127.0.0.1:7")"},
                    {"", "state", R"("ready")"},
                    {"", "capacity", R"({"cpu":8000,"memMb":1000,"gpu":0})"},
                    {"", "labels", R"(["a"])"},
                    {"", "born", "1"},
                    {"", "sequence", "1"}};
            for (const Row &member : usual) {
                if (member.member != row.member) {
                    body += '"' + member.member + "\":" + member.value + ',';
                }
            }
            body += '"' + row.member + "\":" + row.value + '}';
            CHECK(call(site.registration, "PUT", path + id, body).status == BadRequest);
        }
    }
    CHECK(site.agent.isAlive());
    CHECK(site.servesJob());
    CHECK(linesWith(site.agent, {"event=backend_announced"}) == 1);
    CHECK(linesWith(site.agent, {"registration_refused", "i-9", "the sequence is out of range"})
          == 1);
    CHECK(site.backend->announce(loopback(site.registration), "desk", true));
    CHECK(waitFor([&site] { return site.submitJob() != Ok; }));
}
