#include "Placement/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "Base/Hash.h"
#include "Placement/LoadDraw.h"

namespace filbertwall {
namespace {

/// A server with pending opening packets is avoided when it has accepted no
/// flow for this long.
constexpr Milliseconds kAnswerTimeout{50};
constexpr Milliseconds kMinAvoidance{300};
constexpr Milliseconds kMaxAvoidance{2400};

/// A data centre is considered unreachable after this many consecutive
/// unanswered opening packets. It then gets one new flow per
/// `kDataCentreAvoidance` to detect when it is reachable again.
constexpr std::uint32_t kUnansweredLimit = 3;
constexpr Milliseconds kDataCentreAvoidance{1000};

/// Additional cost of a server in another data centre, in flows per slot.
constexpr double kRemoteCost = 0.2;
/// Cost of flows that last twice the mean duration of the service, in flows per
/// slot.
constexpr double kSlownessCost = 0.6;
constexpr double kMaxSlowness = 3.0;
/// Half-life of a server's slowness without a new measurement.
constexpr Milliseconds kSlownessHalfLife{500};
/// Weights of a new duration in the moving averages.
constexpr double kServerWeight = 0.25;
constexpr double kServiceWeight = 0.02;

double Average(double average, double measured, double weight) {
  return average == 0 ? measured : average + weight * (measured - average);
}

/// Returns the excess of the server's mean flow duration over the mean of its
/// service, as a fraction of the latter. It shows the load that other instances
/// put on the server, whose flows this instance does not see.
double SlownessOf(const Placement& placement, const PlacedServer& server,
                  TimePoint now) {
  const double service_mean_ms =
      placement.mean_duration_ms_by_service[server.service];
  if (service_mean_ms <= 0 || server.mean_duration_ms <= service_mean_ms) {
    return 0;
  }
  const double half_lives = static_cast<double>(MillisecondsBetween(
                                server.duration_updated_at, now)) /
                            static_cast<double>(kSlownessHalfLife.count());
  const double slowness = server.mean_duration_ms / service_mean_ms - 1.0;
  return std::min(kMaxSlowness, slowness) * std::exp2(-half_lives);
}

/// Returns the cost of placing a new flow on the server, in flows per slot. A
/// lower cost means that the flow is expected to be served earlier.
double CostOf(const Placement& placement, const PlacedServer& server,
              TimePoint now) {
  const double warmup_factor =
      now < server.warmup_ends_at ? kWarmupFactor : 1.0;
  const double load = (server.in_flight + 1.0) * warmup_factor / server.slots;
  return load + (server.local ? 0.0 : kRemoteCost) +
         kSlownessCost * SlownessOf(placement, server, now);
}

void Avoid(PlacedServer& server, TimePoint now) {
  constexpr std::uint32_t kMaxDoublings = 3;
  const std::uint32_t doublings =
      std::min(server.consecutive_avoidances, kMaxDoublings);
  server.avoid_until =
      now + std::min(kMaxAvoidance, kMinAvoidance * (1 << doublings));
  server.consecutive_avoidances += 1;
}

/// Records that a new flow is sent to the server.
void RecordWarmupFlow(Placement& placement, ServerIndex index,
                      const WarmupLimit* limit, TimePoint now) {
  if (limit == nullptr) {
    return;
  }
  if (IsCold(placement, placement.servers[index], *limit, now)) {
    SpendWarmupBudget(placement.warmup, index, now);
  }
  RecordLastFlow(placement.warmup, index, now);
}

/// Returns a failing server for a small random share of the flows whose
/// requests may be retried, and otherwise no server. Each failing server gets
/// one in `kFlowsPerProbe` of the flows that it would get if it were not
/// failing.
std::optional<ServerIndex> ChooseFailingServer(Placement& placement,
                                               const PlacementRequest& flow,
                                               const WarmupLimit* limit,
                                               TimePoint now) {
  constexpr std::uint64_t kFlowsPerProbe = 12;
  const std::vector<ServerIndex>& failing =
      placement.failing_by_service[flow.service];
  const std::size_t usable = placement.usable_by_service[flow.service].size();
  if (failing.empty() || !flow.retryable || flow.unanswered_server) {
    return std::nullopt;
  }
  const std::uint64_t draw =
      MixHash(placement.config.seed, placement.draw_count++) %
      (kFlowsPerProbe * usable);
  if (draw >= failing.size()) {
    return std::nullopt;
  }
  const PlacedServer& server = placement.servers[failing[draw]];
  const bool may_probe =
      !IsAvoided(server, now) &&
      IsInRegions(flow.regions, placement.data_centres[server.data_centre]) &&
      MayTakeFlow(placement, failing[draw], limit, now);
  return may_probe ? std::optional(failing[draw]) : std::nullopt;
}

bool SeemsUnreachable(const PlacedDataCentre& data_centre) {
  return data_centre.consecutive_unanswered >= kUnansweredLimit;
}

struct Cheapest {
  std::optional<ServerIndex> server;  ///< Empty when none may take the flow.
  /// Whether a server was left out that is cold, or may be.
  bool lacks_budget = false;
};

/// Returns the candidate with the lowest cost. `kByLoad` says whether the draws
/// of `DrawLoads` count; a condition in the loop would cost time without them.
/// Precondition: `candidates` is not empty.
template <bool kByLoad>
Cheapest FindCheapest(Placement& placement,
                      const std::vector<ServerIndex>& candidates,
                      const PlacementRequest& flow, const WarmupLimit* limit,
                      TimePoint now) {
  Cheapest result;
  double best_cost = std::numeric_limits<double>::infinity();
  // These costs are far above the costs of load. A server that seems
  // unreachable, has not answered this flow, or is failing is chosen only when
  // there is no better one.
  constexpr double kAvoidedCost = 1000;
  constexpr double kUnansweredServerCost = 500;
  constexpr double kFailingCost = 100;
  std::size_t position =
      MixHash(placement.config.seed, placement.draw_count++) %
      candidates.size();
  std::uint64_t equal_costs = 1;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const ServerIndex index = candidates[position];
    position = position + 1 < candidates.size() ? position + 1 : 0;
    if (!MayTakeFlow(placement, index, limit, now)) {
      result.lacks_budget = true;
      continue;
    }
    const PlacedServer& server = placement.servers[index];
    const PlacedDataCentre& data_centre =
        placement.data_centres[server.data_centre];
    if (!IsInRegions(flow.regions, data_centre)) {
      continue;
    }
    double cost = CostOf(placement, server, now) +
                  (IsAvoided(server, now) ? kAvoidedCost : 0) +
                  (now < data_centre.avoid_until ? kAvoidedCost : 0) +
                  (server.failing ? kFailingCost : 0) +
                  (flow.unanswered_server == index ? kUnansweredServerCost : 0);
    if constexpr (kByLoad) {
      cost += LoadCost(placement, server);
    }
    if (cost < best_cost) {
      result.server = index;
      best_cost = cost;
      equal_costs = 1;
    } else if (kByLoad && cost == best_cost) {
      // The first of several servers with the same cost would be chosen more
      // often if servers that cost more precede it in the list.
      equal_costs += 1;
      if (DrawOneIn(placement, equal_costs)) {
        result.server = index;
      }
    }
  }
  return result;
}

}  // namespace

