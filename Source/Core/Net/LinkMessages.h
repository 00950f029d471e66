#pragma once

#include <cstdint>
#include <utility>

#include "Common/Clock.h"
#include "Net/PeerHub.h"

/// Messages to a daemon's control thread about the events of a hub.
namespace Net {

struct LinkUp
{
    LinkId link = 0;
};

struct LinkDown
{
    LinkId link = 0;
};

struct FrameArrived
{
    LinkId link = 0;
    Schema::Frame frame;
    /// Steady clock when the hub received it.
    std::int64_t arrivedMs = 0;
};

/// Posts every event of a hub to \a mailbox, which must outlive the hub.
template <typename Mailbox>
PeerHubEvents eventsTo(Mailbox &mailbox)
{
    PeerHubEvents events;
    events.opened = [&mailbox](LinkId link) { mailbox.post(LinkUp{link}); };
    events.closed = [&mailbox](LinkId link) { mailbox.post(LinkDown{link}); };
    events.received = [&mailbox](LinkId link, Schema::Frame frame) {
        mailbox.post(FrameArrived{link, std::move(frame), Common::currentMoment().steadyMs});
    };
    return events;
}

} // namespace Net
