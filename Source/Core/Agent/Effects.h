#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/Append.h"
#include "Schema/Schema.h"

/// Effects that the agent's state machine requests, and the identifiers of its tasks and links.
namespace Agent {

/// Identifies a connection attempt to a gateway and the link that results from it. The state
/// machine assigns the numbers and never reuses one, so that a late event of an old link cannot be
/// mistaken for an event of the link that replaced it.
using LinkNumber = std::uint64_t;

struct TaskKey
{
    std::string job;
    std::int64_t index = 0;
};

inline bool operator==(const TaskKey &left, const TaskKey &right)
{
    return left.index == right.index && left.job == right.job;
}

struct TaskKeyHash
{
    std::size_t operator()(const TaskKey &key) const;
};

struct ConnectGateway
{
    LinkNumber link = 0;
    std::string host;
    std::uint16_t port = 0;
};

struct CloseLink
{
    LinkNumber link = 0;
};

struct SendToGateway
{
    LinkNumber link = 0;
    Schema::Frame frame;
};

/// Sends the task to the backend server. From here on the task may have started.
struct RunTask
{
    Schema::RunTask task;
};

/// Adds \a amount to a counter, labelled with a reason.
struct CountReason
{
    std::string counter;
    Schema::Reason reason = Schema::Reason::None;
    double amount = 1;
};

/// Writes one log line.
struct LogLine
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using Effect =
        std::variant<ConnectGateway, CloseLink, SendToGateway, RunTask, CountReason, LogLine>;
/// Effects are carried out in order.
using Effects = std::vector<Effect>;

using Common::append;

constexpr const char *RefusalsCounter = "auburntrail_agent_refusals_total";
constexpr const char *LinkLossesCounter = "auburntrail_agent_link_losses_total";
constexpr const char *OutcomesCounter = "auburntrail_agent_outcomes_total";
constexpr const char *RepeatsCounter = "auburntrail_agent_repeated_starts_total";
constexpr const char *DroppedCounter = "auburntrail_agent_outcomes_dropped_total";

} // namespace Agent