bool IsAvoided(const PlacedServer& server, TimePoint now) {
  if (now < server.avoid_until) {
    return true;
  }
  return server.pending_openings > 0 &&
         now - server.pending_since > kAnswerTimeout &&
         server.answered_at <= server.pending_since;
}

bool IsInRegions(std::span<const std::string> regions,
                 const PlacedDataCentre& data_centre) {
  return regions.empty() || (!data_centre.region.empty() &&
                             std::find(regions.begin(), regions.end(),
                                       data_centre.region) != regions.end());
}

std::span<const std::string> RegionsOf(const Placement& placement,
                                       ServiceIndex service) {
  return service < placement.regions_by_service.size()
             ? std::span<const std::string>(
                   placement.regions_by_service[service])
             : std::span<const std::string>();
}

TimePoint ColdUntil(const Placement& placement, const PlacedServer& server,
                    const WarmupLimit& limit) {
  const TimePoint returned_at =
      placement.data_centres[server.data_centre].returned_at;
  return returned_at == TimePoint()
             ? server.warmup_ends_at
             : std::max(server.warmup_ends_at, returned_at + limit.duration);
}

bool IsCold(const Placement& placement, const PlacedServer& server,
            const WarmupLimit& limit, TimePoint now) {
  return now < ColdUntil(placement, server, limit);
}

bool MayTakeFlow(const Placement& placement, ServerIndex index,
                 const WarmupLimit* limit, TimePoint now) {
  if (limit == nullptr) {
    return true;
  }
  const PlacedServer& server = placement.servers[index];
  return IsCold(placement, server, *limit, now)
             ? HasWarmupBudget(placement.warmup, index, server.incarnation, now)
             : MayBeSentFlow(placement.warmup, index, now);
}

