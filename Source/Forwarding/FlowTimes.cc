#include "Forwarding/FlowTimes.h"

#include <algorithm>
#include <chrono>

namespace filbertwall {

void RecordFlowTime(Forwarder& forwarder, const OpenFlow& flow, TimePoint now) {
  if (!forwarder.placement.config.balance_by_load || !flow.answered ||
      flow.download) {
    return;
  }
  const Milliseconds duration =
      std::max(Milliseconds(0),
               std::chrono::duration_cast<Milliseconds>(now - flow.opened_at));
  OutcomeDelta& delta = forwarder.outcomes.unreported[flow.server];
  delta.timed += 1;
  delta.duration_ms += static_cast<std::uint64_t>(duration.count());
  const PlacedServer& server = forwarder.placement.servers[flow.server];
  if (server.slowness == 1) {  // A slow server says nothing about load.
    RecordLoad(forwarder.placement.loads, flow.service, server.data_centre,
               duration, now);
  }
}

}  // namespace filbertwall
