#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Messages between an agent and its backend server about runs, independent of their form on the
/// wire.
namespace Transient {

/// A backend server's announcement to its agent.
struct BackendAnnouncement
{
    std::string id;
    std::string service;
    /// host:port
    std::string address;
    bool leaving = false;
    Schema::Resources resources;
    std::vector<std::string> labels;
    /// Wall clock at its start. Another value means another incarnation, which has no state of a
    /// previous one.
    std::int64_t startedAtMs = 0;
    /// Increases with each announcement of an incarnation, so that a late one can be detected.
    std::int64_t sequence = 0;
};

/// One start of a task. The number increases with each start of the task; the backend server
/// rejects any that is not above the highest that it has stopped or ended.
struct RunStart
{
    std::string task;
    std::int64_t number = 0;
    std::string payload;
    /// On the backend server's clock; it ends the run at this time unless the lease is renewed.
    std::int64_t leaseUntilMs = 0;
    /// The backend server rejects a fence that is lower than one it has received before.
    std::int64_t fence = 0;
};

enum class StartOutcome {
    Started,
    /// A run of the task with this or a higher number was stopped or has ended there.
    NumberUsed,
    LeaseTooShort,
    NoRoom,
    Fenced,
    Malformed,
    /// The backend server did nothing, as it is overloaded or unhealthy.
    Refused,
    /// Another incarnation of the backend server answered.
    OtherIncarnation,
    /// No process listens at the address.
    NotConnected,
    /// The start may have taken effect, or may still do so.
    Unanswered
};

constexpr Common::NameTable<StartOutcome, 10> StartOutcomeNames{
        {{StartOutcome::Started, "started"},
         {StartOutcome::NumberUsed, "number_used"},
         {StartOutcome::LeaseTooShort, "lease_too_short"},
         {StartOutcome::NoRoom, "no_room"},
         {StartOutcome::Fenced, "fenced"},
         {StartOutcome::Malformed, "malformed"},
         {StartOutcome::Refused, "refused"},
         {StartOutcome::OtherIncarnation, "other_life"},
         {StartOutcome::NotConnected, "not_connected"},
         {StartOutcome::Unanswered, "unanswered"}}};

struct StartAnswer
{
    StartOutcome outcome = StartOutcome::Unanswered;
    /// Clock of the backend server, if the answer contains it.
    std::optional<std::int64_t> clockMs;
};

enum class RunEnd { Succeeded, Failed, Stopped, LeaseLapsed, Other };

constexpr Common::NameTable<RunEnd, 5> RunEndNames{{{RunEnd::Succeeded, "succeeded"},
                                                    {RunEnd::Failed, "failed"},
                                                    {RunEnd::Stopped, "stopped"},
                                                    {RunEnd::LeaseLapsed, "lease_lapsed"},
                                                    {RunEnd::Other, "other"}}};

struct ActiveRun
{
    std::string task;
    std::int64_t number = 0;
    /// Share of its work that is done.
    int percent = 0;
};

struct EndedRun
{
    /// Number of this end, counted from 1 in each incarnation of the backend server.
    std::int64_t position = 0;
    std::string task;
    std::int64_t number = 0;
    RunEnd end = RunEnd::Other;
};

/// All active runs, and the ends that have not been acknowledged yet.
struct Observation
{
    std::int64_t clockMs = 0;
    std::int64_t startedAtMs = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};

enum class ObserveOutcome { Observed, Fenced, OtherIncarnation, Refused, NotConnected, Unanswered };

constexpr Common::NameTable<ObserveOutcome, 6> ObserveOutcomeNames{
        {{ObserveOutcome::Observed, "seen"},
         {ObserveOutcome::Fenced, "fenced"},
         {ObserveOutcome::OtherIncarnation, "other_life"},
         {ObserveOutcome::Refused, "refused"},
         {ObserveOutcome::NotConnected, "not_connected"},
         {ObserveOutcome::Unanswered, "unanswered"}}};

struct ObserveAnswer
{
    ObserveOutcome outcome = ObserveOutcome::Unanswered;
    Observation seen;
};

} // namespace Transient
