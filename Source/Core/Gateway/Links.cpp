#include "Gateway/Links.h"

#include <utility>

namespace Gateway {

namespace {

/// A gateway sends far fewer frames within one heartbeat interval.
constexpr std::size_t MaxEarlyFrames = 1024;

void eraseIfSame(std::map<std::string, Net::LinkId> &index, const Link &link)
{
    const auto found = index.find(link.instance);
    if (found != index.end() && found->second == link.id) {
        index.erase(found);
    }
}

} // namespace

Net::LinkId linkTo(const LinkTable &table, const std::string &instance)
{
    const auto outbound = table.outboundTo.find(instance);
    const bool hasOutbound =
            outbound != table.outboundTo.end() && table.links.at(outbound->second).isOpen;
    const auto inbound = table.inboundFrom.find(instance);
    const bool hasInbound = inbound != table.inboundFrom.end();
    if (hasOutbound && (shouldDial(table, instance) || !hasInbound)) {
        return outbound->second;
    }
    return hasInbound ? inbound->second : 0;
}

bool shouldDial(const LinkTable &table, const std::string &instance)
{
    return table.self < instance;
}

void markLinkOpen(LinkTable &table, Net::LinkId id, Common::Moment now)
{
    Link &link = table.links[id];
    link.id = id;
    link.isOpen = true;
    link.lastReceivedMs = now.steadyMs;
}

void addDialledLink(LinkTable &table, Net::LinkId id, const std::string &instance,
                    Common::Moment now)
{
    Link link;
    link.id = id;
    link.kind = PeerKind::Gateway;
    link.instance = instance;
    link.isOutbound = true;
    link.lastReceivedMs = now.steadyMs;
    table.links.emplace(id, link);
    table.outboundTo[instance] = id;
}

Net::LinkId identifyLink(LinkTable &table, Net::LinkId id, PeerKind kind,
                         const std::string &instance, Common::Moment now)
{
    Link &link = table.links[id];
    link.lastReceivedMs = now.steadyMs;
    if (link.isOutbound || link.instance == instance) {
        return 0;
    }
    link.kind = kind;
    link.instance = instance;
    Net::LinkId &known = table.inboundFrom[instance];
    const Net::LinkId replaced = known == id ? 0 : known;
    known = id;
    return replaced;
}

void holdEarlyFrame(Link &link, Schema::Frame frame)
{
    if (link.earlyFrames.size() < MaxEarlyFrames) {
        link.earlyFrames.push_back(std::move(frame));
    }
}

std::vector<Schema::Frame> releaseEarlyFrames(Link &link, Schema::Frame frame)
{
    std::vector<Schema::Frame> frames = std::exchange(link.earlyFrames, {});
    frames.insert(frames.begin(), std::move(frame));
    return frames;
}

Link removeLink(LinkTable &table, Net::LinkId id)
{
    const auto found = table.links.find(id);
    if (found == table.links.end()) {
        return {};
    }
    Link link = std::move(found->second);
    table.links.erase(found);
    eraseIfSame(table.outboundTo, link);
    eraseIfSame(table.inboundFrom, link);
    return link;
}

std::vector<Net::LinkId> silentLinks(const LinkTable &table, Common::Moment now,
                                     std::int64_t silenceMs)
{
    std::vector<Net::LinkId> silent;
    for (const auto &[id, link] : table.links) {
        if (link.lastReceivedMs + silenceMs <= now.steadyMs) {
            silent.push_back(id);
        }
    }
    return silent;
}

Sender senderOf(const Schema::Frame &frame)
{
    switch (frame.type) {
    case Schema::FrameType::AgentHello:
        return {PeerKind::Agent, frame.agentHello->instance};
    case Schema::FrameType::PeerPing:
        return {PeerKind::Gateway, frame.peerPing->instance};
    default:
        return {};
    }
}

} // namespace Gateway
