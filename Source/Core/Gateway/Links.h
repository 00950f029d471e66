#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Schema/Schema.h"

/// Which WebSocket link leads to which gateway or agent. A link is known by the first frame on it;
/// one that goes silent is given up, since a connection can be dead for good without either end
/// being told.
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
    /// Frames that came before the one that names the sender.
    std::vector<Schema::Frame> earlyFrames;
};

struct LinkTable
{
    std::string self;
    std::unordered_map<Net::LinkId, Link> links;
    std::map<std::string, Net::LinkId> outboundTo;
    std::map<std::string, Net::LinkId> inboundFrom;
};

/// The link by which \a instance can be reached; 0 for none. Of two links between two gateways,
/// both take the one that the lesser instance dialled: each would otherwise send on its own, hear
/// nothing on it and give it up as silent.
Net::LinkId linkTo(const LinkTable &table, const std::string &instance);

/// Whether this gateway is the one of the two to dial \a instance.
bool shouldDial(const LinkTable &table, const std::string &instance);

void markLinkOpen(LinkTable &table, Net::LinkId id, Common::Moment now);
void addDialledLink(LinkTable &table, Net::LinkId id, const std::string &instance,
                    Common::Moment now);
/// The sender of a frame named itself. Returns the link it replaces, or 0.
Net::LinkId identifyLink(LinkTable &table, Net::LinkId id, PeerKind kind,
                         const std::string &instance, Common::Moment now);
/// Keeps a frame until the link's sender is known. A gateway may use a link that it has just
/// dialled before its first heartbeat on it; dropped, such a request would wait until some link to
/// that gateway went silent. A sender that stays unknown is not kept for: past a bound frames are
/// dropped.
void holdEarlyFrame(Link &link, Schema::Frame frame);
/// Frames that have become readable with \a frame, in the order in which they count: the heartbeat
/// first, since it says what the sender knows.
std::vector<Schema::Frame> releaseEarlyFrames(Link &link, Schema::Frame frame);
/// Forgets the link and returns what it was.
Link removeLink(LinkTable &table, Net::LinkId id);
/// Links not heard from for \a silenceMs.
std::vector<Net::LinkId> silentLinks(const LinkTable &table, Common::Moment now,
                                     std::int64_t silenceMs);

/// Who sent \a frame, where the frame says so itself.
struct Sender
{
    PeerKind kind = PeerKind::Unidentified;
    std::string instance;
};
Sender senderOf(const Schema::Frame &frame);

} // namespace Gateway
