#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Base/Histogram.h"
#include "Fleet/ControlInstance.h"
#include "Fleet/EntryInstance.h"

/// What an instance counts, as data for whoever serves it. docs/METRICS.md
/// lists all names.
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
  std::string label;  ///< Value of the label `kind`; empty: none.
  std::variant<Counter, Gauge, Histogram> value;
};

/// Figures of the process that no reducer sees.
struct ProcessFigures {
  std::uint64_t log_lines_lost = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t malformed_packets = 0;
  std::uint64_t send_failures = 0;
  std::uint64_t message_bytes_sent = 0;
  Histogram batch;  ///< Packets: from receiving a batch to having sent it.
  Histogram sync;   ///< Control: each durable write.
};

std::vector<MetricSample> CollectMetrics(const EntryInstance& instance,
                                         const ProcessFigures& figures,
                                         TimePoint now);
std::vector<MetricSample> CollectMetrics(const ControlInstance& instance,
                                         const ProcessFigures& figures,
                                         TimePoint now);

}  // namespace filbertwall
