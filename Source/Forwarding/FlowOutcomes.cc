#include "Forwarding/FlowOutcomes.h"

#include <algorithm>

namespace filbertwall {
namespace {

constexpr double kLengthWeight = 0.05;
/// An answer shorter than this part of the usual length is an error.
constexpr double kShortAnswer = 0.25;
/// One long answer moves the usual length no more than one of so many times it.
constexpr double kMostTimesUsual = 8;

}  // namespace

bool NoteAnswer(FlowOutcomes& outcomes, RouteKey address, ServerIndex server,
                std::uint32_t length) {
  double& usual = outcomes.usual_length[address];
  const bool is_short = length < usual * kShortAnswer;
  const double measured =
      usual == 0 ? length : std::min<double>(length, usual * kMostTimesUsual);
  usual += (usual == 0 ? 1 : kLengthWeight) * (measured - usual);
  OutcomeDelta& delta = outcomes.untold[server];
  (is_short ? delta.failed : delta.served) += 1;
  return !is_short;
}

void NoteFailure(FlowOutcomes& outcomes, ServerIndex server) {
  outcomes.untold[server].failed += 1;
}

}  // namespace filbertwall
