#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "Forwarding/RouteTable.h"
#include "Placement/Placement.h"

/// Passive health checks: outcomes of flows, inferred from callers' packets.
///
/// Only a flow that its server has accepted can fail. It counts as failed when
/// its answer is far shorter than the average for its address (error responses
/// are short), when the caller resets it, or when it is still open at
/// `OpenFlow::fails_at`, well after its latency objective. Plain state; not
/// thread safe.
namespace filbertwall {

/// Numbers of flows of one server since the last report.
struct OutcomeDelta {
  std::uint32_t served = 0;
  std::uint32_t failed = 0;
  std::uint32_t timed = 0;        ///< Flows whose durations are summed.
  std::uint64_t duration_ms = 0;  ///< Sum of their durations.
};

struct FlowOutcomes {
  /// Outcomes that have not been reported yet.
  std::map<ServerIndex, OutcomeDelta> unreported;
  /// Moving average of the answer length in bytes, by address.
  std::unordered_map<RouteKey, double> average_length;
};

/// Records a flow that was closed normally after an answer of `length` bytes,
/// and adds the length to the average. Returns false when the answer is so
/// short that the flow counts as failed.
bool RecordClosedFlow(FlowOutcomes& outcomes, RouteKey address,
                      ServerIndex server, std::uint32_t length);

/// Records a failed flow: its caller reset it, or it took too long.
void RecordFailure(FlowOutcomes& outcomes, ServerIndex server);

}  // namespace filbertwall
