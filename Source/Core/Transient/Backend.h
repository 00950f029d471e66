#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// What an agent and its backend server say to each other about runs, whatever form it has on the
/// wire.
namespace Transient {

/// What a backend server tells its agent of itself.
struct BackendAnnouncement
{
    std::string id;
    std::string service;
    /// host:port
    std::string address;
    bool leaving = false;
    Schema::Resources resources;
    std::vector<std::string> labels;
    /// Wall clock of its start: another value is another life, which knows nothing of before.
    std::int64_t startedAtMs = 0;
    /// Rises with each announcement of one life: a late one is told by it.
    std::int64_t sequence = 0;
};

/// One start of a task. number rises with each start of the task; the backend server rejects any
/// that is not above the highest it has stopped or ended.
struct RunStart
{
    std::string task;
    std::int64_t number = 0;
    std::string payload;
    /// On the backend server's clock: it ends what runs then.
    std::int64_t leaseUntilMs = 0;
    /// The backend server obeys no lower one than it has seen.
    std::int64_t fence = 0;
};

enum class StartOutcome {
    Started,
    /// A run of the task with this or a higher number was stopped or ended there.
    NumberUsed,
    LeaseTooShort,
    NoRoom,
    Fenced,
    Malformed,
    /// Did nothing: it is overloaded or unhealthy.
    Refused,
    /// Another life of the backend server answered.
    OtherIncarnation,
    /// Nothing listens there.
    NotConnected,
    /// May have been carried out, or may still be.
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
    /// Clock of the backend server, where it said so.
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
    /// Of its work done.
    int percent = 0;
};

struct EndedRun
{
    /// Ends are numbered from 1 in each life of the backend server.
    std::int64_t position = 0;
    std::string task;
    std::int64_t number = 0;
    RunEnd end = RunEnd::Other;
};

/// Everything that runs, and the ends that were not acknowledged before.
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
