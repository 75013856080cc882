#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Time.h"

/// Discrete-event simulation of callers, servers with queues and entry
/// instances, for benchmarks and tests. Uses the production placement and
/// admission code, but no packets and no processes.
namespace filbertwall {

struct OverloadPolicy {
  bool admission = false;  ///< Refuse requests that would miss the objective.
  /// Tell admission control the kinds' priorities; otherwise all are 0.
  bool priorities = false;
  bool fair_callers = false;  ///< Max-min fairness among callers.
  /// Tell admission control how many slots there are.
  bool capacity = false;
  bool capacity_falls = true;  ///< Tell it at once how many slots are left.
};

/// A kind of request in a scenario. Its load is the share of the slots of all
/// servers that it needs.
struct OverloadKind {
  std::string name;
  std::uint32_t priority = 0;
  bool retryable = true;
  double work_ms = 25;
  double objective_ms = 300;
  double timeout_ms = 1500;
  double usual_load = 0.05;
  double burst = 1;  ///< Multiple of the usual load in the surge.
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
  /// Servers that get no new request from the surge on.
  std::uint32_t evacuated_servers = 0;
  std::uint32_t callers = 400;
  std::uint32_t heavy_callers = 0;  ///< Of `callers`.
  double heavy_share = 0;  ///< Share of the requests that heavy callers send.
  /// Kinds of requests. Empty: orders and look-ups by `order_share`, with
  /// `work_ms`, `objective_ms`, `timeout_ms`, `usual_load` and `surge_load`.
  std::vector<OverloadKind> kinds;
};

/// Returns four kinds of requests that need a fifth of the servers together:
/// repeatable ones of priority 0, orders of priority 1, and repeatable ones of
/// priorities 2 and 3.
std::vector<OverloadKind> UsualAndOtherKinds();

/// Results of the requests of one kind that callers started in the surge. Each
/// is in one of `in_time`, `late`, `refused`, and `shed`.
struct KindOutcome {
  std::uint32_t asked = 0;
  std::uint32_t in_time = 0;
  std::uint32_t late = 0;     ///< Answered late, or its caller left before.
  std::uint32_t refused = 0;  ///< Last attempt refused by an instance.
  std::uint32_t shed = 0;     ///< Last attempt rejected by a server.
  /// Requests that a server finished after their caller had left.
  std::uint32_t worked_after_left = 0;
};

/// Results by the demand of the caller.
struct CallerOutcome {
  std::uint32_t asked = 0;
  std::uint32_t in_time = 0;
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
  std::vector<KindOutcome> kinds;  ///< In the order of the scenario's kinds.
  CallerOutcome heavy_callers;
  CallerOutcome light_callers;
};

OverloadOutcome SimulateOverload(const OverloadScenario& scenario,
                                 const OverloadPolicy& policy);

}  // namespace filbertwall
