#pragma once

#include <cstdint>
#include <vector>

#include "Base/Time.h"

/// Which new flows are refused, since the servers of their service have more
/// work than they can do in time.
///
/// Load that it answers: for seconds a service is offered more than it can do;
/// its servers' queues are full, and every answer comes after its latency
/// objective. When the excess is refused at once, the rest is answered in time.
///
/// What it goes by: how long flows take, as a share of their objective, by the
/// flows that have ended and by those in flight at the rate at which they end
/// (Little's law). That is what callers get, so nothing is refused while
/// servers have room, whatever an instance knows or does not know of them.
/// Plain state and pure functions; not thread safe.
namespace filbertwall {

/// A service as one entry instance sees it.
struct ServicePace {
  std::uint32_t in_flight = 0;  ///< Accepted by a server, not ended nor late.
  double ended = 0;             ///< Flows that ended, fading with time.
  double slowness = 0;          ///< Moving average of duration by objective.
  double objective_ms = 0;      ///< Moving average.
  TimePoint ended_at;           ///< The last of them.
};

struct AdmissionCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_orders = 0;  ///< Of them, not to be repeated.
};

struct Admission {
  std::vector<ServicePace> services;  ///< By index of the service.
  /// Who is refused first changes with it; the same at all instances.
  std::uint64_t round = 0;
  AdmissionCounters counters;
};

/// A flow that is about to be opened.
struct AdmissionRequest {
  std::uint32_t service = 0;
  std::uint32_t caller = 0;  ///< Its IPv4 address.
  bool repeatable = false;   ///< Its caller may send its request again.
};

/// How long a flow that is opened now will probably take, as a share of its
/// objective; 0 when nothing is known.
double ExpectedSlowness(const Admission& admission, std::uint32_t service,
                        TimePoint now);

/// Whether the flow is admitted. Of repeatable requests and of orders, whose
/// requests may not be repeated, a share is refused that grows with the
/// expected slowness; orders come second. Within a round the same callers are
/// refused by all instances: what they send again would be refused as well,
/// instead of taking the place of one that can be in time.
bool Admit(Admission& admission, const AdmissionRequest& request,
           TimePoint now);

/// A server has accepted a flow.
void NoteBegun(Admission& admission, std::uint32_t service);

/// A flow that had begun is over without an answer, or counts as late.
void NoteLeft(Admission& admission, std::uint32_t service);

/// A flow that had begun has ended in time or a little late, `duration` after
/// it was opened; also call `NoteLeft` for it. Precondition: `objective` is
/// positive.
void NoteServed(Admission& admission, std::uint32_t service,
                Milliseconds duration, Milliseconds objective, TimePoint now);

/// Forgets what was measured: this instance stood still, and what it sees of
/// the flows of that time says nothing of the servers.
void ForgetMeasured(Admission& admission);

}  // namespace filbertwall
