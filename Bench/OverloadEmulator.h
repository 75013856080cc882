#pragma once

#include <cstdint>
#include <vector>

#include "Base/Time.h"

/// Callers, servers with queues, and entry instances that place and admit by
/// the code of the product; for benches and tests. No packets, no processes.
namespace filbertwall {

struct OverloadPolicy {
  bool admission = false;  ///< Refuse what would be answered late.
};

struct OverloadScenario {
  std::uint64_t seed = 1;
  std::uint32_t instances = 6;
  std::uint32_t servers = 14;
  std::uint32_t slots = 2;
  std::uint32_t queue = 8;
  std::uint32_t lost_servers = 0;  ///< From the surge on, fall silent.
  std::uint32_t cold_servers = 0;  ///< From the surge on, work 1.6 times.
  double work_ms = 32;
  double objective_ms = 150;
  double timeout_ms = 1000;
  double order_share = 0.22;
  double usual_load = 0.45;  ///< Of what all servers can do.
  double surge_load = 1.2;   ///< Of what is left of them.
  double surge_s = 4;
  double calm_s = 2;  ///< Before and after the surge.
};

/// What became of the requests that callers began during the surge.
struct OverloadOutcome {
  std::uint32_t asked = 0;
  std::uint32_t in_time = 0;
  std::uint32_t late = 0;
  std::uint32_t refused = 0;  ///< By an instance, at the last try.
  std::uint32_t shed = 0;     ///< By a server, at the last try.
  std::uint32_t orders = 0;
  std::uint32_t orders_in_time = 0;
  /// Refused attempts of the calm time, 300 ms after the surge and later.
  std::uint32_t refused_when_calm = 0;
  double capacity = 0;  ///< Requests that the servers could do in the surge.
};

OverloadOutcome PlayOverload(const OverloadScenario& scenario,
                             const OverloadPolicy& policy);

}  // namespace filbertwall
