#include "Admission/Admission.h"

#include <algorithm>
#include <cmath>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Up to this expected slowness nothing is refused.
constexpr double kNoRefusalSlowness = 0.4;
/// At this slowness, as many flows are admitted as end.
constexpr double kTargetSlowness = 0.5;
/// From this slowness on, answers would be late, and no retryable flow is
/// admitted.
constexpr double kLateSlowness = 1.1;
/// Change of the admitted rate, relative to the rate of ends, for each unit of
/// slowness below and above the target.
constexpr double kIncreaseBelowTarget = 7;
constexpr double kDecreaseAboveTarget = 0.5;
/// Up to this slowness no flow is refused whose request must not be retried,
/// if no class is more urgent.
constexpr double kNoNonRetryableRefusalSlowness = 0.65;
/// The limits that correspond to `kNoNonRetryableRefusalSlowness` and
/// `kLateSlowness` when more urgent classes ask for the whole capacity: nothing
/// is left before the most urgent class has flows refused.
constexpr double kNoLessUrgentRefusalSlowness = 0.5;
constexpr double kLessUrgentLateSlowness = 0.65;
/// Time constant of the exponential decay of the recent requests.
constexpr Milliseconds kRequestsDecayTime{200};

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
/// Time without an end of a flow after which an instance without flows in
/// flight admits one.
constexpr Milliseconds kProbeInterval{200};
/// With this many recent ends, the rates over a short time are used alone.
constexpr double kManyRecentEnds = 20;
/// A less urgent class gets nothing while a larger share of the recent requests
/// is refused.
constexpr double kMaxRefusedShare = 0.1;
/// Added to the recent requests, so that one refusal of few requests is no
/// large share.
constexpr double kFewRequests = 5;
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
/// ends, divided by the objective, times `objective_excess`.
double SlownessFromInFlight(const ServiceMeasurements& measurements,
                            double objective_excess, TimePoint now) {
  const double ends_per_ms =
      RecentEnds(measurements, now) / ToDouble(kEndsDecayTime);
  const double wait_ms = measurements.in_flight / ends_per_ms;
  return std::min(kMaxSlowness,
                  wait_ms / measurements.objective_ms * objective_excess);
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

/// Returns the measurements of a class; adds the class when it is new.
ClassMeasurements& ClassOf(ServiceMeasurements& measurements,
                           const FlowClass& flow_class) {
  std::vector<ClassMeasurements>& classes = measurements.classes;
  const auto position = [&] {
    return std::lower_bound(
        classes.begin(), classes.end(), flow_class,
        [](const ClassMeasurements& item, const FlowClass& value) {
          return item.flow_class < value;
        });
  };
  const auto known = position();
  if (known != classes.end() && known->flow_class == flow_class) {
    return *known;
  }
  if (classes.size() >= kMaxClasses) {
    classes.erase(std::min_element(
        classes.begin(), classes.end(),
        [](const ClassMeasurements& left, const ClassMeasurements& right) {
          return left.recent_requests < right.recent_requests;
        }));
  }
  return *classes.insert(position(),
                         ClassMeasurements{.flow_class = flow_class});
}

/// Returns the weight of requests recorded at `last_request_at`, at `now`.
double RequestsDecay(const ServiceMeasurements& measurements,
                     Milliseconds decay_time, TimePoint now) {
  const double elapsed_ms = std::chrono::duration<double, std::milli>(
                                now - measurements.last_request_at)
                                .count();
  return std::exp(-elapsed_ms / ToDouble(decay_time));
}

ClassMeasurements& RecordRequest(ServiceMeasurements& measurements,
                                 const FlowClass& flow_class, TimePoint now) {
  const double decay = RequestsDecay(measurements, kRequestsDecayTime, now);
  const double longer_decay =
      RequestsDecay(measurements, kCapacityDecayTime, now);
  for (ClassMeasurements& item : measurements.classes) {
    item.recent_requests *= decay;
    item.longer_requests *= longer_decay;
    item.longer_admitted *= longer_decay;
  }
  measurements.last_request_at = now;
  ClassMeasurements& own = ClassOf(measurements, flow_class);
  own.recent_requests += 1;
  own.longer_requests += 1;
  return own;
}

/// The load of a service as a class sees it, measured over some time. Requests
/// and ends are numbers of flows in `kRequestsDecayTime` or
/// `kCapacityDecayTime`.
struct ClassLoad {
  double slowness = 0;
  double ends = 0;         ///< Flows that end.
  double more_urgent = 0;  ///< Requests of more urgent classes.
  double own = 0;          ///< Requests of the class.
  double limit = 0;        ///< Bound on the flows to admit.
};

/// Sums up the requests, which are in `member`.
void CountRequests(ClassLoad& load, const ServiceMeasurements& measurements,
                   const FlowClass& flow_class, double decay,
                   double ClassMeasurements::*member) {
  for (const ClassMeasurements& item : measurements.classes) {
    const double requests = item.*member * decay;
    load.more_urgent += item.flow_class < flow_class ? requests : 0;
    load.own += item.flow_class == flow_class ? requests : 0;
  }
  // A class without requests gets a share as well.
  constexpr double kMinRequests = 1e-9;
  load.own = std::max(load.own, kMinRequests);
}

ClassLoad RecentLoad(const ServiceMeasurements& measurements,
                     const FlowClass& flow_class, double slowness,
                     TimePoint now) {
  const double ends_per_ms =
      RecentEnds(measurements, now) / ToDouble(kEndsDecayTime);
  ClassLoad load{.slowness = slowness,
                 .ends = ends_per_ms * ToDouble(kRequestsDecayTime),
                 .limit = LimitPerMillisecond(measurements.capacity, now) *
                          ToDouble(kRequestsDecayTime)};
  CountRequests(load, measurements, flow_class,
                RequestsDecay(measurements, kRequestsDecayTime, now),
                &ClassMeasurements::recent_requests);
  return load;
}

ClassLoad LongerLoad(const ServiceMeasurements& measurements,
                     const FlowClass& flow_class, TimePoint now) {
  const ServiceCapacity& capacity = measurements.capacity;
  ClassLoad load{
      .slowness = capacity.mean_slowness * ObjectiveExcess(capacity),
      .ends = EndsPerMillisecond(capacity, now) * ToDouble(kCapacityDecayTime),
      .limit =
          LimitPerMillisecond(capacity, now) * ToDouble(kCapacityDecayTime)};
  CountRequests(load, measurements, flow_class,
                RequestsDecay(measurements, kCapacityDecayTime, now),
                &ClassMeasurements::longer_requests);
  return load;
}

/// Returns the rate of flows to admit, divided by the rate at which flows end.
/// Precondition: `slowness` is above `kNoRefusalSlowness`.
double AdmittedPerEnd(double slowness) {
  if (slowness >= kLateSlowness) {
    return 0;
  }
  const double excess = slowness - kTargetSlowness;
  return 1 -
         excess * (excess < 0 ? kIncreaseBelowTarget : kDecreaseAboveTarget);
}

/// Returns the flows to admit; infinity when nothing is refused.
double AdmittedFlows(const ClassLoad& load) {
  return load.slowness <= kNoRefusalSlowness
             ? load.limit
             : std::min(load.limit, load.ends * AdmittedPerEnd(load.slowness));
}

/// Returns the share of the capacity left by more urgent classes.
double ShareOfRest(const ClassLoad& load, double admitted) {
  if (std::isinf(admitted)) {
    return 1;
  }
  return std::clamp((admitted - load.more_urgent) / load.own, 0.0, 1.0);
}

/// Returns the share of non-retryable flows to admit: all that the service can
/// process beside more urgent classes, and all while the queues are short.
double ShareOfNonRetryable(const ClassLoad& load) {
  if (load.more_urgent <= 0) {
    const double by_slowness = (kLateSlowness - load.slowness) /
                               (kLateSlowness - kNoNonRetryableRefusalSlowness);
    return std::clamp(std::max(load.ends / load.own, by_slowness), 0.0, 1.0);
  }
  const double admitted = AdmittedFlows(load);
  if (admitted <= load.more_urgent) {
    return 0;
  }
  const double urgent_load =
      load.ends > 0 ? std::min(1.0, load.more_urgent / load.ends) : 1;
  const double first = std::lerp(kNoNonRetryableRefusalSlowness,
                                 kNoLessUrgentRefusalSlowness, urgent_load);
  const double last =
      std::lerp(kLateSlowness, kLessUrgentLateSlowness, urgent_load);
  const double by_slowness =
      std::clamp((last - load.slowness) / (last - first), 0.0, 1.0);
  return std::max(ShareOfRest(load, admitted), by_slowness);
}

double ShareOfLoad(const ClassLoad& load, bool retryable) {
  return retryable ? ShareOfRest(load, AdmittedFlows(load))
                   : ShareOfNonRetryable(load);
}

/// Whether flows of more urgent classes were refused recently. Without it, a
/// class would get a part of the capacity whenever the slowness, which varies,
/// is low for a moment. Orders count only when the capacity is known: otherwise
/// the usual routes are decided as without classes.
bool YieldsToMoreUrgent(const ServiceMeasurements& measurements,
                        const FlowClass& flow_class, TimePoint now) {
  if (!HasRecentMeasurements(measurements, now)) {
    return false;
  }
  const double decay = RequestsDecay(measurements, kCapacityDecayTime, now);
  return std::any_of(
      measurements.classes.begin(), measurements.classes.end(),
      [&](const ClassMeasurements& item) {
        const bool counts = item.flow_class.retryable ||
                            measurements.capacity.effective_slots > 0;
        const double refused =
            (item.longer_requests - item.longer_admitted) * decay;
        return counts && item.flow_class < flow_class &&
               refused > kMaxRefusedShare *
                             (item.longer_requests * decay + kFewRequests);
      });
}

/// Returns the share of a class. When the capacity is known, an instance with
/// few flows goes by a longer time: the share that follows from a few flows
/// varies, and while it is 1 an overload is admitted as a whole.
double ShareOf(const ServiceMeasurements& measurements,
               const FlowClass& flow_class, double slowness, TimePoint now) {
  const double recent =
      ShareOfLoad(RecentLoad(measurements, flow_class, slowness, now),
                  flow_class.retryable);
  const bool capacity_known = measurements.capacity.effective_slots > 0;
  const double weight =
      std::min(1.0, RecentEnds(measurements, now) / kManyRecentEnds);
  if (YieldsToMoreUrgent(measurements, flow_class, now)) {
    return 0;
  }
  if (!capacity_known || weight >= 1 ||
      !HasRecentMeasurements(measurements, now)) {
    return recent;
  }
  const double longer = ShareOfLoad(LongerLoad(measurements, flow_class, now),
                                    flow_class.retryable);
  return std::lerp(longer, recent, weight);
}

/// A draw from 0 to 1 that is the same for all requests with the same key in
/// an interval.
double Draw(const Admission& admission, std::uint64_t key) {
  return static_cast<double>(MixHash(key, admission.refusal_interval) %
                             kDrawRange) /
         kDrawRange;
}

/// Whether a flow is admitted whatever its share. An instance without flows in
/// flight does not contribute to the overload, and if it refused every flow, it
/// could not detect the end of the overload. When the capacity is known, one
/// flow from time to time is enough: an instance of a large fleet often has no
/// flow in flight, and would admit flows that others refuse.
bool MustProbe(const ServiceMeasurements& measurements, TimePoint now) {
  const bool capacity_known = measurements.capacity.effective_slots > 0;
  return measurements.in_flight == 0 &&
         (!capacity_known || now - measurements.last_end_at >= kProbeInterval);
}

AdmissionReason Decide(const Admission& admission,
                       const ServiceMeasurements& measurements,
                       const ClassMeasurements& own,
                       const AdmissionRequest& request, double share,
                       TimePoint now) {
  const CallerShare by_caller =
      admission.fair_callers ? ShareOfCaller(own.callers, request.caller, share)
                             : CallerShare{.share = share};
  const std::uint64_t key = by_caller.heavy ? request.flow : request.caller;
  if (Draw(admission, key) < by_caller.share) {
    return AdmissionReason::kWithinShare;
  }
  if (MustProbe(measurements, now)) {
    return AdmissionReason::kNoneInFlight;
  }
  if (own.refused_since != TimePoint() &&
      now - own.refused_since >= kMaxStarvation) {
    return AdmissionReason::kStarved;
  }
  return by_caller.share < share ? AdmissionReason::kUnfair
                                 : AdmissionReason::kRefused;
}

/// Counts a decision.
void CountDecision(Admission& admission, ClassMeasurements& own,
                   AdmissionReason reason, TimePoint now) {
  const bool admitted = IsAdmitted(reason);
  const bool non_retryable = !own.flow_class.retryable;
  AdmissionCounters& counters = admission.counters;
  counters.admitted += admitted ? 1 : 0;
  counters.refused += admitted ? 0 : 1;
  counters.refused_non_retryable += !admitted && non_retryable ? 1 : 0;
  counters.starved += reason == AdmissionReason::kStarved ? 1 : 0;
  counters.unfair += reason == AdmissionReason::kUnfair ? 1 : 0;
  const std::size_t priority = std::min<std::size_t>(
      own.flow_class.priority, counters.refused_by_priority.size() - 1);
  counters.refused_by_priority.at(priority) += admitted ? 0 : 1;
  own.longer_admitted += admitted ? 1 : 0;
  own.counters.admitted += admitted ? 1 : 0;
  own.counters.refused += admitted ? 0 : 1;
  own.counters.starved += reason == AdmissionReason::kStarved ? 1 : 0;
  own.counters.unfair += reason == AdmissionReason::kUnfair ? 1 : 0;
  if (admitted) {
    own.refused_since = TimePoint();
  } else if (own.refused_since == TimePoint()) {
    own.refused_since = now;
  }
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
  const double objective_excess = ObjectiveExcess(measurements.capacity);
  const double from_durations =
      SlownessFromDurations(measurements, now) * objective_excess;
  if (from_durations < kQueueingSlowness) {
    return from_durations;
  }
  const double from_in_flight =
      SlownessFromInFlight(measurements, objective_excess, now);
  const double equal_weight_flows = from_in_flight < from_durations
                                        ? kEqualWeightFlowsWhenShorter
                                        : kEqualWeightFlows;
  const double in_flight_weight =
      measurements.in_flight / (measurements.in_flight + equal_weight_flows);
  return in_flight_weight * from_in_flight +
         (1 - in_flight_weight) * from_durations;
}

double AdmittedShare(const Admission& admission, std::uint32_t service,
                     const FlowClass& flow_class, TimePoint now) {
  if (service >= admission.services.size()) {
    return 1;
  }
  return ShareOf(admission.services[service], flow_class,
                 ExpectedSlowness(admission, service, now), now);
}

bool IsAdmitted(AdmissionReason reason) {
  return reason != AdmissionReason::kRefused &&
         reason != AdmissionReason::kUnfair;
}

AdmissionDecision DecideAdmission(Admission& admission,
                                  const AdmissionRequest& request,
                                  TimePoint now) {
  const double slowness = ExpectedSlowness(admission, request.service, now);
  ServiceMeasurements& measurements =
      MeasurementsOf(admission, request.service);
  const FlowClass flow_class{.priority = request.priority,
                             .retryable = request.retryable};
  ClassMeasurements& own = RecordRequest(measurements, flow_class, now);
  if (admission.fair_callers) {
    RecordCaller(own.callers, request.caller, now);
  }
  const double share = ShareOf(measurements, flow_class, slowness, now);
  const AdmissionReason reason =
      Decide(admission, measurements, own, request, share, now);
  CountDecision(admission, own, reason, now);
  return {.reason = reason, .expected_slowness = slowness, .share = share};
}

bool Admit(Admission& admission, const AdmissionRequest& request,
           TimePoint now) {
  return IsAdmitted(DecideAdmission(admission, request, now).reason);
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
  RecordEnd(measurements.capacity, slowness, now);
}

void UpdateCapacity(Admission& admission, std::uint32_t service,
                    double effective_slots, TimePoint now) {
  ServiceMeasurements& measurements = MeasurementsOf(admission, service);
  measurements.recent_ends *=
      SetEffectiveSlots(measurements.capacity, effective_slots, now);
}

void ResetMeasurements(Admission& admission) {
  for (ServiceMeasurements& measurements : admission.services) {
    measurements.objective_ms = 0;
    // The servers' speed without queueing does not change with a stall.
    measurements.capacity = {
        .effective_slots = measurements.capacity.effective_slots,
        .usual_slowness = measurements.capacity.usual_slowness};
  }
}

}  // namespace filbertwall
