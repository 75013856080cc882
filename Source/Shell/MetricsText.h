#pragma once

#include <string>
#include <vector>

#include "Fleet/Metrics.h"

/// Metrics as text in the Prometheus exposition format.
namespace filbertwall {

/// Pure. Samples of one name must stand together.
std::string FormatMetrics(const std::vector<MetricSample>& samples);

}  // namespace filbertwall
