#pragma once

#include <cstdint>
#include <vector>

/// Discrete-event simulation of data centres with uneven demand and uneven
/// servers, for benchmarks and tests. Uses the production placement and the
/// production comparison of servers' speeds, but no packets, no admission
/// control and no processes. Each entry instance sees only its own flows.
namespace filbertwall {

/// How demand moves between the data centres after `calm_s`.
enum class DemandPattern {
  kEven,   ///< Each data centre has the same share of the callers.
  kShift,  ///< Half of the callers of the others go to data centre 0.
  kWaves,  ///< Rises and falls in 13 s, out of phase between data centres.
};

struct BalanceScenario {
  std::uint64_t seed = 1;
  std::uint32_t data_centres = 4;
  std::uint32_t servers_per_data_centre = 9;
  std::uint32_t instances_per_data_centre = 16;
  std::uint32_t slots = 2;
  std::uint32_t queue = 8;
  double work_ms = 30;  ///< Mean without the heavy tail.
  /// Share of the requests that take seven times as long.
  double heavy_share = 0;
  double objective_ms = 250;
  double remote_delay_ms = 5;  ///< One-way, between two data centres.
  double load = 0.5;           ///< Share of the capacity of all servers.
  DemandPattern demand = DemandPattern::kEven;
  /// Servers of each data centre that take five times as long after `calm_s`.
  std::uint32_t slow_servers = 0;
  /// Servers of data centre 0 that stop responding at `lost_at_s`.
  std::uint32_t lost_servers = 0;
  double lost_at_s = 10;
  double calm_s = 6;
  double total_s = 30;
};

/// Results of the requests that callers started after `calm_s`.
struct BalanceOutcome {
  std::uint32_t asked = 0;
  std::uint32_t in_time = 0;
  std::uint32_t late = 0;
  std::uint32_t shed = 0;        ///< Rejected by a server whose queue was full.
  std::uint32_t asked_at_0 = 0;  ///< Of callers of data centre 0.
  std::uint32_t in_time_at_0 = 0;
  std::vector<double> durations_ms;  ///< Of answered requests.
  /// Share of the flows of data centre 0 that went to another one, for each
  /// second after `calm_s`.
  std::vector<double> remote_share;
  std::uint32_t marks = 0;        ///< Changes of the slowness of a server.
  std::uint32_t wrong_marks = 0;  ///< Marks of servers of usual speed.
  /// Slow servers that are marked at the end.
  std::uint32_t slow_servers_marked = 0;
};

/// `by_load` is the setting `balance_by_load`.
BalanceOutcome SimulateBalance(const BalanceScenario& scenario, bool by_load);

/// Returns the duration that the given share of the answers does not exceed.
double DurationQuantile(BalanceOutcome& outcome, double share);

/// Returns the mean absolute change of `remote_share` from one second to the
/// next, from the given second on: high when the share oscillates.
double MeanStep(const std::vector<double>& remote_share, std::size_t first);

}  // namespace filbertwall
