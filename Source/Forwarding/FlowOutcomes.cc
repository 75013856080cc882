#include "Forwarding/FlowOutcomes.h"

#include <algorithm>

namespace filbertwall {
namespace {

/// Weight of a new answer in the moving average.
constexpr double kAverageWeight = 0.05;
/// A flow fails when its answer is shorter than this fraction of the average.
constexpr double kShortAnswerRatio = 0.25;
/// Answer lengths are capped at this multiple of the average before they are
/// averaged, to limit the effect of a single long answer.
constexpr double kMaxRatioToAverage = 8;

}  // namespace

bool RecordClosedFlow(FlowOutcomes& outcomes, RouteKey address,
                      ServerIndex server, std::uint32_t length) {
  double& average = outcomes.average_length[address];
  const bool is_short = length < average * kShortAnswerRatio;
  const double capped_length =
      average == 0 ? length
                   : std::min<double>(length, average * kMaxRatioToAverage);
  average += (average == 0 ? 1 : kAverageWeight) * (capped_length - average);
  OutcomeDelta& delta = outcomes.unreported[server];
  (is_short ? delta.failed : delta.served) += 1;
  return !is_short;
}

void RecordFailure(FlowOutcomes& outcomes, ServerIndex server) {
  outcomes.unreported[server].failed += 1;
}

}  // namespace filbertwall
