#pragma once

#include "Base/Time.h"
#include "Placement/Placement.h"

/// Capacity of a service as placement sees it. Pure functions; thread safe on
/// distinct objects.
namespace filbertwall {

/// Returns how many slots at full speed the server is worth: 0 when it is not
/// answering, its data centre seems unreachable, or no route to its service
/// allows its region; fewer than it has while it warms up or is slow.
///
/// A cold server of a service with a limit on new flows is worth the slots that
/// these flows keep busy. The leases that this instance holds do not matter,
/// since the limit holds for all instances together. It is worth nothing while
/// no leases are granted, and before the duration of flows is known.
double EffectiveSlots(const Placement& placement, const PlacedServer& server,
                      TimePoint now);

/// Returns the sum of `EffectiveSlots` over the servers that may be chosen for
/// the service; 0 for an unknown service. The time it takes is proportional to
/// the number of servers: call it for changes, not for each packet.
double CapacityOf(const Placement& placement, ServiceIndex service,
                  TimePoint now);

}  // namespace filbertwall
