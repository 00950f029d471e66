#pragma once

namespace Dispatch {

/// Steps that prevent two owners of one shard from both starting tasks. All are always on in
/// production. Tests switch one off to check that they detect the violation that it prevents.
struct Safeguards
{
    /// A shard is served only after its claim is acknowledged by members of every majority of the
    /// roster.
    bool fenceMajority = true;
    /// The new owner waits after that acknowledgement until the agents' leases have expired.
    bool leaseWait = true;
    /// The journal is read up to a marker record appended after the fence.
    bool journalReread = true;
    /// A roster change waits until the previous one is settled.
    bool rosterOneAtATime = true;
    /// A record is valid only if the state that it is based on is unchanged, so that a repeated or
    /// late record has no effect.
    bool conditionalRecords = true;
    /// An owner answers requests for its jobs only while a majority has confirmed that it still
    /// owns them.
    bool confirmedAnswers = true;
};

} // namespace Dispatch
