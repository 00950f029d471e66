#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Job.h"

/// Actions that the decisions on transient jobs request. The gateway's control thread, or a test in
/// virtual time, carries them out in order.
namespace Transient {

struct SendToAgent
{
    /// Instance of the agent.
    std::string agent;
    Schema::Frame frame;
};

/// Sends a frame about a forwarded job.
struct SendToGateway
{
    /// Key of the link; see Forwarding.h.
    std::string peer;
    Schema::Frame frame;
};

struct AnswerCaller
{
    std::string token;
    std::string job;
    JobResult result;
};

/// Increments a counter that is labelled with a reason.
struct CountReason
{
    std::string counter;
    Schema::Reason reason = Schema::Reason::None;
    /// Labels besides the reason.
    Common::MetricLabels labels{};
};

/// Increments a counter with any labels.
struct CountLabels
{
    std::string counter;
    Common::MetricLabels labels;
};

struct ObserveSeconds
{
    std::string histogram;
    double seconds = 0;
    Common::MetricLabels labels;
};

struct SetGauge
{
    std::string gauge;
    double value = 0;
};

/// Writes one log line.
struct LogLine
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    Common::LogLevel level = Common::LogLevel::Info;
};

using Effect = std::variant<SendToAgent, SendToGateway, AnswerCaller, CountReason, CountLabels,
                            ObserveSeconds, SetGauge, LogLine>;
using Effects = std::vector<Effect>;
using Common::append;

} // namespace Transient
