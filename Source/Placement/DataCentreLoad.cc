#include "Placement/DataCentreLoad.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

/// Half-lives of the recent and of the long-term average. The recent one is
/// well above the time that a queue needs to drain; with a shorter one the
/// diverted share oscillates.
constexpr Milliseconds kHalfLife{600};
constexpr Milliseconds kSlowHalfLife{5000};
/// Number of flows in the long-term average from which it is believed.
constexpr double kMinSlowFlows = 10;
/// Relative rise of `unloaded_ms` per second, which follows work that has
/// become longer for good.
constexpr double kUnloadedRisePerSecond = 0.01;
/// A data centre that was loaded from the first flow on has no quiet time to
/// compare with. Its mean without load is taken to be at most this multiple of
/// that of the fastest other one; the network accounts for the difference.
constexpr double kMaxUnloadedRatio = 2.5;
/// Durations are capped at this multiple of the mean without load, which limits
/// the effect of the few requests that take much longer than the others.
constexpr double kMaxRatio = 5;
/// Flows as usual that are added to the measured ones, which limits the effect
/// of chance on a mean of few flows. For recent flows those of the long term
/// are usual, and for these, flows without load.
constexpr double kAssumedFlows = 3;
/// Nothing is diverted below the first load; the share rises linearly up to the
/// second one.
constexpr double kMinDivertingLoad = 1.4;
constexpr double kMaxDivertingLoad = 3.1;
constexpr double kMaxDivertedShare = 0.9;

double DecayFactor(TimePoint from, TimePoint to, Milliseconds half_life) {
  const double half_lives = std::chrono::duration<double>(to - from) /
                            std::chrono::duration<double>(half_life);
  return std::exp2(-std::max(0.0, half_lives));
}

/// Adds a duration to a decayed mean of `flows` flows.
void AddToMean(double& mean, double& flows, double duration_ms) {
  mean = (mean * flows + duration_ms) / (flows + 1);
  flows += 1;
}

/// Returns the mean of `flows` flows with the mean `measured`, and of
/// `kAssumedFlows` flows with the mean `usual`.
double Combine(double measured, double flows, double usual) {
  return (measured * flows + usual * kAssumedFlows) / (flows + kAssumedFlows);
}

const LoadMeter* FindMeter(const DataCentreLoads& loads, std::uint32_t service,
                           std::uint32_t data_centre) {
  const bool known = service < loads.meters.size() &&
                     data_centre < loads.meters[service].size();
  return known ? &loads.meters[service][data_centre] : nullptr;
}

LoadMeter& MeterOf(DataCentreLoads& loads, std::uint32_t service,
                   std::uint32_t data_centre) {
  if (service >= loads.meters.size()) {
    loads.meters.resize(service + 1);
  }
  std::vector<LoadMeter>& meters = loads.meters[service];
  if (data_centre >= meters.size()) {
    meters.resize(data_centre + 1);
  }
  return meters[data_centre];
}

/// Returns the mean duration without load, 0 when it is not known.
double UnloadedMs(const DataCentreLoads& loads, std::uint32_t service,
                  const LoadMeter& meter) {
  double unloaded = meter.unloaded_ms;
  for (const LoadMeter& other : loads.meters[service]) {
    if (other.unloaded_ms > 0) {
      unloaded = std::min(unloaded, kMaxUnloadedRatio * other.unloaded_ms);
    }
  }
  return unloaded;
}

/// Returns the share of flows that a data centre without load would be sent.
double ShareByLoad(double load) {
  const double share =
      (load - kMinDivertingLoad) / (kMaxDivertingLoad - kMinDivertingLoad);
  return kMaxDivertedShare * std::clamp(share, 0.0, 1.0);
}

void UpdateUnloaded(LoadMeter& meter, double passed_s) {
  if (meter.slow_flows < kMinSlowFlows) {
    return;
  }
  if (meter.unloaded_ms == 0) {
    meter.unloaded_ms = meter.slow_mean_ms;
    return;
  }
  const double risen = meter.unloaded_ms *
                       (1 + kUnloadedRisePerSecond * std::min(1.0, passed_s));
  meter.unloaded_ms = std::min(meter.slow_mean_ms, risen);
}

}  // namespace

void RecordLoad(DataCentreLoads& loads, std::uint32_t service,
                std::uint32_t data_centre, Milliseconds duration,
                TimePoint now) {
  LoadMeter& meter = MeterOf(loads, service, data_centre);
  const double unloaded_ms = UnloadedMs(loads, service, meter);
  const auto measured_ms = static_cast<double>(duration.count());
  const double capped_ms = unloaded_ms > 0
                               ? std::min(measured_ms, kMaxRatio * unloaded_ms)
                               : measured_ms;
  const double passed_s =
      std::chrono::duration<double>(now - meter.updated_at).count();
  meter.flows *= DecayFactor(meter.updated_at, now, kHalfLife);
  meter.slow_flows *= DecayFactor(meter.updated_at, now, kSlowHalfLife);
  AddToMean(meter.mean_ms, meter.flows, capped_ms);
  AddToMean(meter.slow_mean_ms, meter.slow_flows, capped_ms);
  meter.updated_at = now;
  UpdateUnloaded(meter, passed_s);
}

double LoadOf(const DataCentreLoads& loads, std::uint32_t service,
              std::uint32_t data_centre, TimePoint now) {
  const LoadMeter* meter = FindMeter(loads, service, data_centre);
  if (meter == nullptr || meter->unloaded_ms == 0) {
    return 1;
  }
  const double unloaded_ms = UnloadedMs(loads, service, *meter);
  const double slow_flows =
      meter->slow_flows * DecayFactor(meter->updated_at, now, kSlowHalfLife);
  const double flows =
      meter->flows * DecayFactor(meter->updated_at, now, kHalfLife);
  const double long_term =
      Combine(meter->slow_mean_ms / unloaded_ms, slow_flows, 1);
  return Combine(meter->mean_ms / unloaded_ms, flows, long_term);
}

Microseconds UnloadedDuration(const DataCentreLoads& loads,
                              std::uint32_t service) {
  double shortest_ms = 0;
  if (service < loads.meters.size()) {
    for (const LoadMeter& meter : loads.meters[service]) {
      const bool shorter =
          meter.unloaded_ms > 0 &&
          (shortest_ms == 0 || meter.unloaded_ms < shortest_ms);
      shortest_ms = shorter ? meter.unloaded_ms : shortest_ms;
    }
  }
  return std::chrono::round<Microseconds>(
      std::chrono::duration<double, std::milli>(shortest_ms));
}

double DivertedShare(double load, double least_load) {
  return std::max(0.0, ShareByLoad(load) - ShareByLoad(least_load));
}

}  // namespace filbertwall
