#pragma once

#include <array>
#include <cstdint>

#include "Base/Time.h"

/// Counts of durations in fixed buckets, cheap enough for the packet path.
namespace filbertwall {

/// Bucket i counts durations up to `UpperBound(i)` that no earlier one holds;
/// the last has no upper bound. Plain data; not thread safe.
struct Histogram {
  static constexpr std::size_t kBuckets = 14;

  std::array<std::uint64_t, kBuckets> counts{};
  std::uint64_t total = 0;
  Microseconds sum{0};

  /// Four times the one before, from 16 us to 268 s.
  static constexpr Microseconds UpperBound(std::size_t bucket) {
    constexpr std::int64_t kFirst = 16;
    return Microseconds(kFirst << (2 * bucket));
  }

  void Add(Microseconds duration) {
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets && duration > UpperBound(bucket)) {
      ++bucket;
    }
    this->counts[bucket] += 1;
    this->total += 1;
    this->sum += duration;
  }
};

}  // namespace filbertwall
