#pragma once

#include <optional>
#include <string>

#include "Dispatch/GatewayState.h"

/// A gateway as one state machine: every event of the control thread, and the effects it has. The
/// daemon and the tests drive the same functions.
namespace Dispatch {

/// A request that reached this gateway from a caller or operator.
struct CallerRequest
{
    /// Names the connection to answer; comes back in AnswerRequest.
    std::string token;
    Schema::ForwardKind kind = Schema::ForwardKind::Get;
    bool wait = true;
    std::string job;
    std::optional<Schema::SubmitJob> submit;
};

GatewayState makeGateway(const Schema::GatewaySettings &settings, const Schema::Member &self,
                         Common::Moment now);

Effects handleCallerRequest(GatewayState &state, CallerRequest callerRequest, Common::Moment now,
                            Common::Random &random);
Effects handleConfigChange(GatewayState &state, const std::string &token,
                           const Schema::ConfigChange &change, std::int64_t basedOn,
                           Common::Moment now, Common::Random &random);

Effects handleAgentFrame(GatewayState &state, const std::string &agent, const Schema::Frame &frame,
                         Common::Moment now, Common::Random &random);
Effects handleGatewayFrame(GatewayState &state, const std::string &gateway,
                           const Schema::Frame &frame, Common::Moment now);
void handleAgentDisconnected(GatewayState &state, const std::string &agent, Common::Moment now);
void handleGatewayDisconnected(GatewayState &state, const std::string &gateway);

Effects handleLogRead(GatewayState &state, LogStream stream, const LogRead &read,
                      Common::Moment now);
Effects handleAppendResult(GatewayState &state, LogStream stream, std::uint64_t batch,
                           AppendStatus status, Common::Moment now);

/// Everything that follows from what has come in and from the time: call it after each batch of
/// events and at least every few milliseconds.
Effects gatewayTick(GatewayState &state, Common::Moment now, Common::Random &random);

/// Ready for callers: it has a configuration and knows an owner for every shard.
bool isReady(const GatewayState &state);
/// A graceful stop: hands over its shards, then answers what it still owes.
void beginStop(GatewayState &state);
bool isStopped(const GatewayState &state);

} // namespace Dispatch
