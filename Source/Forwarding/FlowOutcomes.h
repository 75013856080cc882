#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "Forwarding/RouteTable.h"
#include "Placement/Placement.h"

/// How flows went, as far as their callers' packets show it.
///
/// A flow has failed when its answer is far shorter than usual for its address
/// (an error is shorter than what was asked for), when its caller gives up, or
/// when it lasts far longer than the latency objective. Plain state; not thread
/// safe.
namespace filbertwall {

/// Flows of one server since they were last told.
struct OutcomeDelta {
  std::uint32_t served = 0;
  std::uint32_t failed = 0;
};

struct FlowOutcomes {
  std::map<ServerIndex, OutcomeDelta> untold;
  /// Moving average of the answers' bytes, by address.
  std::unordered_map<RouteKey, double> usual_length;
};

/// A flow has ended in order, after an answer of `length` bytes. False when the
/// answer is so short that it is taken for an error.
bool NoteAnswer(FlowOutcomes& outcomes, RouteKey address, ServerIndex server,
                std::uint32_t length);

/// A flow was given up, or is late.
void NoteFailure(FlowOutcomes& outcomes, ServerIndex server);

}  // namespace filbertwall
