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

/// Returns the share of the sampled requests that is admitted at a level.
double ShareAtLevel(const CallerDemand& demand, double level) {
  const std::size_t count =
      std::min<std::uint64_t>(demand.requests, kSampledRequests);
  double admitted = 0;
  for (std::size_t i = 0; i < count; ++i) {
    admitted += std::min(1.0, level / demand.sampled.at(i));
  }
  return admitted / static_cast<double>(count);
}

/// Returns the level at which `share` of the sampled requests is admitted.
/// Precondition: a request was recorded.
double FairLevel(const CallerDemand& demand, double share) {
  double low = 0;
  double high = *std::max_element(demand.sampled.begin(), demand.sampled.end());
  constexpr int kSteps = 20;
  for (int step = 0; step < kSteps; ++step) {
    const double middle = (low + high) / 2;
    (ShareAtLevel(demand, middle) < share ? low : high) = middle;
  }
  return high;
}

/// Adds a request to a caller's demand, which is returned.
double AddRequest(CallerDemand& demand, std::uint32_t caller) {
  const auto known = std::find_if(
      demand.callers.begin(), demand.callers.end(),
      [&](const TrackedCaller& item) { return item.caller == caller; });
  if (known != demand.callers.end()) {
    known->demand += 1;
    return known->demand;
  }
  if (demand.callers.size() < kMaxTrackedCallers) {
    demand.callers.push_back({.caller = caller, .demand = 1});
    return 1;
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
  return lowest->demand;
}

}  // namespace

void RecordCaller(CallerDemand& demand, std::uint32_t caller, TimePoint now) {
  Decay(demand, now);
  const double own = AddRequest(demand, caller);
  demand.sampled.at(demand.requests % kSampledRequests) = own;
  demand.requests += 1;
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
  const double level = FairLevel(demand, share);
  return {.share = std::min(1.0, level / own),
          .heavy = own > kHeavyMultiple * mean};
}

}  // namespace filbertwall
