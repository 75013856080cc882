#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "Forwarding/RouteTable.h"
#include "Placement/Placement.h"

/// Passive health checks: outcomes of flows, inferred from callers' packets.
///
/// A flow counts as failed when its answer is far shorter than the average for
/// its address (error responses are short), when the caller resets it, or when
/// it takes much longer than the latency objective. Plain state; not thread
/// safe.
namespace filbertwall {

/// Flow outcomes of one server since the last report.
struct OutcomeDelta {
  std::uint32_t served = 0;
  std::uint32_t failed = 0;
};

struct FlowOutcomes {
  /// Outcomes that have not been reported yet.
  std::map<ServerIndex, OutcomeDelta> untold;
  /// Moving average of the answer length in bytes, by address.
  std::unordered_map<RouteKey, double> average_length;
};

/// Records a flow that was closed normally after an answer of `length` bytes.
/// Returns false when the answer is so short that it counts as an error.
bool RecordAnswer(FlowOutcomes& outcomes, RouteKey address, ServerIndex server,
                  std::uint32_t length);

/// Records a flow that its caller reset or that took too long.
void RecordFailure(FlowOutcomes& outcomes, ServerIndex server);

}  // namespace filbertwall
