#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/NameTable.h"
#include "Net/ListenerLimits.h"

/// Decides which connections a listener gives up to stay within its limits.
namespace Net {

/// How far the request of a connection has got.
enum class HoldingStage {
    /// No byte of a request has come since the connection's start or the last answer.
    Idle,
    Head,
    Body,
    /// The request is whole and waits for its answer.
    Running,
    /// A part of the answer is not accepted yet.
    Answer,
    /// The last answer is written; the caller has not closed its side.
    Closing,
};

constexpr Common::NameTable<HoldingStage, 6> HoldingStageNames{
        {{HoldingStage::Idle, "idle"},
         {HoldingStage::Head, "head"},
         {HoldingStage::Body, "body"},
         {HoldingStage::Running, "running"},
         {HoldingStage::Answer, "answer"},
         {HoldingStage::Closing, "closing"}}};

/// What a process holds for one connection.
struct Holding
{
    std::uint64_t connection = 0;
    HoldingStage stage = HoldingStage::Idle;
    /// Received of a request that is not whole, or left to write of an answer.
    std::size_t bytes = 0;
    /// Steady clock: when the request began (Head, Body), a byte of the answer was last accepted
    /// (Answer), or the stage began.
    std::int64_t sinceMs = 0;
    /// Whether a request has been answered on the connection.
    bool hasBeenServed = false;
    /// Rises with each change.
    std::uint64_t revision = 0;
};

enum class ReleaseCause { TimedOut, Memory, Connections };

constexpr Common::NameTable<ReleaseCause, 3> ReleaseCauseNames{
        {{ReleaseCause::TimedOut, "timed_out"},
         {ReleaseCause::Memory, "memory"},
         {ReleaseCause::Connections, "connections"}}};

/// A connection that is given up, with its unfinished request or answer.
struct Release
{
    std::uint64_t connection = 0;
    HoldingStage stage = HoldingStage::Idle;
    std::size_t bytes = 0;
    ReleaseCause cause = ReleaseCause::TimedOut;
};

/// Chooses the connections to give up at \a nowMs. \a runningBytes are held by whole requests.
///
/// - All that have exceeded a timeout.
/// - Beyond the connections: first those that are closing, then those without a whole request and
///   without an answer so far, then idle ones that have been served, each the longest-standing
///   first. Connections that are younger than a second come last, so that a new caller can send its
///   request while others hold on.
/// - Beyond the bytes: unfinished requests and answers that are not being read, the largest product
///   of bytes and time first, and of equal ones the earliest, by its time and then by the number of
///   its connection. The time of a request counts from its first byte: a client that sends a byte a
///   second does not stay. answersToDrop() bounds the answers by themselves. One answer alone may
///   be longer.
///
/// A connection whose request is whole is never given up.
std::vector<Release> holdingsToRelease(const std::vector<Holding> &holdings,
                                       std::size_t runningBytes, const ListenerLimits &limits,
                                       std::int64_t nowMs);

/// When the holding exceeds its timeout if its stage does not change; the maximum of the type if
/// there is none.
std::int64_t expiryMs(const Holding &holding, const ListenerLimits &limits);

/// When, after \a nowMs, holdingsToRelease() may choose one of \a holdings if none of them changes
/// until then; the maximum of the type if there is none.
std::int64_t nextReleaseMs(const std::vector<Holding> &holdings, const ListenerLimits &limits,
                           std::int64_t nowMs);

/// Whether a request of \a bytes may be read or run while whole requests hold \a runningBytes. Long
/// requests may take half of the memory, so that they leave room for ordinary ones.
bool admitsRequest(std::size_t bytes, std::size_t runningBytes, const ListenerLimits &limits);

} // namespace Net
