#pragma once

#include <cstddef>
#include <cstdint>

/// Whether backend servers are shared by so many gateways that their reported load is old when it
/// is used.
///
/// Load pattern: eight of eleven gateways send tasks to each backend server, and hear of its load
/// every 50 to 150 ms. Between two reports all of them choose the same backend servers. On a site
/// with fewer gateways the reports are recent enough, and nothing that depends on this acts.
namespace Transient {

struct SharedFleet
{
    /// Smallest number of known gateways, with this one, for which backend servers count as shared.
    std::size_t fromGateways = 5;
    /// With this one.
    std::size_t knownGateways = 1;

    /// Decisions that can be switched off, to compare with a baseline.
    bool bindsLate = true;
    bool separatesOwnDelay = true;
    bool learnsWaitErrors = true;
    bool displaces = true;
    bool forwards = true;
};

inline bool isShared(const SharedFleet &shared)
{
    return shared.knownGateways >= shared.fromGateways;
}

} // namespace Transient
