#pragma once

#include <optional>
#include <string>

#include "Dispatch/GatewayState.h"

/// A gateway as a state machine: one function for each event of the control thread, which returns
/// the effects of the event. The daemon and the tests call the same functions.
namespace Dispatch {

/// A request that reached this gateway from a caller or operator.
struct CallerRequest
{
    /// Identifies the connection to answer; returned in AnswerRequest.
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

/// Performs the work that follows from received events and from the passage of time. Must be called
/// after each batch of events and at least every few milliseconds.
Effects gatewayTick(GatewayState &state, Common::Moment now, Common::Random &random);

/// True if the gateway has a configuration, knows an owner for every shard and isn't stopping, so
/// that callers may use it.
bool isReady(const GatewayState &state);
/// Begins a graceful stop: the gateway hands over its shards and answers its remaining requests.
void beginStop(GatewayState &state);
bool isStopped(const GatewayState &state);

} // namespace Dispatch
