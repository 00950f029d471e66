#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/NameTable.h"

namespace Net {

/// How long, and in how much memory, a server keeps answers that their callers do not read.
struct UnreadLimits
{
    /// Since the caller's side last accepted a byte.
    std::chrono::milliseconds maxStall = std::chrono::seconds(30);
    /// An answer of which no byte was accepted for this long counts as not being read.
    std::chrono::milliseconds idleAfter = std::chrono::seconds(1);
    /// Beyond this, answers that are not being read are dropped. Like maxBytes it limits what is
    /// left to write of all answers of a server, and one answer alone may be longer.
    std::size_t maxIdleBytes = std::size_t{32} << 20U;
    /// Beyond this, answers that are being read are dropped too.
    std::size_t maxBytes = std::size_t{96} << 20U;
};

/// An answer that the caller's side has not yet accepted completely.
struct UnreadAnswer
{
    std::uint64_t connection = 0;
    /// What is left to write.
    std::size_t bytes = 0;
    /// When the caller's side last accepted a byte, on the steady clock.
    std::int64_t lastProgressMs = 0;
};

enum class DropCause { Stalled, Memory };

constexpr Common::NameTable<DropCause, 2> DropCauseNames{
        {{DropCause::Stalled, "stalled"}, {DropCause::Memory, "memory"}}};

/// An unread answer that is given up, and its connection with it.
struct DroppedAnswer
{
    std::uint64_t connection = 0;
    std::size_t bytes = 0;
    DropCause cause = DropCause::Stalled;
};

/// Chooses the answers to drop at \a nowMs: all that have stalled for too long, and as many more as
/// exceed the memory, those that have stalled longest first. The last one that remains is kept
/// whatever its length: otherwise no caller could ever receive it. A caller that reads is not
/// dropped for the sake of others that do not.
std::vector<DroppedAnswer> answersToDrop(std::vector<UnreadAnswer> unread,
                                         const UnreadLimits &limits, std::int64_t nowMs);

/// When, after \a nowMs, answersToDrop() may choose one of \a unread if none of them is read until
/// then.
std::int64_t nextDropMs(const std::vector<UnreadAnswer> &unread, const UnreadLimits &limits,
                        std::int64_t nowMs);

} // namespace Net
