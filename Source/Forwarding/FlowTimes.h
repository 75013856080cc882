#pragma once

#include "Base/Time.h"
#include "Forwarding/Forwarder.h"

/// Durations of flows, which tell the speed of servers and the load of data
/// centres.
namespace filbertwall {

/// Records the duration of a flow that was answered and closed normally, if
/// `balance_by_load` is set and it is no download: how long that takes
/// depends on what is downloaded and on the caller's link.
void RecordFlowTime(Forwarder& forwarder, const OpenFlow& flow, TimePoint now);

}  // namespace filbertwall
