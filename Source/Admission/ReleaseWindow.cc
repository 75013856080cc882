#include "Admission/ReleaseWindow.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr double kMinSize = 1;
constexpr double kMaxSize = 256;
/// Growth for each flow that ended in the usual time.
constexpr double kGrowth = 0.3;
constexpr double kShrinkFactor = 0.5;
/// Flows wait in the queues of the servers when the mean slowness is this many
/// times the usual one.
constexpr double kQueueingRatio = 1.4;
/// Weight of a new duration in the moving average.
constexpr double kDurationWeight = 0.12;
/// Weight with which the usual slowness follows a higher mean.
constexpr double kUsualWeight = 0.005;

}  // namespace

bool HasRoom(const ReleaseWindow& window) {
  return window.in_flight + 1 <= window.size;
}

void AdjustWindow(ReleaseWindow& window, Milliseconds duration,
                  Milliseconds objective, TimePoint now) {
  const double slowness = static_cast<double>(duration.count()) /
                          static_cast<double>(objective.count());
  const bool first = window.usual_slowness <= 0;
  window.mean_slowness +=
      (first ? 1 : kDurationWeight) * (slowness - window.mean_slowness);
  if (first || window.mean_slowness < window.usual_slowness) {
    window.usual_slowness = window.mean_slowness;
  } else {
    window.usual_slowness +=
        kUsualWeight * (window.mean_slowness - window.usual_slowness);
  }
  const bool queueing =
      window.mean_slowness > kQueueingRatio * window.usual_slowness;
  const bool in_use = 2 * window.in_flight >= window.size;
  if (!queueing) {
    window.size += in_use && window.size < kMaxSize ? kGrowth : 0;
  } else if (now - window.shrunk_at >= duration) {
    // The effect of a reduction shows after the duration of a flow.
    window.size = std::max(kMinSize, window.size * kShrinkFactor);
    window.shrunk_at = now;
  }
}

void AddLateFlow(ReleaseWindow& window) { window.in_flight += 1; }

void RemoveLateFlow(ReleaseWindow& window) {
  window.in_flight -= window.in_flight > 0 ? 1 : 0;
}

}  // namespace filbertwall
