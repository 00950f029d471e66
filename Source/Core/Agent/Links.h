#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Agent/Effects.h"
#include "Common/Common.h"
#include "Schema/Schema.h"

/// Manages one link to each gateway of the settings and of the roster: when to connect, when a link
/// counts as silent and when a hello is due.
///
/// Failure prevented: a connection goes silent permanently while new ones work, because something
/// between the two ends has lost track of it, and the agent would wait on it forever. Each side
/// sends at least a heartbeat, so a link on which no frame arrives for silenceMs is closed and
/// opened again.
namespace Agent {

enum class LinkStage { Idle, Connecting, Open };

struct SentHello
{
    std::int64_t sequence = 0;
    std::int64_t sentMs = 0;
};

/// A gateway's address and the link to it. Only frames of the current link are processed. Those of
/// an older link are dropped, so that nothing sent on it can take effect after answers on a newer
/// link.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
    bool fromSettings = false;
    bool onRoster = false;
    LinkStage stage = LinkStage::Idle;
    LinkNumber link = 0;
    std::int64_t nextDialMs = 0;
    std::int64_t backoffMs = 0;
    std::int64_t lastReceivedMs = 0;
    std::int64_t nextHelloMs = 0;
    /// Instance at the other end of the open link once it has answered; until then the instance
    /// that answered last at this address.
    std::string instance;
    bool answered = false;
    std::deque<SentHello> hellos;
    /// Tasks that wait at the gateway, and the window that was last sent to it.
    std::int64_t demand = 0;
    std::int64_t sentWindow = 0;
};

struct LinksOptions
{
    std::int64_t heartbeatMs = 500;
    std::int64_t silenceMs = 2500;
};

struct Links
{
    LinksOptions options;
    /// Keyed by host:port, so that the agent connects only once to a gateway that is both in the
    /// settings and on the roster.
    std::map<std::string, Endpoint> endpoints;
    LinkNumber lastLink = 0;
    std::int64_t lastSequence = 0;
    Common::Random random;
};

void addSettingsGateways(Links &links, const std::vector<std::string> &addresses);
/// The agent does not reconnect to gateways that are neither on the roster nor in the settings.
void setRoster(Links &links, const std::vector<Schema::Member> &roster);

/// Closes silent links, starts the connection attempts that are due and removes endpoints that are
/// no longer needed.
Effects superviseLinks(Links &links, Common::Moment now);

/// Returns the endpoint whose current link this is. Null if there is none: the event is stale and
/// must be dropped.
Endpoint *findLink(Links &links, LinkNumber link);
Endpoint *findInstance(Links &links, const std::string &instance);

void markOpen(Endpoint &endpoint, Common::Moment now);
/// Schedules the next connection attempt after a back-off with jitter, so that the agents of a
/// gateway that returns do not all connect at the same moment.
void markClosed(Links &links, Endpoint &endpoint, Common::Moment now);

/// Returns the sequence number of the next hello on the endpoint and records that hello as sent
/// now.
std::int64_t nextHelloSequence(Links &links, Endpoint &endpoint, Common::Moment now);
/// Records which instance answers on the link and how many tasks wait there, and resets the
/// back-off. Returns the steady send time of the hello that was answered, or nothing if that hello
/// is not known.
std::optional<std::int64_t> recordPong(Endpoint &endpoint, const Schema::GatewayPong &pong);
/// True if the endpoint's instance already answers on another link, reached by another address.
bool isDuplicate(const Links &links, const Endpoint &endpoint);

} // namespace Agent
