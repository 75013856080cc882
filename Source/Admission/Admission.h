#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Admission/CallerDemand.h"
#include "Admission/ServiceCapacity.h"
#include "Base/Time.h"

/// Admission control: refuses new flows of services that are overloaded.
///
/// When, for some seconds, a service receives more requests than its servers
/// can process, the queues of the servers fill and every answer misses its
/// latency objective. When the excess is refused at once, the remaining
/// requests are answered in time.
///
/// Whether a service is overloaded follows from slowness: the flow duration
/// divided by its latency objective. Slowness is estimated from flows that have
/// ended and, by Little's law, from the flows in flight and the rate at which
/// flows end. Since it follows the latency that callers experience, nothing is
/// refused while servers have spare capacity, even when an instance does not
/// know all servers.
///
/// How many flows an overloaded service admits follows from rates: as many as
/// end, more while the queues are short, and fewer while they are long.
///
/// Who is admitted follows from classes: flows of a route with a more urgent
/// priority come first, and among flows of the same priority those whose
/// requests must not be retried. A class shares the capacity that the more
/// urgent classes leave. Plain state and pure functions; not thread safe.
namespace filbertwall {

/// Flows that are treated alike. The lowest class is the most urgent.
struct FlowClass {
  std::uint32_t priority = 0;  ///< Of the route; 0 is the most urgent.
  bool retryable = false;      ///< The caller may retry the request.
  auto operator<=>(const FlowClass&) const = default;
};

/// Limit on the classes of a service. Beyond it, a new class replaces the one
/// with the fewest recent requests.
inline constexpr std::size_t kMaxClasses = 16;

/// When all flows of a class were refused for this long, the next is admitted.
inline constexpr Milliseconds kMaxStarvation{5000};

/// Numbers of flows of a class.
struct ClassCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Admitted because of `kMaxStarvation`; included in `admitted`.
  std::uint64_t starved = 0;
  /// Refused because their caller asks for more than its fair level; included
  /// in `refused`.
  std::uint64_t unfair = 0;
};

/// What one entry instance has measured of the flows of a class.
struct ClassMeasurements {
  FlowClass flow_class;
  /// Flows that were to be opened, admitted or not, with exponentially decaying
  /// weight.
  double recent_requests = 0;
  /// The same with a longer decay time, `kCapacityDecayTime`.
  double longer_requests = 0;
  /// Those of `longer_requests` that were admitted.
  double longer_admitted = 0;
  /// First refusal since the last admission; `TimePoint()` when there is none.
  TimePoint refused_since;
  CallerDemand callers;  ///< Only used with `Admission::fair_callers`.
  ClassCounters counters;
};

/// What one entry instance has measured of the flows of a service.
struct ServiceMeasurements {
  /// Flows that a server has accepted and that have neither ended nor become
  /// overdue, that is, stayed open so long that they count as failed.
  std::uint32_t in_flight = 0;
  /// Flows that ended, with exponentially decaying weight.
  double recent_ends = 0;
  /// Moving average of the flow duration divided by its objective.
  double slowness = 0;
  /// Moving average of the objective; 0 when nothing is measured.
  double objective_ms = 0;
  TimePoint last_end_at;
  std::vector<ClassMeasurements> classes;  ///< Most urgent first.
  /// Time to which `ClassMeasurements::recent_requests` are decayed.
  TimePoint last_request_at;
  ServiceCapacity capacity;
};

/// Numbers of flows of all classes.
struct AdmissionCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Refused flows whose requests must not be retried.
  std::uint64_t refused_non_retryable = 0;
  std::uint64_t starved = 0;  ///< See `ClassCounters`.
  std::uint64_t unfair = 0;   ///< See `ClassCounters`.
  /// Refused flows by priority; the last entry includes all higher numbers.
  std::array<std::uint64_t, 5> refused_by_priority{};
};

