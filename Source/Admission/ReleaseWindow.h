#pragma once

#include <cstdint>

#include "Base/Time.h"

/// Paces flows whose answers are late already.
///
/// After an outage, callers that have waited longer than the latency objective
/// come together with new ones. Served first come, first served, the old ones
/// fill the queues of the servers, and the answers to the new ones are late as
/// well. Each entry instance therefore limits how many late flows it has in
/// flight at a service. Like a congestion window, the limit grows while flows
/// take their usual time and shrinks when they wait in the queues of the
/// servers. Late flows thus use the capacity that other flows leave, and an
/// instance need not know what other instances send. Plain state and pure
/// functions; not thread safe.
namespace filbertwall {

/// Window of one service at one entry instance. Slowness is the duration of a
/// flow divided by its latency objective.
struct ReleaseWindow {
  double size = 1;              ///< Limit of `in_flight`.
  std::uint32_t in_flight = 0;  ///< Late flows that have not ended.
  double mean_slowness = 0;     ///< Moving average over all flows.
  /// Slowness without queueing: the lowest recent `mean_slowness`. 0 without a
  /// measurement.
  double usual_slowness = 0;
  TimePoint shrunk_at;  ///< When `size` was last reduced.
};

/// Whether one more late flow may be sent to a server.
bool HasRoom(const ReleaseWindow& window);

/// Adjusts the size of the window after the end of a flow, late or not.
/// Preconditions: `objective` is positive; the flow is still in flight.
void AdjustWindow(ReleaseWindow& window, Milliseconds duration,
                  Milliseconds objective, TimePoint now);

void AddLateFlow(ReleaseWindow& window);
void RemoveLateFlow(ReleaseWindow& window);

}  // namespace filbertwall
