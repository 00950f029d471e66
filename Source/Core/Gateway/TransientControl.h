#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Gateway/CallerRequest.h"
#include "Gateway/LoadReport.h"
#include "Net/Net.h"
#include "Schema/Schema.h"
#include "Transient/Transient.h"

/// Shared by the components of the daemon for transient jobs: the state of its control thread, and
/// the messages that other threads post to it.
namespace Gateway {

struct CallerDisconnected
{
    std::uint64_t connection = 0;
};

struct QueuesRead
{
    Schema::QueueTable queues;
};

/// The store has answered a read of the operators' records, with or without new ones: the queues
/// and evacuations in force were the present ones when it did.
struct OperatorsConfirmed
{
    std::int64_t steadyMs = 0;
};

struct EvacuationsRead
{
    Transient::EvacuationRecords records;
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

using TransientMessage =
        std::variant<CallerDisconnected, Net::LinkUp, Net::LinkDown, Net::FrameArrived, QueuesRead,
                     EvacuationsRead, OperatorsConfirmed, GatewaysRead, LearnedTimesRead,
                     TransientStopRequested>;
/// Requests of callers are the work; everything else goes before them.
using TransientMailbox = Common::WorkMailbox<TransientMessage, CallerRequest>;

/// Carries out the effects of a decision, immediately and in order.
using TransientEffectHandler = std::function<void(Transient::Effects)>;

/// Modified only by the control thread, except for the metrics, which any thread may update, and
/// what LoadReport says of itself.
struct TransientControl
{
    explicit TransientControl(Schema::TransientGatewaySettings settings);

    Schema::TransientGatewaySettings settings;
    Schema::Member self;
    Transient::GatewayState state;
    Transient::Discovery discovery;
    Schema::QueueTable queues;
    /// When the store last confirmed the queues, on the steady clock; the start of this process
    /// until then.
    std::int64_t queuesConfirmedMs = 0;
    Common::Metrics metrics;
    /// What the clients of this process may make it hold.
    Net::ResourceBudget budget;
    LoadReport load{this->metrics};
    Common::Random random;
    Common::Moment now;
};

/// Takes note that a request or frame that arrived at \a arrivedMs is handled now.
void observeOwnDelaySince(TransientControl &control, std::int64_t arrivedMs);

} // namespace Gateway
