#pragma once

#include <cstdint>
#include <vector>

/// Discrete-event simulations of hedged requests and hedged openings, for
/// benchmarks and tests. Both use the production code of an instance.
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

/// A server that accepts no openings for a while.
struct SilentServer {
  std::uint32_t server = 0;
  double from_ms = 0;
  double until_ms = 0;
  /// It reads the packets of this time afterwards; otherwise they are lost.
  bool reads_later = false;
};

struct HedgedOpeningsScenario {
  std::uint64_t seed = 1;
  std::uint32_t instances = 1;
  std::uint32_t servers = 24;
  std::uint32_t data_centres = 3;
  double flows_per_s = 600;  ///< Through all instances.
  double duration_ms = 20000;
  double work_ms = 30;
  double one_way_ms = 1;  ///< Mean one-way delay of a packet.
  /// Packets take up to this share more or less time, each by itself, and so
  /// may overtake each other.
  double jitter = 0;
  /// Share of the packets that take `slow_path_ms`.
  double slow_path_share = 0;
  double slow_path_ms = 60;
  double loss = 0;  ///< Share of the packets that are lost.
  /// Times at which the callers are spread anew over the instances.
  std::vector<double> respread_at_ms;
  std::vector<SilentServer> silent;
  double hedge_openings = 0;
};

struct HedgedOpeningsOutcome {
  double p50_ms = 0;  ///< To the acceptance of all opened flows.
  double p99_ms = 0;
  double p999_ms = 0;
  std::uint32_t flows = 0;
  std::uint32_t opened = 0;
  std::uint32_t opened_late = 0;  ///< After the caller's first copy.
  std::uint64_t placed_again = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedges_won = 0;
  std::uint32_t accepted_twice = 0;  ///< Flows that two servers accepted.
  /// Packets of open flows that reached a server that had not opened it.
  std::uint32_t diverted = 0;
  std::uint32_t diverted_after_hedge = 0;  ///< Part of it, of hedged flows.
  std::uint64_t kept_packets = 0;
};

/// Entry instances place flows whose opening packets servers may leave
/// unanswered (`Forwarding/Forwarder`). Callers send the opening packet again
/// after 200 and 600 ms and give up after 1.4 s. A caller answers an acceptance
/// at once with a packet that holds its request, repeats that after 200 ms, and
/// repeats the token that it received last. It answers a second acceptance with
/// a packet that acknowledges the first one.
HedgedOpeningsOutcome SimulateHedgedOpenings(
    const HedgedOpeningsScenario& scenario);

}  // namespace filbertwall
