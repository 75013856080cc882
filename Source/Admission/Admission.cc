#include "Admission/Admission.h"

#include <algorithm>
#include <cmath>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

/// Expected slowness up to which nothing is refused, and from which on all is.
struct RefusalRange {
  double none_refused = 0;
  double all_refused = 0;
};
constexpr RefusalRange kRepeatable{.none_refused = 0.4, .all_refused = 0.65};
constexpr RefusalRange kOrders{.none_refused = 0.65, .all_refused = 1.0};

/// Flows that last longer show a queue.
constexpr double kQueueingSlowness = 0.45;
constexpr double kMostSlowness = 1.5;
/// In which what has ended counts by e-fold less.
constexpr Milliseconds kFadeTime{300};
constexpr double kDurationWeight = 0.15;
/// Flows in flight whose number tells as much as the last durations.
constexpr double kTellingFlows = 6;
/// The same when the queue seems to have gone since those ended: their
/// durations are as old as they are long.
constexpr double kTellingFlowsWhenFewer = 0.5;
/// Pauses between ends that are nothing unusual, in mean pauses.
constexpr double kUsualPauses = 3;
/// In which durations count by e-fold less, beyond those pauses.
constexpr Milliseconds kForgetTime{150};
/// Without an end for so long, nothing is known.
constexpr Milliseconds kMemory{1500};
constexpr std::uint64_t kDrawRange = 1U << 20U;

ServicePace& PaceOf(Admission& admission, std::uint32_t service) {
  if (service >= admission.services.size()) {
    admission.services.resize(service + 1);
  }
  return admission.services[service];
}

double CountOf(Milliseconds time) { return static_cast<double>(time.count()); }

/// Flows that ended lately.
double EndedBy(const ServicePace& pace, TimePoint now) {
  const double passed =
      std::chrono::duration<double, std::milli>(now - pace.ended_at).count();
  return pace.ended * std::exp(-passed / CountOf(kFadeTime));
}

bool IsKnown(const ServicePace& pace, TimePoint now) {
  return pace.objective_ms > 0 && now - pace.ended_at <= kMemory;
}

/// How long the flows in flight will take to end, as a share of the objective.
double SlownessByNumber(const ServicePace& pace, TimePoint now) {
  const double ended_per_ms = EndedBy(pace, now) / CountOf(kFadeTime);
  const double wait_ms = pace.in_flight / ended_per_ms;
  return std::min(kMostSlowness, wait_ms / pace.objective_ms);
}

/// The moving average of durations, which counts for less once no flow has
/// ended for longer than usual.
double SlownessLately(const ServicePace& pace, TimePoint now) {
  const double silence =
      std::chrono::duration<double, std::milli>(now - pace.ended_at).count();
  const double usual_pause = CountOf(kFadeTime) / pace.ended;
  const double excess = std::max(0.0, silence - kUsualPauses * usual_pause);
  return pace.slowness * std::exp(-excess / CountOf(kForgetTime));
}

/// The share that is admitted.
double ShareOf(const RefusalRange& range, double slowness) {
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
  const ServicePace& pace = admission.services[service];
  if (!IsKnown(pace, now)) {
    return 0;
  }
  const double lately = SlownessLately(pace, now);
  if (lately < kQueueingSlowness) {
    return lately;
  }
  const double by_number = SlownessByNumber(pace, now);
  const double telling =
      by_number < lately ? kTellingFlowsWhenFewer : kTellingFlows;
  const double trust = pace.in_flight / (pace.in_flight + telling);
  return trust * by_number + (1 - trust) * lately;
}

bool Admit(Admission& admission, const AdmissionRequest& request,
           TimePoint now) {
  const double slowness = ExpectedSlowness(admission, request.service, now);
  const double share =
      ShareOf(request.repeatable ? kRepeatable : kOrders, slowness);
  const std::uint64_t draw =
      MixHash(request.caller, admission.round) % kDrawRange;
  // One that holds nothing of a service can't be the one that fills it, and
  // would otherwise not see that it has room again.
  const bool admitted = PaceOf(admission, request.service).in_flight == 0 ||
                        static_cast<double>(draw) < share * kDrawRange;
  AdmissionCounters& counters = admission.counters;
  counters.admitted += admitted ? 1 : 0;
  counters.refused += admitted ? 0 : 1;
  counters.refused_orders += !admitted && !request.repeatable ? 1 : 0;
  return admitted;
}

void NoteBegun(Admission& admission, std::uint32_t service) {
  PaceOf(admission, service).in_flight += 1;
}

void NoteLeft(Admission& admission, std::uint32_t service) {
  ServicePace& pace = PaceOf(admission, service);
  pace.in_flight -= pace.in_flight > 0 ? 1 : 0;
}

void NoteServed(Admission& admission, std::uint32_t service,
                Milliseconds duration, Milliseconds objective, TimePoint now) {
  ServicePace& pace = PaceOf(admission, service);
  const double slowness = CountOf(duration) / CountOf(objective);
  if (IsKnown(pace, now)) {
    pace.ended = EndedBy(pace, now) + 1;
    pace.slowness = Average(pace.slowness, slowness);
    pace.objective_ms = Average(pace.objective_ms, CountOf(objective));
  } else {
    pace.ended = 1;
    pace.slowness = slowness;
    pace.objective_ms = CountOf(objective);
  }
  pace.ended_at = now;
}

void ForgetMeasured(Admission& admission) {
  for (ServicePace& pace : admission.services) {
    pace.objective_ms = 0;
  }
}

}  // namespace filbertwall
