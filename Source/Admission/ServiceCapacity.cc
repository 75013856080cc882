#include "Admission/ServiceCapacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertwall {
namespace {

/// Weight of a new duration in `mean_slowness`.
constexpr double kDurationWeight = 0.05;
/// `usual_slowness` is known after this many flows.
constexpr std::uint32_t kMinMeasured = 20;
/// Time constant with which `usual_slowness` follows a higher mean. It is
/// longer than an overload usually lasts.
constexpr Milliseconds kUsualRiseTime{120000};
/// A flow that waits in an almost full queue takes this multiple of the usual
/// duration. Servers with a full queue reject flows, whatever their class. A
/// multiple of 5 refuses less urgent classes at 0.9 of the capacity.
constexpr double kFullQueueMultiple = 6;
/// Durations that vary without queueing reach this multiple of the usual one.
constexpr double kUsualVariation = 1.3;
/// Highest utilization at which the answers are in time.
constexpr double kTargetUtilization = 0.9;
/// Fewer ends than this give no estimate.
constexpr double kMinEnds = 10;
/// Smaller changes of the effective slots are ignored: the speeds of the
/// servers are measured, so their sum varies.
constexpr double kMinChange = 0.05;
/// Lower factors count as this one, so that a service that has lost all
/// capacity still admits flows once capacity returns.
constexpr double kMinFactor = 0.05;
/// After this time durations show the new state.
constexpr Milliseconds kLimitDuration{1000};

double ToDouble(Milliseconds time) { return static_cast<double>(time.count()); }

double DecayedEnds(const ServiceCapacity& capacity, TimePoint now) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - capacity.last_end_at)
          .count();
  return capacity.ends * std::exp(-elapsed_ms / ToDouble(kCapacityDecayTime));
}

/// Returns the rate of ends at which the servers would be used up to the
/// target.
double SustainablePerMillisecond(const ServiceCapacity& capacity,
                                 TimePoint now) {
  const double utilization = EstimatedUtilization(capacity);
  if (DecayedEnds(capacity, now) < kMinEnds || utilization <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return EndsPerMillisecond(capacity, now) * kTargetUtilization / utilization;
}

bool IsLimited(const ServiceCapacity& capacity, TimePoint now) {
  return capacity.limit_per_ms > 0 &&
         now - capacity.limited_at < kLimitDuration;
}

}  // namespace

void RecordEnd(ServiceCapacity& capacity, double slowness, TimePoint now) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - capacity.last_end_at)
          .count();
  capacity.ends = DecayedEnds(capacity, now) + 1;
  capacity.last_end_at = now;
  capacity.measured += capacity.measured < kMinMeasured ? 1 : 0;
  capacity.mean_slowness += std::max(kDurationWeight, 1.0 / capacity.measured) *
                            (slowness - capacity.mean_slowness);
  if (capacity.measured < kMinMeasured) {
    return;
  }
  const double excess = capacity.mean_slowness - capacity.usual_slowness;
  const bool set = capacity.usual_slowness <= 0 || excess < 0;
  capacity.usual_slowness +=
      excess * (set ? 1 : 1 - std::exp(-elapsed_ms / ToDouble(kUsualRiseTime)));
}

double EndsPerMillisecond(const ServiceCapacity& capacity, TimePoint now) {
  return DecayedEnds(capacity, now) / ToDouble(kCapacityDecayTime);
}

double ObjectiveExcess(const ServiceCapacity& capacity) {
  const double full_queue = kFullQueueMultiple * capacity.usual_slowness;
  if (capacity.effective_slots <= 0 || full_queue <= 0) {
    return 1;
  }
  return std::max(1.0, 1 / full_queue);
}

double EstimatedUtilization(const ServiceCapacity& capacity) {
  // With flows spread at random over servers of two slots, the mean duration is
  // the usual one divided by 1 - u^2 at a utilization of u.
  const double free_duration = kUsualVariation * capacity.usual_slowness;
  if (capacity.mean_slowness <= free_duration) {
    return 0;
  }
  return std::sqrt(1 - free_duration / capacity.mean_slowness);
}

double SetEffectiveSlots(ServiceCapacity& capacity, double effective_slots,
                         TimePoint now) {
  const double before = capacity.effective_slots;
  if (std::abs(effective_slots - before) < kMinChange * before) {
    return 1;
  }
  capacity.effective_slots = effective_slots;
  if (before <= 0) {
    capacity.limit_per_ms = 0;
    return 1;
  }
  const double factor = std::max(kMinFactor, effective_slots / before);
  if (factor >= 1) {
    capacity.limit_per_ms *= factor;
    return 1;
  }
  const double possible = std::min(LimitPerMillisecond(capacity, now),
                                   SustainablePerMillisecond(capacity, now));
  capacity.limit_per_ms = std::isfinite(possible) ? possible * factor : 0;
  capacity.limited_at = now;
  capacity.ends *= factor;
  return factor;
}

double LimitPerMillisecond(const ServiceCapacity& capacity, TimePoint now) {
  if (!IsLimited(capacity, now)) {
    return std::numeric_limits<double>::infinity();
  }
  // The bound rises gradually to none, so that its end causes no burst.
  const double elapsed =
      std::chrono::duration<double, std::milli>(now - capacity.limited_at)
          .count() /
      ToDouble(kLimitDuration);
  return capacity.limit_per_ms / (1 - elapsed);
}

}  // namespace filbertwall
