#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Schema/Schema.h"
#include "Transient/Transient.h"

/// What the parts of the daemon for transient jobs share: the state of its control thread, and the
/// messages that other threads hand to it.
namespace Gateway {

/// A call of a caller, decoded.
struct CallerRequest
{
    std::string method;
    std::string host;
    std::string path;
    /// Last part of the path.
    std::string id;
    std::int64_t remainingTimeoutMs = 0;
    std::optional<Transient::JobRequest> job;
    /// Why the body is not a job.
    Common::Failure failure;
    std::uint64_t connection = 0;
    Net::HttpReply reply;
};

struct CallerDisconnected
{
    std::uint64_t connection = 0;
};

struct QueuesRead
{
    Schema::QueueTable queues;
};

struct GatewaysRead
{
    std::vector<Schema::Member> gateways;
};

struct LearnedTimesRead
{
    bool available = false;
    std::vector<Schema::LearnedTimes> learned;
};

struct TransientStopRequested
{};

using TransientMessage = std::variant<CallerRequest, CallerDisconnected, Net::LinkUp, Net::LinkDown,
                                      Net::FrameArrived, QueuesRead, GatewaysRead, LearnedTimesRead,
                                      TransientStopRequested>;
using TransientMailbox = Common::Mailbox<TransientMessage>;

/// Carries out what decisions ask for, at once and in order.
using TransientEffectHandler = std::function<void(Transient::Effects)>;

/// Changed by the control thread only, but for the metrics.
struct TransientControl
{
    explicit TransientControl(Schema::TransientGatewaySettings settings);

    Schema::TransientGatewaySettings settings;
    Schema::Member self;
    Transient::GatewayState state;
    Transient::Discovery discovery;
    Schema::QueueTable queues;
    Common::Metrics metrics;
    Common::Random random;
    Common::Moment now;
};

} // namespace Gateway
