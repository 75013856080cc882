#include "Base/RecentDurations.h"

#include <algorithm>
#include <cmath>

namespace filbertwall {
namespace {

constexpr double kFirstBoundUs = 64;
constexpr double kBucketsPerDoubling = 4;

std::size_t BucketOf(Microseconds duration) {
  const double us =
      std::max(kFirstBoundUs, static_cast<double>(duration.count()));
  const double bucket =
      std::ceil(std::log2(us / kFirstBoundUs) * kBucketsPerDoubling);
  return std::min(static_cast<std::size_t>(bucket),
                  RecentDurations::kBuckets - 1);
}

Microseconds UpperBound(std::size_t bucket) {
  const double doublings = static_cast<double>(bucket) / kBucketsPerDoubling;
  return Microseconds(
      static_cast<std::int64_t>(kFirstBoundUs * std::exp2(doublings)));
}

}  // namespace

void AddDuration(RecentDurations& durations, Microseconds duration) {
  durations.weights[BucketOf(duration)] += 1;
  durations.total += 1;
  if (durations.total < RecentDurations::kMaxWeight) {
    return;
  }
  durations.total = 0;
  for (float& weight : durations.weights) {
    weight /= 2;
    durations.total += weight;
  }
}

Microseconds QuantileOf(const RecentDurations& durations, double share) {
  if (durations.total <= 0) {
    return Microseconds(0);
  }
  const double wanted = share * durations.total;
  double below = 0;
  for (std::size_t i = 0; i < RecentDurations::kBuckets; ++i) {
    below += durations.weights[i];
    if (below > 0 && below >= wanted) {
      return UpperBound(i);
    }
  }
  return UpperBound(RecentDurations::kBuckets - 1);
}

}  // namespace filbertwall
