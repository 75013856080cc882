#pragma once

#include <algorithm>

/// Limits extra work to a share of the ordinary work.
namespace filbertwall {

/// Token bucket: each unit of ordinary work adds `share` tokens, each unit of
/// extra work takes one. It starts empty, so that the extra work never exceeds
/// the share of all work so far. Plain state; not thread safe.
struct ExtraWorkBudget {
  /// Limit on saved tokens, and thereby on a burst of extra work.
  static constexpr double kMaxTokens = 10;

  double share = 0;  ///< 0: no extra work is allowed.
  double tokens = 0;
};

/// Records a unit of ordinary work.
inline void EarnExtraWork(ExtraWorkBudget& budget) {
  budget.tokens =
      std::min(budget.tokens + budget.share, ExtraWorkBudget::kMaxTokens);
}

inline bool AllowsExtraWork(const ExtraWorkBudget& budget) {
  return budget.tokens >= 1;
}

/// Precondition: `AllowsExtraWork(budget)`.
inline void SpendExtraWork(ExtraWorkBudget& budget) { budget.tokens -= 1; }

}  // namespace filbertwall
