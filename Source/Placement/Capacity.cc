#include "Placement/Capacity.h"

namespace filbertwall {

double EffectiveSlots(const Placement& placement, const PlacedServer& server,
                      TimePoint now) {
  const PlacedDataCentre& data_centre =
      placement.data_centres[server.data_centre];
  if (IsAvoided(server, now) || now < data_centre.avoid_until) {
    return 0;
  }
  const double warmup_factor =
      now < server.warmup_ends_at ? kWarmupFactor : 1.0;
  return server.slots / (warmup_factor * server.slowness);
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
