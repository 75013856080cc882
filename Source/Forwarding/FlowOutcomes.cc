#include "Forwarding/FlowOutcomes.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Weight of a new answer in the moving average.
constexpr double kAverageWeight = 0.05;
/// An answer shorter than this fraction of the average counts as an error.
constexpr double kShortAnswerRatio = 0.25;
/// Longer answers enter the average as this multiple of it, so that a single
/// long answer has a bounded effect.
constexpr double kMaxRatioToAverage = 8;

}  // namespace

bool RecordAnswer(FlowOutcomes& outcomes, RouteKey address, ServerIndex server,
                  std::uint32_t length) {
  double& average = outcomes.average_length[address];
  const bool is_short = length < average * kShortAnswerRatio;
  const double measured =
      average == 0 ? length
                   : std::min<double>(length, average * kMaxRatioToAverage);
  average += (average == 0 ? 1 : kAverageWeight) * (measured - average);
  OutcomeDelta& delta = outcomes.untold[server];
  (is_short ? delta.failed : delta.served) += 1;
  return !is_short;
}

void RecordFailure(FlowOutcomes& outcomes, ServerIndex server) {
  outcomes.untold[server].failed += 1;
}

}  // namespace filbertwall
