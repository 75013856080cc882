#pragma once

#include <cstdint>

#include "Base/Time.h"

/// Bounds the rate of new flows as soon as a service has lost capacity, and
/// recognizes an overload whose queues are shorter than the latency objective.
///
/// The durations of flows show a loss of servers only after the queues of the
/// others have grown. A fall of the effective slots is known earlier. How many
/// flows the remaining slots can process is estimated from the rate at which
/// flows ended before and the utilization of the servers then, which follows
/// from how much longer flows took than without queueing. The bound lasts until
/// durations show the new state. Plain state and pure functions; not thread
/// safe.
namespace filbertwall {

/// Time constant of the exponential decay of `ServiceCapacity::ends`. An
/// instance of a fleet of 300 sees about 20 flows in it.
inline constexpr Milliseconds kCapacityDecayTime{800};

struct ServiceCapacity {
  double effective_slots = 0;  ///< Of the whole service; 0: not known.
  /// Flows that ended at this instance, with exponentially decaying weight.
  double ends = 0;
  /// Moving average of the flow duration divided by its objective.
  double mean_slowness = 0;
  std::uint32_t measured = 0;  ///< Flows in `mean_slowness`, up to a limit.
  /// Slowness without queueing: the lowest recent `mean_slowness`; 0: not
  /// known.
  double usual_slowness = 0;
  TimePoint last_end_at;
  double limit_per_ms = 0;  ///< Bound on new flows at `limited_at`; 0: none.
  TimePoint limited_at;
};

/// Records the end of a flow. Precondition: `now` never decreases.
void RecordEnd(ServiceCapacity& capacity, double slowness, TimePoint now);

/// Returns the rate at which flows end, per millisecond.
double EndsPerMillisecond(const ServiceCapacity& capacity, TimePoint now);

/// Returns by how much the latency objective exceeds the duration of a flow
/// that waits in an almost full queue of a server; at least 1, and 1 while the
/// effective slots are not known. Slowness times this value shows an overload
/// even if the queues are too short for answers to miss the objective.
double ObjectiveExcess(const ServiceCapacity& capacity);

/// Returns the estimated utilization of the servers, from 0 to 1.
double EstimatedUtilization(const ServiceCapacity& capacity);

/// Sets the effective slots unless they change by less than 5 %. Returns the
/// factor by which they fell; 1 when they did not, or were not known.
/// Precondition: `effective_slots` is not negative.
double SetEffectiveSlots(ServiceCapacity& capacity, double effective_slots,
                         TimePoint now);

/// Returns the bound on the rate of new flows, per millisecond; infinity when
/// there is none.
double LimitPerMillisecond(const ServiceCapacity& capacity, TimePoint now);

}  // namespace filbertwall
