#pragma once

#include <cstdint>

/// Discrete-event simulation of hedged requests, for benchmarks and tests. It
/// uses the production code of an instance.
namespace filbertwall {

struct HedgedRequestsScenario {
  std::uint64_t seed = 1;
  std::uint32_t servers = 20;
  std::uint32_t slots = 2;
  double requests_per_s = 400;
  std::uint32_t requests = 20000;
  double order_share = 0.2;  ///< Requests that must not run twice.
  double work_ms = 34;       ///< Mean time of a server for a request.
  double slow_share =
      0.03;  ///< Requests that take `slow_factor` times as long.
  double slow_factor = 7;
  /// Whether both attempts of a request are slow, or each by itself.
  bool slow_by_request = false;
  double hedge_budget = 0;
};

struct HedgedRequestsOutcome {
  double p50_ms = 0;  ///< Of all look-ups that were answered completely.
  double p99_ms = 0;
  double p999_ms = 0;
  std::uint32_t answered = 0;  ///< Complete answers.
  std::uint32_t refused = 0;
  std::uint32_t answered_twice = 0;  ///< Callers with two answers.
  std::uint32_t orders_run_twice = 0;
  std::uint64_t hedges = 0;
  double work_ms = 0;  ///< Of all servers, up to an answer or a cancellation.
};

/// One instance serves HTTP requests (`Requests/RequestTier`).
HedgedRequestsOutcome SimulateHedgedRequests(
    const HedgedRequestsScenario& scenario);

}  // namespace filbertwall
