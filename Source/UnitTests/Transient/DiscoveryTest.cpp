#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <ostream>

#include "Transient/Transient.h"

using namespace Transient;

namespace {

Common::Moment at(std::int64_t ms)
{
    return {ms, ms};
}

Schema::Member gatewayAt(const std::string &host, std::int64_t heardMsAgo = 0)
{
    Schema::Member gateway;
    gateway.instance = "gateway-" + host;
    gateway.host = host;
    gateway.peerPort = 1;
    gateway.heardMsAgo = heardMsAgo;
    return gateway;
}

} // namespace

TEST_CASE("Discovery dials seeds forever and other gateways for a limited time")
{
    Discovery discovery =
            makeDiscovery({"self", "", "10.0.0.1:1", {"10.0.0.1:1", "10.0.0.2:1"}, 4});
    addGateway(discovery, gatewayAt("10.0.0.3"), at(0));
    addGateway(discovery, gatewayAt("10.0.0.1"), at(0));
    CHECK(gatewaysToDial(discovery, at(0)).size() == 2);
    CHECK(gatewaysToDial(discovery, at(1)).empty());
    gatewayConnected(discovery, "10.0.0.3:1", at(5));
    dialEnded(discovery, "10.0.0.2:1", at(5));
    CHECK(gatewaysToDial(discovery, at(6)).empty());
    CHECK(gatewaysToDial(discovery, at(105)).size() == 1);
    dialEnded(discovery, "10.0.0.3:1", at(1000));
    std::int64_t nowMs = 1000;
    for (int round = 0; round < 70; ++round) {
        nowMs += 1000;
        for (const std::string &address : gatewaysToDial(discovery, at(nowMs))) {
            dialEnded(discovery, address, at(nowMs));
        }
    }
    CHECK(discovery.gateways.count("10.0.0.2:1") == 1);
    CHECK(discovery.gateways.count("10.0.0.3:1") == 0);
}

