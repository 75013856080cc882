#pragma once

#include <array>
#include <cstddef>

#include "Base/Time.h"

/// Quantiles of recent durations in bounded memory.
namespace filbertwall {

/// Numbers of durations by bucket. Halved whenever `kMaxWeight` is reached, so
/// that the latest 500 to 1,000 durations decide. The bounds of the buckets
/// rise by a factor of 2^(1/4) from 64 us to 900 s: a quantile is at most 19 %
/// too high. Plain state; not thread safe.
struct RecentDurations {
  static constexpr std::size_t kBuckets = 96;
  static constexpr double kMaxWeight = 1000;

  std::array<float, kBuckets> weights{};
  double total = 0;  ///< Sum of `weights`.
};

/// Adds a duration; a negative one counts as 0.
void AddDuration(RecentDurations& durations, Microseconds duration);

/// Returns an upper bound of the given share of the durations; 0 when there are
/// none. Precondition: `share` is from 0 to 1.
Microseconds QuantileOf(const RecentDurations& durations, double share);

}  // namespace filbertwall
