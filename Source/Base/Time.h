#pragma once

#include <chrono>
#include <cstdint>

/// Time types shared by all interfaces.
namespace filbertwall {

/// A time on the monotonic clock of one process.
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Returns the milliseconds from `from` to `to`, rounded towards zero; negative
/// when `to` is earlier.
inline std::int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

}  // namespace filbertwall
