#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Time.h"

/// Finds backend servers that work more slowly than the others of their
/// service, from the durations of the flows of all entry instances.
///
/// A server's time of work is told from the time that requests wait there: by
/// Little's law, the summed durations say how many requests are at the server
/// at a time. The lower quartile of the times of work is compared, so that the
/// few requests that take many times as long, and those that wait behind them,
/// mark no server. A difference counts only if there are enough flows to
/// exclude chance. Plain state and pure functions; not thread safe.
namespace filbertwall {

/// Buckets of times of work; four for each doubling, from 1 ms on.
inline constexpr std::size_t kWorkTimeBuckets = 64;

/// Exponentially decaying statistics of the flows of one server.
struct ServerSpeed {
  /// Numbers of flows by their time of work.
  std::array<double, kWorkTimeBuckets> flows{};
  double total_flows = 0;
  double total_ms = 0;   ///< Sum of the durations.
  TimePoint started_at;  ///< First durations.
  TimePoint at;          ///< The time for which the decayed values are valid.
};

struct SpeedStats {
  std::map<std::string, ServerSpeed> servers;  ///< By id.
};

/// A ready server of a service.
struct SpeedCandidate {
  std::string id;
  std::string data_centre;
  std::uint32_t slowness_percent = 0;  ///< As decided before; 0: as usual.
};

/// Adds `flows` ended flows of a server with `slots` slots, whose durations add
/// up to `duration_ms`. Precondition: `flows` is not 0.
void AddDurations(SpeedStats& stats, const std::string& server,
                  std::uint32_t slots, std::uint32_t flows,
                  std::uint64_t duration_ms, TimePoint now);

/// Returns the slowness of the slow servers among all servers of a service, in
/// percent of the usual time of work: 150, 200, 300 or 500. Servers of one data
/// centre are compared with each other, since the network adds the same to
/// their durations, unless the data centre as a whole is far slower. A server
/// becomes less slow only when that is clear, or when it had no flows for long.
std::map<std::string, std::uint32_t> FindSlowServers(
    const SpeedStats& stats, const std::vector<SpeedCandidate>& servers,
    TimePoint now);

/// Removes servers that had almost no flows recently.
void RemoveExpiredSpeeds(SpeedStats& stats, TimePoint now);

}  // namespace filbertwall
