#include "Placement/Capacity.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Returns the slots that the flows of a limit keep busy (Little's law). The
/// duration is the shortest one without load, so that queues don't count as
/// capacity, and the limit applies to each window of a lease.
double LimitedSlots(const Placement& placement, ServiceIndex service,
                    const WarmupLimit& limit, TimePoint now) {
  if (LacksWarmupGrants(placement.warmup, now)) {
    return 0;
  }
  using Seconds = std::chrono::duration<double>;
  const double busy = Seconds(UnloadedDuration(placement.loads, service)) /
                      Seconds(placement.warmup.timing.window);
  return limit.flows_per_second * busy;
}

}  // namespace

double EffectiveSlots(const Placement& placement, const PlacedServer& server,
                      TimePoint now) {
  const PlacedDataCentre& data_centre =
      placement.data_centres[server.data_centre];
  if (IsAvoided(server, now) || now < data_centre.avoid_until ||
      !IsInRegions(RegionsOf(placement, server.service), data_centre)) {
    return 0;
  }
  const double warmup_factor =
      now < server.warmup_ends_at ? kWarmupFactor : 1.0;
  const double slots = server.slots / (warmup_factor * server.slowness);
  const WarmupLimit* limit = FindWarmupLimit(placement.warmup, server.service);
  return limit != nullptr && IsCold(placement, server, *limit, now)
             ? std::min(slots,
                        LimitedSlots(placement, server.service, *limit, now))
             : slots;
}

double CapacityOf(const Placement& placement, ServiceIndex service,
                  TimePoint now) {
  double slots = 0;
  if (service < placement.usable_by_service.size()) {
    for (const ServerIndex index : placement.usable_by_service[service]) {
      slots += EffectiveSlots(placement, placement.servers[index], now);
    }
  }
  return slots;
}

}  // namespace filbertwall