TEST_CASE("A gateway that nobody has heard from is removed, however often it is reported")
{
    // Guards against addresses of removed machines that processes tell each other for ever.
    Discovery discovery = makeDiscovery({"self", "", "", {}, 4});
    for (std::int64_t nowMs = 1000; nowMs <= 120'000; nowMs += 1000) {
        addGateway(discovery, gatewayAt("10.0.0.2", nowMs), at(nowMs));
        for (const std::string &address : gatewaysToDial(discovery, at(nowMs))) {
            dialEnded(discovery, address, at(nowMs));
        }
        CHECK(discovery.gateways.size() == (nowMs <= 60'000 ? 1 : 0));
    }
}

TEST_CASE("A report that is older than what is known does not bring a previous process back")
{
    Discovery discovery = makeDiscovery({"self", "", "", {}, 4});
    Schema::Member restarted = gatewayAt("10.0.0.2", 0);
    restarted.instance = "second";
    Schema::Member previous = gatewayAt("10.0.0.2", 500);
    previous.instance = "first";
    addGateway(discovery, restarted, at(1000));
    addGateway(discovery, previous, at(1400));
    CHECK(discovery.gateways.at("10.0.0.2:1").member->instance == "second");
    addGateway(discovery, previous, at(1600));
    CHECK(discovery.gateways.at("10.0.0.2:1").member->instance == "first");
}

TEST_CASE("A process connects to a few gateways, half of them in its failure domain")
{
    // Guards against connections whose number grows with the fleet.
    constexpr int Gateways = 60;
    constexpr int Agents = 600;
    constexpr std::size_t Links = 8;
    std::map<std::string, int> chosenBy;
    for (int agent = 0; agent < Agents; ++agent) {
        const std::string domain = "domain-" + std::to_string(agent % 6);
        Discovery discovery =
                makeDiscovery({"agent-" + std::to_string(agent), domain, "", {}, Links});
        for (int gateway = 1; gateway <= Gateways; ++gateway) {
            Schema::Member member = gatewayAt("10.0.0." + std::to_string(gateway));
            member.failureDomain = "domain-" + std::to_string(gateway % 6);
            addGateway(discovery, member, at(0));
        }
        const std::vector<std::string> dialled = gatewaysToDial(discovery, at(0));
        CHECK(dialled.size() == Links);
        CHECK(std::count_if(dialled.begin(), dialled.end(),
                            [&](const std::string &address) {
                                return discovery.gateways.at(address).member->failureDomain
                                       == domain;
                            })
              == Links / 2);
        for (const std::string &address : dialled) {
            ++chosenBy[address];
        }
    }
    // 80 in the mean.
    CHECK(chosenBy.size() == Gateways);
    for (const auto &entry : chosenBy) {
        CAPTURE(entry.first);
        CHECK(entry.second >= 50);
        CHECK(entry.second <= 115);
    }
}

TEST_CASE("Gateways in an evacuated failure domain have as many agents left as the others")
{
    // Guards against a gateway that refuses callers while backend servers of others stand idle.
    constexpr int Gateways = 24;
    constexpr int Agents = 960;
    constexpr int Domains = 4;
    for (const bool isEvacuated : {false, true}) {
        std::map<int, int> agentsOfDomain;
        for (int agent = 0; agent < Agents; ++agent) {
            if (agent % Domains == 0) {
                continue;
            }
            Discovery discovery = makeDiscovery({"agent-" + std::to_string(agent),
                                                 "domain-" + std::to_string(agent % Domains),
                                                 "",
                                                 {},
                                                 8});
            for (int gateway = 1; gateway <= Gateways; ++gateway) {
                Schema::Member member = gatewayAt("10.0.0." + std::to_string(gateway));
                member.failureDomain = "domain-" + std::to_string(gateway % Domains);
                addGateway(discovery, member, at(0));
            }
            ignoreDomains(discovery, isEvacuated);
            for (const std::string &address : gatewaysToDial(discovery, at(0))) {
                const auto &member = discovery.gateways.at(address).member;
                agentsOfDomain[member->failureDomain.back() - '0'] += 1;
            }
        }
        const double share = static_cast<double>(agentsOfDomain[0]) / agentsOfDomain[1];
        CHECK((share > 0.85) == isEvacuated);
    }
}

TEST_CASE("A gateway that does not answer is replaced by the next, and returns to its place")
{
    Discovery discovery = makeDiscovery({"self", "", "", {}, 2});
    for (int gateway = 1; gateway <= 6; ++gateway) {
        addGateway(discovery, gatewayAt("10.0.0." + std::to_string(gateway)), at(0));
    }
    const std::vector<std::string> chosen = gatewaysToDial(discovery, at(0));
    REQUIRE(chosen.size() == 2);
    gatewayConnected(discovery, chosen[1], at(1));
    std::int64_t nowMs = 0;
    while (discovery.chosen.size() == 2) {
        nowMs += 100;
        dialEnded(discovery, chosen[0], at(nowMs));
        REQUIRE(nowMs <= 200);
    }
    const std::string next = discovery.chosen[2];
    CHECK(gatewaysToDial(discovery, at(nowMs)) == std::vector<std::string>{next});
    gatewayConnected(discovery, next, at(nowMs));
    CHECK_FALSE(isSurplus(discovery, next));
    CHECK(gatewaysToDial(discovery, at(nowMs + 2000)) == std::vector<std::string>{chosen[0]});
    gatewayConnected(discovery, chosen[0], at(nowMs + 2001));
    CHECK(isSurplus(discovery, next));
    CHECK_FALSE(isSurplus(discovery, chosen[0]));
}

TEST_CASE("Lists of orphaned jobs are passed on once, and their times are not prolonged on the way")
{
    // Guards against lists that gateways return to each other for ever.
    constexpr OrphanTimes Times{1000, 5000};
    OrphanRelay first;
    OrphanRelay second;
    ToldOrphans firstTold;
    ToldOrphans secondTold;
    updateList(first, "agent", {1, {"job"}, {}}, 1000);
    CHECK(nextListsMs(first, firstTold, 1000) == 1005);
    const auto sent = listsFor(first, firstTold, at(1000));
    REQUIRE(sent.size() == 1);
    CHECK(listsFor(first, firstTold, at(1000)).empty());
    CHECK(nextListsMs(first, firstTold, 1000) > 1'000'000);
    receiveLists(second, secondTold, sent, at(1010));
    CHECK(nextListsMs(second, secondTold, 1010) == 1015);
    CHECK(listsFor(second, secondTold, at(1010)).empty());
    CHECK(isRelayed(second, Times, "job", at(2509)));
    CHECK_FALSE(isRelayed(second, Times, "job", at(2510)));
    ToldOrphans thirdTold;
    const auto passedOn = listsFor(second, thirdTold, at(1500));
    REQUIRE(passedOn.size() == 1);
    CHECK(passedOn[0].ageMs == 490);
    receiveLists(first, firstTold, passedOn, at(1500));
    CHECK(first.lists.at("agent").reportedMs == 1000);

    updateList(first, "agent", {2, {}, {"other"}}, 1600);
    CHECK(nextListsMs(first, firstTold, 1600) == 1700);
    receiveLists(second, secondTold, listsFor(first, firstTold, at(1600)), at(1601));
    CHECK_FALSE(isRelayed(second, Times, "job", at(1602)));
    CHECK(isRelayed(second, Times, "other", at(7100)));
    receiveLists(second, secondTold, sent, at(1602));
    CHECK_FALSE(isRelayed(second, Times, "job", at(1602)));
    removeOldLists(second, at(31'602));
    CHECK(second.lists.empty());
}

TEST_CASE("A heartbeat lists the gateways only when the peer does not know them")
{
    // Guards against heartbeats whose length grows with the number of gateways.
    Discovery discovery = makeDiscovery({"self", "", "10.0.0.1:1", {}, 4});
    addGateway(discovery, gatewayAt("10.0.0.2"), at(1000));
    ToldPeer told;
    const auto listed = [&](std::int64_t nowMs) {
        return makeHeartbeat({}, discovery, {}, told, at(nowMs)).others.size();
    };
    struct Row
    {
        std::int64_t atMs;
        std::size_t listed;
    };
    for (const Row &row :
         {Row{10'000, 1}, Row{10'250, 0}, Row{19'999, 0}, Row{20'000, 1}, Row{20'250, 0}}) {
        CAPTURE(row.atMs);
        CHECK(listed(row.atMs) == row.listed);
    }
    CHECK(nextHeartbeatMs(told, discovery, {}, 250) == 20'500);
    addGateway(discovery, gatewayAt("10.0.0.2", 100), at(20'300));
    CHECK(nextHeartbeatMs(told, discovery, {}, 250) == 20'500);
    addGateway(discovery, gatewayAt("10.0.0.3"), at(20'300));
    CHECK(nextHeartbeatMs(told, discovery, {}, 250) == 20'100);
    CHECK(listed(20'300) == 1);
    CHECK(nextHeartbeatMs(told, discovery, {}, 250) == 20'550);
    CHECK(listed(30'000) == 2);
}

TEST_CASE("Reports of gateways that cannot be are ignored")
{
    // Guards against an odd record that is dialled for good, in the place of a gateway, or that
    // never expires and hides later true reports.
    struct Row
    {
        const char *what;
        std::string host;
        std::int64_t peerPort;
        std::int64_t heardMsAgo;
        bool isAdded;
    };
    constexpr std::int64_t Least = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();
    const Row rows[] = {
            {"usual", "10.0.0.2", 1, 0, true},
            {"heard long ago", "10.0.0.2", 1, 1'000'000, false},
            {"heard in the future", "10.0.0.2", 1, -1, false},
            {"least time", "10.0.0.2", 1, Least, false},
            {"longest time", "10.0.0.2", 1, Most, false},
            {"no port", "10.0.0.2", 0, 0, false},
            {"negative port", "10.0.0.2", -1, 0, false},
            {"port out of range", "10.0.0.2", 65'536, 0, false},
            {"no host", "", 1, 0, false},
            {"a path", "10.0.0.2:1/x", 1, 0, false},
            {"long host", std::string(100'000, 'h'), 1, 0, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Discovery discovery = makeDiscovery({"self", "", "10.0.0.1:1", {}, 4});
        Schema::Member member = gatewayAt(row.host, row.heardMsAgo);
        member.instance = "gateway-2";
        member.peerPort = row.peerPort;
        addGateway(discovery, member, at(1000));
        CHECK(discovery.gateways.size() == (row.isAdded ? 1 : 0));
        CHECK(gatewaysToDial(discovery, at(1000)).size() == (row.isAdded ? 1 : 0));
    }
}

TEST_CASE("A second address of a connected gateway is not dialled while the connection lasts")
{
    // Guards against two links to one gateway, each of which replaces the other without an end.
    const std::string known = "10.0.0.2:1";
    const std::string other = "edge-2:1";
    Discovery discovery = makeDiscovery({"self", "", "", {known, other}, 4});
    addGateway(discovery, gatewayAt("edge-2"), at(0));
    CHECK(gatewaysToDial(discovery, at(0)).size() == 2);
    gatewayConnected(discovery, known, at(5));
    markAlias(discovery, other, known);
    CHECK(knownGateways(discovery) == 0);
    CHECK(gatewaysSince(discovery, 0, at(6)).empty());
    for (std::int64_t nowMs = 10; nowMs < 10'000; nowMs += 100) {
        CHECK(gatewaysToDial(discovery, at(nowMs)).empty());
    }
    dialEnded(discovery, known, at(10'000));
    CHECK(gatewaysToDial(discovery, at(10'200)).size() == 2);
}

TEST_CASE("An address at which a gateway reaches itself is not dialled again")
{
    const std::string self = "10.0.0.1:1";
    Discovery discovery = makeDiscovery({"self", "", self, {"edge-1:1"}, 4});
    CHECK(gatewaysToDial(discovery, at(0)).size() == 1);
    markAlias(discovery, "edge-1:1", self);
    CHECK(gatewaysToDial(discovery, at(10'000)).empty());
}
