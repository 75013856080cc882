#pragma once

#include <map>
#include <string>

#include "Base/Time.h"
#include "Outcomes/Speeds.h"
#include "Wire/registry.pb.h"

namespace filbertwall {

struct ControlContext;

/// Durations of the backend servers' flows at a control instance. Those
/// received from entry instances are also forwarded to the other control
/// instances, since each entry instance reports to only one. Empty without the
/// setting `balance_by_load`.
struct ServerSpeeds {
  SpeedStats stats;
  /// Received from entry instances since the last forwarding; by server id.
  std::map<std::string, wire::ServerOutcome> to_forward;
  TimePoint next_evaluation_at = TimePoint::max();
};

/// Adds the durations of flows received from an entry instance or another
/// control instance. Precondition: `outcomes` has passed `CheckOutcomes`.
void HandleDurations(ControlContext& context, const wire::Outcomes& outcomes);

/// When due, forwards durations to the other control instances and updates
/// which servers are marked as slow.
void ProcessDurations(ControlContext& context);

}  // namespace filbertwall
