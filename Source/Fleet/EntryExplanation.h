#pragma once

#include <string>

#include "Fleet/EntryInstance.h"
#include "Forwarding/FlowExplanation.h"

/// What an entry instance would do with a new flow now, and why. Pure; thread
/// safe on distinct objects.
namespace filbertwall {

struct EntryExplanation {
  std::string data_centre;  ///< Of the instance.
  bool serving = false;     ///< Else it holds new flows back.
  bool stopping = false;
  bool rules_confirmed = false;  ///< See `EntryInstance`, also for the next.
  bool servers_known = false;
  /// The control instance that it follows; 0: it follows none.
  InstanceAddress control = 0;
  FlowExplanation flow;
};

/// Returns what the instance would decide on a flow that arrives at `now`.
/// Changes nothing.
EntryExplanation ExplainEntryFlow(const EntryInstance& instance,
                                  const FlowQuery& query, TimePoint now);

}  // namespace filbertwall
