#pragma once

namespace Dispatch {

/// The steps that keep two owners of one shard from both starting tasks. All are always on; tests
/// switch one off to see that the violation it prevents is then found.
struct Safeguards
{
    /// A claim is acknowledged by a majority of the roster before it serves.
    bool fenceMajority = true;
    /// The agents' lease passes after that acknowledgement.
    bool leaseWait = true;
    /// The journal is read up to a mark appended after the fence.
    bool journalReread = true;
    /// A roster change waits until the last one is settled.
    bool rosterOneAtATime = true;
    /// A record counts only where what it was based on still holds, so that a repeated or late one
    /// is void.
    bool conditionalRecords = true;
    /// An owner answers for its jobs only while a majority has confirmed that it still owns them.
    bool confirmedAnswers = true;
};

} // namespace Dispatch
