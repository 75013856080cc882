#pragma once

#include <chrono>
#include <cstdint>

/// Time types used in every signature that holds a time.
namespace filbertwall {

/// A point on the monotonic clock of one process.
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Whole milliseconds from `from` to `to`; negative when `to` is earlier.
inline std::int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

}  // namespace filbertwall
