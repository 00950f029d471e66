#include <doctest/doctest.h>

#include "Gateway/Links.h"

TEST_CASE("A request that overtakes the first heartbeat on a new link is not lost")
{
    // Guards against a delay of over four seconds for a job just after a gateway has joined. The
    // gateway forwarded the job on a link that it had just dialled. The owner did not know yet
    // whose link that was and dropped the frame, and no retry took place until another link was
    // silent.
    Gateway::LinkTable table;
    table.self = "gateway-2";
    const Net::LinkId id = 7;
    Gateway::markLinkOpen(table, id, {});
    Schema::Frame forward;
    forward.type = Schema::FrameType::Forward;
    CHECK(Gateway::senderOf(forward).kind == Gateway::PeerKind::Unidentified);
    Gateway::holdEarlyFrame(table.links.at(id), forward);

    Schema::Frame ping;
    ping.type = Schema::FrameType::PeerPing;
    ping.peerPing.emplace().instance = "gateway-1";
    Gateway::identifyLink(table, id, Gateway::PeerKind::Gateway, "gateway-1", {});
    const auto frames = Gateway::releaseEarlyFrames(table.links.at(id), ping);
    REQUIRE(frames.size() == 2);
    CHECK(frames.at(0).type == Schema::FrameType::PeerPing);
    CHECK(frames.at(1).type == Schema::FrameType::Forward);
    CHECK(Gateway::releaseEarlyFrames(table.links.at(id), ping).size() == 1);
}

TEST_CASE("Frames of a sender that never identifies itself use limited memory")
{
    Gateway::Link link;
    constexpr int FrameCount = 100000;
    for (int count = 0; count < FrameCount; ++count) {
        Gateway::holdEarlyFrame(link, {});
    }
    CHECK(link.earlyFrames.size() < 2000);
}
