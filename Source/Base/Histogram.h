#pragma once

#include <array>
#include <cstdint>

#include "Base/Time.h"

/// Duration histogram with fixed buckets, cheap enough to update per packet.
namespace filbertwall {

/// Bucket i counts the durations up to and including `UpperBound(i)` that
/// exceed the previous bound; the last bucket has no upper bound. Not thread
/// safe.
struct Histogram {
  static constexpr std::size_t kBuckets = 14;

  std::array<std::uint64_t, kBuckets> counts{};
  std::uint64_t total = 0;
  Microseconds sum{0};

  /// Each bound is four times the previous one, from 16 us to 268 s.
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
