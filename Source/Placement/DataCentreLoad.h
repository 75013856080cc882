#pragma once

#include <cstdint>
#include <vector>

#include "Base/Time.h"

/// Load of the data centres of each service, estimated from the durations of
/// this instance's own flows.
///
/// A data centre whose servers are all equally busy has no server that looks
/// slow, so its mean duration is compared with its own mean in quieter times.
/// The share of new flows that is sent to other data centres rises smoothly
/// with the load, which keeps flows going to each data centre: a share that
/// jumps to one would make the measurement end and the load come back. Plain
/// state and pure functions; not thread safe.
namespace filbertwall {

/// The flows of one service at one data centre.
struct LoadMeter {
  /// Exponentially decaying number and mean duration of recent flows.
  double flows = 0;
  double mean_ms = 0;
  /// The same over a longer time, from which `unloaded_ms` follows.
  double slow_flows = 0;
  double slow_mean_ms = 0;
  /// Lowest long-term mean; rises slowly. 0: not known yet.
  double unloaded_ms = 0;
  TimePoint updated_at;  ///< When the averages were last updated.
};

struct DataCentreLoads {
  /// By service, then by data centre; shorter when no flow has ended there.
  std::vector<std::vector<LoadMeter>> meters;
};

/// Records the duration of a flow that has ended normally.
void RecordLoad(DataCentreLoads& loads, std::uint32_t service,
                std::uint32_t data_centre, Milliseconds duration,
                TimePoint now);

/// Returns the mean duration of recent flows in units of the mean without load;
/// about 1 while the servers have capacity, and 1 when nothing was measured
/// recently.
double LoadOf(const DataCentreLoads& loads, std::uint32_t service,
              std::uint32_t data_centre, TimePoint now);

/// Returns the mean duration without load at the data centre of the service
/// where it is shortest; 0 when it is not known.
Microseconds UnloadedDuration(const DataCentreLoads& loads,
                              std::uint32_t service);

/// Returns the share of the new flows of a data centre with the load `load`, 0
/// to 0.9, that are to go to others. `least_load` is the load of the least
/// loaded data centre: nothing is diverted when all are equally loaded.
double DivertedShare(double load, double least_load);

}  // namespace filbertwall