struct Admission {
  std::vector<ServiceMeasurements> services;  ///< By service index.
  /// Number of the current time interval. Determines together with the caller's
  /// address which callers are refused first. Must be the same at all
  /// instances.
  std::uint64_t refusal_interval = 0;
  /// Whether max-min fairness applies among the callers of a class.
  bool fair_callers = false;
  AdmissionCounters counters;
};

/// A flow that is about to be opened.
struct AdmissionRequest {
  std::uint32_t service = 0;
  std::uint32_t caller = 0;    ///< IPv4 address of the caller.
  std::uint32_t priority = 0;  ///< Of the route; 0 is the most urgent.
  bool retryable = false;      ///< The caller may retry the request.
  std::uint64_t flow = 0;      ///< Hash of the flow's key.
};

/// Why a flow is admitted or refused.
enum class AdmissionReason {
  kWithinShare,
  /// Admitted: without flows in flight, the end of an overload is not noticed.
  kNoneInFlight,
  kStarved,  ///< Admitted: no flow of the class was for `kMaxStarvation`.
  kRefused,
  kUnfair,  ///< Refused: the caller asks for more than its fair level.
};

/// The decision on a flow, and what it follows from.
struct AdmissionDecision {
  AdmissionReason reason = AdmissionReason::kWithinShare;
  double expected_slowness = 0;  ///< See `ExpectedSlowness`.
  double share = 1;              ///< See `AdmittedShare`.
};

/// Returns whether a flow is admitted.
bool IsAdmitted(AdmissionReason reason);

/// Returns the expected duration of a flow that is opened now, divided by its
/// objective; 0 when there is no recent measurement.
double ExpectedSlowness(const Admission& admission, std::uint32_t service,
                        TimePoint now);

/// Returns the share of the flows of a class that are admitted now, before
/// fairness among callers. It is above 0 only if it is 1 for all more urgent
/// classes that have recent requests; an instance with few flows, which goes by
/// two measurements, only keeps to this in each of them.
double AdmittedShare(const Admission& admission, std::uint32_t service,
                     const FlowClass& flow_class, TimePoint now);

/// Returns whether the flow is admitted. A class gets the capacity that the
/// more urgent classes leave. Flows whose requests must not be retried are
/// refused only at a high slowness if no class is more urgent. Within an
/// interval, instances with the same measurements refuse the same callers. The
/// retry of a refused request is thus refused as well; otherwise it would take
/// the place of a request that can be answered in time. With `fair_callers`,
/// callers that ask for little are refused last, and flows of a caller that
/// asks for much are refused one by one.
bool Admit(Admission& admission, const AdmissionRequest& request,
           TimePoint now);

/// As `Admit`, and says why.
AdmissionDecision DecideAdmission(Admission& admission,
                                  const AdmissionRequest& request,
                                  TimePoint now);

/// Adds a flow that a server has accepted to the flows in flight.
void AddFlowInFlight(Admission& admission, std::uint32_t service);

/// Removes a flow from the flows in flight, because it has ended or is overdue.
void RemoveFlowInFlight(Admission& admission, std::uint32_t service);

/// Records the duration of a flow that has ended and was not overdue.
/// `RemoveFlowInFlight` must be called for it as well. Precondition:
/// `objective` is positive.
void RecordFlowDuration(Admission& admission, std::uint32_t service,
                        Milliseconds duration, Milliseconds objective,
                        TimePoint now);

/// Sets the number of requests that the servers of a service can process at a
/// time: their slots, by speed; 0 for servers that get no flows. When it falls
/// by a factor, the rate of admitted flows falls by it at once. Nothing is
/// refused if the remaining slots can process all flows. Once slots are known,
/// queues that are almost full count as an overload even if they are shorter
/// than the latency objective. Changes of less than 5 % are ignored.
/// Precondition: `effective_slots` is not negative.
void UpdateCapacity(Admission& admission, std::uint32_t service,
                    double effective_slots, TimePoint now);

/// Discards all measurements. Called after the process was stalled, since the
/// durations measured during a stall do not show the speed of the servers.
void ResetMeasurements(Admission& admission);

}  // namespace filbertwall
