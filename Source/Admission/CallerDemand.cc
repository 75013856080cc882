#include "Admission/CallerDemand.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

/// Time constant of the exponential decay of demands. With 300 instances, a
/// caller that asks for little reaches one instance every few seconds.
constexpr Milliseconds kDemandDecayTime{2000};
/// A caller with a lower demand is forgotten.
constexpr double kMinDemand = 0.02;
/// A caller is heavy from this multiple of the mean demand on.
constexpr double kHeavyMultiple = 2;

void Decay(CallerDemand& demand, TimePoint now) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - demand.updated_at)
          .count();
  const double decay =
      std::exp(-elapsed_ms / static_cast<double>(kDemandDecayTime.count()));
  demand.updated_at = now;
  for (TrackedCaller& tracked : demand.callers) {
    tracked.demand *= decay;
  }
  std::erase_if(demand.callers, [](const TrackedCaller& tracked) {
    return tracked.demand < kMinDemand;
  });
}

/// Returns the level at which the callers get `budget` in total.
double FairLevel(const CallerDemand& demand, double budget) {
  const auto count = static_cast<double>(demand.callers.size());
  double level = budget / count;
  // Each pass excludes callers below the level, whose unused part raises it.
  // The level never exceeds the final one, so it can be used after any pass.
  constexpr int kMaxPasses = 16;
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    double below = 0;
    double above_count = 0;
    for (const TrackedCaller& tracked : demand.callers) {
      const bool is_below = tracked.demand <= level;
      below += is_below ? tracked.demand : 0;
      above_count += is_below ? 0 : 1;
    }
    if (above_count == 0) {
      return level;
    }
    const double next = (budget - below) / above_count;
    if (next <= level) {
      return level;
    }
    level = next;
  }
  return level;
}

}  // namespace

void RecordCaller(CallerDemand& demand, std::uint32_t caller, TimePoint now) {
  Decay(demand, now);
  const auto known = std::find_if(
      demand.callers.begin(), demand.callers.end(),
      [&](const TrackedCaller& item) { return item.caller == caller; });
  if (known != demand.callers.end()) {
    known->demand += 1;
    return;
  }
  if (demand.callers.size() < kMaxTrackedCallers) {
    demand.callers.push_back({.caller = caller, .demand = 1});
    return;
  }
  // The new caller takes over the lowest demand: it may have been replaced
  // itself before, so its demand is at most that much higher.
  const auto lowest = std::min_element(
      demand.callers.begin(), demand.callers.end(),
      [](const TrackedCaller& left, const TrackedCaller& right) {
        return left.demand < right.demand;
      });
  lowest->caller = caller;
  lowest->demand += 1;
}

CallerShare ShareOfCaller(const CallerDemand& demand, std::uint32_t caller,
                          double share) {
  double total = 0;
  double own = 0;
  for (const TrackedCaller& tracked : demand.callers) {
    total += tracked.demand;
    own += tracked.caller == caller ? tracked.demand : 0;
  }
  if (own <= 0 || share >= 1) {
    return {.share = share};
  }
  const double mean = total / static_cast<double>(demand.callers.size());
  const double level = FairLevel(demand, share * total);
  return {.share = std::min(1.0, level / own),
          .heavy = own > kHeavyMultiple * mean};
}

}  // namespace filbertwall