std::optional<ServerIndex> ChooseServer(Placement& placement,
                                        const PlacementRequest& flow,
                                        TimePoint now) {
  if (flow.service >= placement.usable_by_service.size()) {
    return std::nullopt;
  }
  const std::vector<ServerIndex>& candidates =
      placement.usable_by_service[flow.service];
  if (candidates.empty()) {
    return std::nullopt;
  }
  const WarmupLimit* limit = FindWarmupLimit(placement.warmup, flow.service);
  if (limit != nullptr) {
    RecordWarmupDemand(placement.warmup, flow.service, now);
  }
  if (const auto failing = ChooseFailingServer(placement, flow, limit, now)) {
    RecordWarmupFlow(placement, *failing, limit, now);
    return failing;
  }
  Cheapest cheapest;
  if (placement.config.balance_by_load) {
    DrawLoads(placement, flow.service, now);
    cheapest = FindCheapest<true>(placement, candidates, flow, limit, now);
  } else {
    cheapest = FindCheapest<false>(placement, candidates, flow, limit, now);
  }
  if (cheapest.lacks_budget) {
    ScheduleWarmupRequest(placement.warmup, kWarmupRequestInterval, now);
  }
  if (!cheapest.server) {
    WarmupCounters& counters = placement.warmup.counters;
    std::uint64_t& counter = now < placement.warmup.confirmed_until
                                 ? counters.refused
                                 : counters.unconfirmed;
    counter += cheapest.lacks_budget ? 1 : 0;
    return std::nullopt;
  }
  const ServerIndex best = *cheapest.server;
  if (placement.config.balance_by_load) {
    CountDiverted(placement, placement.servers[best]);
  }
  RecordWarmupFlow(placement, best, limit, now);
  PlacedDataCentre& chosen =
      placement.data_centres[placement.servers[best].data_centre];
  if (SeemsUnreachable(chosen)) {
    chosen.avoid_until = now + kDataCentreAvoidance;
  }
  return best;
}

ServerIndex MostLikelyServer(const Placement& placement,
                             std::span<const ServerIndex> servers) {
  return *std::min_element(
      servers.begin(), servers.end(), [&](ServerIndex left, ServerIndex right) {
        const PlacedServer& first = placement.servers[left];
        const PlacedServer& second = placement.servers[right];
        return std::tie(first.life, first.incarnation, first.id) <
               std::tie(second.life, second.incarnation, second.id);
      });
}

void RecordOpening(PlacedServer& server, TimePoint now) {
  server.in_flight += 1;
  if (server.pending_openings == 0) {
    server.pending_since = now;
  }
  server.pending_openings += 1;
}

void RecordAnswered(Placement& placement, ServerIndex index, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  PlacedDataCentre& data_centre = placement.data_centres[server.data_centre];
  data_centre.consecutive_unanswered = 0;
  data_centre.avoid_until = {};
  server.pending_openings -= server.pending_openings > 0 ? 1 : 0;
  server.pending_since = now;
  server.answered_at = now;
  server.consecutive_avoidances = 0;
  server.avoid_until = {};
}

void RecordUnanswered(Placement& placement, ServerIndex index, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  PlacedDataCentre& data_centre = placement.data_centres[server.data_centre];
  data_centre.consecutive_unanswered += 1;
  if (SeemsUnreachable(data_centre)) {
    data_centre.avoid_until = now + kDataCentreAvoidance;
  }
  server.pending_openings -= server.pending_openings > 0 ? 1 : 0;
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (now >= server.avoid_until) {
    Avoid(server, now);
  }
}

void RecordFlowEnd(Placement& placement, ServerIndex index, bool answered,
                   std::optional<Milliseconds> duration, TimePoint now) {
  PlacedServer& server = placement.servers[index];
  server.in_flight -= server.in_flight > 0 ? 1 : 0;
  if (!answered) {
    server.pending_openings -= server.pending_openings > 0 ? 1 : 0;
  }
  if (!duration) {
    return;
  }
  const auto measured = static_cast<double>(duration->count());
  double& service_mean_ms =
      placement.mean_duration_ms_by_service[server.service];
  service_mean_ms = Average(service_mean_ms, measured, kServiceWeight);
  server.mean_duration_ms =
      Average(server.mean_duration_ms, measured, kServerWeight);
  server.duration_updated_at = now;
}

}  // namespace filbertwall
