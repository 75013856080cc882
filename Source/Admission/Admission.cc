#include "Admission/Admission.h"

#include <algorithm>
#include <cmath>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// The refused share rises linearly from 0 to 1 between these two values of the
/// expected slowness.
struct RefusalRange {
  double none_refused = 0;
  double all_refused = 0;
};
constexpr RefusalRange kRetryable{.none_refused = 0.4, .all_refused = 0.65};
constexpr RefusalRange kNonRetryable{.none_refused = 0.65, .all_refused = 1.0};

/// Above this slowness, requests wait in the queues of the servers. Below it,
/// the flows in flight are not used for the estimate.
constexpr double kQueueingSlowness = 0.45;
constexpr double kMaxSlowness = 1.5;
/// Time constant of the exponential decay of `recent_ends`.
constexpr Milliseconds kEndsDecayTime{300};
/// Weight of a new duration in the moving averages.
constexpr double kDurationWeight = 0.15;
/// With this many flows in flight, the estimate from the flows in flight and
/// the estimate from recent durations have equal weights.
constexpr double kEqualWeightFlows = 6;
/// The same when the estimate from the flows in flight is the lower one. Then
/// the queue has probably become shorter, but the recent durations still
/// include the time that flows waited in the longer queue.
constexpr double kEqualWeightFlowsWhenShorter = 0.5;
/// A time in which no flow ends is normal up to this multiple of the mean
/// interval between the ends of flows.
constexpr double kNormalIntervals = 3;
/// Time constant of the exponential decay of `slowness` after that time.
constexpr Milliseconds kSlownessDecayTime{150};
/// Measurements are ignored when no flow has ended for longer than this.
constexpr Milliseconds kMaxMeasurementAge{1500};
constexpr std::uint64_t kDrawRange = 1U << 20U;

ServiceMeasurements& MeasurementsOf(Admission& admission,
                                    std::uint32_t service) {
  if (service >= admission.services.size()) {
    admission.services.resize(service + 1);
  }
  return admission.services[service];
}

double ToDouble(Milliseconds time) { return static_cast<double>(time.count()); }

/// Returns `recent_ends`, decayed to `now`.
double RecentEnds(const ServiceMeasurements& measurements, TimePoint now) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - measurements.last_end_at)
          .count();
  return measurements.recent_ends *
         std::exp(-elapsed_ms / ToDouble(kEndsDecayTime));
}

bool HasRecentMeasurements(const ServiceMeasurements& measurements,
                           TimePoint now) {
  return measurements.objective_ms > 0 &&
         now - measurements.last_end_at <= kMaxMeasurementAge;
}

/// Returns the time until the flows in flight have ended at the current rate of
/// ends, divided by the objective.
double SlownessFromInFlight(const ServiceMeasurements& measurements,
                            TimePoint now) {
  const double ends_per_ms =
      RecentEnds(measurements, now) / ToDouble(kEndsDecayTime);
  const double wait_ms = measurements.in_flight / ends_per_ms;
  return std::min(kMaxSlowness, wait_ms / measurements.objective_ms);
}

/// Returns the moving average of durations divided by the objective. It decays
/// once no flow has ended for an unusually long time.
double SlownessFromDurations(const ServiceMeasurements& measurements,
                             TimePoint now) {
  const double since_end_ms =
      std::chrono::duration<double, std::milli>(now - measurements.last_end_at)
          .count();
  const double mean_interval_ms =
      ToDouble(kEndsDecayTime) / measurements.recent_ends;
  const double excess_ms =
      std::max(0.0, since_end_ms - kNormalIntervals * mean_interval_ms);
  return measurements.slowness *
         std::exp(-excess_ms / ToDouble(kSlownessDecayTime));
}

/// Returns the share of flows to admit.
double AdmittedShare(const RefusalRange& range, double slowness) {
  const double width = range.all_refused - range.none_refused;
  return std::clamp((range.all_refused - slowness) / width, 0.0, 1.0);
}

double Average(double average, double measured) {
  return average + kDurationWeight * (measured - average);
}

}  // namespace

double ExpectedSlowness(const Admission& admission, std::uint32_t service,
                        TimePoint now) {
  if (service >= admission.services.size()) {
    return 0;
  }
  const ServiceMeasurements& measurements = admission.services[service];
  if (!HasRecentMeasurements(measurements, now)) {
    return 0;
  }
  const double from_durations = SlownessFromDurations(measurements, now);
  if (from_durations < kQueueingSlowness) {
    return from_durations;
  }
  const double from_in_flight = SlownessFromInFlight(measurements, now);
  const double equal_weight_flows = from_in_flight < from_durations
                                        ? kEqualWeightFlowsWhenShorter
                                        : kEqualWeightFlows;
  const double in_flight_weight =
      measurements.in_flight / (measurements.in_flight + equal_weight_flows);
  return in_flight_weight * from_in_flight +
         (1 - in_flight_weight) * from_durations;
}

bool Admit(Admission& admission, const AdmissionRequest& request,
           TimePoint now) {
  const double slowness = ExpectedSlowness(admission, request.service, now);
  const double share =
      AdmittedShare(request.retryable ? kRetryable : kNonRetryable, slowness);
  const std::uint64_t draw =
      MixHash(request.caller, admission.round) % kDrawRange;
  // An instance without flows in flight does not contribute to the overload,
  // and if it refused every flow, it could not detect the end of the overload.
  const bool admitted =
      MeasurementsOf(admission, request.service).in_flight == 0 ||
      static_cast<double>(draw) < share * kDrawRange;
  AdmissionCounters& counters = admission.counters;
  counters.admitted += admitted ? 1 : 0;
  counters.refused += admitted ? 0 : 1;
  counters.refused_non_retryable += !admitted && !request.retryable ? 1 : 0;
  return admitted;
}

void AddFlowInFlight(Admission& admission, std::uint32_t service) {
  MeasurementsOf(admission, service).in_flight += 1;
}

void RemoveFlowInFlight(Admission& admission, std::uint32_t service) {
  ServiceMeasurements& measurements = MeasurementsOf(admission, service);
  measurements.in_flight -= measurements.in_flight > 0 ? 1 : 0;
}

void RecordFlowDuration(Admission& admission, std::uint32_t service,
                        Milliseconds duration, Milliseconds objective,
                        TimePoint now) {
  ServiceMeasurements& measurements = MeasurementsOf(admission, service);
  const double slowness = ToDouble(duration) / ToDouble(objective);
  if (HasRecentMeasurements(measurements, now)) {
    measurements.recent_ends = RecentEnds(measurements, now) + 1;
    measurements.slowness = Average(measurements.slowness, slowness);
    measurements.objective_ms =
        Average(measurements.objective_ms, ToDouble(objective));
  } else {
    measurements.recent_ends = 1;
    measurements.slowness = slowness;
    measurements.objective_ms = ToDouble(objective);
  }
  measurements.last_end_at = now;
}

void ResetMeasurements(Admission& admission) {
  for (ServiceMeasurements& measurements : admission.services) {
    measurements.objective_ms = 0;
  }
}

}  // namespace filbertwall
