#pragma once

#include <cstdint>
#include <vector>

#include "Base/Time.h"

/// Discrete-event simulation of callers, servers with queues and entry
/// instances, for benchmarks and tests. Uses the production placement and
/// admission code, but no packets and no processes.
namespace filbertwall {

struct OverloadPolicy {
  bool admission = false;  ///< Refuse requests that would miss the objective.
};

struct OverloadScenario {
  std::uint64_t seed = 1;
  std::uint32_t instances = 6;
  std::uint32_t servers = 14;
  std::uint32_t slots = 2;
  std::uint32_t queue = 8;
  std::uint32_t lost_servers = 0;  ///< Stop responding when the surge starts.
  std::uint32_t cold_servers =
      0;  ///< Take 1.6 times as long from the surge on.
  double work_ms = 32;
  double objective_ms = 150;
  double timeout_ms = 1000;
  double order_share = 0.22;
  double usual_load = 0.45;  ///< Share of the capacity of all servers.
  double surge_load = 1.2;   ///< Share of the capacity left in the surge.
  double surge_s = 4;
  double calm_s = 2;  ///< Duration before, and again after, the surge.
};

/// Results of the requests that callers started during the surge.
struct OverloadOutcome {
  std::uint32_t asked = 0;
  std::uint32_t in_time = 0;
  std::uint32_t late = 0;
  std::uint32_t refused = 0;  ///< Last attempt refused by an instance.
  std::uint32_t shed = 0;     ///< Last attempt rejected by a server.
  std::uint32_t orders = 0;
  std::uint32_t orders_in_time = 0;
  /// Attempts refused later than 300 ms after the surge ended.
  std::uint32_t refused_when_calm = 0;
  double capacity = 0;  ///< Requests the servers can serve in the surge.
};

OverloadOutcome SimulateOverload(const OverloadScenario& scenario,
                                 const OverloadPolicy& policy);

}  // namespace filbertwall
