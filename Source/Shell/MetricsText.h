#pragma once

#include <string>
#include <vector>

#include "Fleet/Metrics.h"

/// Metrics as text in the Prometheus exposition format.
namespace filbertwall {

/// Formats the samples. Samples with the same name must be adjacent. Has no
/// side effects.
std::string FormatMetrics(const std::vector<MetricSample>& samples);

}  // namespace filbertwall
