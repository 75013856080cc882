#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Base/Histogram.h"
#include "Base/InputError.h"
#include "Fleet/ControlInstance.h"
#include "Fleet/EntryInstance.h"

/// Metrics of an instance, independent of the exposition format.
/// docs/METRICS.md lists all names.
namespace filbertwall {

struct Counter {
  std::uint64_t value = 0;
};
struct Gauge {
  double value = 0;
};

struct MetricSample {
  std::string name;
  std::string help;
  std::string label;  ///< Value of the label `kind`; empty: no label.
  std::variant<Counter, Gauge, Histogram> value;
};

/// Metrics that the process measures outside the reducers.
struct ProcessStatistics {
  std::uint64_t log_lines_lost = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t malformed_packets = 0;
  std::uint64_t send_failures = 0;
  InputErrorCounts refused_calls;
  std::uint64_t message_bytes_sent = 0;
  Histogram batch;  ///< Entry: from receipt of a packet batch to sending it on.
  Histogram sync;   ///< Control: duration of each durable write.
};

/// Returns the metrics of an instance at the time `now`.
std::vector<MetricSample> CollectMetrics(const EntryInstance& instance,
                                         const ProcessStatistics& process,
                                         TimePoint now);
std::vector<MetricSample> CollectMetrics(const ControlInstance& instance,
                                         const ProcessStatistics& process,
                                         TimePoint now);

}  // namespace filbertwall
