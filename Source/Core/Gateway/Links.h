#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Schema/Schema.h"

/// Which WebSocket link leads to which gateway or agent. The peer of an accepted link is identified
/// by the first frame that names it. Silent links are closed, since a connection can be broken for
/// good without either end being notified.
namespace Gateway {

enum class PeerKind { Unidentified, Gateway, Agent };

struct Link
{
    Net::LinkId id = 0;
    PeerKind kind = PeerKind::Unidentified;
    std::string instance;
    bool isOutbound = false;
    bool isOpen = false;
    std::int64_t lastReceivedMs = 0;
    /// Frames received before the one that names the sender.
    std::vector<Schema::Frame> earlyFrames;
};

struct LinkTable
{
    std::string self;
    std::unordered_map<Net::LinkId, Link> links;
    std::map<std::string, Net::LinkId> outboundTo;
    std::map<std::string, Net::LinkId> inboundFrom;
};

/// The link on which to send to \a instance; 0 if there is none. Of two links between two gateways,
/// both use the one that the lesser instance dialled. Otherwise each would send on the link that it
/// dialled itself, receive nothing on it and close it as silent.
Net::LinkId linkTo(const LinkTable &table, const std::string &instance);

/// True if, of the two gateways, this one dials \a instance and not the other way round.
bool shouldDial(const LinkTable &table, const std::string &instance);

void markLinkOpen(LinkTable &table, Net::LinkId id, Common::Moment now);
void addDialledLink(LinkTable &table, Net::LinkId id, const std::string &instance,
                    Common::Moment now);
/// Records which sender a frame on the link has named. Returns the previous link from that sender,
/// which this one replaces, or 0. Has no effect on the peer of a link that was dialled.
Net::LinkId identifyLink(LinkTable &table, Net::LinkId id, PeerKind kind,
                         const std::string &instance, Common::Moment now);
/// Keeps a frame until the link's sender is known. A gateway may send a request on a link that it
/// has just dialled before its first heartbeat on it. If the frame were dropped, the request would
/// wait until some link to that gateway went silent. The number of frames kept is bounded, since
/// the sender may never identify itself; further frames are dropped.
void holdEarlyFrame(Link &link, Schema::Frame frame);
/// Removes and returns the frames kept for the link, in the order in which to handle them: \a frame
/// is put first, since the heartbeat that names the sender also contains what the sender knows.
std::vector<Schema::Frame> releaseEarlyFrames(Link &link, Schema::Frame frame);
/// Removes the link and returns it; an empty one if it is unknown.
Link removeLink(LinkTable &table, Net::LinkId id);
/// Links on which nothing has been received for \a silenceMs.
std::vector<Net::LinkId> silentLinks(const LinkTable &table, Common::Moment now,
                                     std::int64_t silenceMs);

/// Sender of a frame. Unidentified if the frame does not name it.
struct Sender
{
    PeerKind kind = PeerKind::Unidentified;
    std::string instance;
};
Sender senderOf(const Schema::Frame &frame);

} // namespace Gateway
