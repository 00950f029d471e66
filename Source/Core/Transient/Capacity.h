#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Common/Common.h"

/// Keeps what is sent to and by a gateway within what its machine can carry.
///
/// Load pattern: gateways differ in size, and the weakest serves as many agents as the strongest.
/// Reports of the load at a rate that suits the others take its processor and its link, and orders
/// of a burst fill the link. Heartbeats then arrive after a second, agents stop the tasks of the
/// gateway, and the orders are sent again: the link stays full when the burst is over.
namespace Transient {

/// What the machine of a gateway can carry; 0 where it is not known.
struct Capacity
{
    /// In each direction.
    double linkBytesPerMs = 0;
    double processors = 0;
};

/// \a linkMbitPerS and \a processors as in the settings.
Capacity makeCapacity(double linkMbitPerS, double processors);

/// Shortest interval at which each of \a agents may send reports that contain only its load;
/// nothing if the capacity is not known.
std::optional<std::int64_t> loadIntervalMs(const Capacity &capacity, std::size_t agents);

/// Bytes of orders that the link has not carried yet, if it is otherwise used as expected.
struct LinkBacklog
{
    double bytes = 0;
    std::int64_t updatedMs = 0;
};

void addToBacklog(LinkBacklog &backlog, const Capacity &capacity, std::size_t bytes,
                  Common::Moment now);
/// Time until the link has carried the backlog.
double backlogMs(const LinkBacklog &backlog, const Capacity &capacity, Common::Moment now);

} // namespace Transient
