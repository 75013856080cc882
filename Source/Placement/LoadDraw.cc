#include "Placement/LoadDraw.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Cost of what the flow leaves out, in flows per slot: above that of load, and
/// far below that of a server that does not answer or that fails.
constexpr double kLeftOutCost = 20;
/// Least share of its usual flows that a slow server gets. They show when it
/// has recovered.
constexpr double kMinSlowShare = 1.0 / 20;
/// From the first load on, the slow servers of a data centre are used more;
/// from the second one on, in proportion to their speed.
constexpr double kMinBusyLoad = 1.4;
constexpr double kMaxBusyLoad = 2.2;
/// How long the loads of a service are used for new flows.
constexpr Milliseconds kViewLifetime{20};
constexpr float kMaxSlowness = 100;
constexpr float kPercent = 100;

/// Returns a random number from 0 to less than 1.
double Draw(Placement& placement) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  const std::uint64_t drawn =
      MixHash(placement.config.seed, placement.draw_count++) % kSteps;
  return static_cast<double>(drawn) / static_cast<double>(kSteps);
}

/// Returns the share of its usual flows that a slow server gets: in proportion
/// to its speed while all servers are needed, and less while callers are served
/// sooner elsewhere.
double ShareOfSlowServer(double slowness, double load) {
  const double need = std::clamp(
      (load - kMinBusyLoad) / (kMaxBusyLoad - kMinBusyLoad), 0.0, 1.0);
  return std::max(kMinSlowShare, std::pow(slowness, need - 2));
}

/// Returns the cost of the flows of this instance on a slow server beyond that
/// on one of usual speed, in flows per slot.
double SlownessCost(const PlacedServer& server) {
  const double excess = static_cast<double>(server.slowness) - 1;
  return excess * server.in_flight / server.slots;
}

/// Marks the data centres that have servers of the service that answer.
void MarkUsable(const Placement& placement, ServiceIndex service, TimePoint now,
                LoadView& view) {
  for (const ServerIndex index : placement.usable_by_service[service]) {
    const PlacedServer& server = placement.servers[index];
    const PlacedDataCentre& data_centre =
        placement.data_centres[server.data_centre];
    if (now >= data_centre.avoid_until && !IsAvoided(server, now)) {
      view.data_centres[server.data_centre].usable = true;
    }
  }
}

}  // namespace

float SlownessFactor(const PlacementConfig& config,
                     const wire::ServerRecord& record) {
  const auto percent = static_cast<float>(record.slowness_percent());
  return config.balance_by_load
             ? std::clamp(percent / kPercent, 1.0F, kMaxSlowness)
             : 1.0F;
}

const LoadView& UpdateLoadView(Placement& placement, ServiceIndex service,
                               TimePoint now) {
  if (service >= placement.load_views.size()) {
    placement.load_views.resize(service + 1);
  }
  LoadView& view = placement.load_views[service];
  const std::size_t data_centres = placement.data_centres.size();
  if (view.data_centres.size() == data_centres &&
      now - view.updated_at < kViewLifetime) {
    return view;
  }
  view.updated_at = now;
  view.data_centres.assign(data_centres, DataCentreView{});
  MarkUsable(placement, service, now, view);
  double least_load = std::numeric_limits<double>::infinity();
  for (std::uint32_t i = 0; i < data_centres; ++i) {
    DataCentreView& item = view.data_centres[i];
    item.load = LoadOf(placement.loads, service, i, now);
    least_load = item.usable ? std::min(least_load, item.load) : least_load;
  }
  for (DataCentreView& item : view.data_centres) {
    item.diverted_share =
        item.usable ? DivertedShare(item.load, least_load) : 0;
  }
  return view;
}

void DrawLoads(Placement& placement, ServiceIndex service, TimePoint now) {
  UpdateLoadView(placement, service, now);
  for (DataCentreView& item : placement.load_views[service].data_centres) {
    item.diverted =
        item.diverted_share > 0 && Draw(placement) < item.diverted_share;
  }
}

void CountDiverted(Placement& placement, const PlacedServer& chosen) {
  if (chosen.local) {
    return;
  }
  const LoadView& view = placement.load_views[chosen.service];
  for (std::uint32_t i = 0; i < view.data_centres.size(); ++i) {
    const bool own =
        placement.data_centres[i].name == placement.config.data_centre;
    placement.diverted_flows += own && view.data_centres[i].diverted ? 1 : 0;
  }
}

bool DrawOneIn(Placement& placement, std::uint64_t count) {
  return MixHash(placement.config.seed, placement.draw_count++) % count == 0;
}

double LoadCost(Placement& placement, const PlacedServer& server) {
  const DataCentreView& data_centre =
      placement.load_views[server.service].data_centres[server.data_centre];
  double cost = data_centre.diverted ? kLeftOutCost : 0;
  if (server.slowness > 1) {
    const bool left_out =
        Draw(placement) >= ShareOfSlowServer(server.slowness, data_centre.load);
    cost += left_out ? kLeftOutCost : SlownessCost(server);
  }
  return cost;
}

}  // namespace filbertwall
